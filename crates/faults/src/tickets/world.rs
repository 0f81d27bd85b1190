//! The desks, the processes, and the ways by which a head reaches them.

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

/// The first processes are entries, the rest agents.
const ENTRIES: usize = 2;
const PROCESSES: usize = 4;
const HOP: Duration = Duration::from_millis(1);
const STORE: Duration = Duration::from_millis(5);
const DESK_PAUSE: Duration = Duration::from_millis(300);
/// Time between heartbeats; longer than in service, to keep runs short.
const BEAT: Duration = Duration::from_secs(1);
/// Longest wait of a watch: the head is read at least this often.
const WATCH: Duration = Duration::from_secs(5);
/// Within this time an accepted ticket is in force wherever work is taken.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(16);
const MAX_STEPS: usize = 20_000;

#[derive(Clone, Debug)]
enum Event {
    Apply(usize, Vec<u64>),
    ApplyNext,
    DeskRead(usize),
    DeskWrite(usize, u64, Box<Head>),
    DeskAnswer(usize, SubmitInput),
    /// The store shows a head to an entry.
    Watch(usize, Arc<Head>),
    /// An entry's watch ends and begins again.
    Rewatch(usize),
    Beats,
    Beat {
        from: usize,
        to: usize,
        number: TicketNumber,
        tag: u64,
    },
    Push {
        from: usize,
        to: usize,
        head: Arc<Head>,
    },
    Replace(usize),
}

struct Process {
    up: bool,
    paused_until: Option<Instant>,
    book: ConfigState,
    /// Highest number in force in this life.
    highest: TicketNumber,
}

impl Process {
    fn new() -> Self {
        Self {
            up: true,
            paused_until: None,
            book: ConfigState::new(),
            highest: TicketNumber(0),
        }
    }
}

/// Everything.
pub(crate) struct World {
    queue: EventQueue<Event>,
    mutation: Option<Mutation>,
    processes: Vec<Process>,
    desks: BTreeMap<usize, TicketSubmitter>,
    head: Arc<Head>,
    former: Arc<Head>,
    version: u64,
    /// When each ticket was accepted, and its digest.
    accepted: BTreeMap<TicketNumber, (Instant, u64)>,
    store: StoreHealth,
    silence: LinkSilence,
    pub(crate) violations: Vec<String>,
    pub(crate) injector: FaultInjector,
    next_desk: usize,
}

fn ticket(number: u64, variant: &str) -> Ticket {
    let text = format!("number = {number}\ntitle = \"{variant}\"\n");
    Ticket::parse("t.toml", &text).expect("the ticket is valid")
}

impl World {
    pub(crate) fn new(faults: &[Fault], mutation: Option<Mutation>) -> Self {
        let empty = Arc::new(Head::empty());
        let mut world = Self {
            queue: EventQueue::new(),
            mutation,
            processes: (0..PROCESSES).map(|_| Process::new()).collect(),
            desks: BTreeMap::new(),
            head: Arc::clone(&empty),
            former: empty,
            version: 0,
            accepted: BTreeMap::new(),
            store: StoreHealth::default(),
            silence: LinkSilence::default(),
            violations: Vec::new(),
            injector: FaultInjector::new(faults),
            next_desk: 10,
        };
        world.queue.schedule(BEAT, Event::Beats);
        for entry in 0..ENTRIES {
            world.queue.schedule(WATCH, Event::Rewatch(entry));
        }
        world
    }

    pub(crate) fn apply(&mut self, at: Duration, desk: usize, numbers: RangeInclusive<u64>) {
        self.queue
            .schedule(at, Event::Apply(desk, numbers.collect()));
    }

    /// Applies the ticket that follows whatever is accepted by then.
    pub(crate) fn apply_next(&mut self, at: Duration) {
        self.queue.schedule(at, Event::ApplyNext);
    }

    pub(crate) fn run(&mut self, end: Duration) {
        while self.queue.elapsed() < end && self.injector.steps.len() < MAX_STEPS {
            let Some(Next::Event(event)) = self.queue.pop(None) else {
                return;
            };
            self.take(event);
            self.look();
        }
    }

    /// Returns what is not in force everywhere at the end.
    pub(crate) fn behind(&self) -> Option<String> {
        let last = self.head.number;
        let numbers: Vec<u64> = self.processes.iter().map(|p| p.book.number().0).collect();
        let everywhere = numbers.iter().all(|number| *number == last.0);
        let alike = self
            .processes
            .iter()
            .all(|p| p.book.tag() == self.head.tag());
        let probed = self.accepted.values().any(|(at, _)| {
            self.queue.now().saturating_duration_since(*at) < Duration::from_secs(11)
        });
        (!everywhere || !alike || !probed)
            .then(|| format!("head {last}, in force {numbers:?}, probe accepted: {probed}"))
    }

