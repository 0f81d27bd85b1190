//! The simulation of tickets: the submitters, the store, the processes, and the watches,
//! heartbeats and pushes by which a head reaches them.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::ids::TicketNumber;
use wisteriawick_core::ledger::WriteResult;
use wisteriawick_core::ticket::ConfigState;
use wisteriawick_core::ticket::Head;
use wisteriawick_core::ticket::HeadUpdate;
use wisteriawick_core::ticket::SubmitInput;
use wisteriawick_core::ticket::SubmitOutput;
use wisteriawick_core::ticket::Ticket;
use wisteriawick_core::ticket::TicketSubmitter;

use crate::fault::Fault;
use crate::fault::FaultKind;
use crate::fault::MESSAGE_DELAY;
use crate::fault::Mutation;
use crate::fault::PROCESS_PAUSE;
use crate::fault::REORDER_DELAY;
use crate::fault::REPLACE_DELAY;
use crate::fault::STORE_FAULT_DURATION;
use crate::fault::StepClass;
use crate::injection::FaultInjector;
use crate::injection::LinkSilence;
use crate::injection::STORE_TIMEOUT;
use crate::injection::StoreHealth;
use crate::queue::EventQueue;
use crate::queue::Next;

/// Number of entries, which are the first processes; the others are agents.
const ENTRIES: usize = 2;
/// Number of processes.
const PROCESSES: usize = 4;
/// Delivery time of a message without faults, and of a call to the store.
const MESSAGE_LATENCY: Duration = Duration::from_millis(1);
/// Time from a write to the delivery of the new head by a watch.
const WATCH_LATENCY: Duration = Duration::from_millis(5);
/// Delay of [`SubmitOutput::ReadAfterDelay`].
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time between heartbeats; longer than in production, to limit the steps of a run.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a watch ends and is renewed, so that an entry reads the head at
/// least this often.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which an accepted ticket must be in force in every process that serves
/// requests. A process whose head was not confirmed for this time stops serving.
const IN_FORCE_DEADLINE: Duration = Duration::from_secs(16);
/// Limit of the steps of one run, so that a run that never settles still ends.
const MAX_STEPS: usize = 20_000;

/// An event. Submitters are given by number, processes by index.
#[derive(Clone, Debug)]
enum Event {
    /// A submitter begins to submit the tickets with these numbers.
    Submit(usize, Vec<u64>),
    /// A new submitter submits the ticket that follows the head.
    SubmitNext,
    /// A read by a submitter reaches the store.
    StoreRead(usize),
    /// A write by a submitter, conditional on a version, reaches the store.
    StoreWrite(usize, u64, Box<Head>),
    /// A response of the store reaches a submitter.
    StoreResponse(usize, SubmitInput),
    /// A watch delivers a head to an entry.
    WatchDelivery(usize, Arc<Head>),
    /// An entry's watch ends, or the entry has started, and a new watch begins.
    WatchRenewal(usize),
    /// All entries send heartbeats.
    SendHeartbeats,
    /// A heartbeat of an entry arrives, with the number and digest of its head.
    Heartbeat {
        from: usize,
        to: usize,
        number: TicketNumber,
        tag: u64,
    },
    /// A head that an entry sent to a peer arrives.
    Push {
        from: usize,
        to: usize,
        head: Arc<Head>,
    },
    /// The platform replaces a process that was killed.
    Replace(usize),
}

/// An entry or an agent.
struct Process {
    up: bool,
    paused_until: Option<Instant>,
    config: ConfigState,
    /// Highest ticket number that was in force in this incarnation.
    highest_number: TicketNumber,
}

impl Process {
    fn new() -> Self {
        Self {
            up: true,
            paused_until: None,
            config: ConfigState::new(),
            highest_number: TicketNumber(0),
        }
    }
}

