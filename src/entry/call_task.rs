//! The task that processes one caller's request.
//!
//! It feeds a [`Call`], which makes the decisions, with events: replies of the ledger,
//! decisions of the router, frames from the agent, timers and the caller's disconnect.
//! It then executes the outputs of the call.

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
use wisteriawick_core::ledger::LedgerReply;
use wisteriawick_core::ledger::RecordedResponse;
use wisteriawick_core::response_status::is_final;
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

/// Capacity of the queue of events from the ledger and the router to one call.
const QUEUE_CAPACITY: usize = 32;
/// Capacity of the queue of stream items to a caller that reads slowly.
const STREAM_QUEUE_CAPACITY: usize = 64;
/// How long after its deadline a keyed call waits for its response in order to record it.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before the agent is asked for the response of an attempt whose link was lost.
const RECOVER_DELAY: Duration = Duration::from_millis(100);

static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// The response to a caller, or its beginning if it is a stream.
#[derive(Debug)]
pub(crate) enum CallerResponse {
    /// A complete response.
    Buffered {
        response: RecordedResponse,
        /// Whether the response is replayed from the ledger.
        replayed: bool,
    },
    /// A streamed response; it is complete only if it ends with [`StreamItem::End`].
    Stream(mpsc::Receiver<StreamItem>),
    /// There is no complete response.
    Failed(Failure, Outcome),
}

/// A part of a streamed response.
#[derive(Debug)]
pub(crate) enum StreamItem {
    /// One or more complete events.
    Events(Bytes),
    /// The stream ended and is complete.
    End,
    /// The stream ended before it was complete.
    Failed(Failure, Outcome),
}

/// Starts the task for one request.
///
/// The response arrives on the returned receiver. Dropping the receiver means that
/// the caller closed its connection.
pub(crate) fn spawn(
    context: &Arc<EntryContext>,
    caller: CallerRequest,
) -> oneshot::Receiver<CallerResponse> {
    let (response, rx) = oneshot::channel();
    let now = context.node.clock.now();
    let (events, inbox) = mpsc::channel(QUEUE_CAPACITY);
    let task = CallTask {
        context: Arc::clone(context),
        call: Call::new(caller.options),
        id: RequestId(NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed)),
        claim: ClaimId(rand::random()),
        deadline: now + caller.timeout,
        caller,
        events,
        response: Some(response),
        stream: None,
        attempt: AttemptState::None,
        current_event: None,
        pending_events: BytesMut::new(),
        meant_for: Incarnation(0),
    };
    context.calls.spawn(task.run(inbox));
    rx
}

/// A future that sends an attempt, or a query about it, and resolves to the reader of the
/// reply frames.
type Opening = Pin<Box<dyn Future<Output = Result<FrameReader, LostLink>> + Send>>;

/// The link closed, or there was none, when an attempt was sent.
#[derive(Clone, Copy, Debug)]
struct LostLink {
    /// Whether any byte of the attempt may have left this process.
    sent: bool,
}

/// The current attempt.
enum AttemptState {
    /// There is none, or no frame of it is expected.
    None,
    /// The attempt, or a query about it, is being sent.
    Opening(AttemptId, Opening),
    /// It was sent; its reply frames are read.
    Reading(AttemptId, FrameReader),
}

/// What the task's loop waits for.
enum LoopEvent {
    /// The ledger or the router reported to the call.
    Input(Input),
    /// The attempt was sent, or could not be sent.
    Opened(Result<FrameReader, LostLink>),
    /// A frame of the attempt arrived; `None` when its stream ended.
    Frame(AttemptId, Option<Reply>),
    CallerGone,
    Deadline,
    /// The progress timer expired.
    Stalled,
    /// The entry's shutdown ends.
    Ending,
}

struct CallTask {
    context: Arc<EntryContext>,
    caller: CallerRequest,
    call: Call,
    id: RequestId,
    claim: ClaimId,
    deadline: Instant,
    events: mpsc::Sender<Input>,
    response: Option<oneshot::Sender<CallerResponse>>,
    stream: Option<mpsc::Sender<StreamItem>>,
    attempt: AttemptState,
    /// The stream event that the call is deciding on.
    current_event: Option<Bytes>,
    /// Events that the call decided to relay and that are not sent to the caller yet.
    pending_events: BytesMut,
    /// Incarnation of the agent to which the current attempt was sent.
    meant_for: Incarnation,
}