    fn take(&mut self, event: Event) {
        if let Event::Beats = event {
            self.send_beats();
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

    fn begin_step(&mut self, class: StepClass, process: Option<usize>, event: &Event) -> bool {
        let due = self.injector.begin_step(class, self.queue.elapsed());
        let mut takes_place = true;
        for kind in due {
            takes_place &= self.fault(kind, process, event);
        }
        takes_place
    }

    fn fault(&mut self, kind: FaultKind, process: Option<usize>, event: &Event) -> bool {
        let now = self.queue.now();
        match kind {
            FaultKind::Lost => return false,
            FaultKind::Duplicated => self.queue.schedule(HOP, event.clone()),
            FaultKind::Delayed => {
                self.queue.schedule(MESSAGE_DELAY, event.clone());
                return false;
            }
            FaultKind::Reordered => {
                self.queue.schedule(REORDER_DELAY, event.clone());
                return false;
            }
            FaultKind::SilentOneWay | FaultKind::SilentBothWays => {
                if let Event::Beat { from, to, .. } | Event::Push { from, to, .. } = event {
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
                if let Event::DeskWrite(desk, version, head) = event {
                    self.write(*version, head);
                    let unknown = SubmitInput::Written(WriteResult::Unknown);
                    let answer = Event::DeskAnswer(*desk, unknown);
                    self.queue.schedule(STORE_TIMEOUT, answer);
                    return false;
                }
            }
            FaultKind::StaleWatch => {
                if let Event::Watch(entry, _) = event {
                    let stale = Event::Watch(*entry, Arc::clone(&self.former));
                    self.queue.schedule(HOP, stale);
                    self.queue.schedule(STORE_FAULT_DURATION, event.clone());
                    return false;
                }
            }
            FaultKind::OperatorRace => {
                // Another desk wants the next number for something else.
                let number = self.head.number.0 + 1;
                let desk = self.new_desk(TicketSubmitter::new("rival", [ticket(number, "rival")]));
                self.desk(desk, SubmitInput::Start);
            }
            FaultKind::EndpointCrash => {}
        }
        true
    }

    fn new_desk(&mut self, desk: TicketSubmitter) -> usize {
        self.next_desk += 1;
        self.desks.insert(self.next_desk, desk);
        self.next_desk
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Apply(desk, numbers) => {
                let tickets = numbers.into_iter().map(|number| ticket(number, "plan"));
                self.desks
                    .insert(desk, TicketSubmitter::new("desk", tickets));
                self.desk(desk, SubmitInput::Start);
            }
            Event::ApplyNext => {
                let number = self.head.number.0 + 1;
                let desk = self.new_desk(TicketSubmitter::new("desk", [ticket(number, "probe")]));
                self.desk(desk, SubmitInput::Start);
            }
            Event::DeskRead(desk) => self.desk_reads(desk),
            Event::DeskWrite(desk, version, head) => self.desk_writes(desk, version, &head),
            Event::DeskAnswer(desk, input) => self.desk(desk, input),
            Event::Watch(entry, head) => {
                if self.processes[entry].up {
                    self.offer(entry, &head);
                }
            }
            Event::Rewatch(entry) => self.rewatch(entry),
            Event::Beats => {}
            Event::Beat {
                from,
                to,
                number,
                tag,
            } => self.beat(from, to, number, tag),
            Event::Push { from, to, head } => {
                if self.gets_through(from, to) {
                    self.offer(to, &head);
                }
            }
            Event::Replace(process) => {
                if !self.processes[process].up {
                    self.processes[process] = Process::new();
                    if process < ENTRIES {
                        self.queue.schedule(HOP, Event::Rewatch(process));
                    }
                }
            }
        }
    }

    fn gets_through(&self, from: usize, to: usize) -> bool {
        self.processes[to].up && !self.silence.is_silent(self.queue.now(), from, to)
    }

    fn desk(&mut self, desk: usize, input: SubmitInput) {
        let mut out = Vec::new();
        if let Some(held) = self.desks.get_mut(&desk) {
            held.handle(input, &mut out);
        }
        for output in out {
            match output {
                SubmitOutput::Read => self.queue.schedule(HOP, Event::DeskRead(desk)),
                SubmitOutput::ReadAfterDelay => {
                    self.queue.schedule(DESK_PAUSE, Event::DeskRead(desk))
                }
                SubmitOutput::Write(version, head) => {
                    let write = Event::DeskWrite(desk, version, head);
                    self.queue.schedule(HOP, write);
                }
                SubmitOutput::Accepted(..) | SubmitOutput::Refused(_) | SubmitOutput::Done => {}
            }
        }
    }

    fn desk_reads(&mut self, desk: usize) {
        let (pause, input) = match self.store.response_delay(self.queue.now()) {
            Some(pause) => (
                pause,
                SubmitInput::Read(self.version, Head::clone(&self.head)),
            ),
            None => (STORE_TIMEOUT, SubmitInput::ReadFailed),
        };
        self.queue.schedule(pause, Event::DeskAnswer(desk, input));
    }

    fn desk_writes(&mut self, desk: usize, version: u64, head: &Head) {
        let (pause, result) = match self.store.response_delay(self.queue.now()) {
            Some(pause) => (pause, self.write(version, head)),
            None => (STORE_TIMEOUT, WriteResult::Unknown),
        };
        let answer = Event::DeskAnswer(desk, SubmitInput::Written(result));
        self.queue.schedule(pause, answer);
    }

    fn write(&mut self, if_version: u64, head: &Head) -> WriteResult {
        if if_version != self.version {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.former = std::mem::replace(&mut self.head, Arc::new(head.clone()));
        self.accepted
            .insert(head.number, (self.queue.now(), head.tag()));
        for entry in 0..ENTRIES {
            let watch = Event::Watch(entry, Arc::clone(&self.head));
            self.queue.schedule(STORE, watch);
        }
        WriteResult::Written(self.version)
    }

    fn rewatch(&mut self, entry: usize) {
        if self.processes[entry].up {
            if let Some(pause) = self.store.response_delay(self.queue.now()) {
                let watch = Event::Watch(entry, Arc::clone(&self.head));
                self.queue.schedule(pause, watch);
            }
            self.queue.schedule(WATCH, Event::Rewatch(entry));
        }
    }

    fn offer(&mut self, process: usize, head: &Arc<Head>) {
        let now = self.queue.now();
        let held = &mut self.processes[process];
        if head.number.0 == 0 {
            return;
        }
        if self.mutation == Some(Mutation::AcceptAnyHead) {
            held.book = ConfigState::new();
        }
        let adoption = held.book.update(now, head);
        if adoption == HeadUpdate::Conflict {
            self.violations.push(format!(
                "process {process} was offered another {}",
                head.number
            ));
        }
        let number = held.book.number();
        if number < held.highest {
            self.violations
                .push(format!("process {process} went back to {number}"));
        }
        held.highest = held.highest.max(number);
        if adoption == HeadUpdate::Adopted && process < ENTRIES {
            for to in (0..PROCESSES).filter(|to| *to != process) {
                let push = Event::Push {
                    from: process,
                    to,
                    head: Arc::clone(head),
                };
                self.queue.schedule(HOP, push);
            }
        }
    }

    fn send_beats(&mut self) {
        for from in 0..ENTRIES {
            if !self.processes[from].up {
                continue;
            }
            for to in (0..PROCESSES).filter(|to| *to != from) {
                let book = &self.processes[from].book;
                let beat = Event::Beat {
                    from,
                    to,
                    number: book.number(),
                    tag: book.tag(),
                };
                self.queue.schedule(HOP, beat);
            }
        }
        self.queue.schedule(BEAT, Event::Beats);
    }

    /// An entry's beat; its answer shows whether the peer is behind.
    fn beat(&mut self, from: usize, to: usize, number: TicketNumber, tag: u64) {
        if !self.gets_through(from, to) {
            return;
        }
        let now = self.queue.now();
        let behind = self.processes[to].book.compare_digest(now, number, tag);
        let head = self.processes[from].book.head().cloned();
        if let (true, Some(head), true) = (behind, head, self.processes[from].up) {
            self.queue.schedule(HOP, Event::Push { from, to, head });
        }
    }

    /// Looks whether work is taken anywhere by what a ticket has replaced.
    fn look(&mut self) {
        let now = self.queue.now();
        let due = self
            .accepted
            .iter()
            .rev()
            .find(|(_, (at, _))| now >= *at + IN_FORCE_WITHIN)
            .map(|(number, _)| *number);
        let Some(due) = due else {
            return;
        };
        for (index, process) in self.processes.iter().enumerate() {
            let paused = process.paused_until.is_some_and(|until| now < until);
            let serves = process.up && !paused && process.book.is_fresh(now, IN_FORCE_WITHIN);
            if serves && process.book.number() < due {
                let held = process.book.number();
                self.violations.push(format!(
                    "process {index} serves by {held} although {due} is due"
                ));
            }
        }
    }
}

fn classify(event: &Event) -> (StepClass, Option<usize>) {
    match event {
        Event::Apply(..) | Event::ApplyNext | Event::Beats | Event::Replace(_) => {
            (StepClass::External, None)
        }
        Event::DeskRead(_) | Event::DeskAnswer(..) => (StepClass::Store, None),
        Event::DeskWrite(..) => (StepClass::StoreWrite, None),
        Event::Watch(entry, _) => (StepClass::Watch, Some(*entry)),
        Event::Rewatch(entry) => (StepClass::Store, Some(*entry)),
        Event::Beat { to, .. } | Event::Push { to, .. } => (StepClass::Message, Some(*to)),
    }
}
