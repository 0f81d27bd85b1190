//! A simulation of entries that keep the bound for cold runners together.
//!
//! Entries run the production code of [`Pool`] and [`EntryCount`], and the leader through
//! which they are linked that of [`DemandTable`]; runners, links and requests are fakes.
//! Runners restart cold and turn cold while they are in use, and the list shows it late.
//! Entries restart with empty memory, freeze and send what was waiting when they wake up,
//! and are cut off; leaders are lost; entries get unequal parts of the load.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_core::gateway::Admission;
use wisteriawick_core::gateway::ColdLimit;
use wisteriawick_core::gateway::ColdStart;
use wisteriawick_core::gateway::DemandTable;
use wisteriawick_core::gateway::DequeuedRequest;
use wisteriawick_core::gateway::EntryCount;
use wisteriawick_core::gateway::EntryId;
use wisteriawick_core::gateway::EntryShare;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::gateway::PoolLimits;
use wisteriawick_core::gateway::QueuedRequest;
use wisteriawick_core::gateway::QueuedRequestId;
use wisteriawick_core::gateway::RequestSize;
use wisteriawick_core::gateway::RunnerOutcome;
use wisteriawick_core::gateway::Selection;
use wisteriawick_core::gateway::ServiceDemand;
use wisteriawick_core::hosting::ColdAllowance;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::hosting::ListedState;

/// Length of a step.
const STEP: Duration = Duration::from_millis(10);
/// Steps of a run, thirty seconds.
const STEPS: u64 = 3_000;
const STEPS_PER_SECOND: u64 = 100;
const RUNNERS: usize = 16;
/// Steps for which a runner is cold: five seconds.
const COLD_STEPS: u64 = 500;
/// Steps until processes that start together have found each other: twelve seconds.
const SETTLED_STEPS: u64 = 1_200;
/// Number of runners that are left when most are lost.
const LEFT_RUNNERS: usize = 4;
/// Steps in which most runners are lost.
const LOSS: Range<u64> = 1_500..1_900;
/// Steps after which the list shows what has become of a runner: two seconds.
const LIST_STEPS: u64 = 200;
/// Steps between two refreshes of an entry's share.
const REFRESH_STEPS: u64 = 10;
/// Steps between two reports of an entry.
const REPORT_STEPS: u64 = 25;
/// Steps for which an entry uses a share without a further message of the leader.
const SHARE_STEPS: u64 = 200;
/// Steps until a process that restarted or lost its leader is linked again.
const RELINK_STEPS: u64 = 100;
/// Most steps for which an entry is frozen or cut off.
const MAX_FAULT_STEPS: u64 = 800;
/// Most steps until a leader notices that an entry is frozen or cut off.
const MAX_NOTICE_STEPS: u64 = 300;
/// Mean requests of all entries in a step.
const REQUESTS_PER_STEP: f64 = 0.6;
/// Most steps from the choice of a runner to the sending.
const MAX_CONNECT_STEPS: u64 = 4;
/// Fewest and most steps of a request at a runner.
const RESPONSE_STEPS: Range<u64> = 40..160;

/// The bound, the entries and the faults of a run. Intervals are mean steps between two
/// faults; zero for none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdFaults {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Requests per second that a cold runner takes.
    pub per_second: f64,
    /// How much more load each entry gets than the next one; 1.0 for equal loads.
    pub skew: f64,
    /// Most steps for which a message is on its way.
    pub message_delay: u64,
    /// Between restarts of an entry.
    pub entry_restart_interval: u64,
    /// Between entries that freeze and wake up.
    pub freeze_interval: u64,
    /// Between entries that are cut off from the leader.
    pub cut_interval: u64,
    /// Between losses of the leader.
    pub leader_restart_interval: u64,
    /// Whether most runners are lost and return cold, while the rest turn cold.
    pub loses_runners: bool,
}

impl ColdFaults {
    /// Returns the requests in any second that a cold runner may get.
    pub fn bound(&self) -> f64 {
        self.per_second * ALLOWANCE.factor + ALLOWANCE.extra
    }
}

const ALLOWANCE: ColdAllowance = ColdAllowance {
    factor: 1.5,
    extra: 5.0,
};

/// A deliberate defect, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdMutation {
    /// Entries know of no bound.
    IgnoresBound,
    /// Each entry uses an equal part among one entry less than half of them.
    CountsTooFew,
}

/// What a run counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdReport {
    /// Most requests that a cold runner got in a second.
    pub most_in_second: usize,
    /// Requests that arrived at entries after they had found each other.
    pub requests: usize,
    /// Requests that were sent to a runner after that.
    pub sent: usize,
}

