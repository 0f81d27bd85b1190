//! The client of an engine: sends it orders about expert maps and reads its load.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use wisteriawick_core::ids::MapNumber;
use wisteriawick_core::ids::StepNumber;
use wisteriawick_core::ids::Term;
use wisteriawick_core::maps::Ballot;
use wisteriawick_core::maps::EngineOrder;
use wisteriawick_core::maps::EngineReport;
use wisteriawick_core::maps::EngineView;

use crate::agent::Endpoint;

/// Largest response of an engine, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Longest time of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to stage a map, for which an engine may load weights.
const STAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// The load that an engine reports.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineLoad {
    /// Tokens that each expert processed, by layer.
    pub experts: Vec<Vec<f64>>,
    /// Speed of each rank of this runner; 1.0 is normal.
    pub rank_speeds: Vec<f64>,
    /// Whether the engine's ranks make no steps.
    pub stalled: bool,
}

/// Client of an engine that runs ranks of a lockstep group.
pub trait EngineClient: Clone + Send + Sync + 'static {
    /// Sends an order. An order to stage a map needs the map's `placement`.
    fn order(
        &self,
        order: EngineOrder,
        placement: Option<Vec<Vec<u16>>>,
    ) -> impl Future<Output = EngineReport> + Send;

    /// Returns the load; `None` if the engine does not report one.
    fn load(&self) -> impl Future<Output = Option<EngineLoad>> + Send;
}

/// Client of an engine that receives orders over HTTP, as docs/ENGINE.md describes.
#[derive(Clone, Debug)]
pub struct HttpEngineClient {
    endpoint: Endpoint,
}

impl HttpEngineClient {
    /// Returns a client of the engine at an endpoint.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }

    /// Sends a request; returns the status and the body of a response that is complete
    /// within the time limit. Otherwise the connection is closed.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let exchange = self.exchange(method, path, body);
        tokio::time::timeout(limit, exchange).await.ok()?
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.endpoint.address().to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .ok()?;
        let (res, lease) = self.endpoint.call(req).await.ok()?;
        let status = res.status();
        let room = self.endpoint.room();
        let body = room.read(res.into_body(), MAX_RESPONSE_BYTES).await.ok()?;
        self.endpoint.recycle(lease);
        Some((status, body))
    }

    async fn read_back(&self) -> EngineReport {
        let unknown = EngineReport::Unknown(EngineOrder::ReadBack);
        let Some((StatusCode::OK, body)) = self
            .call(Method::GET, "/v1/engine/map", Bytes::new(), CALL_TIMEOUT)
            .await
        else {
            return unknown;
        };
        match serde_json::from_slice::<ViewWire>(&body) {
            Ok(view) => EngineReport::State(view.into()),
            Err(_) => unknown,
        }
    }
}

impl EngineClient for HttpEngineClient {
    async fn order(&self, order: EngineOrder, placement: Option<Vec<Vec<u16>>>) -> EngineReport {
        let (path, body) = match &order {
            EngineOrder::ReadBack => return self.read_back().await,
            EngineOrder::Stage(term, map) => (
                "/v1/engine/map/stage",
                json!({ "term": term.0, "map": map.0, "placement": placement }),
            ),
            EngineOrder::Arm(ballot) => ("/v1/engine/map/arm", ballot_body(*ballot)),
            EngineOrder::Go(ballot) => ("/v1/engine/map/go", ballot_body(*ballot)),
            EngineOrder::Disarm(ballot) => ("/v1/engine/map/disarm", ballot_body(*ballot)),
            EngineOrder::Restore { active, armed } => {
                let armed = armed.map(|(ballot, go)| {
                    let mut body = ballot_body(ballot);
                    body["go"] = go.into();
                    body
                });
                let body = json!({ "active": active.0, "armed": armed });
                ("/v1/engine/map/restore", body)
            }
        };
        let body = Bytes::from(body.to_string());
        let limit = match order {
            EngineOrder::Stage(..) => STAGE_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        match self.call(Method::POST, path, body, limit).await {
            Some((status, _)) if status.is_success() => EngineReport::Done(order),
            Some((status, _)) if status.is_client_error() => EngineReport::Refused(order),
            _ => EngineReport::Unknown(order),
        }
    }

    async fn load(&self) -> Option<EngineLoad> {
        let (status, body) = self
            .call(Method::GET, "/v1/engine/load", Bytes::new(), CALL_TIMEOUT)
            .await?;
        if status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }
}

fn ballot_body(ballot: Ballot) -> Value {
    json!({ "term": ballot.term.0, "map": ballot.map.0, "step": ballot.step.0 })
}

#[derive(Debug, Deserialize)]
struct ArmedWire {
    term: u64,
    map: u64,
    step: u64,
    go: bool,
}

#[derive(Debug, Deserialize)]
struct ViewWire {
    active: Option<u64>,
    staged: Vec<u64>,
    armed: Option<ArmedWire>,
    step: u64,
}

impl From<ViewWire> for EngineView {
    fn from(wire: ViewWire) -> Self {
        Self {
            active: wire.active.map(MapNumber),
            step: StepNumber(wire.step),
            staged: wire.staged.into_iter().map(MapNumber).collect(),
            armed: wire.armed.map(|armed| {
                let ballot = Ballot {
                    term: Term(armed.term),
                    map: MapNumber(armed.map),
                    step: StepNumber(armed.step),
                };
                (ballot, armed.go)
            }),
        }
    }
}
