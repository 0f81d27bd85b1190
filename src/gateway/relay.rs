//! Forwards a stream of events to the caller.
//!
//! If the runner fails or sends no event for too long, the stream is resumed at
//! another runner after the last event, provided that the route allows it.

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
use wisteriawick_core::gateway::LateCause;
use wisteriawick_core::gateway::RetryPolicy;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::gateway::StreamLatency;
use wisteriawick_core::hosting::ListedRunner;

use crate::eventlog::EventCategory;
use crate::gateway::attempt;
use crate::gateway::attempt::AttemptResult;
use crate::gateway::attempt::FailedAttempt;
use crate::gateway::attempt::OpenStream;
use crate::gateway::attempt::StreamError;
use crate::gateway::attempt::StreamSource;
use crate::gateway::break_off::BreakReason;
use crate::gateway::exchange::Exchange;
use crate::gateway::exchange::RequestAttempts;
use crate::gateway::response::Body;
use crate::gateway::response::response;
use crate::gateway::runner_slot::RunnerSlot;
use crate::gateway::slot_request::SlotUse;
use crate::gateway::slot_request::acquire_slot;
use crate::telemetry;

/// Time without an event after which a stream is resumed at another runner. Callers
/// disconnect after two seconds.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A stream that is being forwarded to the caller.
struct StreamRelay {
    exchange: Arc<Exchange>,
    attempts: RequestAttempts,
    /// Where events are read; `None` after the end of the stream.
    source: Option<StreamSource>,
    event_count: u64,
    latency: StreamLatency,
}

/// A stream that ends before its last event.
#[derive(Debug)]
struct BrokenStream {
    /// The runner of its last attempt.
    runner: ListedRunner,
    /// How that attempt ended.
    detail: String,
    /// Why there was no other one.
    reason: BreakReason,
}

/// Returns the response that forwards a stream.
pub(crate) fn stream_response(attempts: RequestAttempts, stream: OpenStream) -> Response<Body> {
    let exchange = Arc::clone(attempts.exchange());
    let runner = stream.source.slot.runner();
    exchange.log_at(EventCategory::Routine, "stream_began", runner, json!({}));
    exchange.record_latency();
    let route = &exchange.route_match.route;
    let latency = StreamLatency::new(exchange.arrived, route.latency_target, route.max_event_gap);
    let relay = StreamRelay {
        exchange,
        attempts,
        source: Some(stream.source),
        event_count: 0,
        latency,
    };
    let events = stream::unfold(relay, |mut relay| async move {
        let event = relay.next().await?;
        Some((event.map(Frame::data), relay))
    });
    response(
        stream.status,
        stream.headers,
        StreamBody::new(events).boxed_unsync(),
    )
}

impl StreamRelay {
    /// Returns the next event; `None` at the end of the stream.
    async fn next(&mut self) -> Option<std::io::Result<Bytes>> {
        let exchange = Arc::clone(&self.exchange);
        let deadline = exchange.deadline.into();
        tokio::select! {
            event = self.next_or_resume() => event,
            () = tokio::time::sleep_until(deadline) => {
                exchange.log(
                    EventCategory::Failure,
                    "timed_out",
                    json!({"events": self.event_count}),
                );
                exchange.count_outcome("timed out");
                self.record_times();
                self.source = None;
                Some(Err(std::io::ErrorKind::TimedOut.into()))
            }
            () = exchange.state.stop.wait_until_finished() => {
                self.log_cut_off();
                exchange.count_outcome("cut off");
                self.source = None;
                Some(Err(std::io::ErrorKind::ConnectionAborted.into()))
            }
        }
    }

    fn log_cut_off(&self) {
        let slot = self.source.as_ref().map(|source| &source.slot);
        let placed = slot.map(|slot| slot.acquired_at - self.exchange.arrived);
        self.exchange.log_cut_off(json!({
            "runner": slot.map(|slot| slot.runner().id.as_str()),
            "placed_ms": placed.unwrap_or_default().as_millis() as u64,
            "first_ms": self.latency.time_to_first_event().unwrap_or_default().as_millis() as u64,
            "events": self.event_count,
        }));
    }

    async fn next_or_resume(&mut self) -> Option<std::io::Result<Bytes>> {
        loop {
            let source = self.source.as_mut()?;
            match read_event(&self.exchange, &self.attempts, source).await {
                Ok(Some(event)) => {
                    self.count_event();
                    return Some(Ok(event));
                }
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(e) => {
                    // It is there, since the error came from it.
                    let source = self.source.take()?;
                    if let Err(broken) = self.resume(source, e).await {
                        self.log_broken_off(&broken);
                        return Some(Err(std::io::ErrorKind::ConnectionAborted.into()));
                    }
                }
            }
        }
    }

    fn log_broken_off(&self, broken: &BrokenStream) {
        self.exchange.count_outcome("broken off");
        let fields = json!({
            "events": self.event_count,
            "detail": broken.detail,
            "reason": broken.reason.to_string(),
        });
        self.exchange
            .log_at(EventCategory::Failure, "broken_off", &broken.runner, fields);
    }

