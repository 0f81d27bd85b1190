//! The task of one caller's request: drives the call core.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use metrics::counter;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wisteriawick_core::call::Call;
use wisteriawick_core::call::CallKind;
use wisteriawick_core::call::Failure;
use wisteriawick_core::call::Input;
use wisteriawick_core::call::Outcome;
use wisteriawick_core::call::Output;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::ids::AttemptId;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::RunnerId;
use wisteriawick_core::ids::Term;
use wisteriawick_core::ledger::CallKey;
use wisteriawick_core::ledger::Claim;
use wisteriawick_core::ledger::ClaimId;
use wisteriawick_core::ledger::RecordedResponse;
use wisteriawick_core::router::Request;
use wisteriawick_core::router::RequestId;
use wisteriawick_core::time::SharedClock;
use wisteriawick_core::time::unix_seconds;

use crate::entry::EntryContext;
use crate::entry::caller::CallerRequest;
use crate::link::AttemptWire;
use crate::link::FrameReader;
use crate::link::Link;
use crate::link::OutcomeQuery;
use crate::link::Reply;
use crate::link::StreamRequest;
use crate::link::to_micros;
use crate::telemetry::EVENTS_RELAYED;
use crate::telemetry::RESPONSES;
use crate::telemetry::STRAY_FRAMES;

/// Events for the call that wait.
const QUEUE: usize = 32;
/// Events of a stream that wait for a slow caller.
const STREAM_QUEUE: usize = 64;
/// How long a keyed attempt may still bring its answer after its deadline.
const LATE_ANSWER: Duration = Duration::from_secs(60);
/// Pause before a lost attempt is asked for again.
const RECOVER_PAUSE: Duration = Duration::from_millis(100);

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// The beginning of the answer to a caller.
#[derive(Debug)]
pub(crate) enum CallerAnswer {
    /// The whole answer.
    Whole {
        answer: RecordedResponse,
        replayed: bool,
    },
    /// A stream; it is whole only if it ends with [`StreamItem::End`].
    Stream(mpsc::Receiver<StreamItem>),
    /// No whole answer.
    Failed(Failure, Outcome),
}

/// A part of a streamed answer.
#[derive(Debug)]
pub(crate) enum StreamItem {
    /// One or more whole events.
    Events(Bytes),
    /// The stream is whole.
    End,
    /// The stream is cut off.
    Failed(Failure, Outcome),
}

/// Starts the task; the answer comes by the receiver, and dropping it tells
/// that the caller is gone.
pub(crate) fn spawn(
    context: &Arc<EntryContext>,
    caller: CallerRequest,
) -> oneshot::Receiver<CallerAnswer> {
    let (answer, rx) = oneshot::channel();
    let now = context.node.clock.now();
    let (events, inbox) = mpsc::channel(QUEUE);
    let task = CallTask {
        context: Arc::clone(context),
        call: Call::new(caller.plan),
        id: RequestId(NEXT_REQUEST.fetch_add(1, Ordering::Relaxed)),
        claim: ClaimId(rand::random()),
        deadline: now + caller.timeout,
        caller,
        events,
        answer: Some(answer),
        stream: None,
        attempt: Attempt::None,
        held: None,
        relayed: BytesMut::new(),
        meant_for: Incarnation(0),
    };
    context.calls.spawn(task.run(inbox));
    rx
}

/// Frames of the current attempt, or how its link ended.
type Opening = Pin<Box<dyn Future<Output = Result<FrameReader, Lost>> + Send>>;

/// Whether any byte of a lost attempt left this process.
#[derive(Clone, Copy, Debug)]
struct Lost {
    sent: bool,
}

enum Attempt {
    None,
    Opening(AttemptId, Opening),
    Reading(AttemptId, FrameReader),
}

enum Step {
    Input(Input),
    Opened(Result<FrameReader, Lost>),
    Frame(AttemptId, Option<Reply>),
    CallerGone,
    Deadline,
    Stalled,
}

struct CallTask {
    context: Arc<EntryContext>,
    caller: CallerRequest,
    call: Call,
    id: RequestId,
    claim: ClaimId,
    deadline: Instant,
    events: mpsc::Sender<Input>,
    answer: Option<oneshot::Sender<CallerAnswer>>,
    stream: Option<mpsc::Sender<StreamItem>>,
    attempt: Attempt,
    /// The event that the core is being told of.
    held: Option<Bytes>,
    /// Events that the core let through and the caller has not been sent.
    relayed: BytesMut,
    /// The life of the agent that the current attempt was sent to.
    meant_for: Incarnation,
}

