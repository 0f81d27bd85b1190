//! The simulated group, in steps of a millisecond.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use wisteriawick_core::hosting::LinkRate;
use wisteriawick_core::maps::CopyBounds;
use wisteriawick_core::maps::CopyBudget;
use wisteriawick_core::maps::CountSchedule;
use wisteriawick_core::maps::CountStep;
use wisteriawick_core::maps::CountWindow;
use wisteriawick_core::maps::EncodedMap;
use wisteriawick_core::maps::ExpertChoices;
use wisteriawick_core::maps::ExpertLoads;
use wisteriawick_core::maps::ExpertMap;
use wisteriawick_core::maps::HoldInput;
use wisteriawick_core::maps::HoldOutput;
use wisteriawick_core::maps::HoldSwitch;
use wisteriawick_core::maps::LastMap;
use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::RankOrder;
use wisteriawick_core::maps::RankView;
use wisteriawick_core::maps::ReportBudget;
use wisteriawick_core::maps::ReportIntervals;
use wisteriawick_core::maps::plan_copies;
use wisteriawick_core::maps::skew;

use crate::control_link::LinkMutation;
use crate::control_link::LinkReport;
use crate::control_link::LinkedGroup;
use crate::control_link::queue::LinkQueue;
use crate::hold_switch::RankEngine;
use crate::hold_switch::SentOrder;

/// Simulated duration of a run, in milliseconds.
const RUN_MS: u64 = 12_000;
/// Time between two shifts of popularity, in milliseconds.
const SHIFT_INTERVAL_MS: u64 = 3_000;
/// Share of a set's experts whose popularity changes in a shift.
const SHIFTED_SHARE: f64 = 0.6;
/// Time of a pass under an even map, in milliseconds.
const EVEN_PASS_MS: f64 = 60.0;
/// Time between two polls of a rank by its agent, in milliseconds.
const IDLE_POLL_MS: u64 = 100;
const ACTIVE_POLL_MS: u64 = 15;
/// Time after an order for which an agent polls more often, in milliseconds.
const ACTIVE_AFTER_ORDER_MS: u64 = 200;
/// Time that a rank's agent takes for an order, in milliseconds.
const ORDER_MS: u64 = 3;
const TICK_MS: u64 = 20;
const PLAN_INTERVAL_MS: u64 = 100;
/// Choices that a rank makes in a pass, in each set.
const CHOICES_PER_PASS: f64 = 3_000.0;
/// A map counts as better than the one before a shift if it lowers the skew that the shift
/// caused by this share of what is above one.
const REACTION_SHARE: f64 = 0.3;
/// Time to copy an expert, as of the engines.
const COPY_TIME: Duration = Duration::from_millis(30);
/// Passes after which a reading is old: several times as many as a plan uses.
const OLD_PASSES: u64 = 8;
/// Passes whose readings a plan uses.
const WINDOW_PASSES: u64 = 7;
/// Bytes of messages without a map or counts.
const STATE_BYTES: usize = 40;
const ORDER_BYTES: usize = 24;
/// Bytes of a change of the experts of one rank in one set.
const CHANGE_BYTES: usize = 5;

/// A message to the leader.
#[derive(Debug)]
enum Report {
    State(usize, RankView),
    Load,
    Counts { pass: u64, chosen: ExpertChoices },
}

/// The agent beside a rank.
struct Member {
    schedule: CountSchedule,
    next_poll_ms: u64,
    active_until_ms: u64,
    /// The order that it carries out, and when it is done.
    order: Option<(u64, SentOrder)>,
    reported: Option<RankView>,
    load_due_ms: u64,
    /// The pass of the last reading of counts.
    read_at_pass: u64,
    /// The maps that its leader sent.
    sent_maps: LastMap,
}

/// The state of a run.
pub(super) struct Group {
    shape: LinkedGroup,
    mutation: Option<LinkMutation>,
    rng: SmallRng,
    start: Instant,
    now_ms: u64,
    engines: Vec<RankEngine>,
    members: Vec<Member>,
    pass: u64,
    /// Time of the pass under way.
    pass_ms: u64,
    next_pass_ms: u64,
    maps: Vec<(MapNumber, Arc<ExpertMap>)>,
    popularity: ExpertLoads,
    /// Sum of all choices of one rank up to each pass.
    counted: Vec<ExpertLoads>,
    incoming: LinkQueue<Report>,
    outgoing: LinkQueue<(usize, SentOrder)>,
    budget: ReportBudget,
    intervals: ReportIntervals,
    switch: HoldSwitch,
    window: CountWindow,
    next_number: u64,
    /// When popularity shifted, and the skew that it caused, until a map reacts.
    shift: Option<(u64, f64)>,
    report: LinkReport,
}