/// Runs the simulation once.
pub fn run_cold_runners(faults: ColdFaults, mutation: Option<ColdMutation>) -> ColdReport {
    let mut simulation = Simulation::new(faults, mutation);
    for step in 0..STEPS {
        simulation.run_step(step);
    }
    simulation.report()
}

struct Entry {
    id: EntryId,
    pool: Pool,
    count: EntryCount,
    /// What the leader told last, and when.
    told: Option<(u64, EntryShare)>,
    /// When its link works again.
    linked_at: u64,
    /// When the leader notices that its link has ended.
    noticed_at: Option<u64>,
    /// Until when it is frozen.
    frozen_until: u64,
}

struct Request {
    entry: usize,
    id: EntryId,
    selection: Selection,
    send_at: u64,
    /// When its response arrives; `None` until it is sent.
    ends_at: Option<u64>,
}

struct Message {
    due: u64,
    entry: usize,
    id: EntryId,
    content: Content,
}

enum Content {
    ToLeader(f64),
    ToEntry(Option<EntryShare>, u16),
}

/// A runner: since when it is cold, and what the list says of it.
#[derive(Clone, Debug)]
struct Runner {
    cold: Vec<Range<u64>>,
    listed: ListedRunner,
    /// What the list will say, and when.
    written: VecDeque<(u64, ListedRunner)>,
    arrivals: Vec<u64>,
}

struct Simulation {
    faults: ColdFaults,
    mutation: Option<ColdMutation>,
    rng: SmallRng,
    start: Instant,
    entries: Vec<Entry>,
    runners: Vec<Runner>,
    table: DemandTable,
    requests: Vec<Request>,
    messages: Vec<Message>,
    next_id: u64,
    arrived: usize,
    sent: usize,
}

fn new_runner(n: usize) -> Runner {
    Runner {
        cold: Vec::new(),
        listed: ListedRunner {
            id: format!("r{n}").as_str().into(),
            service: "s".into(),
            address: ([10, 0, 0, n as u8], 80).into(),
            place: "here".into(),
            slots: 64,
            state: ListedState::Ready,
            cold_remaining: Duration::ZERO,
            sequence: None,
            started_unix_ms: Some(1),
        },
        written: VecDeque::new(),
        arrivals: Vec::new(),
    }
}

impl Simulation {
    fn new(faults: ColdFaults, mutation: Option<ColdMutation>) -> Self {
        let mut simulation = Self {
            faults,
            mutation,
            rng: SmallRng::seed_from_u64(faults.seed),
            start: Instant::now(),
            entries: Vec::new(),
            runners: (0..RUNNERS).map(new_runner).collect(),
            table: DemandTable::default(),
            requests: Vec::new(),
            messages: Vec::new(),
            next_id: 0,
            arrived: 0,
            sent: 0,
        };
        for _ in 0..faults.entries {
            let entry = simulation.new_entry(0);
            simulation.entries.push(entry);
        }
        simulation
    }

    fn new_entry(&mut self, step: u64) -> Entry {
        let now = self.time(step);
        let limits = PoolLimits {
            max_per_runner: 64,
            max_without_report: 64,
            has_groups: false,
            max_pass_time: None,
            max_queued: 64,
            max_wait_share: 0.5,
        };
        let mut pool = Pool::new(now, "here".into(), limits, self.rng.random());
        if self.mutation != Some(ColdMutation::IgnoresBound) {
            let start = ColdStart {
                time: STEP * COLD_STEPS as u32,
                per_second: self.faults.per_second,
            };
            pool.set_cold_limit(now, Some(ColdLimit::new(start, ALLOWANCE)));
        }
        pool.set_runners(now, self.listed(step));
        self.next_id += 1;
        let id = EntryId(self.next_id);
        self.table.join(id);
        Entry {
            id,
            pool,
            count: EntryCount::default(),
            told: None,
            linked_at: step + RELINK_STEPS,
            noticed_at: None,
            frozen_until: 0,
        }
    }

    fn listed(&self, step: u64) -> Vec<ListedRunner> {
        let count = match self.faults.loses_runners && LOSS.contains(&step) {
            true => LEFT_RUNNERS,
            false => RUNNERS,
        };
        let listed = self.runners.iter().map(|runner| runner.listed.clone());
        listed.take(count).collect()
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
        self.turn_cold(step);
        self.update_list(step);
        self.deliver(step);
        self.refresh(step);
        self.arrive(step);
        self.send_due(step);
        self.end_due(step);
        self.report_due(step);
    }

