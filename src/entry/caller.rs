//! Parses and authorizes callers' HTTP requests.
//!
//! A request names its workspace by an API key. The result says which service to call,
//! whether the request is keyed, when it may be retried and how long the caller waits.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use serde::Deserialize;
use wisteriawick_core::call::CallKind;
use wisteriawick_core::call::CallOptions;
use wisteriawick_core::fleet::Fleet;
use wisteriawick_core::fleet::Service;
use wisteriawick_core::fleet::ServiceKind;
use wisteriawick_core::fleet::Workspace;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_core::ids::WorkspaceId;
use wisteriawick_core::router::RetryRule;
use wisteriawick_core::router::prefix_chain;

/// Request header with the time that the caller waits for the response, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "wisteriawick-deadline-ms";
/// Request header with the idempotency key, which makes the call run at most once.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Estimated bytes of text in one token.
const BYTES_PER_TOKEN: usize = 4;
/// Assumed response length in tokens when the request does not limit it.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Path of chat completions, both at entries and at engines.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// Why a request is refused before any of it ran; the message, sent to the caller, says
/// what to change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallerError {
    #[error("no API key; send it as `Authorization: Bearer KEY`")]
    NoKey,
    #[error("this API key belongs to no workspace; check the key")]
    UnknownKey,
    #[error("there is no service {0:?}; check the name")]
    UnknownService(String),
    #[error("this workspace may not call {0}; have a ticket list the service")]
    NotAllowed(ServiceId),
    #[error("the body is not a chat request ({0}); see the OpenAI chat API")]
    NotChat(String),
    #[error("{DEADLINE_HEADER} is {0:?}; state whole milliseconds above 0")]
    BadDeadline(String),
    #[error("{KEY_HEADER} is empty or longer than {MAX_KEY_BYTES} bytes; choose another")]
    BadIdempotencyKey,
    #[error("streamed calls take no {KEY_HEADER}; leave it out or ask without streaming")]
    KeyedStream,
}

impl CallerError {
    /// Returns the HTTP status of the response.
    pub(crate) fn status(&self) -> http::StatusCode {
        match self {
            Self::NoKey | Self::UnknownKey => http::StatusCode::UNAUTHORIZED,
            Self::NotAllowed(_) => http::StatusCode::FORBIDDEN,
            Self::UnknownService(_) => http::StatusCode::NOT_FOUND,
            Self::NotChat(_)
            | Self::BadDeadline(_)
            | Self::BadIdempotencyKey
            | Self::KeyedStream => http::StatusCode::BAD_REQUEST,
        }
    }
}

/// A caller's request, parsed and authorized.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) workspace: WorkspaceId,
    /// The workspace's share in fair queueing.
    pub(crate) weight: u32,
    pub(crate) priority: u8,
    pub(crate) service: ServiceId,
    /// The service's declared limits.
    pub(crate) limits: Service,
    pub(crate) options: CallOptions,
    /// The idempotency key.
    pub(crate) key: Option<String>,
    /// How long the caller waits for the response.
    pub(crate) timeout: Duration,
    /// Estimated tokens of prompt and response; 1 for a plain service.
    pub(crate) cost_tokens: u32,
    /// Hashes for prefix affinity; empty for a plain service.
    pub(crate) prefix: Vec<u64>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) method: Method,
    /// Path and query at the endpoint.
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

/// The parts of an HTTP request that parsing needs.
#[derive(Clone, Debug)]
pub(crate) struct RequestParts<'a> {
    pub(crate) method: &'a Method,
    pub(crate) headers: &'a HeaderMap,
    /// Path and query at the endpoint.
    pub(crate) path: &'a str,
    pub(crate) body: &'a Bytes,
}

#[derive(Debug, Deserialize)]
struct ChatWire {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    messages: Vec<serde::de::IgnoredAny>,
}

/// Returns the workspace to which the request's API key belongs.
pub(crate) fn authenticate<'a>(
    fleet: &'a Fleet,
    headers: &HeaderMap,
) -> Result<(&'a WorkspaceId, &'a Workspace), CallerError> {
    let key = bearer(headers).ok_or(CallerError::NoKey)?;
    fleet.workspace_by_key(key).ok_or(CallerError::UnknownKey)
}

/// Returns the bearer token in a request's `Authorization` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(http::header::AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

/// Parses a request for a chat completion by a model service.
pub(crate) fn read_chat(
    fleet: &Fleet,
    parts: &RequestParts<'_>,
) -> Result<CallerRequest, CallerError> {
    let caller = authenticate(fleet, parts.headers)?;
    let chat: ChatWire =
        serde_json::from_slice(parts.body).map_err(|e| CallerError::NotChat(e.to_string()))?;
    if chat.messages.is_empty() {
        return Err(CallerError::NotChat("messages is empty".into()));
    }
    let mut req = read_request(fleet, caller, &chat.model, ServiceKind::Model, parts)?;
    if chat.stream {
        if req.options.keyed {
            return Err(CallerError::KeyedStream);
        }
        req.options.kind = CallKind::Stream;
    }
    if !req.options.keyed {
        // A completion has no effect apart from its response, so it may always be retried.
        req.options.retry = RetryRule::Idempotent;
    }
    let prompt_tokens = (parts.body.len() / BYTES_PER_TOKEN) as u32;
    req.cost_tokens = prompt_tokens + chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    req.prefix = prefix_chain(parts.body);
    Ok(req)
}

/// Parses a request to a plain service.
pub(crate) fn read_plain(
    fleet: &Fleet,
    service: &str,
    parts: &RequestParts<'_>,
) -> Result<CallerRequest, CallerError> {
    let caller = authenticate(fleet, parts.headers)?;
    read_request(fleet, caller, service, ServiceKind::Plain, parts)
}

