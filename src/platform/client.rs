//! HTTP calls to the platform's object service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use metrics::counter;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wisteriawick_core::membership::ListedProcess;
use wisteriawick_core::response_status::is_final;
use wisteriawick_core::time::SharedClock;
use wisteriawick_core::uri::encode_component;

use crate::platform::PlatformError;
use crate::platform::rate::RateLimit;
use crate::platform::wire::InstanceWire;
use crate::platform::wire::InstancesWire;
use crate::platform::wire::ObjectWire;
use crate::settings::PlatformSettings;
use crate::telemetry::PLATFORM_CALLS;

/// Size of a connection's read buffer, and largest head of a response, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Largest response body that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A stored object with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object<T> {
    /// Version of the object; grows with each write.
    pub version: u64,
    /// Content of the object.
    pub value: T,
}

/// A client of the platform's object service.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
    http: Client<HttpConnector, Full<Bytes>>,
    limit: Arc<Mutex<RateLimit>>,
    /// Why instances were left out of the last list.
    unreadable_instances: Arc<Mutex<Vec<PlatformError>>>,
    clock: SharedClock,
}

#[derive(Clone, Copy)]
enum Operation {
    Read,
    Watch,
    Write,
    List,
}

impl Operation {
    fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Watch => "watch",
            Self::Write => "write",
            Self::List => "list",
        }
    }
}

