//! The task that owns the agent's [`Gate`], and a handle to send it messages.
//!
//! The gate decides which attempts may start. The task executes its outputs, keeps
//! the replies of ended attempts for entries that lost their link, and publishes the
//! load for heartbeats.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::gate::Gate;
use wisteriawick_core::gate::Input;
use wisteriawick_core::gate::Offer;
use wisteriawick_core::gate::Output;
use wisteriawick_core::gate::Refusal;
use wisteriawick_core::gate::RunVerdict;
use wisteriawick_core::ids::AttemptId;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::ServiceId;

use crate::link::DeathWire;
use crate::link::Reply;
use crate::node::LoadTracker;
use crate::node::Node;
use crate::telemetry::ATTEMPTS;

/// Limit on attempts in flight until a ticket with a limit for the service arrives.
const DEFAULT_MAX_IN_FLIGHT: u32 = 32;
/// Capacity of the task's message queue.
const QUEUE_CAPACITY: usize = 1_024;
/// How long the reply of an ended attempt is kept for a recovery.
const REPLY_RETENTION: Duration = Duration::from_secs(60);
/// Longest wait for a message while the gate has no deadline.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// Whether an offered attempt may start.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// It may run until the token is cancelled.
    Start(CancellationToken),
    /// It did not and will not run.
    Refuse(Refusal),
    /// It is a copy of an attempt that was offered before, however that one ended.
    Copy,
}

/// Receives the reply of an attempt; `None` while the attempt runs.
pub(crate) type ReplyReceiver = watch::Receiver<Option<Arc<Reply>>>;

/// The verdict on a queried attempt, with its reply if one is kept or will follow.
type QueryResult = (RunVerdict, Option<ReplyReceiver>);

/// An attempt that an entry asks the agent to run.
#[derive(Debug)]
pub(crate) struct OfferedAttempt {
    pub(crate) offer: Offer,
    /// The entry that sent the attempt.
    pub(crate) from: ProcessId,
    /// Hash of the request.
    pub(crate) fingerprint: u128,
}

/// A cancellation or a recovery of an attempt by an entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptQuery {
    pub(crate) attempt: AttemptId,
    /// The incarnation of the agent to which the attempt was sent.
    pub(crate) meant_for: Incarnation,
    /// Time until the attempt's deadline.
    pub(crate) remaining: Duration,
    /// True for a recovery, false for a cancellation, which stops the attempt.
    pub(crate) recover: bool,
}

/// How an attempt ended at the endpoint.
#[derive(Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) attempt: AttemptId,
    /// Kept for a recovery. For a stream it is the end only, without the events.
    pub(crate) reply: Option<Arc<Reply>>,
    /// Whether the endpoint died while it ran the attempt.
    pub(crate) died: bool,
}

enum Message {
    Offer(OfferedAttempt, oneshot::Sender<Verdict>),
    Query(AttemptQuery, oneshot::Sender<QueryResult>),
    Ended(EndedAttempt),
    Drain(oneshot::Sender<()>),
    StopAttempts,
    Limit(u32),
    EndpointUp(bool),
}

/// A handle to the gate's task.
#[derive(Clone, Debug)]
pub(crate) struct GateHandle {
    tx: mpsc::Sender<Message>,
}

impl GateHandle {
    pub(crate) fn spawn(
        node: Arc<Node>,
        load: LoadTracker,
        service: ServiceId,
        cx: CancellationToken,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let task = GateTask {
            gate: Gate::new(node.incarnation, DEFAULT_MAX_IN_FLIGHT),
            node,
            load,
            service,
            attempts: HashMap::default(),
            pending_offers: HashMap::default(),
            pending_queries: Vec::new(),
            drain_waiters: Vec::new(),
        };
        tokio::spawn(task.run(rx, cx));
        Self { tx }
    }

    /// Offers an attempt and waits for the verdict. If the task has stopped, the
    /// attempt is refused.
    pub(crate) async fn offer(&self, offered: OfferedAttempt) -> Verdict {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.send(Message::Offer(offered, tx)).await;
        match (sent, rx.await) {
            (Ok(()), Ok(verdict)) => verdict,
            _ => Verdict::Refuse(Refusal::Leaving),
        }
    }