/// The state of a run.
pub(crate) struct Simulation {
    queue: EventQueue<Event>,
    mutation: Option<Mutation>,
    processes: Vec<Process>,
    submitters: BTreeMap<usize, TicketSubmitter>,
    /// The head in the store.
    head: Arc<Head>,
    /// The head before it, which a stale watch delivers.
    previous_head: Arc<Head>,
    /// Version of the head in the store; zero before the first write.
    version: u64,
    /// When each ticket was accepted, and its digest.
    accepted: BTreeMap<TicketNumber, (Instant, u64)>,
    store: StoreHealth,
    silence: LinkSilence,
    pub(crate) violations: Vec<String>,
    pub(crate) injector: FaultInjector,
    /// Number of the last submitter that was added without a given number.
    last_submitter: usize,
}

/// Returns a ticket; different variants give different content under one number.
fn ticket(number: u64, variant: &str) -> Ticket {
    let text = format!("number = {number}\ntitle = \"{variant}\"\n");
    Ticket::parse("t.toml", &text).expect("the ticket is valid")
}

impl Simulation {
    pub(crate) fn new(faults: &[Fault], mutation: Option<Mutation>) -> Self {
        let empty = Arc::new(Head::empty());
        let mut sim = Self {
            queue: EventQueue::new(),
            mutation,
            processes: (0..PROCESSES).map(|_| Process::new()).collect(),
            submitters: BTreeMap::new(),
            head: Arc::clone(&empty),
            previous_head: empty,
            version: 0,
            accepted: BTreeMap::new(),
            store: StoreHealth::default(),
            silence: LinkSilence::default(),
            violations: Vec::new(),
            injector: FaultInjector::new(faults),
            last_submitter: 10,
        };
        sim.queue
            .schedule(HEARTBEAT_INTERVAL, Event::SendHeartbeats);
        for entry in 0..ENTRIES {
            sim.queue
                .schedule(WATCH_TIMEOUT, Event::WatchRenewal(entry));
        }
        sim
    }

    /// Schedules the submission of tickets by the submitter with this number.
    pub(crate) fn submit(&mut self, at: Duration, submitter: usize, numbers: RangeInclusive<u64>) {
        self.queue
            .schedule(at, Event::Submit(submitter, numbers.collect()));
    }

    /// Schedules the submission of the ticket that follows the head of that time.
    pub(crate) fn submit_next(&mut self, at: Duration) {
        self.queue.schedule(at, Event::SubmitNext);
    }

    /// Runs up to a time, or to the limit of steps.
    pub(crate) fn run(&mut self, end: Duration) {
        while self.queue.elapsed() < end && self.injector.steps.len() < MAX_STEPS {
            let Some(Next::Event(event)) = self.queue.pop(None) else {
                return;
            };
            self.step(event);
            self.check_in_force();
        }
    }

    /// Returns why the run did not recover: a process does not have the head in force,
    /// or no ticket was accepted in the last seconds. Returns `None` if it recovered.
    pub(crate) fn recovery_failure(&self) -> Option<String> {
        let last = self.head.number;
        let numbers: Vec<u64> = self.processes.iter().map(|p| p.config.number().0).collect();
        let same_numbers = numbers.iter().all(|number| *number == last.0);
        let same_digests = self
            .processes
            .iter()
            .all(|p| p.config.tag() == self.head.tag());
        let probe_accepted = self.accepted.values().any(|(at, _)| {
            self.queue.now().saturating_duration_since(*at) < Duration::from_secs(11)
        });
        (!same_numbers || !same_digests || !probe_accepted)
            .then(|| format!("head {last}, in force {numbers:?}, probe accepted: {probe_accepted}"))
    }

    fn step(&mut self, event: Event) {
        if let Event::SendHeartbeats = event {
            self.send_heartbeats();
            return;
        }
        let (class, process) = classify(&event);
        if let Some(until) = process.and_then(|process| self.processes[process].paused_until)
            && self.queue.now() < until
        {
            self.queue.schedule(until - self.queue.now(), event);
            return;
        }
        if self.begin_step(class, process, &event) {
            self.deliver(event);
        }
    }

