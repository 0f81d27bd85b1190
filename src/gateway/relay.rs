//! Passes a stream on, and goes on at another runner when one is lost.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use metrics::counter;
use serde_json::json;
use wisteriawick_core::gateway::AttemptOutcome;
use wisteriawick_core::gateway::Lateness;
use wisteriawick_core::gateway::NextStep;
use wisteriawick_core::gateway::Punctuality;
use wisteriawick_core::gateway::Repeat;
use wisteriawick_core::gateway::RequestPlan;
use wisteriawick_core::gateway::RunnerStatus;

use crate::eventlog::EventCategory;
use crate::gateway::answer::Body;
use crate::gateway::answer::answer as respond;
use crate::gateway::attempt;
use crate::gateway::attempt::Ended;
use crate::gateway::attempt::OpenStream;
use crate::gateway::attempt::Opened;
use crate::gateway::attempt::Source;
use crate::gateway::exchange::Exchange;
use crate::gateway::exchange::Try;
use crate::gateway::exchange::next_step;
use crate::gateway::exchange::place;
use crate::gateway::hub::lock;
use crate::telemetry;

/// Time without an event after which a stream goes on elsewhere, while its
/// caller is still there: callers leave after two seconds.
const EVENT_PATIENCE: Duration = Duration::from_millis(1_200);

/// A stream on its way to the caller.
struct Relay {
    exchange: Arc<Exchange>,
    tried: Try,
    /// `None` after the end.
    source: Option<Source>,
    events: u64,
    times: Punctuality,
}

/// Returns the answer that passes a stream on.
pub(crate) fn answer(
    exchange: Arc<Exchange>,
    plan: RequestPlan,
    stream: OpenStream,
) -> Response<Body> {
    let fields = json!({"runner": stream.source.slot.runner.id.as_str()});
    exchange.log(EventCategory::Routine, "stream_began", fields);
    exchange.count_time();
    let route = &exchange.permit.route;
    let times = Punctuality::new(exchange.arrived, route.objective, route.pause);
    let relay = Relay {
        exchange,
        tried: Try {
            plan,
            excluded: Vec::new(),
            is_sent: true,
        },
        source: Some(stream.source),
        events: 0,
        times,
    };
    let events = stream::unfold(relay, |mut relay| async move {
        let event = relay.next().await?;
        Some((event.map(Frame::data), relay))
    });
    respond(
        stream.status,
        stream.headers,
        StreamBody::new(events).boxed_unsync(),
    )
}

impl Relay {
    /// Returns the next event; `None` at the end of the stream.
    async fn next(&mut self) -> Option<std::io::Result<Bytes>> {
        let deadline = self.exchange.deadline;
        let next = self.next_or_resume();
        match tokio::time::timeout_at(deadline.into(), next).await {
            Ok(event) => event,
            Err(_) => {
                self.exchange.log(
                    EventCategory::Failure,
                    "timed_out",
                    json!({"events": self.events}),
                );
                self.exchange.count("timed out");
                self.source = None;
                Some(Err(std::io::ErrorKind::TimedOut.into()))
            }
        }
    }

    async fn next_or_resume(&mut self) -> Option<std::io::Result<Bytes>> {
        loop {
            let source = self.source.as_mut()?;
            match next_of(&self.exchange, source).await {
                Ok(Some(event)) => {
                    self.note_event();
                    return Some(Ok(event));
                }
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(detail) => {
                    if !self.resume(detail).await {
                        self.exchange.count("broken off");
                        self.exchange.log(
                            EventCategory::Failure,
                            "broken_off",
                            json!({"events": self.events}),
                        );
                        return Some(Err(std::io::ErrorKind::ConnectionAborted.into()));
                    }
                }
            }
        }
    }

    fn note_event(&mut self) {
        self.events += 1;
        let cause = match self.times.event(self.exchange.hub.now()) {
            None => return,
            Some(Lateness::FirstEvent) => "first event",
            Some(Lateness::Pause) => "pause",
        };
        counter!(telemetry::LATE_STREAMS, "cause" => cause).increment(1);
        let slot = self.source.as_ref().map(|source| &source.slot);
        let waited = slot.map(|slot| slot.since - self.exchange.arrived);
        let fields = json!({
            "cause": cause,
            "at_event": self.events,
            "first_ms": self.times.first().unwrap_or_default().as_millis() as u64,
            "pause_ms": self.times.longest_pause().as_millis() as u64,
            "placed_ms": waited.unwrap_or_default().as_millis() as u64,
            "runner": slot.map(|slot| slot.runner.id.as_str()),
        });
        self.exchange
            .log(EventCategory::Failure, "stream_late", fields);
    }

    fn finish(&mut self) {
        let Some(mut source) = self.source.take() else {
            return;
        };
        let hub = &self.exchange.hub;
        source.slot.set_status(RunnerStatus::Served);
        if !source.head.closes_connection {
            hub.upstreams
                .keep(hub.now(), source.upstream, source.head.keep_alive);
        }
        lock(&hub.strikes).clear(self.exchange.fingerprint);
        let fields = json!({
            "events": self.events,
            "first_ms": self.times.first().unwrap_or_default().as_millis() as u64,
            "pause_ms": self.times.longest_pause().as_millis() as u64,
            "runner": source.slot.runner.id.as_str(),
        });
        self.exchange
            .log(EventCategory::Routine, "stream_ended", fields);
        self.exchange.count("answered");
    }

    /// Goes on at another runner after the last event; returns whether it did.
    async fn resume(&mut self, detail: String) -> bool {
        let Some(mut source) = self.source.take() else {
            return false;
        };
        source.slot.set_status(RunnerStatus::Failed);
        let last = source.check.last();
        let mut runner = source.slot.runner.id.clone();
        drop(source);
        let mut ended = Ended::new(AttemptOutcome::Unknown, detail);
        loop {
            if self.exchange.permit.route.repeat != Repeat::Resume || last.is_none() {
                return false;
            }
            let step = next_step(&self.exchange, &mut self.tried, &runner, &ended);
            if step != NextStep::Again {
                return false;
            }
            let Ok(slot) = place(&self.exchange, &self.tried).await else {
                return false;
            };
            runner = slot.runner.id.clone();
            match attempt::start(&self.exchange, slot, last).await {
                Opened::Stream(stream) => {
                    let fields = json!({"runner": runner.as_str(), "after": last});
                    self.exchange.log(EventCategory::Failure, "resumed", fields);
                    counter!(telemetry::RESUMED_STREAMS).increment(1);
                    self.source = Some(stream.source);
                    return true;
                }
                Opened::Whole(_) => return false,
                Opened::Ended(next) => ended = next,
            }
        }
    }
}

async fn next_of(exchange: &Exchange, source: &mut Source) -> Result<Option<Bytes>, String> {
    if let Some(first) = source.first.take() {
        return Ok(Some(first));
    }
    let runner = source.slot.runner.id.clone();
    let next = attempt::next_event(&mut source.body, &mut source.splitter, &mut source.check);
    attempt::wait_while_progressing(exchange, &runner, EVENT_PATIENCE, next)
        .await
        .unwrap_or_else(|| Err("no event in time".into()))
}