impl Group {
    pub(super) fn new(shape: LinkedGroup, seed: u64, mutation: Option<LinkMutation>) -> Self {
        let start = Instant::now();
        let rate = LinkRate::new(shape.megabits * 1e6 / 8.0);
        let budget = ReportBudget::new(rate);
        let mut intervals = budget.member_intervals(shape.ranks - 1, shape.sets * shape.experts);
        if mutation == Some(LinkMutation::CountsWithoutBudget) {
            intervals.counts = Duration::from_millis(IDLE_POLL_MS);
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let members = (0..shape.ranks).map(|rank| {
            let mut schedule = CountSchedule::new(start);
            schedule.set_interval(start, intervals.counts, rank, shape.ranks);
            Member {
                schedule,
                next_poll_ms: rng.random_range(0..IDLE_POLL_MS),
                active_until_ms: 0,
                order: None,
                reported: None,
                load_due_ms: 0,
                read_at_pass: 0,
                sent_maps: LastMap::default(),
            }
        });
        let members = members.collect();
        let bytes_per_ms = shape.megabits * 1e6 / 8.0 / 1e3;
        let first = ExpertMap::round_robin(shape.sets, shape.ranks, shape.experts);
        let mut group = Self {
            mutation,
            start,
            now_ms: 0,
            engines: vec![RankEngine::new(1, 0); shape.ranks],
            members,
            pass: 0,
            pass_ms: EVEN_PASS_MS as u64,
            next_pass_ms: 0,
            maps: vec![(MapNumber(0), Arc::new(first))],
            popularity: vec![vec![1.0; shape.experts]; shape.sets],
            counted: vec![vec![vec![0.0; shape.experts]; shape.sets]],
            incoming: LinkQueue::new(bytes_per_ms, shape.outage_ms),
            outgoing: LinkQueue::new(bytes_per_ms, shape.outage_ms),
            budget,
            intervals,
            switch: HoldSwitch::new(shape.ranks),
            window: CountWindow::default(),
            next_number: 1,
            shift: None,
            report: LinkReport::default(),
            rng,
            shape,
        };
        group.shift_popularity(1.0);
        group
    }

    pub(super) fn run(mut self) -> LinkReport {
        while self.now_ms < RUN_MS {
            if self.now_ms % SHIFT_INTERVAL_MS == SHIFT_INTERVAL_MS / 2 {
                self.shift_popularity(SHIFTED_SHARE);
                let skew = skew(self.map_in_use(), &self.popularity);
                self.shift = Some((self.now_ms, skew));
            }
            self.run_passes();
            self.run_members();
            self.run_leader();
            self.now_ms += 1;
        }
        self.report.received_share = self.incoming.largest_share();
        self.report.sent_share = self.outgoing.largest_share();
        let waits = [
            self.incoming.longest_wait_ms(),
            self.outgoing.longest_wait_ms(),
        ];
        self.report.longest_queue_ms = waits.into_iter().max().unwrap_or_default();
        self.report.holds_ms.sort_unstable();
        self.report
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    /// Gives a share of each set's experts another popularity.
    fn shift_popularity(&mut self, share: f64) {
        let shifted = (self.shape.experts as f64 * share) as usize;
        for set in &mut self.popularity {
            let mut experts: Vec<usize> = (0..set.len()).collect();
            experts.shuffle(&mut self.rng);
            for (place, expert) in experts.into_iter().take(shifted).enumerate() {
                set[expert] = 1.0 / (1.0 + place as f64).powf(0.67);
            }
            let sum: f64 = set.iter().sum();
            for weight in set.iter_mut() {
                *weight /= sum;
            }
        }
    }

    fn map_in_use(&self) -> &ExpertMap {
        self.map(self.engines[0].map)
    }

    fn map(&self, number: MapNumber) -> &ExpertMap {
        let found = self.maps.iter().find(|(known, _)| *known == number);
        &found.expect("every map in use was planned").1
    }

    /// Begins the next pass when it is due, unless it is held.
    fn run_passes(&mut self) {
        if self.now_ms < self.next_pass_ms {
            return;
        }
        if self.engines[0].held == Some(self.pass + 1) {
            self.report.stood_ms += 1;
            return;
        }
        self.pass += 1;
        let before = self.engines[0].map;
        for engine in &mut self.engines {
            engine.begin(self.pass);
        }
        let skew = skew(self.map_in_use(), &self.popularity);
        if self.engines[0].map != before
            && let Some((at_ms, caused)) = self.shift
            && skew - 1.0 < (caused - 1.0) * (1.0 - REACTION_SHARE)
        {
            self.report.reactions_ms.push(self.now_ms - at_ms);
            self.shift = None;
        }
        self.pass_ms = (EVEN_PASS_MS * skew) as u64;
        self.next_pass_ms = self.now_ms + self.pass_ms;
        let mut counted = self.counted.last().cloned().unwrap_or_default();
        for (sum, weight) in counted
            .iter_mut()
            .flatten()
            .zip(self.popularity.iter().flatten())
        {
            *sum += weight * CHOICES_PER_PASS;
        }
        self.counted.push(counted);
    }

    fn run_members(&mut self) {
        while let Some((rank, order)) = self.outgoing.pop(self.now_ms) {
            self.members[rank].order = Some((self.now_ms + ORDER_MS, order));
        }
        for rank in 0..self.shape.ranks {
            self.run_member(rank);
        }
    }

    fn run_member(&mut self, rank: usize) {
        let now_ms = self.now_ms;
        let member = &mut self.members[rank];
        let mut is_due = now_ms >= member.next_poll_ms;
        if let Some((_, order)) = member.order.take_if(|(at, _)| now_ms >= *at) {
            self.engines[rank].execute(now_ms, &order);
            member.active_until_ms = now_ms + ACTIVE_AFTER_ORDER_MS;
            is_due = true;
        }
        if !is_due {
            return;
        }
        member.next_poll_ms = now_ms
            + match now_ms < member.active_until_ms {
                true => ACTIVE_POLL_MS,
                false => IDLE_POLL_MS,
            };
        let view = self.engines[rank].view(now_ms);
        let same = |known: &RankView| {
            RankView {
                pass: view.pass,
                ..known.clone()
            } == view
        };
        let is_news = !self.members[rank].reported.as_ref().is_some_and(same);
        if is_news || rank == 0 {
            self.members[rank].reported = Some(view.clone());
            self.send_report(rank, STATE_BYTES, Report::State(rank, view));
        }
        if now_ms >= self.members[rank].load_due_ms {
            self.members[rank].load_due_ms = now_ms + self.intervals.states.as_millis() as u64;
            self.send_report(rank, STATE_BYTES, Report::Load);
        }
        self.read_counts(rank);
    }

    fn read_counts(&mut self, rank: usize) {
        let now = self.now();
        let step = self.members[rank].schedule.poll(now);
        if step == CountStep::Wait {
            return;
        }
        let from = self.members[rank].read_at_pass as usize;
        self.members[rank].read_at_pass = self.pass;
        let to = self.pass as usize;
        if step == CountStep::Report && to > from {
            let chosen = chosen_between(&self.counted[from], &self.counted[to]);
            let bytes = chosen.iter().flatten().map(|n| varint_bytes(*n)).sum();
            let pass = self.pass;
            self.send_report(rank, bytes, Report::Counts { pass, chosen });
        }
    }

    /// Sends a report to the leader, which is the agent of rank 0.
    fn send_report(&mut self, rank: usize, bytes: usize, report: Report) {
        match rank {
            0 => self.receive(report),
            _ => self.incoming.push(self.now_ms, bytes, report),
        }
    }

    fn receive(&mut self, report: Report) {
        match report {
            Report::State(rank, view) => self.handle(HoldInput::View(rank, view)),
            Report::Load => {}
            Report::Counts { pass, chosen } => {
                let is_old = pass + OLD_PASSES < self.pass;
                let pass = match self.mutation {
                    Some(LinkMutation::WindowByArrival) => self.pass,
                    _ => pass,
                };
                if is_old && pass + WINDOW_PASSES > self.pass {
                    self.report.old_readings += 1;
                }
                self.window.add(1, pass, chosen);
            }
        }
    }

    fn run_leader(&mut self) {
        while let Some(report) = self.incoming.pop(self.now_ms) {
            self.receive(report);
        }
        if self.now_ms.is_multiple_of(TICK_MS) {
            self.handle(HoldInput::Tick);
        }
        if self.now_ms.is_multiple_of(PLAN_INTERVAL_MS) {
            self.plan();
        }
    }

    fn handle(&mut self, input: HoldInput) {
        let mut out = Vec::new();
        self.switch.handle(self.now(), input, &mut out);
        for output in out {
            match output {
                HoldOutput::Order { rank, epoch, order } => {
                    self.send_order(rank, SentOrder { epoch, order });
                }
                HoldOutput::Switched { held, .. } => {
                    self.report.switches += 1;
                    self.report.holds_ms.push(held.as_millis() as u64);
                }
                HoldOutput::GaveUp { .. } | HoldOutput::FoundHold { .. } => {}
            }
        }
    }

    fn send_order(&mut self, rank: usize, sent: SentOrder) {
        if rank == 0 {
            self.members[0].order = Some((self.now_ms + ORDER_MS, sent));
            return;
        }
        let bytes = ORDER_BYTES + self.map_bytes(rank, &sent.order);
        self.outgoing.push(self.now_ms, bytes, (rank, sent));
    }

    fn map_bytes(&mut self, rank: usize, order: &RankOrder) -> usize {
        let RankOrder::Prepare { map, .. } = order else {
            return 0;
        };
        if self.mutation == Some(LinkMutation::WholeMaps) {
            let lists = map.sets.iter().flatten();
            let whole: usize = lists.map(|experts| 1 + 2 * experts.len()).sum();
            // As often as an order to arm, while the experts are being copied.
            const REPEATS: usize = 4;
            return whole * REPEATS;
        }
        match self.members[rank].sent_maps.encode(map) {
            Some(EncodedMap::FromLast(delta) | EncodedMap::FromRoundRobin { delta, .. }) => {
                let experts = delta.changes.iter().map(|change| change.experts.len());
                experts.map(|experts| CHANGE_BYTES + 2 * experts).sum()
            }
            None => 0,
        }
    }

    /// Proposes a better map, as the leader of a hosted group does.
    fn plan(&mut self) {
        let Some((_, number)) = self.switch.idle_map() else {
            return;
        };
        let pass_time = Duration::from_millis(self.pass_ms);
        let LinkedGroup {
            sets,
            experts,
            slots,
            ranks,
            ..
        } = self.shape;
        let Some(loads) = self.window.loads(self.pass, pass_time, sets, experts) else {
            return;
        };
        let budget = CopyBudget::new(pass_time, None);
        let bounds = CopyBounds {
            experts,
            slots,
            max_new_per_set: 2,
            max_new_per_rank: CopyBudget::max_copies_per_rank(COPY_TIME),
            max_changes: self.budget.max_map_changes(ranks - 1),
            min_saving: budget.min_saving_per_copy(ranks),
        };
        let Some(plan) = plan_copies(self.map(number), &loads, &bounds) else {
            return;
        };
        if plan.skew.0 - plan.skew.1 < budget.min_skew_reduction {
            return;
        }
        let next = MapNumber(self.next_number);
        self.next_number += 1;
        self.maps.push((next, Arc::clone(&plan.map)));
        self.handle(HoldInput::Propose(next, plan.map));
    }
}

/// Returns the choices between two passes, of one rank.
fn chosen_between(from: &ExpertLoads, to: &ExpertLoads) -> ExpertChoices {
    let set = |(from, to): (&Vec<f64>, &Vec<f64>)| {
        from.iter()
            .zip(to)
            .map(|(from, to)| (to.round() - from.round()) as u32)
            .collect()
    };
    from.iter().zip(to).map(set).collect()
}

/// Returns the bytes of a number in the variable-length encoding of the links.
fn varint_bytes(n: u32) -> usize {
    match n {
        0..0x80 => 1,
        0x80..0x4000 => 2,
        _ => 3,
    }
}
