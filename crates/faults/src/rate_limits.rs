//! A simulation of entries that keep the rate limit of a runner together.
//!
//! Entries run the production code of [`Pool`], and the leader through which they are
//! linked that of [`DemandTable`] and [`LimitNotes`]; runners, links and requests are fakes.
//! Responses overtake each other, messages are late, links break, processes restart with
//! empty memory, and entries get unequal parts of the load.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::DemandTable;
use wisteriawick_core::gateway::EntryId;
use wisteriawick_core::gateway::EntryShare;
use wisteriawick_core::gateway::LimitNote;
use wisteriawick_core::gateway::LimitNotes;
use wisteriawick_core::gateway::LimitNotice;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::PoolLimits;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RateLimit;
use wisteriawick_core::gateway::RequestSize;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::gateway::Selection;
use wisteriawick_core::gateway::ServiceDemand;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::hosting::ListedState;

/// Length of a step.
const STEP: Duration = Duration::from_millis(10);
/// Steps of a run, thirty-five seconds.
const STEPS: u64 = 3_500;
const RUNNERS: u8 = 4;
/// Steps in which the first runner names its limit.
const LIMITED: std::ops::Range<u64> = 300..2_000;
/// Steps after its begin from which the limit must be kept: three seconds.
const STABLE_STEPS: u64 = 300;
/// Steps of the windows in which requests are counted: four seconds.
const WINDOW_STEPS: u64 = 400;
/// Steps after which an entry that was told the limit is bound by it: half a second.
const TOLD_STEPS: u64 = 50;
/// Steps after the end of the limit from which the runner is used freely again: the
/// longest time between two requests of one entry at the smallest limit of half a request
/// per second, eight seconds, and two for the others to be told.
const END_STEPS: u64 = 1_000;
/// Steps between two reports of an entry.
const REPORT_STEPS: u64 = 25;
/// Steps for which an entry uses a share without a further message of the leader.
const SHARE_STEPS: u64 = 200;
/// Steps until a process that restarted or lost its link is linked again.
const RELINK_STEPS: u64 = 100;
/// Entries that are assumed while no leader tells a share.
const ASSUMED_ENTRIES: u32 = 8;
/// Mean requests of all entries in a step.
const REQUESTS_PER_STEP: f64 = 0.8;
/// Most steps from the choice of a runner to the sending.
const MAX_CONNECT_STEPS: u64 = 4;
/// Fewest and most steps of a request at a runner.
const RESPONSE_STEPS: std::ops::Range<u64> = 2..40;

/// The limit, the entries and the faults of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitFaults {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Requests per second that the runner takes.
    pub limit: f64,
    /// How much more load each entry gets than the next one; 1.0 for equal loads.
    pub skew: f64,
    /// Most steps for which a message is on its way.
    pub message_delay: u64,
    /// Mean steps between restarts of an entry; zero for none.
    pub entry_restart_interval: u64,
    /// Mean steps between restarts of the leader; zero for none.
    pub leader_restart_interval: u64,
    /// Mean steps between breaks of a link; zero for none.
    pub link_break_interval: u64,
}

/// A deliberate defect, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitMutation {
    /// Entries do not read the limit.
    IgnoresLimit,
    /// Each entry keeps the whole limit.
    UsesWholeLimit,
    /// Responses without a limit end none.
    NeverEnds,
}

/// What a run counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitReport {
    /// Most requests in a window of those entries that had been told the limit.
    pub most_in_window: usize,
    /// Requests of all entries while the limit had to be kept.
    pub while_limited: usize,
    /// Requests of all entries in a window after the limit had ended.
    pub after_end: usize,
}

/// Runs the simulation once.
pub fn run_rate_limits(faults: LimitFaults, mutation: Option<LimitMutation>) -> LimitReport {
    let mut simulation = Simulation::new(faults, mutation);
    for step in 0..STEPS {
        simulation.run_step(step);
    }
    simulation.report()
}

struct Entry {
    id: EntryId,
    pool: Pool,
    /// When its link works again.
    linked_at: u64,
    /// When the leader last told it a share.
    share_at: Option<u64>,
    /// When a response first told it the limit.
    told_at: Option<u64>,
}

struct Request {
    entry: usize,
    id: EntryId,
    selection: Selection,
    send_at: u64,
    /// When the runner makes the response; `None` until the request is sent.
    made_at: Option<u64>,
    sent_at: u64,
    arrives_at: u64,
    notice: LimitNotice,
}

enum Content {
    ToLeader(Vec<ServiceDemand>, Vec<LimitNote>),
    ToEntry(Vec<EntryShare>, Vec<LimitNote>),
}

struct Message {
    due: u64,
    entry: usize,
    id: EntryId,
    content: Content,
}

/// A request that reached the limited runner.
struct Arrival {
    step: u64,
    is_told: bool,
}

struct Simulation {
    faults: LimitFaults,
    mutation: Option<LimitMutation>,
    rng: SmallRng,
    start: Instant,
    entries: Vec<Entry>,
    table: DemandTable,
    notes: LimitNotes,
    requests: Vec<Request>,
    messages: Vec<Message>,
    arrivals: Vec<Arrival>,
    next_id: u64,
}