    /// Counts an event, and logs and counts the stream as late if this event made it
    /// late.
    fn count_event(&mut self) {
        self.event_count += 1;
        let exchange = &self.exchange;
        if let Some(source) = &self.source {
            let runner = &source.slot.runner().id;
            exchange
                .state
                .record_sign_of_life(&exchange.service, runner);
        }
        let cause = match self.latency.record_event(exchange.state.now()) {
            None => return,
            Some(LateCause::FirstEvent) => "first event",
            Some(LateCause::EventGap) => "pause",
        };
        counter!(telemetry::LATE_STREAMS, "cause" => cause).increment(1);
        let slot = self.source.as_ref().map(|source| &source.slot);
        let waited = slot.map(|slot| slot.acquired_at - self.exchange.arrived);
        let fields = json!({
            "cause": cause,
            "at_event": self.event_count,
            "first_ms": self.latency.time_to_first_event().unwrap_or_default().as_millis() as u64,
            "pause_ms": self.latency.longest_gap().as_millis() as u64,
            "placed_ms": waited.unwrap_or_default().as_millis() as u64,
        });
        if let Some(slot) = slot {
            self.exchange
                .log_at(EventCategory::Failure, "stream_late", slot.runner(), fields);
        }
    }

    /// Records how long the stream took; returns the time to its first event.
    fn record_times(&self) -> Duration {
        let first = self.latency.time_to_first_event().unwrap_or_default();
        let rest = self.exchange.age().saturating_sub(first);
        self.exchange.record_times(first, rest);
        first
    }

    /// Completes a stream that ended normally and returns its connection to the pool.
    fn finish(&mut self) {
        let Some(mut source) = self.source.take() else {
            return;
        };
        let state = &self.exchange.state;
        source.slot.set_outcome(RunnerOutcome::Served);
        if !source.head.closes_connection && self.exchange.route_match.route.may_run_again() {
            state
                .upstreams
                .put_idle(state.now(), source.upstream, source.head.keep_alive);
        }
        self.exchange.record_sound();
        let first = self.record_times();
        let fields = json!({
            "events": self.event_count,
            "first_ms": first.as_millis() as u64,
            "pause_ms": self.latency.longest_gap().as_millis() as u64,
        });
        let runner = source.slot.runner();
        self.exchange
            .log_at(EventCategory::Routine, "stream_ended", runner, fields);
        self.exchange.count_outcome("answered");
    }

    /// Resumes the stream at another runner after the last event.
    ///
    /// # Errors
    ///
    /// Returns why it was broken off.
    async fn resume(
        &mut self,
        mut source: StreamSource,
        error: StreamError,
    ) -> Result<(), BrokenStream> {
        source.slot.set_outcome(RunnerOutcome::Failed);
        let last = source.sequence.last();
        let mut runner = source.slot.runner().clone();
        drop(source);
        let mut failed = FailedAttempt::from(error);
        loop {
            let slot = match self.slot_after(&runner, &failed, last).await {
                Ok(slot) => slot,
                Err(reason) => {
                    return Err(BrokenStream {
                        runner,
                        detail: failed.detail,
                        reason,
                    });
                }
            };
            runner = slot.runner().clone();
            match attempt::send(&self.exchange, &mut self.attempts, slot, last).await {
                AttemptResult::Stream(stream) => {
                    let fields = json!({"after": last});
                    self.exchange
                        .log_at(EventCategory::Failure, "resumed", &runner, fields);
                    counter!(telemetry::RESUMED_STREAMS).increment(1);
                    self.source = Some(stream.source);
                    return Ok(());
                }
                AttemptResult::Buffered(_) => {
                    return Err(BrokenStream {
                        runner,
                        detail: failed.detail,
                        reason: BreakReason::NoStream,
                    });
                }
                AttemptResult::Failed(next) => failed = next,
            }
        }
    }

    /// Records an attempt that failed and returns a slot at another runner.
    ///
    /// # Errors
    ///
    /// Returns why the stream is not resumed there.
    async fn slot_after(
        &mut self,
        runner: &ListedRunner,
        failed: &FailedAttempt,
        last: Option<u64>,
    ) -> Result<RunnerSlot, BreakReason> {
        let probe = self.exchange.record_failure(runner, failed);
        if self.exchange.route_match.route.retry_policy != RetryPolicy::Resume {
            return Err(BreakReason::RouteNeverResumes);
        }
        if last.is_none() {
            return Err(BreakReason::NoEventYet);
        }
        self.attempts.fail(runner, failed);
        if let Some(limit) = self.attempts.retry().limit {
            return Err(BreakReason::Limit(limit));
        }
        if let Some(block) = failed.block {
            return Err(BreakReason::Blocked(block));
        }
        if let Some(probe) = probe {
            probe.wait().await;
        }
        let slot_use = SlotUse::Resume {
            last_event_at: self.latency.last_at(),
        };
        Ok(acquire_slot(&self.exchange, &self.attempts, slot_use).await?)
    }
}

async fn read_event(
    exchange: &Exchange,
    attempts: &RequestAttempts,
    source: &mut StreamSource,
) -> Result<Option<Bytes>, StreamError> {
    if let Some(first) = source.first.take() {
        return Ok(Some(first));
    }
    let runner = source.slot.runner().id.clone();
    let next = attempt::next_event(&mut source.body, &mut source.splitter, &mut source.sequence);
    attempt::wait_unless_movable(exchange, attempts, &runner, EVENT_TIMEOUT, next)
        .await
        .unwrap_or_else(|| Err(StreamError::new("no event in time")))
}