/// Parses what both kinds of service have in common.
fn read_request(
    fleet: &Fleet,
    (workspace, declared): (&WorkspaceId, &Workspace),
    service: &str,
    kind: ServiceKind,
    parts: &RequestParts<'_>,
) -> Result<CallerRequest, CallerError> {
    let unknown = || CallerError::UnknownService(service.to_string());
    let id = ServiceId::new(service);
    let limits = fleet.services.get(&id).ok_or_else(unknown)?;
    if limits.kind != kind {
        return Err(unknown());
    }
    if !declared.services.contains(&id) {
        return Err(CallerError::NotAllowed(id));
    }
    let key = read_key(parts.headers)?;
    let idempotent = limits
        .idempotent_methods
        .iter()
        .any(|method| method == parts.method.as_str());
    let retry = match (&key, idempotent) {
        (Some(_), _) => RetryRule::IfNotRun,
        (None, true) => RetryRule::Idempotent,
        (None, false) => RetryRule::Never,
    };
    let content_type = parts
        .headers
        .get(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let request_line = format!("{} {}", parts.method, parts.path);
    Ok(CallerRequest {
        workspace: workspace.clone(),
        weight: declared.weight,
        priority: declared.priority,
        options: CallOptions {
            kind: CallKind::Buffered,
            keyed: key.is_some(),
            retry,
        },
        key,
        timeout: read_deadline(parts.headers, limits)?,
        cost_tokens: 1,
        prefix: Vec::new(),
        fingerprint: Fingerprint::new(workspace, &id, &request_line, parts.body),
        method: parts.method.clone(),
        path: parts.path.to_string(),
        content_type: content_type.to_string(),
        body: parts.body.clone(),
        limits: limits.clone(),
        service: id,
    })
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, CallerError> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.to_string())),
        _ => Err(CallerError::BadIdempotencyKey),
    }
}

fn read_deadline(headers: &HeaderMap, limits: &Service) -> Result<Duration, CallerError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(limits.default_deadline);
    };
    let text = value.to_str().unwrap_or_default();
    match text.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms).min(limits.max_deadline)),
        _ => Err(CallerError::BadDeadline(text.to_string())),
    }
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;
    use http::HeaderMap;
    use http::HeaderValue;
    use http::Method;
    use wisteriawick_core::fleet::Fleet;
    use wisteriawick_core::fleet::KeyHash;
    use wisteriawick_core::fleet::Service;
    use wisteriawick_core::fleet::ServiceKind;
    use wisteriawick_core::fleet::Workspace;
    use wisteriawick_core::router::RetryRule;

    use super::CallerError;
    use super::RequestParts;
    use super::read_chat;
    use super::read_plain;

    fn fleet() -> Fleet {
        let mut fleet = Fleet::default();
        fleet
            .services
            .insert("jobs".into(), Service::new(ServiceKind::Plain));
        fleet
            .services
            .insert("llm".into(), Service::new(ServiceKind::Model));
        let workspace = Workspace {
            key_hashes: vec![KeyHash::new("secret")],
            weight: 1,
            priority: 0,
            services: vec!["jobs".into(), "llm".into()],
        };
        fleet.workspaces.insert("w".into(), workspace);
        fleet
    }

    fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert("authorization", HeaderValue::from_static("Bearer secret"));
        for (name, value) in pairs {
            headers.insert(*name, HeaderValue::from_static(value));
        }
        headers
    }

    /// Parses a request to the plain service `jobs` and returns when it may be retried.
    fn plain_retry_rule(method: Method, headers: &HeaderMap) -> Result<RetryRule, CallerError> {
        let parts = RequestParts {
            method: &method,
            headers,
            path: "/x",
            body: &Bytes::new(),
        };
        read_plain(&fleet(), "jobs", &parts).map(|req| req.options.retry)
    }

    #[test]
    fn plain_request_is_retried_only_if_keyed_or_idempotent() {
        let none = headers(&[]);
        assert_eq!(
            plain_retry_rule(Method::GET, &none),
            Ok(RetryRule::Idempotent)
        );
        assert_eq!(plain_retry_rule(Method::POST, &none), Ok(RetryRule::Never));
        let keyed = headers(&[("idempotency-key", "k")]);
        assert_eq!(
            plain_retry_rule(Method::POST, &keyed),
            Ok(RetryRule::IfNotRun)
        );
    }

    #[test]
    fn request_with_bad_headers_is_refused() {
        let bad = headers(&[("wisteriawick-deadline-ms", "soon")]);
        let error = plain_retry_rule(Method::GET, &bad).expect_err("the deadline is not a number");
        assert!(error.to_string().contains("whole milliseconds"));
        let empty = headers(&[("idempotency-key", "")]);
        assert_eq!(
            plain_retry_rule(Method::POST, &empty),
            Err(CallerError::BadIdempotencyKey)
        );
        assert_eq!(
            plain_retry_rule(Method::GET, &HeaderMap::new()),
            Err(CallerError::NoKey)
        );
    }

    #[test]
    fn body_that_is_no_chat_request_is_refused() {
        for body in ["", "{", "{}", r#"{"model":"llm","messages":[]}"#] {
            let parts = RequestParts {
                method: &Method::POST,
                headers: &headers(&[]),
                path: "/v1/chat/completions",
                body: &Bytes::from(body),
            };
            let error = read_chat(&fleet(), &parts).expect_err("the body is no chat request");
            assert!(matches!(error, CallerError::NotChat(_)), "{error}");
        }
    }
}