    /// Records a step and injects its faults; returns whether the step still takes
    /// place now.
    fn begin_step(&mut self, class: StepClass, process: Option<usize>, event: &Event) -> bool {
        let due = self.injector.begin_step(class, self.queue.elapsed());
        let mut takes_place = true;
        for kind in due {
            takes_place &= self.inject(kind, process, event);
        }
        takes_place
    }

    /// Injects a fault at a step; returns whether the step still takes place now.
    fn inject(&mut self, kind: FaultKind, process: Option<usize>, event: &Event) -> bool {
        let now = self.queue.now();
        match kind {
            FaultKind::Lost => return false,
            FaultKind::Duplicated => self.queue.schedule(MESSAGE_LATENCY, event.clone()),
            FaultKind::Delayed => {
                self.queue.schedule(MESSAGE_DELAY, event.clone());
                return false;
            }
            FaultKind::Reordered => {
                self.queue.schedule(REORDER_DELAY, event.clone());
                return false;
            }
            FaultKind::SilentOneWay | FaultKind::SilentBothWays => {
                if let Event::Heartbeat { from, to, .. } | Event::Push { from, to, .. } = event {
                    let both = kind == FaultKind::SilentBothWays;
                    self.silence.start(now, *from, *to, both);
                }
                return false;
            }
            FaultKind::Killed => {
                if let Some(process) = process {
                    self.processes[process].up = false;
                    self.queue.schedule(REPLACE_DELAY, Event::Replace(process));
                    return false;
                }
            }
            FaultKind::Paused => {
                if let Some(process) = process {
                    self.processes[process].paused_until = Some(now + PROCESS_PAUSE);
                    self.queue.schedule(PROCESS_PAUSE, event.clone());
                    return false;
                }
            }
            FaultKind::StoreDown => self.store.go_down(now),
            FaultKind::StoreSlow => self.store.go_slow(now),
            FaultKind::ResponseLost => {
                if let Event::StoreWrite(submitter, version, head) = event {
                    self.write(*version, head);
                    let unknown = SubmitInput::Written(WriteResult::Unknown);
                    let response = Event::StoreResponse(*submitter, unknown);
                    self.queue.schedule(STORE_TIMEOUT, response);
                    return false;
                }
            }
            FaultKind::StaleWatch => {
                if let Event::WatchDelivery(entry, _) = event {
                    let stale = Event::WatchDelivery(*entry, Arc::clone(&self.previous_head));
                    self.queue.schedule(MESSAGE_LATENCY, stale);
                    self.queue.schedule(STORE_FAULT_DURATION, event.clone());
                    return false;
                }
            }
            FaultKind::OperatorRace => {
                // Another operator submits a different ticket with the next number.
                let number = self.head.number.0 + 1;
                let submitter =
                    self.add_submitter(TicketSubmitter::new("rival", [ticket(number, "rival")]));
                self.drive_submitter(submitter, SubmitInput::Start);
            }
            FaultKind::EndpointCrash => {}
        }
        true
    }