impl CallTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<Input>) {
        self.handle(Input::Begin).await;
        let deadline = tokio::time::sleep_until(self.deadline.into());
        tokio::pin!(deadline);
        let patience = self.caller.limits.progress_timeout;
        let progress = tokio::time::sleep(patience);
        tokio::pin!(progress);
        let mut last_progress = tokio::time::Instant::now();
        while !self.call.is_closed() {
            let step = tokio::select! {
                biased;
                Some(input) = inbox.recv() => Step::Input(input),
                step = next_frame(&mut self.attempt) => step,
                () = caller_gone(&mut self.answer, &self.stream) => Step::CallerGone,
                () = &mut deadline => Step::Deadline,
                () = &mut progress => Step::Stalled,
            };
            match step {
                Step::Input(input) => {
                    last_progress = tokio::time::Instant::now();
                    self.handle(input).await;
                }
                Step::Opened(result) => self.opened(result).await,
                Step::Frame(attempt, reply) => {
                    last_progress = tokio::time::Instant::now();
                    self.frame(attempt, reply).await;
                }
                Step::CallerGone => {
                    self.answer = None;
                    self.stream = None;
                    self.handle(Input::CallerGone).await;
                }
                Step::Deadline => {
                    // What still runs afterwards runs only to be recorded.
                    deadline
                        .as_mut()
                        .reset(tokio::time::Instant::now() + LATE_ANSWER);
                    self.handle(Input::Deadline).await;
                }
                Step::Stalled => {
                    let silent = last_progress.elapsed() >= patience;
                    if silent && let Some(attempt) = self.call.attempt() {
                        self.handle(Input::Stalled(attempt)).await;
                    }
                    if silent {
                        last_progress = tokio::time::Instant::now();
                    }
                    progress.as_mut().reset(last_progress + patience);
                }
            }
        }
    }

    async fn opened(&mut self, result: Result<FrameReader, Lost>) {
        let Attempt::Opening(attempt, _) = std::mem::replace(&mut self.attempt, Attempt::None)
        else {
            return;
        };
        match result {
            Ok(reader) => self.attempt = Attempt::Reading(attempt, reader),
            Err(Lost { sent }) => self.handle(Input::LinkLost { attempt, sent }).await,
        }
    }

    async fn frame(&mut self, attempt: AttemptId, reply: Option<Reply>) {
        let input = match reply {
            Some(Reply::Refused(refusal)) => Input::Refused(attempt, refusal.into()),
            Some(Reply::Head) => Input::Head(attempt),
            Some(Reply::Events(position, events)) => {
                return self.stream_events(attempt, position, events).await;
            }
            Some(Reply::EndOfStream(events)) => Input::EndOfStream(attempt, events),
            Some(Reply::Response {
                status,
                content_type,
                body,
            }) => Input::Responded(
                attempt,
                RecordedResponse {
                    status,
                    content_type,
                    body: Some(body),
                },
            ),
            Some(Reply::Died(_)) => Input::EndpointDied(attempt),
            Some(Reply::Failed(_)) => Input::EndpointFailed(attempt),
            Some(_) | None => Input::LinkLost {
                attempt,
                sent: true,
            },
        };
        // After a stream's head its events follow; anything else is the end.
        if !matches!(input, Input::Head(_)) {
            self.attempt = Attempt::None;
        }
        self.handle(input).await;
    }

    async fn stream_events(&mut self, attempt: AttemptId, position: u64, events: Vec<Bytes>) {
        let count = events.len() as u64;
        for (index, event) in events.into_iter().enumerate() {
            self.held = Some(event);
            let input = Input::Event(attempt, position + index as u64);
            self.handle(input).await;
        }
        self.held = None;
        counter!(EVENTS_RELAYED).increment(count);
        if !self.relayed.is_empty() {
            let events = self.relayed.split().freeze();
            self.push(StreamItem::Events(events)).await;
        }
    }

    async fn handle(&mut self, input: Input) {
        let now = self.context.node.clock.now();
        let mut out = Vec::new();
        self.call.handle(now, input, &mut out);
        for output in out {
            self.carry_out(output).await;
        }
    }

    async fn carry_out(&mut self, output: Output) {
        match output {
            Output::Claim(pause) => self.claim(pause),
            Output::Settle(answer) => {
                let answer = keep(answer);
                let ledger = self.context.ledger.clone();
                let (key, claim) = (self.key().digest(), self.claim);
                self.context
                    .calls
                    .spawn(async move { ledger.settle(key, claim, answer).await });
            }
            Output::Release => {
                let ledger = self.context.ledger.clone();
                let (key, claim) = (self.key().digest(), self.claim);
                self.context
                    .calls
                    .spawn(async move { ledger.release(key, claim).await });
            }
            Output::Enqueue => self.arrive().await,
            Output::Dequeue => {
                let router = &self.context.router;
                router.withdraw(&self.caller.service, self.id).await;
            }
            Output::Ended(attempt, result) => {
                let router = &self.context.router;
                router.ended(&self.caller.service, attempt, result).await;
            }
            Output::Send {
                attempt,
                runner,
                suspect,
                resume_from,
                term,
            } => {
                let term = term.filter(|_| self.caller.limits.checks_fencing);
                self.send(attempt, runner, suspect, resume_from, term);
            }
            Output::Recover(attempt, runner) => self.recover(attempt, runner),
            Output::Cancel(attempt, runner) => self.cancel(attempt, runner),
            Output::BeginStream => self.begin_stream(),
            Output::Relay(_) => self.relay(),
            Output::EndStream => {
                self.count(Outcome::Ran);
                self.push(StreamItem::End).await;
            }
            Output::Respond {
                response: answer,
                replayed,
            } => {
                self.count(Outcome::Ran);
                self.give(CallerAnswer::Whole { answer, replayed });
            }
            Output::Fail(failure, outcome) => self.fail(failure, outcome).await,
            Output::CountStray => counter!(STRAY_FRAMES).increment(1),
            Output::Close => self.attempt = Attempt::None,
        }
    }

    fn key(&self) -> CallKey {
        CallKey {
            workspace: self.caller.workspace.clone(),
            service: self.caller.service.clone(),
            key: self.caller.key.clone().unwrap_or_default(),
        }
    }

    fn claim(&self, pause: Duration) {
        let clock = &self.context.node.clock;
        let expires_s = unix_seconds(clock.wall()) + self.caller.limits.key_retention.as_secs();
        let claim = Claim {
            key: self.key().digest(),
            fingerprint: self.caller.fingerprint,
            id: self.claim,
            expires_s,
            deadline: self.deadline,
        };
        let ledger = self.context.ledger.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let reply = ledger.claim(claim).await;
            // A call that ended meanwhile has released its claim.
            let _ = events.send(Input::Ledger(reply)).await;
        });
    }

    async fn arrive(&mut self) {
        let request = Request {
            id: self.id,
            workspace: self.caller.workspace.clone(),
            cost_tokens: self.caller.cost_tokens,
            priority: self.caller.priority,
            deadline: self.deadline,
            retry: self.caller.plan.retry,
            prefix: std::mem::take(&mut self.caller.prefix),
            fingerprint: self.caller.fingerprint,
            excluded: Vec::new(),
        };
        let router = &self.context.router;
        router
            .arrive(
                &self.caller.service,
                request,
                self.caller.weight,
                self.events.clone(),
            )
            .await;
    }

    fn send(
        &mut self,
        attempt: AttemptId,
        runner: RunnerId,
        suspect: bool,
        resume_from: u64,
        term: Option<Term>,
    ) {
        if resume_from > 0 {
            let event = EventKind::StreamResumed {
                attempt,
                runner: runner.clone(),
            };
            self.context.node.timeline.record(event);
        }
        let link = self.link(&runner);
        let incarnation = link
            .as_ref()
            .map_or(Incarnation(0), |link| link.incarnation);
        self.meant_for = incarnation;
        let wire = AttemptWire {
            attempt: attempt.0,
            meant_for: incarnation.0,
            remaining_us: 0,
            sent_us: 0,
            suspect,
            stream: self.caller.plan.kind == CallKind::Stream,
            resume_from,
            term: term.map(|term| term.0),
            fingerprint: self.caller.fingerprint.0,
            method: self.caller.method.to_string(),
            path: self.caller.path.clone(),
            content_type: self.caller.content_type.clone(),
            body: self.caller.body.clone(),
        };
        let clock = Arc::clone(&self.context.node.clock);
        let opening = send_attempt(clock, link, wire, self.deadline);
        self.attempt = Attempt::Opening(attempt, Box::pin(opening));
    }

    fn recover(&mut self, attempt: AttemptId, runner: RunnerId) {
        let asking = self.question(attempt, runner);
        let opening = async move {
            tokio::time::sleep(RECOVER_PAUSE).await;
            asking
                .ask(StreamRequest::Recover)
                .await
                .ok_or(Lost { sent: true })
        };
        self.attempt = Attempt::Opening(attempt, Box::pin(opening));
    }

    fn cancel(&mut self, attempt: AttemptId, runner: RunnerId) {
        self.attempt = Attempt::None;
        let asking = self.question(attempt, runner);
        tokio::spawn(async move {
            // What a link that closes loses ends with the link at the agent.
            let _ = asking.ask(StreamRequest::Cancel).await;
        });
    }

    fn link(&self, runner: &RunnerId) -> Option<Link> {
        let process = ProcessId::new(runner.as_str());
        self.context.links.borrow().link(&process).cloned()
    }

    fn question(&self, attempt: AttemptId, runner: RunnerId) -> Asking {
        Asking {
            context: Arc::clone(&self.context),
            runner,
            attempt,
            meant_for: self.meant_for,
            deadline: self.deadline,
        }
    }

    fn begin_stream(&mut self) {
        let (tx, rx) = mpsc::channel(STREAM_QUEUE);
        self.stream = Some(tx);
        self.give(CallerAnswer::Stream(rx));
    }

    fn relay(&mut self) {
        if let Some(event) = self.held.take() {
            self.relayed.extend_from_slice(&event);
        }
    }

    async fn push(&mut self, item: StreamItem) {
        if let Some(stream) = &self.stream {
            // A caller that went away is noticed by the main loop.
            let _ = stream.send(item).await;
        }
    }

    async fn fail(&mut self, failure: Failure, outcome: Outcome) {
        self.count(outcome);
        if self.stream.is_some() {
            self.push(StreamItem::Failed(failure, outcome)).await;
        } else {
            self.give(CallerAnswer::Failed(failure, outcome));
        }
    }

    fn give(&mut self, answer: CallerAnswer) {
        if let Some(tx) = self.answer.take() {
            let _ = tx.send(answer);
        }
    }

    fn count(&self, outcome: Outcome) {
        let service = self.caller.service.to_string();
        counter!(RESPONSES, "service" => service, "outcome" => outcome.as_str()).increment(1);
    }
}