    fn inject(&mut self, step: u64) {
        let now = self.time(step);
        let n = self.rng.random_range(0..self.entries.len());
        if self.happens(self.faults.entry_restart_interval) {
            self.table.leave(now, self.entries[n].id);
            self.requests.retain(|request| request.entry != n);
            self.entries[n] = self.new_entry(step);
        }
        let time = self.rng.random_range(1..MAX_FAULT_STEPS);
        let is_frozen = self.happens(self.faults.freeze_interval);
        if (is_frozen || self.happens(self.faults.cut_interval))
            && self.entries[n].noticed_at.is_none()
        {
            let notice = self.rng.random_range(0..MAX_NOTICE_STEPS);
            let entry = &mut self.entries[n];
            entry.linked_at = step + time;
            entry.noticed_at = Some(step + notice);
            if is_frozen {
                entry.frozen_until = step + time;
            }
        }
        if self.happens(self.faults.leader_restart_interval) {
            self.table = DemandTable::default();
            for entry in &mut self.entries {
                entry.linked_at = entry.linked_at.max(step + RELINK_STEPS);
                entry.noticed_at = Some(step);
            }
        }
        for entry in &mut self.entries {
            if entry.noticed_at == Some(step) {
                self.table.leave(now, entry.id);
            }
            if entry.noticed_at.is_some_and(|at| at <= step) && entry.linked_at <= step {
                self.table.join(entry.id);
                entry.noticed_at = None;
            }
        }
    }

    /// Lets some runners restart cold and others turn cold while they are in use.
    fn turn_cold(&mut self, step: u64) {
        if step.is_multiple_of(STEPS_PER_SECOND) {
            let n = self.rng.random_range(0..self.runners.len());
            self.turn_one_cold(step, n, LIST_STEPS);
        }
        if self.faults.loses_runners && step == LOSS.start {
            (0..LEFT_RUNNERS).for_each(|n| self.turn_one_cold(step, n, LIST_STEPS));
        }
        if self.faults.loses_runners && step == LOSS.end {
            (LEFT_RUNNERS..RUNNERS).for_each(|n| self.turn_one_cold(step, n, 1));
        }
    }

    fn turn_one_cold(&mut self, step: u64, n: usize, max_lag: u64) {
        let has_restarted = self.rng.random::<bool>();
        let runner = &mut self.runners[n];
        let end = step + COLD_STEPS;
        runner.cold.push(step..end);
        let last = runner.written.back().map(|(_, listed)| listed);
        let mut listed = last.unwrap_or(&runner.listed).clone();
        if has_restarted {
            listed.started_unix_ms = Some(step + 2);
        }
        listed.cold_remaining = STEP * COLD_STEPS as u32;
        let lag = self.rng.random_range(0..max_lag);
        self.runners[n].written.push_back((step + lag, listed));
    }