    /// Adds a submitter and returns its number.
    fn add_submitter(&mut self, submitter: TicketSubmitter) -> usize {
        self.last_submitter += 1;
        self.submitters.insert(self.last_submitter, submitter);
        self.last_submitter
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Submit(submitter, numbers) => {
                let tickets = numbers.into_iter().map(|number| ticket(number, "plan"));
                self.submitters
                    .insert(submitter, TicketSubmitter::new("operator", tickets));
                self.drive_submitter(submitter, SubmitInput::Start);
            }
            Event::SubmitNext => {
                let number = self.head.number.0 + 1;
                let submitter =
                    self.add_submitter(TicketSubmitter::new("operator", [ticket(number, "probe")]));
                self.drive_submitter(submitter, SubmitInput::Start);
            }
            Event::StoreRead(submitter) => self.handle_store_read(submitter),
            Event::StoreWrite(submitter, version, head) => {
                self.handle_store_write(submitter, version, &head)
            }
            Event::StoreResponse(submitter, input) => self.drive_submitter(submitter, input),
            Event::WatchDelivery(entry, head) => {
                if self.processes[entry].up {
                    self.offer_head(entry, &head);
                }
            }
            Event::WatchRenewal(entry) => self.renew_watch(entry),
            Event::SendHeartbeats => {}
            Event::Heartbeat {
                from,
                to,
                number,
                tag,
            } => self.handle_heartbeat(from, to, number, tag),
            Event::Push { from, to, head } => {
                if self.is_delivered(from, to) {
                    self.offer_head(to, &head);
                }
            }
            Event::Replace(process) => {
                if !self.processes[process].up {
                    self.processes[process] = Process::new();
                    if process < ENTRIES {
                        self.queue
                            .schedule(MESSAGE_LATENCY, Event::WatchRenewal(process));
                    }
                }
            }
        }
    }

    /// Returns whether a message is delivered now.
    fn is_delivered(&self, from: usize, to: usize) -> bool {
        self.processes[to].up && !self.silence.is_silent(self.queue.now(), from, to)
    }

    /// Passes an input to a submitter and executes its outputs.
    fn drive_submitter(&mut self, submitter: usize, input: SubmitInput) {
        let mut out = Vec::new();
        if let Some(state_machine) = self.submitters.get_mut(&submitter) {
            state_machine.handle(input, &mut out);
        }
        for output in out {
            match output {
                SubmitOutput::Read => self
                    .queue
                    .schedule(MESSAGE_LATENCY, Event::StoreRead(submitter)),
                SubmitOutput::ReadAfterDelay => self
                    .queue
                    .schedule(SUBMIT_RETRY_DELAY, Event::StoreRead(submitter)),
                SubmitOutput::Write(version, head) => {
                    let write = Event::StoreWrite(submitter, version, head);
                    self.queue.schedule(MESSAGE_LATENCY, write);
                }
                SubmitOutput::Accepted(..) | SubmitOutput::Refused(_) | SubmitOutput::Done => {}
            }
        }
    }

    fn handle_store_read(&mut self, submitter: usize) {
        let (delay, input) = match self.store.response_delay(self.queue.now()) {
            Some(delay) => (
                delay,
                SubmitInput::Read(self.version, Head::clone(&self.head)),
            ),
            None => (STORE_TIMEOUT, SubmitInput::ReadFailed),
        };
        self.queue
            .schedule(delay, Event::StoreResponse(submitter, input));
    }

    fn handle_store_write(&mut self, submitter: usize, version: u64, head: &Head) {
        let (delay, result) = match self.store.response_delay(self.queue.now()) {
            Some(delay) => (delay, self.write(version, head)),
            None => (STORE_TIMEOUT, WriteResult::Unknown),
        };
        let response = Event::StoreResponse(submitter, SubmitInput::Written(result));
        self.queue.schedule(delay, response);
    }

    /// Writes the head if its version is `if_version`, and notifies the watches.
    fn write(&mut self, if_version: u64, head: &Head) -> WriteResult {
        if if_version != self.version {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.previous_head = std::mem::replace(&mut self.head, Arc::new(head.clone()));
        self.accepted
            .insert(head.number, (self.queue.now(), head.tag()));
        for entry in 0..ENTRIES {
            let watch = Event::WatchDelivery(entry, Arc::clone(&self.head));
            self.queue.schedule(WATCH_LATENCY, watch);
        }
        WriteResult::Written(self.version)
    }

    /// Begins a new watch of an entry, which first delivers the head if the store
    /// responds.
    fn renew_watch(&mut self, entry: usize) {
        if self.processes[entry].up {
            if let Some(delay) = self.store.response_delay(self.queue.now()) {
                let watch = Event::WatchDelivery(entry, Arc::clone(&self.head));
                self.queue.schedule(delay, watch);
            }
            self.queue
                .schedule(WATCH_TIMEOUT, Event::WatchRenewal(entry));
        }
    }

    /// Passes a received head to a process. An entry that adopts it pushes it to all
    /// other processes.
    fn offer_head(&mut self, process: usize, head: &Arc<Head>) {
        let now = self.queue.now();
        let receiver = &mut self.processes[process];
        if head.number.0 == 0 {
            return;
        }
        if self.mutation == Some(Mutation::AcceptAnyHead) {
            receiver.config = ConfigState::new();
        }
        let update = receiver.config.update(now, head);
        if update == HeadUpdate::Conflict {
            self.violations.push(format!(
                "process {process} was offered a head with number {} but another history",
                head.number
            ));
        }
        let number = receiver.config.number();
        if number < receiver.highest_number {
            self.violations
                .push(format!("process {process} reverted to ticket {number}"));
        }
        receiver.highest_number = receiver.highest_number.max(number);
        if update == HeadUpdate::Adopted && process < ENTRIES {
            for to in (0..PROCESSES).filter(|to| *to != process) {
                let push = Event::Push {
                    from: process,
                    to,
                    head: Arc::clone(head),
                };
                self.queue.schedule(MESSAGE_LATENCY, push);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        for from in 0..ENTRIES {
            if !self.processes[from].up {
                continue;
            }
            for to in (0..PROCESSES).filter(|to| *to != from) {
                let config = &self.processes[from].config;
                let heartbeat = Event::Heartbeat {
                    from,
                    to,
                    number: config.number(),
                    tag: config.tag(),
                };
                self.queue.schedule(MESSAGE_LATENCY, heartbeat);
            }
        }
        self.queue
            .schedule(HEARTBEAT_INTERVAL, Event::SendHeartbeats);
    }

    /// Delivers an entry's heartbeat. If the receiver has an older head, the entry
    /// pushes its own.
    fn handle_heartbeat(&mut self, from: usize, to: usize, number: TicketNumber, tag: u64) {
        if !self.is_delivered(from, to) {
            return;
        }
        let now = self.queue.now();
        let is_behind = self.processes[to].config.compare_digest(now, number, tag);
        let head = self.processes[from].config.head().cloned();
        if let (true, Some(head), true) = (is_behind, head, self.processes[from].up) {
            self.queue
                .schedule(MESSAGE_LATENCY, Event::Push { from, to, head });
        }
    }

    /// Records a violation for each process that serves requests although a newer ticket
    /// should be in force by now.
    fn check_in_force(&mut self) {
        let now = self.queue.now();
        let due = self
            .accepted
            .iter()
            .rev()
            .find(|(_, (at, _))| now >= *at + IN_FORCE_DEADLINE)
            .map(|(number, _)| *number);
        let Some(due) = due else {
            return;
        };
        for (index, process) in self.processes.iter().enumerate() {
            let paused = process.paused_until.is_some_and(|until| now < until);
            let serves = process.up && !paused && process.config.is_fresh(now, IN_FORCE_DEADLINE);
            if serves && process.config.number() < due {
                let in_force = process.config.number();
                self.violations.push(format!(
                    "process {index} serves under ticket {in_force} although ticket {due} is due"
                ));
            }
        }
    }
}

/// Returns the class of the step that an event is, and the process that takes it.
fn classify(event: &Event) -> (StepClass, Option<usize>) {
    match event {
        Event::Submit(..) | Event::SubmitNext | Event::SendHeartbeats | Event::Replace(_) => {
            (StepClass::External, None)
        }
        Event::StoreRead(_) | Event::StoreResponse(..) => (StepClass::Store, None),
        Event::StoreWrite(..) => (StepClass::StoreWrite, None),
        Event::WatchDelivery(entry, _) => (StepClass::Watch, Some(*entry)),
        Event::WatchRenewal(entry) => (StepClass::Store, Some(*entry)),
        Event::Heartbeat { to, .. } | Event::Push { to, .. } => (StepClass::Message, Some(*to)),
    }
}
