//! The task that owns the gate.

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

/// Attempts that may run at a time until a ticket says how many.
const DEFAULT_MAX_IN_FLIGHT: u32 = 32;
/// Messages that wait for the task.
const QUEUE: usize = 1_024;
/// How long the answer of an ended attempt is kept for a recovery.
const KEEP_ANSWER: Duration = Duration::from_secs(60);
/// Longest wait without a look at the deadlines.
const IDLE: Duration = Duration::from_secs(3_600);

/// Whether an offered attempt may start.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// It may, until the token is cancelled.
    Start(CancellationToken),
    /// It did not and will not run.
    Refuse(Refusal),
    /// It is a copy of an attempt that came before, whatever became of that.
    Copy,
}

/// The answer of an attempt, once it has one.
pub(crate) type Answer = watch::Receiver<Option<Arc<Reply>>>;

/// What an entry learns of an attempt that it asks about.
type Told = (RunVerdict, Option<Answer>);

/// An attempt that an entry offers.
#[derive(Debug)]
pub(crate) struct Offered {
    pub(crate) offer: Offer,
    pub(crate) from: ProcessId,
    pub(crate) fingerprint: u128,
}

/// An entry's question about an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    pub(crate) attempt: AttemptId,
    pub(crate) meant_for: Incarnation,
    pub(crate) remaining: Duration,
    /// Whether the attempt goes on.
    pub(crate) recover: bool,
}

/// How an attempt ended at the endpoint.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) attempt: AttemptId,
    /// Kept for a recovery; `None` for streams.
    pub(crate) answer: Option<Arc<Reply>>,
    /// Whether the endpoint closed the connection without an answer.
    pub(crate) died: bool,
}

enum Message {
    Offer(Offered, oneshot::Sender<Verdict>),
    Ask(Question, oneshot::Sender<Told>),
    Ended(Ended),
    Drain(oneshot::Sender<()>),
    Limit(u32),
    EndpointUp(bool),
}

/// A handle to the task.
#[derive(Clone, Debug)]
pub(crate) struct GateHandle {
    tx: mpsc::Sender<Message>,
}

impl GateHandle {
    pub(crate) fn spawn(
        node: Arc<Node>,
        board: LoadTracker,
        service: ServiceId,
        cx: CancellationToken,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE);
        let task = GateTask {
            gate: Gate::new(node.incarnation, DEFAULT_MAX_IN_FLIGHT),
            node,
            board,
            service,
            attempts: HashMap::default(),
            offers: HashMap::default(),
            asks: Vec::new(),
            drains: Vec::new(),
        };
        tokio::spawn(task.run(rx, cx));
        Self { tx }
    }

    /// Offers an attempt and waits for the verdict.
    pub(crate) async fn offer(&self, offered: Offered) -> Verdict {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.send(Message::Offer(offered, tx)).await;
        match (sent, rx.await) {
            (Ok(()), Ok(verdict)) => verdict,
            _ => Verdict::Refuse(Refusal::Leaving),
        }
    }

    /// Asks what became of an attempt, with its answer if there will be one.
    pub(crate) async fn ask(&self, question: Question) -> Told {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.send(Message::Ask(question, tx)).await;
        match (sent, rx.await) {
            (Ok(()), Ok(answer)) => answer,
            _ => (RunVerdict::MayHaveRun, None),
        }
    }

    pub(crate) async fn ended(&self, ended: Ended) {
        let _ = self.tx.send(Message::Ended(ended)).await;
    }

    /// Refuses new work and waits until nothing runs.
    pub(crate) async fn drain(&self) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Message::Drain(tx)).await.is_ok() {
            let _ = rx.await;
        }
    }

    pub(crate) async fn limit(&self, max_in_flight: u32) {
        let _ = self.tx.send(Message::Limit(max_in_flight)).await;
    }

    pub(crate) async fn endpoint_up(&self, up: bool) {
        let _ = self.tx.send(Message::EndpointUp(up)).await;
    }
}

struct Held {
    from: ProcessId,
    fingerprint: u128,
    suspect: bool,
    abort: CancellationToken,
    answer: watch::Sender<Option<Arc<Reply>>>,
    ended_at: Option<Instant>,
}

struct GateTask {
    gate: Gate,
    node: Arc<Node>,
    board: LoadTracker,
    service: ServiceId,
    attempts: HashMap<AttemptId, Held>,
    offers: HashMap<AttemptId, oneshot::Sender<Verdict>>,
    asks: Vec<(AttemptId, oneshot::Sender<Told>)>,
    drains: Vec<oneshot::Sender<()>>,
}

