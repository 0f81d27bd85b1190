//! The operators' HTTP port: metrics, state and time line.

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
use crate::entry::directory::Neighbour;
use crate::entry::http_api::ready;
use crate::entry::http_api::text;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::timeline::StampWire;

/// Longest wait for one process.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the routes of the operators' port.
pub(crate) fn routes(context: Arc<EntryContext>) -> salvo::Router {
    let api = |operation| Api {
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

struct Api {
    context: Arc<EntryContext>,
    operation: Operation,
}

#[async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.operation {
            Operation::Live => return text(res, StatusCode::OK, "live"),
            Operation::Ready => return ready(&self.context, res),
            _ => {}
        }
        if !self.is_operator(req) {
            let message = "no operator's token; send it as `Authorization: Bearer TOKEN`";
            return text(res, StatusCode::UNAUTHORIZED, message);
        }
        match self.operation {
            Operation::Live | Operation::Ready => {}
            Operation::Metrics => self.metrics(res),
            Operation::Status => json(res, &self.status().await),
            Operation::Timeline => json(res, &self.timeline(req).await),
            Operation::Config => {
                let body = crate::agent::head_json(&self.context.node);
                res.body(salvo::http::ResBody::Once(body));
            }
        }
    }
}

fn json<T: Serialize>(res: &mut Response, value: &T) {
    match serde_json::to_vec(value) {
        Ok(body) => {
            res.body(salvo::http::ResBody::Once(body.into()));
        }
        Err(e) => text(res, StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

impl Api {
    fn is_operator(&self, req: &Request) -> bool {
        bearer(req.headers()).is_some_and(|token| {
            self.context
                .ops
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
            None => text(res, StatusCode::NOT_FOUND, "metrics are not exported here"),
        }
    }

    fn neighbours(&self) -> Vec<Neighbour> {
        let table = self.context.links.borrow();
        table.neighbours.values().cloned().collect()
    }

    async fn status(&self) -> FleetStatus {
        let asked = self.neighbours().into_iter().map(ask_status);
        FleetStatus {
            answering: ProcessStatus::of(&self.context.node),
            peers: join_all(asked).await,
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
        let asked = self.neighbours().into_iter().map(|neighbour| async move {
            let name = neighbour.listed.id.to_string();
            match ask(&neighbour, &StreamRequest::Events(since)).await {
                Some(Reply::Timeline(events)) => Ok(events),
                _ => Err(name),
            }
        });
        for answer in join_all(asked).await {
            match answer {
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

async fn ask(neighbour: &Neighbour, open: &StreamRequest) -> Option<Reply> {
    let link = neighbour.link.as_ref()?;
    timeout(ASK_TIMEOUT, link.request(open)).await.ok()?.ok()
}

async fn ask_status(neighbour: Neighbour) -> PeerStatus {
    let process = match ask(&neighbour, &StreamRequest::Status).await {
        Some(Reply::Status(json)) => serde_json::from_slice(&json).ok(),
        _ => None,
    };
    PeerStatus {
        name: neighbour.listed.id.to_string(),
        state: format!("{:?}", neighbour.state).to_lowercase(),
        ticket: neighbour.ticket,
        process,
    }
}