fn runner(n: u8) -> ListedRunner {
    ListedRunner {
        id: format!("r{n}").as_str().into(),
        service: "s".into(),
        address: ([10, 0, 0, n], 80).into(),
        place: "here".into(),
        slots: 64,
        state: ListedState::Ready,
        cold_remaining: Duration::ZERO,
        sequence: None,
        started_unix_ms: Some(1),
    }
}

fn pool(now: Instant, seed: u64) -> Pool {
    let limits = PoolLimits {
        max_per_runner: 64,
        max_without_report: 64,
        has_groups: false,
        max_pass_time: None,
        max_queued: 64,
        max_wait_share: 0.5,
    };
    let mut pool = Pool::new(now, "here".into(), limits, seed);
    pool.set_runners(now, (0..RUNNERS).map(runner).collect());
    pool.set_share(EntryShare::equal(ASSUMED_ENTRIES));
    pool
}

impl Simulation {
    fn new(faults: LimitFaults, mutation: Option<LimitMutation>) -> Self {
        let mut simulation = Self {
            faults,
            mutation,
            rng: SmallRng::seed_from_u64(faults.seed),
            start: Instant::now(),
            entries: Vec::new(),
            table: DemandTable::default(),
            notes: LimitNotes::default(),
            requests: Vec::new(),
            messages: Vec::new(),
            arrivals: Vec::new(),
            next_id: 0,
        };
        for _ in 0..faults.entries {
            let entry = simulation.new_entry(0);
            simulation.entries.push(entry);
        }
        simulation
    }

    fn new_entry(&mut self, step: u64) -> Entry {
        self.next_id += 1;
        let id = EntryId(self.next_id);
        self.table.join(id);
        Entry {
            id,
            pool: pool(self.time(step), self.rng.random()),
            linked_at: step + RELINK_STEPS,
            share_at: None,
            told_at: None,
        }
    }

    fn time(&self, step: u64) -> Instant {
        self.start + STEP * step as u32
    }

    fn happens(&mut self, interval: u64) -> bool {
        interval > 0 && self.rng.random_range(0..interval) == 0
    }

    fn delay(&mut self) -> u64 {
        1 + self.rng.random_range(0..=self.faults.message_delay)
    }

    fn run_step(&mut self, step: u64) {
        self.inject(step);
        self.deliver(step);
        self.arrive(step);
        self.send_due(step);
        self.respond(step);
        self.report_due(step);
    }

    fn inject(&mut self, step: u64) {
        if self.happens(self.faults.entry_restart_interval) {
            let n = self.rng.random_range(0..self.entries.len());
            let now = self.time(step);
            self.table.leave(now, self.entries[n].id);
            self.requests.retain(|request| request.entry != n);
            self.entries[n] = self.new_entry(step);
        }
        if self.happens(self.faults.leader_restart_interval) {
            self.table = DemandTable::default();
            self.notes = LimitNotes::default();
            for entry in &mut self.entries {
                entry.linked_at = step + RELINK_STEPS;
                self.table.join(entry.id);
            }
        }
        if self.happens(self.faults.link_break_interval) {
            let n = self.rng.random_range(0..self.entries.len());
            self.entries[n].linked_at = step + RELINK_STEPS;
        }
    }

    fn deliver(&mut self, step: u64) {
        let is_due = |message: &mut Message| message.due <= step;
        let due: Vec<Message> = self.messages.extract_if(.., is_due).collect();
        let now = self.time(step);
        for message in due {
            let entry = &mut self.entries[message.entry];
            if entry.id != message.id || entry.linked_at > step {
                continue;
            }
            match message.content {
                Content::ToLeader(demands, notes) => {
                    self.table.report(message.id, demands);
                    for note in &notes {
                        self.notes.merge(now, note);
                    }
                    let shares = self.table.shares(now, message.id);
                    let shares = shares.iter().map(|share| share.share).collect();
                    let content = Content::ToEntry(shares, self.notes.to_notes(now));
                    let due = step + self.delay();
                    self.messages.push(Message {
                        due,
                        content,
                        ..message
                    });
                }
                Content::ToEntry(shares, notes) => {
                    if let Some(share) = shares.first() {
                        entry.share_at = Some(step);
                        self.set_share(message.entry, *share);
                    }
                    if self.mutation != Some(LimitMutation::IgnoresLimit) {
                        let pool = &mut self.entries[message.entry].pool;
                        for note in &notes {
                            pool.learn_limit(now, note);
                        }
                    }
                }
            }
        }
    }

    fn set_share(&mut self, n: usize, share: EntryShare) {
        let share = match self.mutation {
            Some(LimitMutation::UsesWholeLimit) => EntryShare::equal(1),
            _ => share,
        };
        self.entries[n].pool.set_share(share);
    }