/// Keeps what the ledger records of an answer.
fn keep(answer: RecordedResponse) -> RecordedResponse {
    let body = answer.body.unwrap_or_default();
    RecordedResponse::new(answer.status, answer.content_type, body)
}

async fn next_frame(attempt: &mut Attempt) -> Step {
    match attempt {
        Attempt::None => std::future::pending().await,
        Attempt::Opening(_, opening) => Step::Opened(opening.await),
        Attempt::Reading(id, reader) => {
            let frame = reader.read::<Reply>().await;
            Step::Frame(*id, frame.ok().flatten())
        }
    }
}

async fn caller_gone(
    answer: &mut Option<oneshot::Sender<CallerAnswer>>,
    stream: &Option<mpsc::Sender<StreamItem>>,
) {
    match (answer, stream) {
        (Some(answer), _) => answer.closed().await,
        (None, Some(stream)) => stream.closed().await,
        (None, None) => std::future::pending().await,
    }
}

/// Sends an attempt on the runner's link, once.
async fn send_attempt(
    clock: SharedClock,
    link: Option<Link>,
    mut wire: AttemptWire,
    deadline: Instant,
) -> Result<FrameReader, Lost> {
    let not_sent = Lost { sent: false };
    let link = link.ok_or(not_sent)?;
    let (mut tx, rx) = link.open_stream().await.map_err(|_| not_sent)?;
    let now = clock.now();
    wire.remaining_us = to_micros(deadline.saturating_duration_since(now));
    wire.sent_us = link.age_us(now);
    tx.write(&StreamRequest::Attempt(wire))
        .await
        .map_err(|_| Lost { sent: true })?;
    tx.finish();
    Ok(rx)
}

/// A question to an agent about an attempt.
struct Asking {
    context: Arc<EntryContext>,
    runner: RunnerId,
    attempt: AttemptId,
    /// The life of the agent that the attempt was sent to, not the present one.
    meant_for: Incarnation,
    /// Bounds what the agent must remember.
    deadline: Instant,
}

impl Asking {
    async fn ask(self, open: impl FnOnce(OutcomeQuery) -> StreamRequest) -> Option<FrameReader> {
        let process = ProcessId::new(self.runner.as_str());
        let link = self.context.links.borrow().link(&process).cloned()?;
        let (mut tx, rx) = link.open_stream().await.ok()?;
        let now = self.context.node.clock.now();
        let query = OutcomeQuery {
            attempt: self.attempt.0,
            meant_for: self.meant_for.0,
            remaining_us: to_micros(self.deadline.saturating_duration_since(now)),
            sent_us: link.age_us(now),
        };
        tx.write(&open(query)).await.ok()?;
        tx.finish();
        Some(rx)
    }
}
