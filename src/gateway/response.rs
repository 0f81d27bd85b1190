//! Responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use wisteriawick_platform::own_response_headers;

/// The body of a response. An error aborts the connection, so that a truncated
/// response never looks complete.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Returns a body with known content.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with a status, headers and body.
pub(crate) fn response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

/// Returns a response of the gateway itself, without a runner's signature.
pub(crate) fn local_reply(
    request_id: &str,
    status: StatusCode,
    retry_after: Option<Duration>,
    reason: &'static str,
) -> Response<Body> {
    let headers = own_response_headers(request_id, retry_after);
    response(
        status,
        headers,
        full_body(Bytes::from_static(reason.as_bytes())),
    )
}
