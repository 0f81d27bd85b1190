//! What the status of an HTTP response tells the caller.

/// Statuses after which callers send a request again that must be executed at most once:
/// request timeout, misdirected request, too many requests, service unavailable.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns whether callers take a status as proof that the request was not executed and
/// will not be.
///
/// A response with such a status must not be relayed on the word of the status alone:
/// servers also send it for requests that they have executed.
///
/// # Example
///
/// ```
/// use wisteriawick_core::response_status::promises_not_run;
///
/// assert!(promises_not_run(503));
/// assert!(!promises_not_run(502));
/// ```
pub fn promises_not_run(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Returns whether a final response may have a status: HTTP defines the classes 2xx to 5xx
/// for them. A response with any other status is none.
///
/// # Example
///
/// ```
/// use wisteriawick_core::response_status::is_final;
///
/// assert!(is_final(418));
/// assert!(!is_final(101) && !is_final(600));
/// ```
pub fn is_final(status: u16) -> bool {
    (200..600).contains(&status)
}