    /// Cancels or recovers an attempt. If the task has stopped, the attempt may have run.
    pub(crate) async fn query(&self, query: AttemptQuery) -> QueryResult {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.send(Message::Query(query, tx)).await;
        match (sent, rx.await) {
            (Ok(()), Ok(result)) => result,
            _ => (RunVerdict::MayHaveRun, None),
        }
    }

    /// Reports that an attempt ended at the endpoint.
    pub(crate) async fn finish_attempt(&self, ended: EndedAttempt) {
        let _ = self.tx.send(Message::Ended(ended)).await;
    }

    /// Refuses new attempts from now on and waits until none runs.
    pub(crate) async fn drain(&self) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Message::Drain(tx)).await.is_ok() {
            let _ = rx.await;
        }
    }

    /// Stops the running attempts.
    pub(crate) async fn stop_attempts(&self) {
        let _ = self.tx.send(Message::StopAttempts).await;
    }

    /// Sets the maximum number of attempts in flight.
    pub(crate) async fn set_limit(&self, max_in_flight: u32) {
        let _ = self.tx.send(Message::Limit(max_in_flight)).await;
    }

    /// Reports whether the endpoint responds.
    pub(crate) async fn set_endpoint_up(&self, up: bool) {
        let _ = self.tx.send(Message::EndpointUp(up)).await;
    }
}

/// What the task keeps of an attempt until some time after its end.
struct AttemptRecord {
    /// The entry that offered it.
    from: ProcessId,
    fingerprint: u128,
    /// Whether its request is a poison suspect.
    suspect: bool,
    /// Stops the attempt.
    abort: CancellationToken,
    reply: watch::Sender<Option<Arc<Reply>>>,
    /// `None` while it runs.
    ended_at: Option<Instant>,
}

struct GateTask {
    gate: Gate,
    node: Arc<Node>,
    load: LoadTracker,
    service: ServiceId,
    attempts: HashMap<AttemptId, AttemptRecord>,
    /// Offers that wait for the gate's verdict.
    pending_offers: HashMap<AttemptId, oneshot::Sender<Verdict>>,
    /// Queries that wait for the gate's verdict.
    pending_queries: Vec<(AttemptId, oneshot::Sender<QueryResult>)>,
    /// Callers that wait until no attempt runs.
    drain_waiters: Vec<oneshot::Sender<()>>,
}

