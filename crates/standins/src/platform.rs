//! A stand-in for the platform's object service.
//!
//! It stores versioned objects with conditional writes and watches, and serves a
//! list of instances that shows changes after a delay. Tests can make it
//! unavailable or slow, and make it lose the responses to writes.

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
use http_body_util::Limited;
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::http_server::Body;
use crate::http_server::bind;
use crate::http_server::json as json_response;
use crate::http_server::serve;

/// Largest value of an object, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Longest time that a watch waits for a change.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// An instance in the list of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Instance {
    /// Name of the wisteriawick process on the instance.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// The service that an agent's endpoint belongs to; empty for entries.
    pub service: String,
    /// The data centre.
    pub place: String,
    /// Address at which other processes reach the process.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Faults that the platform shows; they can be changed while it runs.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails with status 503.
    pub down: bool,
    /// Time that every call waits before it is handled.
    pub delay: Duration,
    /// Number of further writes that take effect but get no response.
    pub lost_write_responses: u32,
    /// Time until a change of the instance list becomes visible.
    pub list_lag: Duration,
}

/// Numbers of calls that the platform received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads, watches and requests for the instance list.
    pub reads: u64,
    /// Writes and removals.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, (u64, Value)>,
    /// Highest version so far; all objects share one sequence of versions.
    last_version: u64,
    faults: Faults,
    calls: Calls,
    /// Instance lists, each with the time from which it is visible.
    instance_lists: Vec<(Instant, Vec<Value>)>,
}

/// A handle to a running platform; all clones refer to the same platform.
#[derive(Clone, Debug)]
pub struct Platform {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Wakes watches with the version of the latest write or removal.
    changed: watch::Sender<u64>,
}

impl Platform {
    /// Starts a platform on a loopback port; zero lets the system choose.
    ///
    /// # Errors
    ///
    /// Fails when the port is in use.
    pub async fn start(port: u16, cx: CancellationToken) -> std::io::Result<Self> {
        let (listener, addr) = bind(port).await?;
        let platform = Self {
            addr,
            state: Arc::default(),
            changed: watch::Sender::new(0),
        };
        let served = platform.clone();
        tokio::spawn(serve(listener, cx, move |req| {
            let platform = served.clone();
            async move { platform.handle(req).await }
        }));
        Ok(platform)
    }