    /// Gives new requests to entries, the first of which get the most.
    fn arrive(&mut self, step: u64) {
        if self.rng.random::<f64>() >= REQUESTS_PER_STEP {
            return;
        }
        let weight = |n: usize| self.faults.skew.powi(-(n as i32));
        let total: f64 = (0..self.entries.len()).map(weight).sum();
        let mut point = self.rng.random::<f64>() * total;
        let mut n = 0;
        while n + 1 < self.entries.len() && point >= weight(n) {
            point -= weight(n);
            n += 1;
        }
        let now = self.time(step);
        let request = QueuedRequest {
            queue_id: QueuedRequestId(step),
            priority: 1,
            response_due: now + Duration::from_millis(400),
            deadline: now + Duration::from_secs(2),
            excluded: Vec::new(),
            workspace: None,
            size: RequestSize::default(),
        };
        let entry = &mut self.entries[n];
        if let Admission::Run(selection) = entry.pool.admit(now, request) {
            let id = entry.id;
            let connect = self.rng.random_range(0..=MAX_CONNECT_STEPS);
            self.requests.push(Request {
                entry: n,
                id,
                selection,
                send_at: step + connect,
                made_at: None,
                sent_at: 0,
                arrives_at: u64::MAX,
                notice: LimitNotice::Unlimited,
            });
        }
    }

    fn send_due(&mut self, step: u64) {
        let now = self.time(step);
        for request in &mut self.requests {
            if request.made_at.is_some() || request.send_at > step {
                continue;
            }
            let entry = &mut self.entries[request.entry];
            let made_at = step + self.rng.random_range(RESPONSE_STEPS);
            request.made_at = Some(made_at);
            request.sent_at = step;
            request.arrives_at = made_at + self.rng.random_range(RESPONSE_STEPS);
            if !entry.pool.hand_out(now, &request.selection) {
                // Ends at once, without having reached the runner.
                request.arrives_at = step;
                request.notice = LimitNotice::Unreadable;
                continue;
            }
            if request.selection.runner.id == runner(0).id {
                let is_told = entry.told_at.is_some_and(|at| at + TOLD_STEPS <= step);
                self.arrivals.push(Arrival { step, is_told });
                if LIMITED.contains(&made_at) {
                    let limit = RateLimit::new(self.faults.limit).expect("a valid limit");
                    request.notice = LimitNotice::Limited(limit);
                }
            }
        }
    }

    fn respond(&mut self, step: u64) {
        let now = self.time(step);
        let is_due = |request: &mut Request| request.arrives_at <= step;
        let due: Vec<Request> = self.requests.extract_if(.., is_due).collect();
        for request in due {
            let sent_at = self.time(request.sent_at);
            let entry = &mut self.entries[request.entry];
            if entry.id != request.id {
                continue;
            }
            let is_ignored = matches!(
                (self.mutation, request.notice),
                (Some(LimitMutation::IgnoresLimit), _)
                    | (Some(LimitMutation::NeverEnds), LimitNotice::Unlimited)
            );
            if !is_ignored {
                let runner = &request.selection.runner;
                entry
                    .pool
                    .observe_limit(now, sent_at, runner, request.notice);
            }
            if matches!(request.notice, LimitNotice::Limited(_)) {
                entry.told_at.get_or_insert(step);
            }
            let id = &request.selection.runner.id;
            entry.pool.request_ended(now, id, RunnerOutcome::Served);
        }
    }

    fn report_due(&mut self, step: u64) {
        let now = self.time(step);
        for n in 0..self.entries.len() {
            let due = step + self.delay();
            let entry = &self.entries[n];
            if entry.share_at.is_none_or(|at| at + SHARE_STEPS < step) {
                self.set_share(n, EntryShare::equal(ASSUMED_ENTRIES));
            }
            let entry = &self.entries[n];
            if !step.is_multiple_of(REPORT_STEPS) || entry.linked_at > step {
                continue;
            }
            let demand = ServiceDemand {
                service: "s".into(),
                per_second: entry.pool.demand(now),
            };
            let is_limited = entry.pool.limited_count() > 0;
            let demands = is_limited.then_some(demand).into_iter().collect();
            let notes = entry.pool.limit_notes(now).into_iter();
            let notes = notes.map(|(_, note)| note).collect();
            self.messages.push(Message {
                due,
                entry: n,
                id: entry.id,
                content: Content::ToLeader(demands, notes),
            });
        }
    }

    fn report(&self) -> LimitReport {
        let bound = LIMITED.start + STABLE_STEPS..LIMITED.end;
        let told: Vec<u64> = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.is_told && bound.contains(&arrival.step))
            .map(|arrival| arrival.step)
            .collect();
        let in_window = |from: &u64| {
            let window = *from..from + WINDOW_STEPS;
            told.iter().filter(|step| window.contains(step)).count()
        };
        let count = |span: std::ops::Range<u64>| {
            let steps = self.arrivals.iter().map(|arrival| arrival.step);
            steps.filter(|step| span.contains(step)).count()
        };
        let end = LIMITED.end + END_STEPS;
        LimitReport {
            most_in_window: told.iter().map(in_window).max().unwrap_or(0),
            while_limited: count(bound),
            after_end: count(end..end + WINDOW_STEPS),
        }
    }
}