    fn update_list(&mut self, step: u64) {
        let mut is_changed = step == LOSS.start || step == LOSS.end;
        for runner in &mut self.runners {
            while runner.written.front().is_some_and(|(at, _)| *at <= step) {
                if let Some((_, listed)) = runner.written.pop_front() {
                    runner.listed = listed;
                    is_changed = true;
                }
            }
        }
        if is_changed {
            let now = self.time(step);
            let listed = self.listed(step);
            for entry in &mut self.entries {
                if entry.frozen_until <= step {
                    entry.pool.set_runners(now, listed.clone());
                }
            }
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
                Content::ToLeader(per_second) => {
                    let demand = ServiceDemand {
                        service: "s".into(),
                        per_second,
                    };
                    self.table.report(message.id, vec![demand]);
                    let shares = self.table.shares(now, message.id);
                    let share = shares.first().map(|share| share.share);
                    let is_linked = |entry: &&Entry| entry.noticed_at.is_none_or(|at| at > step);
                    let linked = self.entries.iter().filter(is_linked).count();
                    let due = step + self.delay();
                    self.messages.push(Message {
                        due,
                        content: Content::ToEntry(share, linked as u16),
                        ..message
                    });
                }
                Content::ToEntry(share, linked) => {
                    entry.count.update(now, linked);
                    entry.told = share.map(|share| (step, share));
                }
            }
        }
    }

    fn refresh(&mut self, step: u64) {
        if !step.is_multiple_of(REFRESH_STEPS) {
            return;
        }
        let now = self.time(step);
        let wrong_count = (self.faults.entries as u32 / 2).saturating_sub(1).max(1);
        for entry in &mut self.entries {
            if entry.frozen_until > step {
                continue;
            }
            let recent = entry.told.filter(|(at, _)| at + SHARE_STEPS > step);
            let told = recent.map(|(_, share)| share);
            let (count, told) = match self.mutation {
                Some(ColdMutation::CountsTooFew) => {
                    (wrong_count, Some(EntryShare::equal(wrong_count)))
                }
                _ => (entry.count.get_settled(now).into(), told),
            };
            entry.pool.set_cold_share(now, count, told);
        }
        for n in 0..self.entries.len() {
            if self.entries[n].frozen_until <= step {
                let dequeued = self.entries[n].pool.dispatch_queued(now);
                self.start_dequeued(step, n, dequeued);
            }
        }
    }

    /// Gives new requests to entries that are not frozen, the first of which get the most.
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
        if self.entries[n].frozen_until > step {
            return;
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
        self.arrived += usize::from(step >= SETTLED_STEPS);
        let admission = self.entries[n].pool.admit(now, request);
        if let Admission::Run(selection) = admission {
            self.start_request(step, n, selection);
        }
    }

    fn start_dequeued(&mut self, step: u64, n: usize, dequeued: Vec<DequeuedRequest>) {
        for request in dequeued {
            if let Admission::Run(selection) = request.admission {
                self.start_request(step, n, selection);
            }
        }
    }

    fn start_request(&mut self, step: u64, n: usize, selection: Selection) {
        let connect = self.rng.random_range(0..=MAX_CONNECT_STEPS);
        self.requests.push(Request {
            entry: n,
            id: self.entries[n].id,
            selection,
            send_at: step + connect,
            ends_at: None,
        });
    }

    fn send_due(&mut self, step: u64) {
        let now = self.time(step);
        for request in &mut self.requests {
            let entry = &mut self.entries[request.entry];
            let is_due = request.ends_at.is_none() && request.send_at <= step;
            if !is_due || entry.frozen_until > step {
                continue;
            }
            if !entry.pool.hand_out(now, &request.selection) {
                request.ends_at = Some(step);
                continue;
            }
            request.ends_at = Some(step + self.rng.random_range(RESPONSE_STEPS));
            self.sent += usize::from(step >= SETTLED_STEPS);
            let id = &request.selection.runner.id;
            let runners = &mut self.runners;
            if let Some(runner) = runners.iter_mut().find(|runner| runner.listed.id == *id) {
                runner.arrivals.push(step);
            }
        }
    }

    fn end_due(&mut self, step: u64) {
        let now = self.time(step);
        let entries = &self.entries;
        let is_due = |request: &mut Request| {
            let is_awake = entries[request.entry].frozen_until <= step;
            is_awake && request.ends_at.is_some_and(|at| at <= step)
        };
        let due: Vec<Request> = self.requests.extract_if(.., is_due).collect();
        for request in due {
            let entry = &mut self.entries[request.entry];
            if entry.id != request.id {
                continue;
            }
            let id = &request.selection.runner.id;
            let dequeued = entry.pool.request_ended(now, id, RunnerOutcome::Served);
            self.start_dequeued(step, request.entry, dequeued);
        }
    }

    fn report_due(&mut self, step: u64) {
        if !step.is_multiple_of(REPORT_STEPS) {
            return;
        }
        let now = self.time(step);
        for n in 0..self.entries.len() {
            let due = step + self.delay();
            let entry = &self.entries[n];
            if entry.linked_at > step || entry.frozen_until > step {
                continue;
            }
            self.messages.push(Message {
                due,
                entry: n,
                id: entry.id,
                content: Content::ToLeader(entry.pool.demand(now)),
            });
        }
    }

    fn report(&self) -> ColdReport {
        let most_at = |runner: &Runner| {
            let in_second = |from: u64| {
                let second = from..from + STEPS_PER_SECOND;
                let is_cold = |cold: &Range<u64>| cold.contains(&from);
                let arrivals = runner.arrivals.iter();
                match runner.cold.iter().any(is_cold) {
                    true => arrivals.filter(|at| second.contains(at)).count(),
                    false => 0,
                }
            };
            let counts = runner.arrivals.iter().map(|from| in_second(*from));
            counts.max().unwrap_or(0)
        };
        ColdReport {
            most_in_second: self.runners.iter().map(most_at).max().unwrap_or(0),
            requests: self.arrived,
            sent: self.sent,
        }
    }
}