    /// Returns the address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the faults that the platform shows.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Returns the numbers of calls received so far.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Replaces the instance list; the new one becomes visible after `list_lag`.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let instances = instances.iter().map(|instance| json!(instance));
        self.set_raw_instances(instances.collect());
    }

    /// As [`set_instances`](Self::set_instances), with instances of any form.
    pub fn set_raw_instances(&self, instances: Vec<Value>) {
        let mut state = self.lock();
        let visible_from = Instant::now() + state.faults.list_lag;
        state.instance_lists.push((visible_from, instances));
    }

    /// Returns an object's version and value.
    pub fn object(&self, name: &str) -> Option<(u64, Value)> {
        self.lock().objects.get(name).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let faults = self.lock().faults.clone();
        if !faults.delay.is_zero() {
            tokio::time::sleep(faults.delay).await;
        }
        if faults.down {
            return error(StatusCode::SERVICE_UNAVAILABLE, "the service is down");
        }
        let path = req.uri().path().to_string();
        let query = req.uri().query().unwrap_or_default().to_string();
        if path == "/v1/instances" {
            self.lock().calls.reads += 1;
            return self.list();
        }
        let Some(name) = path.strip_prefix("/v1/objects/") else {
            return error(StatusCode::NOT_FOUND, "no such path");
        };
        let name = percent_decode_str(name).decode_utf8_lossy().into_owned();
        match *req.method() {
            Method::GET => self.get(&name, &query).await,
            Method::PUT => self.put(&name, &query, req).await,
            Method::DELETE => self.delete(&name, &query).await,
            _ => error(StatusCode::METHOD_NOT_ALLOWED, "use GET, PUT or DELETE"),
        }
    }

    fn list(&self) -> Response<Body> {
        let now = Instant::now();
        let state = self.lock();
        let visible = state
            .instance_lists
            .iter()
            .rev()
            .find(|(visible_from, _)| *visible_from <= now);
        let instances = visible.map(|(_, list)| list.clone()).unwrap_or_default();
        json_response(StatusCode::OK, &json!({ "instances": instances }))
    }

    /// Returns an object. With `after` in the query, waits up to `wait_ms` for a version
    /// that is higher.
    async fn get(&self, name: &str, query: &str) -> Response<Body> {
        let after = query_number(query, "after");
        let wait =
            Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0)).min(MAX_WATCH_TIME);
        let mut changed = self.changed.subscribe();
        self.lock().calls.reads += 1;
        let until = Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            let stored = self.object(name);
            match (stored, after) {
                (Some((version, value)), None) => {
                    let body = json!({ "version": version, "value": value });
                    return json_response(StatusCode::OK, &body);
                }
                (Some((version, value)), Some(after)) if version > after => {
                    let body = json!({ "version": version, "value": value });
                    return json_response(StatusCode::OK, &body);
                }
                (None, None) => return error(StatusCode::NOT_FOUND, "no such object"),
                (_, Some(_)) => {}
            }
            let waited = tokio::time::timeout_at(until, changed.changed()).await;
            if !matches!(waited, Ok(Ok(()))) {
                return json_response(StatusCode::OK, &json!({ "unchanged": true }));
            }
            if self.lock().faults.down {
                return error(StatusCode::SERVICE_UNAVAILABLE, "the service is down");
            }
        }
    }

    async fn put(&self, name: &str, query: &str, req: Request<Incoming>) -> Response<Body> {
        let body = Limited::new(req.into_body(), MAX_VALUE_BYTES);
        let Ok(body) = body.collect().await.map(|b| b.to_bytes()) else {
            return error(
                StatusCode::PAYLOAD_TOO_LARGE,
                "a value holds up to a megabyte",
            );
        };
        let Ok(value) = serde_json::from_slice::<Value>(&body) else {
            return error(StatusCode::BAD_REQUEST, "the value is not JSON");
        };
        let result = self.update(name, query_number(query, "if_version"), Some(value));
        self.write_response(result).await
    }

    async fn delete(&self, name: &str, query: &str) -> Response<Body> {
        let result = self.update(name, query_number(query, "if_version"), None);
        self.write_response(result).await
    }

    /// Writes an object, or removes it if there is no value. Returns the new version,
    /// or the stored version as an error if it is not the expected one.
    fn update(
        &self,
        name: &str,
        if_version: Option<u64>,
        value: Option<Value>,
    ) -> Result<u64, u64> {
        let mut state = self.lock();
        state.calls.writes += 1;
        let stored = state.objects.get(name).map_or(0, |(version, _)| *version);
        if if_version.is_some_and(|expected| expected != stored) {
            return Err(stored);
        }
        state.last_version += 1;
        let version = state.last_version;
        match value {
            Some(value) => state.objects.insert(name.to_string(), (version, value)),
            None => state.objects.remove(name),
        };
        drop(state);
        self.changed.send_replace(version);
        Ok(version)
    }

    async fn write_response(&self, result: Result<u64, u64>) -> Response<Body> {
        let drops_response = {
            let faults = &mut self.lock().faults;
            let drops_response = result.is_ok() && faults.lost_write_responses > 0;
            faults.lost_write_responses -= u32::from(drops_response);
            drops_response
        };
        if drops_response {
            // The caller has to give up by its own timeout.
            std::future::pending::<()>().await;
        }
        match result {
            Ok(version) => json_response(StatusCode::OK, &json!({ "version": version })),
            Err(version) => json_response(StatusCode::CONFLICT, &json!({ "version": version })),
        }
    }
}

fn error(status: StatusCode, message: &str) -> Response<Body> {
    json_response(status, &json!({ "error": message }))
}

/// Returns the number that a key has in a query string, if any.
fn query_number(query: &str, key: &str) -> Option<u64> {
    query.split('&').find_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        (name == key).then(|| value.parse().ok())?
    })
}