impl GateTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>, cx: CancellationToken) {
        loop {
            self.publish_load();
            let now = self.node.clock.now();
            let wait = self
                .gate
                .next_deadline()
                .map_or(MAX_IDLE_WAIT, |at| at.saturating_duration_since(now));
            let message = tokio::select! {
                message = rx.recv() => message,
                () = tokio::time::sleep(wait) => None,
                () = cx.cancelled() => return,
            };
            match message {
                Some(message) => self.handle_message(message),
                None => self.handle(Input::Tick),
            }
        }
    }

    fn publish_load(&self) {
        let gate = &self.gate;
        self.load.set_gate_state(
            gate.in_flight(),
            gate.max_in_flight(),
            gate.is_endpoint_up(),
        );
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Offer(offered, verdict_tx) => self.handle_offer(offered, verdict_tx),
            Message::Query(query, result_tx) => {
                self.pending_queries.push((query.attempt, result_tx));
                let AttemptQuery {
                    attempt,
                    meant_for,
                    remaining,
                    recover,
                } = query;
                let input = match recover {
                    true => Input::Recover {
                        attempt,
                        meant_for,
                        remaining,
                    },
                    false => Input::Cancel {
                        attempt,
                        meant_for,
                        remaining,
                    },
                };
                self.handle(input);
            }
            Message::Ended(ended) => self.handle_end(ended),
            Message::Drain(done) => {
                self.drain_waiters.push(done);
                self.handle(Input::Drain);
                if self.gate.in_flight() == 0 {
                    self.notify_drained();
                }
            }
            Message::StopAttempts => self.stop_attempts(),
            Message::Limit(max) => self.handle(Input::Limit(max)),
            Message::EndpointUp(up) if up == self.gate.is_endpoint_up() => {}
            Message::EndpointUp(up) => {
                self.handle(Input::EndpointUp(up));
                self.publish_load();
                self.node.trigger_heartbeats();
            }
        }
    }

    fn handle_offer(&mut self, offered: OfferedAttempt, verdict_tx: oneshot::Sender<Verdict>) {
        let OfferedAttempt {
            offer,
            from,
            fingerprint,
        } = offered;
        let attempt = offer.attempt;
        if self.attempts.contains_key(&attempt) {
            let _ = verdict_tx.send(Verdict::Copy);
            return;
        }
        let record = AttemptRecord {
            from,
            fingerprint,
            suspect: offer.suspect,
            abort: CancellationToken::new(),
            reply: watch::Sender::new(None),
            ended_at: None,
        };
        self.attempts.insert(attempt, record);
        self.pending_offers.insert(attempt, verdict_tx);
        self.handle(Input::Offer(offer));
        // The gate gives no verdict on a copy of an attempt that started before.
        self.send_verdict(attempt, Verdict::Copy);
    }

    fn handle(&mut self, input: Input) {
        let now = self.node.clock.now();
        let mut out = Vec::new();
        self.gate.handle(now, input, &mut out);
        for output in out {
            self.execute(output);
        }
        self.attempts.retain(|_, record| {
            record
                .ended_at
                .is_none_or(|at| now.saturating_duration_since(at) < REPLY_RETENTION)
        });
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Start(attempt) => {
                let Some(record) = self.attempts.get(&attempt) else {
                    return;
                };
                self.load.attempt_started(&record.from);
                self.send_verdict(attempt, Verdict::Start(record.abort.clone()));
            }
            Output::Refuse(attempt, refusal) => {
                self.attempts.remove(&attempt);
                self.send_verdict(attempt, Verdict::Refuse(refusal));
            }
            Output::Abort(attempt) => {
                if let Some(record) = self.attempts.get(&attempt) {
                    record.abort.cancel();
                }
            }
            Output::Verdict(attempt, verdict) => self.reply_to_query(attempt, verdict),
            Output::Drained => self.notify_drained(),
        }
    }

    fn send_verdict(&mut self, attempt: AttemptId, verdict: Verdict) {
        if let Some(verdict_tx) = self.pending_offers.remove(&attempt) {
            // The attempt's task receives the verdict even if the entry's link is lost, and
            // ends the attempt.
            let _ = verdict_tx.send(verdict);
        }
    }

    fn reply_to_query(&mut self, attempt: AttemptId, verdict: RunVerdict) {
        let Some(index) = self
            .pending_queries
            .iter()
            .position(|(queried, _)| *queried == attempt)
        else {
            return;
        };
        let (_, result_tx) = self.pending_queries.swap_remove(index);
        let reply = match verdict {
            RunVerdict::NotRun => None,
            RunVerdict::MayHaveRun => self
                .attempts
                .get(&attempt)
                .map(|record| record.reply.subscribe()),
        };
        let _ = result_tx.send((verdict, reply));
    }

    fn notify_drained(&mut self) {
        for done in self.drain_waiters.drain(..) {
            let _ = done.send(());
        }
    }

    fn stop_attempts(&self) {
        let running = self.attempts.values().filter(|a| a.ended_at.is_none());
        for attempt in running {
            attempt.abort.cancel();
        }
    }

    fn handle_end(&mut self, ended: EndedAttempt) {
        let EndedAttempt {
            attempt,
            reply,
            died,
        } = ended;
        let now = self.node.clock.now();
        if let Some(record) = self.attempts.get_mut(&attempt) {
            record.ended_at = Some(now);
            record.reply.send_replace(reply);
            self.load.attempt_ended(&record.from);
            let result = if died { "died" } else { "ended" };
            counter!(ATTEMPTS, "service" => self.service.to_string(), "result" => result)
                .increment(1);
            if died {
                let death = DeathWire {
                    fingerprint: record.fingerprint,
                    runner: self.node.name.to_string(),
                    service: self.service.to_string(),
                    suspect: record.suspect,
                };
                self.load.record_death(now, death);
                self.node.timeline.record(EventKind::EndpointDied(attempt));
                self.node.trigger_heartbeats();
            }
        }
        self.handle(Input::Finished(attempt));
    }
}
