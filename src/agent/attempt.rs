//! One attempt at the endpoint: admission, the call, the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::gate::Offer;
use wisteriawick_core::ids::AttemptId;
use wisteriawick_core::ids::Incarnation;

use crate::agent::Endpoint;
use crate::agent::endpoint::CallError;
use crate::agent::gate_task::Ended;
use crate::agent::gate_task::GateHandle;
use crate::agent::gate_task::Offered;
use crate::agent::gate_task::Verdict;
use crate::link::AcceptedLink;
use crate::link::AttemptWire;
use crate::link::FrameWriter;
use crate::link::RefusalWire;
use crate::link::Reply;
use crate::node::Node;

/// Largest whole answer, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Header with the number of events that the caller has already.
const RESUME_HEADER: &str = "x-resume-events";
/// Header with the fencing number of a keyed call.
const TERM_HEADER: &str = "x-fencing-number";
/// The event that ends a stream of chat completions.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// How the endpoint's part ended.
enum Served {
    /// The whole answer, in one piece.
    Whole(Reply),
    /// A stream with its end, after this many events.
    Stream(u64),
    /// Nothing was sent to the endpoint.
    NotSent,
    /// The endpoint closed the connection without a whole answer.
    Broken(String),
    /// The entry gave the attempt up.
    Aborted,
}

/// Runs an attempt and writes its answer.
pub(crate) async fn run(
    node: &Arc<Node>,
    gate: &GateHandle,
    endpoint: &Endpoint,
    from: &AcceptedLink,
    wire: AttemptWire,
    mut tx: FrameWriter,
) {
    let attempt = AttemptId(wire.attempt);
    let delay = from.delay(node.clock.now(), wire.sent_us);
    let remaining = Duration::from_micros(wire.remaining_us).saturating_sub(delay);
    let offered = Offered {
        offer: Offer {
            attempt,
            meant_for: Incarnation(wire.meant_for),
            remaining,
            suspect: wire.suspect,
        },
        from: from.peer.clone(),
        fingerprint: wire.fingerprint,
    };
    let reply = match gate.offer(offered).await {
        Verdict::Refuse(refusal) => Reply::Refused(refusal.into()),
        Verdict::Copy => Reply::Failed("this attempt came before".into()),
        Verdict::Start(abort) => serve(gate, endpoint, attempt, &wire, &abort, &mut tx).await,
    };
    // The entry may be gone; a recovery finds the answer at the gate.
    let _ = tx.write(&reply).await;
    tx.finish();
    // A shutdown waits for this task, and so until the answer has arrived.
    tx.stopped().await;
}

async fn serve(
    gate: &GateHandle,
    endpoint: &Endpoint,
    attempt: AttemptId,
    wire: &AttemptWire,
    abort: &CancellationToken,
    tx: &mut FrameWriter,
) -> Reply {
    let served = tokio::select! {
        served = call(endpoint, wire, tx) => served,
        () = abort.cancelled() => Served::Aborted,
    };
    let died = matches!(served, Served::Broken(_));
    if matches!(served, Served::NotSent | Served::Broken(_)) {
        gate.endpoint_up(endpoint.accepts().await).await;
    }
    let reply = match served {
        Served::Whole(reply) => reply,
        Served::Stream(events) => Reply::EndOfStream(events),
        Served::NotSent => Reply::Refused(RefusalWire::EndpointDown),
        Served::Broken(message) => Reply::Died(message),
        Served::Aborted => Reply::Failed("the entry gave the attempt up".into()),
    };
    let answer = Some(Arc::new(reply.clone()));
    let ended = Ended {
        attempt,
        answer,
        died,
    };
    gate.ended(ended).await;
    reply
}

async fn call(endpoint: &Endpoint, wire: &AttemptWire, tx: &mut FrameWriter) -> Served {
    let req = match request(endpoint, wire) {
        Ok(req) => req,
        Err(e) => return Served::Whole(bad_request(&e.to_string())),
    };
    let (res, lease) = match endpoint.call(req).await {
        Ok(answered) => answered,
        Err(CallError::NotSent(_)) => return Served::NotSent,
        Err(CallError::Broken(message)) => return Served::Broken(message),
    };
    let served = if wire.stream && res.status().is_success() {
        relay_events(res, wire.resume_from, tx).await
    } else {
        read_whole(res).await
    };
    if matches!(served, Served::Whole(_) | Served::Stream(_)) {
        endpoint.recycle(lease);
    }
    served
}

