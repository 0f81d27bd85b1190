//! The HTTP port for operators: health checks, metrics, the state of the fleet, the
//! timeline and the configuration.
//!
//! State and timeline are gathered from all known processes over their links.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use salvo::http::StatusCode;
use serde::Serialize;
use tokio::time::timeout;
use wisteriawick_core::fleet::KeyHash;

use crate::command::status::FleetStatus;
use crate::command::status::PeerStatus;
use crate::command::status::ProcessStatus;
use crate::command::timeline::MergedTimeline;
use crate::entry::EntryContext;
use crate::entry::caller::bearer;
use crate::entry::directory::Peer;
use crate::entry::http_api::readiness_response;
use crate::entry::http_api::text_response;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::timeline::StampWire;

/// Timeout for the reply of one process.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the routes of the HTTP port for operators.
pub(crate) fn routes(context: Arc<EntryContext>) -> salvo::Router {
    let api = |operation| ApiHandler {
        context: Arc::clone(&context),
        operation,
    };
    salvo::Router::new()
        .push(salvo::Router::with_path("livez").get(api(Operation::Live)))
        .push(salvo::Router::with_path("readyz").get(api(Operation::Ready)))
        .push(salvo::Router::with_path("metrics").get(api(Operation::Metrics)))
        .push(salvo::Router::with_path("status").get(api(Operation::Status)))
        .push(salvo::Router::with_path("timeline").get(api(Operation::Timeline)))
        .push(salvo::Router::with_path("config").get(api(Operation::Config)))
}

#[derive(Clone, Copy, Debug)]
enum Operation {
    Live,
    Ready,
    Metrics,
    Status,
    Timeline,
    Config,
}

struct ApiHandler {
    context: Arc<EntryContext>,
    operation: Operation,
}

#[async_trait]
impl Handler for ApiHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.operation {
            Operation::Live => return text_response(res, StatusCode::OK, "live"),
            Operation::Ready => return readiness_response(&self.context, res),
            _ => {}
        }
        if !self.is_operator(req) {
            let message = "no operator's token; send it as `Authorization: Bearer TOKEN`";
            return text_response(res, StatusCode::UNAUTHORIZED, message);
        }
        match self.operation {
            Operation::Live | Operation::Ready => {}
            Operation::Metrics => self.metrics(res),
            Operation::Status => json_response(res, &self.status().await),
            Operation::Timeline => json_response(res, &self.timeline(req).await),
            Operation::Config => {
                let body = crate::agent::head_json(&self.context.node);
                res.body(salvo::http::ResBody::Once(body));
            }
        }
    }
}

fn json_response<T: Serialize>(res: &mut Response, value: &T) {
    match serde_json::to_vec(value) {
        Ok(body) => {
            res.body(salvo::http::ResBody::Once(body.into()));
        }
        Err(e) => text_response(res, StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

impl ApiHandler {
    fn is_operator(&self, req: &Request) -> bool {
        bearer(req.headers()).is_some_and(|token| {
            self.context
                .settings
                .ops_token_hashes
                .contains(&KeyHash::new(token))
        })
    }

    fn metrics(&self, res: &mut Response) {
        match &self.context.metrics {
            Some(metrics) => {
                metrics.run_upkeep();
                res.body(metrics.render());
            }
            None => text_response(res, StatusCode::NOT_FOUND, "metrics are not exported here"),
        }
    }

    fn peers(&self) -> Vec<Peer> {
        let table = self.context.links.borrow();
        table.peers.values().cloned().collect()
    }

    async fn status(&self) -> FleetStatus {
        let pending = self.peers().into_iter().map(peer_status);
        FleetStatus {
            answering: ProcessStatus::of(&self.context.node),
            peers: join_all(pending).await,
        }
    }

    async fn timeline(&self, req: &Request) -> MergedTimeline {
        let since = StampWire {
            millis: req.query::<u64>("since").unwrap_or(0),
            counter: 0,
        };
        let mut merged = MergedTimeline {
            events: self.context.node.timeline.since(since.into()),
            missing: Vec::new(),
        };
        let pending = self.peers().into_iter().map(|peer| async move {
            let name = peer.listed.id.to_string();
            match request_peer(&peer, &StreamRequest::Events(since)).await {
                Some(Reply::Timeline(events)) => Ok(events),
                _ => Err(name),
            }
        });
        for response in join_all(pending).await {
            match response {
                Ok(events) => merged.events.extend(events),
                Err(name) => merged.missing.push(name),
            }
        }
        merged
            .events
            .sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
        merged
    }
}

/// Sends a request to a process; `None` when it does not reply in time.
async fn request_peer(peer: &Peer, request: &StreamRequest) -> Option<Reply> {
    let link = peer.link.as_ref()?;
    timeout(PEER_TIMEOUT, link.request(request))
        .await
        .ok()?
        .ok()
}

async fn peer_status(peer: Peer) -> PeerStatus {
    let process = match request_peer(&peer, &StreamRequest::Status).await {
        Some(Reply::Status(json)) => serde_json::from_slice(&json).ok(),
        _ => None,
    };
    PeerStatus {
        name: peer.listed.id.to_string(),
        state: format!("{:?}", peer.state).to_lowercase(),
        ticket: peer.ticket,
        process,
    }
}