impl PlatformClient {
    /// Creates a client. It connects with the first call.
    pub fn new(settings: &PlatformSettings, clock: SharedClock) -> Self {
        let limit = RateLimit::new(settings.max_calls_per_s, clock.now());
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.timeout));
        Self {
            address: settings.address,
            timeout: settings.timeout,
            http: Client::builder(TokioExecutor::new())
                // A hidden retry could apply a write twice.
                .retry_canceled_requests(false)
                .http1_max_buf_size(READ_BUFFER_BYTES)
                .build(connector),
            limit: Arc::new(Mutex::new(limit)),
            unreadable_instances: Arc::default(),
            clock,
        }
    }

    /// Reads an object; returns `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond or its response cannot be decoded.
    pub async fn read<T: DeserializeOwned>(
        &self,
        name: &str,
    ) -> Result<Option<Object<T>>, PlatformError> {
        let path = object_path(name);
        let (status, body) = self
            .call(
                Operation::Read,
                Method::GET,
                &path,
                Bytes::new(),
                self.timeout,
            )
            .await?;
        match status {
            StatusCode::OK => parse_object(parse(&body)?).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(status_error(status, &body)),
        }
    }

    /// Waits until an object has a version above `after`; returns `None` when it has
    /// none after the time `wait`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond or its response cannot be decoded.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object<T>>, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("{}?after={after}&wait_ms={wait_ms}", object_path(name));
        let (status, body) = self
            .call(
                Operation::Watch,
                Method::GET,
                &path,
                Bytes::new(),
                wait + self.timeout,
            )
            .await?;
        match status {
            StatusCode::OK => {
                let wire: ObjectWire = parse(&body)?;
                match wire.unchanged {
                    true => Ok(None),
                    false => parse_object(wire).map(Some),
                }
            }
            status => Err(status_error(status, &body)),
        }
    }

    /// Writes an object if it has the version `if_version`, where 0 means that the
    /// object must not exist. Returns the new version.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::Conflict`] and [`PlatformError::Refused`] nothing
    /// changed. After [`PlatformError::UnknownOutcome`] the write may have taken
    /// effect, or may still do so.
    pub async fn write<T: Serialize>(
        &self,
        name: &str,
        if_version: u64,
        value: &T,
    ) -> Result<u64, PlatformError> {
        let body =
            serde_json::to_vec(value).map_err(|e| PlatformError::Refused(format!("value: {e}")))?;
        let path = format!("{}?if_version={if_version}", object_path(name));
        self.write_request(Method::PUT, &path, body.into()).await
    }

    /// Removes an object if it has the version `if_version`.
    ///
    /// # Errors
    ///
    /// As for [`Self::write`].
    pub async fn remove(&self, name: &str, if_version: u64) -> Result<u64, PlatformError> {
        let path = format!("{}?if_version={if_version}", object_path(name));
        self.write_request(Method::DELETE, &path, Bytes::new())
            .await
    }

    /// Reads the list of instances. The list lags behind the real state.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond or its response cannot be decoded.
    pub async fn instances(&self) -> Result<Vec<ListedProcess>, PlatformError> {
        let (status, body) = self
            .call(
                Operation::List,
                Method::GET,
                "/v1/instances",
                Bytes::new(),
                self.timeout,
            )
            .await?;
        if status != StatusCode::OK {
            return Err(status_error(status, &body));
        }
        let list: InstancesWire = parse(&body)?;
        Ok(self.readable_instances(list))
    }

    /// Returns the instances that can be decoded, and logs the others when they change.
    fn readable_instances(&self, list: InstancesWire) -> Vec<ListedProcess> {
        let mut listed = Vec::with_capacity(list.instances.len());
        let mut unreadable = Vec::new();
        for raw in &list.instances {
            let instance = parse::<InstanceWire>(raw.get().as_bytes());
            match instance.and_then(ListedProcess::try_from) {
                Ok(process) => listed.push(process),
                Err(e) => unreadable.push(e),
            }
        }
        let mut logged = self.unreadable_instances.lock().expect("no holder panics");
        if *logged != unreadable {
            for e in &unreadable {
                log::warn!("an instance is left out of the list: {e}");
            }
            *logged = unreadable;
        }
        listed
    }

    /// Sends a write or a removal; returns the new version of the object.
    async fn write_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<u64, PlatformError> {
        let (status, body) = self
            .call(Operation::Write, method, path, body, self.timeout)
            .await?;
        let version = || -> Result<u64, PlatformError> {
            let wire: ObjectWire = parse(&body)?;
            wire.version
                .ok_or_else(|| PlatformError::Malformed("no version".into()))
        };
        match status {
            StatusCode::OK => version(),
            StatusCode::CONFLICT => Err(PlatformError::Conflict {
                version: version()?,
            }),
            status => Err(status_error(status, &body)),
        }
    }

    /// Sends one call within the rate limit and counts its result.
    async fn call(
        &self,
        operation: Operation,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let wait = {
            let mut limit = self.limit.lock().expect("no holder panics");
            limit.reserve(self.clock.now())
        };
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let result = tokio::time::timeout(timeout, self.send_request(method, path, body)).await;
        let result = match result {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(message)) => Err(message),
            Err(_) => Err("no response within the timeout".to_string()),
        };
        let result_label = if result.is_ok() { "answered" } else { "failed" };
        counter!(PLATFORM_CALLS, "operation" => operation.name(), "result" => result_label)
            .increment(1);
        result.map_err(|message| match operation {
            Operation::Write => PlatformError::UnknownOutcome(message),
            Operation::Read | Operation::Watch | Operation::List => {
                PlatformError::Unavailable(message)
            }
        })
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), String> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| e.to_string())?;
        let res = self.http.request(req).await.map_err(|e| e.to_string())?;
        let status = res.status();
        if !is_final(status.as_u16()) {
            return Err(format!("status {} of no final response", status.as_u16()));
        }
        let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|e| e.to_string())?
            .to_bytes();
        Ok((status, body))
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed(e.to_string()))
}

/// Decodes an object.
fn parse_object<T: DeserializeOwned>(wire: ObjectWire) -> Result<Object<T>, PlatformError> {
    let (Some(version), Some(value)) = (wire.version, wire.value) else {
        return Err(PlatformError::Malformed("no version or no value".into()));
    };
    let value = parse(value.get().as_bytes())?;
    Ok(Object { version, value })
}

/// Returns the path of an object. The parts of its name between slashes are encoded.
fn object_path(name: &str) -> String {
    let mut path = "/v1/objects".to_string();
    for part in name.split('/') {
        path.push('/');
        path.extend(encode_component(part));
    }
    path
}

/// Returns the error for a response with an unexpected status.
fn status_error(status: StatusCode, body: &[u8]) -> PlatformError {
    let text = String::from_utf8_lossy(&body[..body.len().min(200)]).to_string();
    if status.is_server_error() {
        PlatformError::Unavailable(format!("{status}: {text}"))
    } else {
        PlatformError::Refused(format!("{status}: {text}"))
    }
}
