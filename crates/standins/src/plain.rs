//! A stand-in for a plain service: bookings that must not run twice, and job lookups.
//!
//! Instances of the service share a log of bookings, in which tests find bookings
//! that ran more than once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::http_server::Body;
use crate::http_server::bind;
use crate::http_server::json as json_response;
use crate::http_server::response;
use crate::http_server::serve;

/// Counts how often each booking ran, over all instances that share the log.
#[derive(Clone, Debug, Default)]
pub struct BookingLog(Arc<Mutex<BTreeMap<String, u32>>>);

impl BookingLog {
    /// Returns how often each booking ran, by its identifier.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.0.lock().expect("no holder panics").clone()
    }

    fn record(&self, id: &str) {
        let mut log = self.0.lock().expect("no holder panics");
        *log.entry(id.to_string()).or_default() += 1;
    }
}

/// A running instance of the plain service.
#[derive(Clone, Debug)]
pub struct PlainService {
    addr: SocketAddr,
}

impl PlainService {
    /// Starts an instance on a loopback port; zero lets the system choose.
    ///
    /// `POST /bookings` with `{"id": ..., "wait_ms": ..., "status": ...}` records a booking
    /// and responds after the wait, with status 200 if none is given; `GET /jobs/{id}` looks
    /// up a job.
    ///
    /// # Errors
    ///
    /// Fails when the port is in use.
    pub async fn start(
        name: String,
        port: u16,
        log: BookingLog,
        cx: CancellationToken,
    ) -> std::io::Result<Self> {
        let (listener, addr) = bind(port).await?;
        tokio::spawn(serve(listener, cx, move |req| {
            let log = log.clone();
            let name = name.clone();
            async move { handle(&name, &log, req).await }
        }));
        Ok(Self { addr })
    }

    /// Returns the address that the instance listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

async fn handle(name: &str, log: &BookingLog, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_string();
    if req.method() == Method::GET {
        if path == "/healthz" {
            return response(StatusCode::OK, "text/plain", "ok\n");
        }
        if let Some(id) = path.strip_prefix("/jobs/") {
            let body = json!({ "job": id, "state": "planned", "by": name });
            return json_response(StatusCode::OK, &body);
        }
    }
    if req.method() == Method::POST && path == "/bookings" {
        return book(name, log, req).await;
    }
    json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" }))
}

async fn book(name: &str, log: &BookingLog, req: Request<Incoming>) -> Response<Body> {
    let Ok(body) = req.into_body().collect().await else {
        return json_response(StatusCode::BAD_REQUEST, &json!({ "error": "body cut off" }));
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
        return json_response(
            StatusCode::BAD_REQUEST,
            &json!({ "error": "body is not JSON" }),
        );
    };
    let id = body["id"].as_str().unwrap_or("unnamed").to_string();
    log.record(&id);
    let wait = body["wait_ms"].as_u64().unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(wait)).await;
    let status = body["status"]
        .as_u64()
        .and_then(|status| StatusCode::from_u16(status as u16).ok())
        .unwrap_or(StatusCode::OK);
    json_response(status, &json!({ "booked": id, "by": name }))
}