impl CallTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<Input>) {
        self.handle(Input::Begin).await;
        let deadline = tokio::time::sleep_until(self.deadline.into());
        tokio::pin!(deadline);
        let progress_timeout = self.caller.limits.progress_timeout;
        let progress = tokio::time::sleep(progress_timeout);
        tokio::pin!(progress);
        let mut last_progress = tokio::time::Instant::now();
        let ending = self.context.ending.clone();
        let mut ended = false;
        while !self.call.is_closed() {
            let event = tokio::select! {
                biased;
                Some(input) = inbox.recv() => LoopEvent::Input(input),
                event = next_frame(&mut self.attempt) => event,
                () = caller_gone(&mut self.response, &self.stream) => LoopEvent::CallerGone,
                () = &mut deadline => LoopEvent::Deadline,
                () = &mut progress => LoopEvent::Stalled,
                () = ending.cancelled(), if !ended => LoopEvent::Ending,
            };
            match event {
                LoopEvent::Input(input) => {
                    last_progress = tokio::time::Instant::now();
                    self.handle(input).await;
                }
                LoopEvent::Opened(result) => self.attempt_opened(result).await,
                LoopEvent::Frame(attempt, reply) => {
                    last_progress = tokio::time::Instant::now();
                    self.frame_received(attempt, reply).await;
                }
                LoopEvent::CallerGone => {
                    self.response = None;
                    self.stream = None;
                    self.handle(Input::CallerGone).await;
                }
                LoopEvent::Deadline => {
                    // Only a keyed call continues after this, to record its response.
                    deadline
                        .as_mut()
                        .reset(tokio::time::Instant::now() + LATE_RESPONSE_TIMEOUT);
                    self.handle(Input::Deadline).await;
                }
                LoopEvent::Ending => {
                    ended = true;
                    // The caller of a call past its deadline has its response, and the
                    // call may still record a late one.
                    if self.response.is_some() || self.stream.is_some() {
                        self.handle(Input::Deadline).await;
                    }
                }
                LoopEvent::Stalled => {
                    let stalled = last_progress.elapsed() >= progress_timeout;
                    if stalled && let Some(attempt) = self.call.attempt() {
                        self.handle(Input::Stalled(attempt)).await;
                    }
                    if stalled {
                        last_progress = tokio::time::Instant::now();
                    }
                    progress.as_mut().reset(last_progress + progress_timeout);
                }
            }
        }
        self.give_back(inbox).await;
    }

    /// Gives back what the ledger and the router granted before they knew that the call
    /// has ended. What they grant later, they cannot deliver, and take back themselves.
    async fn give_back(&mut self, mut inbox: mpsc::Receiver<Input>) {
        inbox.close();
        while let Some(input) = inbox.recv().await {
            self.handle(input).await;
        }
    }

    async fn attempt_opened(&mut self, result: Result<FrameReader, LostLink>) {
        let AttemptState::Opening(attempt, _) =
            std::mem::replace(&mut self.attempt, AttemptState::None)
        else {
            return;
        };
        match result {
            Ok(reader) => self.attempt = AttemptState::Reading(attempt, reader),
            Err(LostLink { sent }) => self.handle(Input::LinkLost { attempt, sent }).await,
        }
    }

    async fn frame_received(&mut self, attempt: AttemptId, reply: Option<Reply>) {
        let input = match reply {
            Some(Reply::Refused(refusal)) => Input::Refused(attempt, refusal.into()),
            Some(Reply::Head) => Input::Head(attempt),
            Some(Reply::Events(position, events)) => {
                return self.stream_events(attempt, position, events).await;
            }
            Some(Reply::EndOfStream(events)) => Input::EndOfStream(attempt, events),
            Some(Reply::Response { status, .. }) if !is_final(status) => {
                Input::EndpointFailed(attempt)
            }
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
        // Events were handled above. Of the other replies, only the head of a stream is followed by
        // more frames.
        if !matches!(input, Input::Head(_)) {
            self.attempt = AttemptState::None;
        }
        self.handle(input).await;
    }

    async fn stream_events(&mut self, attempt: AttemptId, position: u64, events: Vec<Bytes>) {
        let count = events.len() as u64;
        for (index, event) in events.into_iter().enumerate() {
            self.current_event = Some(event);
            let input = Input::Event(attempt, position + index as u64);
            self.handle(input).await;
        }
        self.current_event = None;
        counter!(EVENTS_RELAYED).increment(count);
        if !self.pending_events.is_empty() {
            let events = self.pending_events.split().freeze();
            self.send_stream_item(StreamItem::Events(events)).await;
        }
    }

    async fn handle(&mut self, input: Input) {
        let now = self.context.node.clock.now();
        let mut out = Vec::new();
        self.call.handle(now, input, &mut out);
        for output in out {
            self.execute(output).await;
        }
    }

    async fn execute(&mut self, output: Output) {
        match output {
            Output::Claim(delay) => self.claim(delay),
            Output::Settle(response) => {
                let response = to_recorded(response);
                let ledger = self.context.ledger.clone();
                let (key, claim) = (self.key().digest(), self.claim);
                self.context
                    .calls
                    .spawn(async move { ledger.settle(key, claim, response).await });
            }
            Output::Release => {
                let ledger = self.context.ledger.clone();
                let (key, claim) = (self.key().digest(), self.claim);
                self.context
                    .calls
                    .spawn(async move { ledger.release(key, claim).await });
            }
            Output::Enqueue => self.enqueue().await,
            Output::Dequeue => {
                let router = &self.context.router;
                router.cancel(&self.caller.service, self.id).await;
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
                self.send_stream_item(StreamItem::End).await;
            }
            Output::Respond { response, replayed } => {
                self.count(response.outcome());
                self.send_response(CallerResponse::Buffered { response, replayed });
            }
            Output::Fail(failure, outcome) => self.fail(failure, outcome).await,
            Output::CountStray => counter!(STRAY_FRAMES).increment(1),
            Output::Close => self.attempt = AttemptState::None,
        }
    }

    fn key(&self) -> CallKey {
        CallKey {
            workspace: self.caller.workspace.clone(),
            service: self.caller.service.clone(),
            key: self.caller.key.clone().unwrap_or_default(),
        }
    }

    fn claim(&self, delay: Duration) {
        let clock = &self.context.node.clock;
        let expires_s = unix_seconds(clock.wall()) + self.caller.limits.key_retention.as_secs();
        let claim = Claim {
            key: self.key().digest(),
            fingerprint: self.caller.fingerprint,
            id: self.claim,
            expires_s,
            deadline: self.deadline,
        };
        let (key, id) = (claim.key, claim.id);
        let ledger = self.context.ledger.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            if events.is_closed() {
                return;
            }
            let reply = ledger.claim(claim).await;
            let is_granted = matches!(reply, LedgerReply::Granted(_));
            let has_ended = events.send(Input::Ledger(reply)).await.is_err();
            if has_ended && is_granted {
                // The call's own release may have come before the claim.
                ledger.release(key, id).await;
            }
        });
    }

    async fn enqueue(&mut self) {
        let request = Request {
            id: self.id,
            workspace: self.caller.workspace.clone(),
            cost_tokens: self.caller.cost_tokens,
            priority: self.caller.priority,
            deadline: self.deadline,
            retry: self.caller.options.retry,
            prefix: std::mem::take(&mut self.caller.prefix),
            fingerprint: self.caller.fingerprint,
            excluded: Vec::new(),
        };
        let router = &self.context.router;
        router
            .enqueue(
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
            stream: self.caller.options.kind == CallKind::Stream,
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
        self.attempt = AttemptState::Opening(attempt, Box::pin(opening));
    }

    fn recover(&mut self, attempt: AttemptId, runner: RunnerId) {
        let query = self.attempt_query(attempt, runner);
        let opening = async move {
            tokio::time::sleep(RECOVER_DELAY).await;
            query
                .send(StreamRequest::Recover)
                .await
                .ok_or(LostLink { sent: true })
        };
        self.attempt = AttemptState::Opening(attempt, Box::pin(opening));
    }

    fn cancel(&mut self, attempt: AttemptId, runner: RunnerId) {
        self.attempt = AttemptState::None;
        let query = self.attempt_query(attempt, runner);
        tokio::spawn(async move {
            // If the link closes, the agent stops the attempts that arrived on it.
            let _ = query.send(StreamRequest::Cancel).await;
        });
    }

    fn link(&self, runner: &RunnerId) -> Option<Link> {
        let process = ProcessId::new(runner.as_str());
        self.context.links.borrow().link(&process).cloned()
    }

    fn attempt_query(&self, attempt: AttemptId, runner: RunnerId) -> AttemptQuery {
        AttemptQuery {
            context: Arc::clone(&self.context),
            runner,
            attempt,
            meant_for: self.meant_for,
            deadline: self.deadline,
        }
    }

    fn begin_stream(&mut self) {
        let (tx, rx) = mpsc::channel(STREAM_QUEUE_CAPACITY);
        self.stream = Some(tx);
        self.send_response(CallerResponse::Stream(rx));
    }

    fn relay(&mut self) {
        if let Some(event) = self.current_event.take() {
            self.pending_events.extend_from_slice(&event);
        }
    }

    async fn send_stream_item(&mut self, item: StreamItem) {
        if let Some(stream) = &self.stream {
            // The main loop notices when the caller is gone.
            let _ = stream.send(item).await;
        }
    }

    async fn fail(&mut self, failure: Failure, outcome: Outcome) {
        self.count(outcome);
        if self.stream.is_some() {
            self.send_stream_item(StreamItem::Failed(failure, outcome))
                .await;
        } else {
            self.send_response(CallerResponse::Failed(failure, outcome));
        }
    }

    fn send_response(&mut self, response: CallerResponse) {
        if let Some(tx) = self.response.take() {
            let _ = tx.send(response);
        }
    }

    fn count(&self, outcome: Outcome) {
        let service = self.caller.service.to_string();
        counter!(RESPONSES, "service" => service, "outcome" => outcome.as_str()).increment(1);
    }
}

