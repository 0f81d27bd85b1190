//! Deliberate defects of the requests and responses at stopping entries.

use std::time::Instant;

use http::HeaderValue;
use http::StatusCode;
use http::header::RETRY_AFTER;
use wisteriawick_platform_standin::CallerResponse;

use crate::Defect;
use crate::entry::EntryProcess;
use crate::fixture::Fixture;
use crate::load::RequestKind;
use crate::load::send_request;

/// Alters the response to a request that a stopping entry received, if the run has a defect.
pub(crate) async fn apply(
    fixture: &Fixture,
    entry: &EntryProcess,
    kind: RequestKind,
    id: &str,
    mut response: CallerResponse,
) -> Result<CallerResponse, String> {
    let now = Instant::now();
    if !response.status.is_success() || !entry.had_stop(now, now) {
        return Ok(response);
    }
    match fixture.soak.defect {
        None
        | Some(
            Defect::EndsEarly
            | Defect::ForgetsAcknowledged
            | Defect::HidesEvacuations
            | Defect::HidesNotices,
        ) => {}
        Some(Defect::LosesResponses) => return Err("lost by a defect".into()),
        Some(Defect::BreaksOff) => response.body = None,
        Some(Defect::Lies) => {
            response.status = StatusCode::SERVICE_UNAVAILABLE;
            response.remove_signature();
            response
                .headers
                .insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        Some(Defect::Repeats) => {
            let timeout = fixture.soak.request_timeout;
            // Fails if the entry accepts no connection any more.
            let _ = send_request(entry, kind, kind.path(), id, timeout).await;
        }
    }
    Ok(response)
}