fn request(endpoint: &Endpoint, wire: &AttemptWire) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut req = Request::builder()
        .method(wire.method.as_str())
        .uri(wire.path.as_str())
        .header(http::header::HOST, endpoint.address().to_string());
    if !wire.content_type.is_empty() {
        req = req.header(http::header::CONTENT_TYPE, wire.content_type.as_str());
    }
    if wire.resume_from > 0 {
        req = req.header(RESUME_HEADER, wire.resume_from);
    }
    if let Some(term) = wire.term {
        req = req.header(TERM_HEADER, term);
    }
    req.body(Full::new(wire.body.clone()))
}

fn bad_request(message: &str) -> Reply {
    Reply::Response {
        status: 400,
        content_type: "text/plain".into(),
        body: Bytes::from(format!("{message}; correct the path or the headers\n")),
    }
}

async fn read_whole(res: Response<Incoming>) -> Served {
    let status = res.status().as_u16();
    let content_type = res
        .headers()
        .get(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string();
    let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    match body {
        Ok(body) => Served::Whole(Reply::Response {
            status,
            content_type,
            body: body.to_bytes(),
        }),
        Err(e) => Served::Broken(e.to_string()),
    }
}

/// Relays the events of a stream as they come, several in a frame.
async fn relay_events(res: Response<Incoming>, resume_from: u64, tx: &mut FrameWriter) -> Served {
    if tx.write(&Reply::Head).await.is_err() {
        return Served::Aborted;
    }
    let mut body = res.into_body();
    let mut buf = BytesMut::new();
    let mut position = resume_from;
    let stopped = tx.stopped();
    tokio::pin!(stopped);
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = &mut stopped => return Served::Aborted,
        };
        let data = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(e)) => return Served::Broken(e.to_string()),
            None => return Served::Broken("the stream has no end".into()),
        };
        buf.extend_from_slice(&data);
        let (events, done) = split_events(&mut buf);
        if !events.is_empty() {
            let count = events.len() as u64;
            if tx.write(&Reply::Events(position, events)).await.is_err() {
                return Served::Aborted;
            }
            position += count;
        }
        if done {
            drain(body).await;
            return Served::Stream(position);
        }
        if buf.len() > MAX_EVENT_BYTES {
            return Served::Broken("an event is too large".into());
        }
    }
}

/// Reads the little that follows the last event, so the connection can be kept.
async fn drain(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// Takes the whole events off the front; returns them, and whether the end came.
fn split_events(buf: &mut BytesMut) -> (Vec<Bytes>, bool) {
    let mut events = Vec::new();
    while let Some(at) = find_boundary(buf) {
        let event = buf.split_to(at + 2).freeze();
        if event.starts_with(DONE_EVENT) {
            return (events, true);
        }
        events.push(event);
    }
    (events, false)
}

fn find_boundary(buf: &[u8]) -> Option<usize> {
    buf.windows(2).position(|pair| pair == b"\n\n")
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;
    use bytes::BytesMut;

    use super::request;
    use super::split_events;
    use crate::agent::Endpoint;
    use crate::link::AttemptWire;

    #[test]
    fn an_endpoint_that_checks_fencing_gets_the_term() {
        let address = "127.0.0.1:1".parse().expect("an address");
        let mut wire = AttemptWire {
            attempt: 1,
            meant_for: 1,
            remaining_us: 1,
            sent_us: 0,
            suspect: false,
            stream: false,
            resume_from: 0,
            term: Some(7),
            fingerprint: 1,
            method: "POST".into(),
            path: "/bookings".into(),
            content_type: String::new(),
            body: Bytes::new(),
        };
        let endpoint = Endpoint::new(address);
        let req = request(&endpoint, &wire).expect("a request");
        assert_eq!(req.headers()[super::TERM_HEADER], "7");
        wire.term = None;
        let req = request(&endpoint, &wire).expect("a request");
        assert!(!req.headers().contains_key(super::TERM_HEADER));
    }

    #[test]
    fn events_are_split_wherever_the_bytes_are_cut() {
        let text = b"data: a\n\ndata: b\n\ndata: [DONE]\n\n";
        for cut in 0..text.len() {
            let mut buf = BytesMut::from(&text[..cut]);
            let (mut events, mut done) = split_events(&mut buf);
            buf.extend_from_slice(&text[cut..]);
            if !done {
                let (rest, end) = split_events(&mut buf);
                events.extend(rest);
                done = end;
            }
            assert!(done);
            assert_eq!(events, [&b"data: a\n\n"[..], &b"data: b\n\n"[..]]);
        }
    }

    #[test]
    fn a_stream_without_its_end_is_not_done() {
        let mut buf = BytesMut::from(&b"data: a\n\ndata: [DO"[..]);
        let (events, done) = split_events(&mut buf);
        assert_eq!(events.len(), 1);
        assert!(!done);
    }
}