/// Returns the response as the ledger records it, without a body that is too large.
fn to_recorded(response: RecordedResponse) -> RecordedResponse {
    let body = response.body.unwrap_or_default();
    RecordedResponse::new(response.status, response.content_type, body)
}

async fn next_frame(attempt: &mut AttemptState) -> LoopEvent {
    match attempt {
        AttemptState::None => std::future::pending().await,
        AttemptState::Opening(_, opening) => LoopEvent::Opened(opening.await),
        AttemptState::Reading(id, reader) => {
            let frame = reader.read::<Reply>().await;
            LoopEvent::Frame(*id, frame.ok().flatten())
        }
    }
}

async fn caller_gone(
    response: &mut Option<oneshot::Sender<CallerResponse>>,
    stream: &Option<mpsc::Sender<StreamItem>>,
) {
    match (response, stream) {
        (Some(response), _) => response.closed().await,
        (None, Some(stream)) => stream.closed().await,
        (None, None) => std::future::pending().await,
    }
}

/// Sends an attempt on the runner's link, without retries.
async fn send_attempt(
    clock: SharedClock,
    link: Option<Link>,
    mut wire: AttemptWire,
    deadline: Instant,
) -> Result<FrameReader, LostLink> {
    let not_sent = LostLink { sent: false };
    let link = link.ok_or(not_sent)?;
    let (mut tx, rx) = link.open_stream().await.map_err(|_| not_sent)?;
    let now = clock.now();
    wire.remaining_us = to_micros(deadline.saturating_duration_since(now));
    wire.sent_us = link.age_us(now);
    tx.write(&StreamRequest::Attempt(wire))
        .await
        .map_err(|_| LostLink { sent: true })?;
    tx.finish();
    Ok(rx)
}

/// A query to an agent about an attempt that was sent to it.
struct AttemptQuery {
    context: Arc<EntryContext>,
    runner: RunnerId,
    attempt: AttemptId,
    /// Incarnation of the agent to which the attempt was sent; the agent may have restarted
    /// since.
    meant_for: Incarnation,
    /// Deadline of the attempt, after which the agent need not remember it.
    deadline: Instant,
}

impl AttemptQuery {
    async fn send(
        self,
        to_request: impl FnOnce(OutcomeQuery) -> StreamRequest,
    ) -> Option<FrameReader> {
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
        tx.write(&to_request(query)).await.ok()?;
        tx.finish();
        Some(rx)
    }
}