impl GateTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>, cx: CancellationToken) {
        loop {
            self.publish();
            let now = self.node.clock.now();
            let wait = self
                .gate
                .next_deadline()
                .map_or(IDLE, |at| at.saturating_duration_since(now));
            let message = tokio::select! {
                message = rx.recv() => message,
                () = tokio::time::sleep(wait) => None,
                () = cx.cancelled() => return,
            };
            match message {
                Some(message) => self.take(message),
                None => self.handle(Input::Tick),
            }
        }
    }

    fn publish(&self) {
        let gate = &self.gate;
        self.board.set(
            gate.in_flight(),
            gate.max_in_flight(),
            gate.is_endpoint_up(),
        );
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Offer(offered, reply) => self.offer(offered, reply),
            Message::Ask(question, reply) => {
                self.asks.push((question.attempt, reply));
                let Question {
                    attempt,
                    meant_for,
                    remaining,
                    recover,
                } = question;
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
            Message::Ended(ended) => self.ended(ended),
            Message::Drain(done) => {
                self.drains.push(done);
                self.handle(Input::Drain);
                if self.gate.in_flight() == 0 {
                    self.drained();
                }
            }
            Message::Limit(max) => self.handle(Input::Limit(max)),
            Message::EndpointUp(up) if up == self.gate.is_endpoint_up() => {}
            Message::EndpointUp(up) => {
                self.handle(Input::EndpointUp(up));
                self.publish();
                self.node.trigger_heartbeats();
            }
        }
    }

    fn offer(&mut self, offered: Offered, reply: oneshot::Sender<Verdict>) {
        let Offered {
            offer,
            from,
            fingerprint,
        } = offered;
        let attempt = offer.attempt;
        if self.attempts.contains_key(&attempt) {
            let _ = reply.send(Verdict::Copy);
            return;
        }
        let held = Held {
            from,
            fingerprint,
            suspect: offer.suspect,
            abort: CancellationToken::new(),
            answer: watch::Sender::new(None),
            ended_at: None,
        };
        self.attempts.insert(attempt, held);
        self.offers.insert(attempt, reply);
        self.handle(Input::Offer(offer));
        // The gate is silent about a copy of what started before.
        self.reply(attempt, Verdict::Copy);
    }

    fn handle(&mut self, input: Input) {
        let now = self.node.clock.now();
        let mut out = Vec::new();
        self.gate.handle(now, input, &mut out);
        for output in out {
            self.carry_out(output);
        }
        self.attempts.retain(|_, held| {
            held.ended_at
                .is_none_or(|at| now.saturating_duration_since(at) < KEEP_ANSWER)
        });
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Start(attempt) => {
                let Some(held) = self.attempts.get(&attempt) else {
                    return;
                };
                self.board.started(&held.from);
                self.reply(attempt, Verdict::Start(held.abort.clone()));
            }
            Output::Refuse(attempt, refusal) => {
                self.attempts.remove(&attempt);
                self.reply(attempt, Verdict::Refuse(refusal));
            }
            Output::Abort(attempt) => {
                if let Some(held) = self.attempts.get(&attempt) {
                    held.abort.cancel();
                }
            }
            Output::Verdict(attempt, verdict) => self.answer_ask(attempt, verdict),
            Output::Drained => self.drained(),
        }
    }

    fn reply(&mut self, attempt: AttemptId, verdict: Verdict) {
        if let Some(reply) = self.offers.remove(&attempt) {
            // The entry may have gone; the attempt's task then ends it.
            let _ = reply.send(verdict);
        }
    }

    fn answer_ask(&mut self, attempt: AttemptId, verdict: RunVerdict) {
        let Some(index) = self.asks.iter().position(|(asked, _)| *asked == attempt) else {
            return;
        };
        let (_, reply) = self.asks.swap_remove(index);
        let answer = match verdict {
            RunVerdict::NotRun => None,
            RunVerdict::MayHaveRun => self.attempts.get(&attempt).map(|h| h.answer.subscribe()),
        };
        let _ = reply.send((verdict, answer));
    }

    fn drained(&mut self) {
        for done in self.drains.drain(..) {
            let _ = done.send(());
        }
    }

    fn ended(&mut self, ended: Ended) {
        let Ended {
            attempt,
            answer,
            died,
        } = ended;
        let now = self.node.clock.now();
        if let Some(held) = self.attempts.get_mut(&attempt) {
            held.ended_at = Some(now);
            held.answer.send_replace(answer);
            self.board.ended(&held.from);
            let result = if died { "died" } else { "ended" };
            counter!(ATTEMPTS, "service" => self.service.to_string(), "result" => result)
                .increment(1);
            if died {
                let death = DeathWire {
                    fingerprint: held.fingerprint,
                    runner: self.node.name.to_string(),
                    service: self.service.to_string(),
                    suspect: held.suspect,
                };
                self.board.died(now, death);
                self.node.timeline.record(EventKind::EndpointDied(attempt));
                self.node.trigger_heartbeats();
            }
        }
        self.handle(Input::Finished(attempt));
    }
}
