//! Messages between a group's leader, its members and the entries.
//!
//! They are encoded with postcard, which relies on the order of fields and
//! variants and writes no names.

mod evacuations;
mod kind;
mod limits;
mod order;

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wisteriawick_core::gateway::CrashNote;
use wisteriawick_core::gateway::CrashSuspect;
use wisteriawick_core::gateway::GroupRank;
use wisteriawick_core::gateway::LoadReport;
use wisteriawick_core::gateway::RunnerStart;
use wisteriawick_core::gateway::TrialNote;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::PromptPart;
use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::RankView;
use wisteriawick_core::maps::ReportIntervals;
use wisteriawick_platform::RankState;

use crate::rank::group_load::GroupLoad;
pub(crate) use crate::rank::wire::evacuations::EvacuationWire;
pub(crate) use crate::rank::wire::limits::EntryLimitsWire;
pub(crate) use crate::rank::wire::limits::GroupLimitsWire;
pub(crate) use crate::rank::wire::limits::LimitNoteWire;
pub(crate) use crate::rank::wire::order::OrderMessage;

/// Returns the port on which agents accept links, which is the first of the range
/// in the settings.
pub(crate) fn link_port(ports: (u16, u16)) -> u16 {
    ports.0
}

/// The first message of a link, which tells who dials the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Hello {
    /// The leader of a group, which receives reports and sends orders.
    Leader,
    /// An entry, which receives the load of the group.
    Entry,
}

/// A message from the leader of a group to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum GroupMessage {
    /// The position of the dialed agent's rank in its group; the first message.
    /// An agent that does not lead sends nothing more.
    Position(PositionWire),
    /// The load of the group that the agent leads.
    Load(GroupLoadWire),
    /// Number of entries that are linked to the leader.
    Entries(u16),
    /// What is known of requests that crash runners; only to entries that have sent an
    /// [`EntryMessage`].
    Crashes(Vec<CrashNoteWire>),
    /// The rate limits of runners, and the entry's shares; only to entries that have sent
    /// [`EntryMessage::Limits`].
    Limits(GroupLimitsWire),
    /// Addresses of the group's runners by rank; `None` for unknown ones. Sent before the
    /// first load and whenever they change.
    Members(Vec<Option<SocketAddr>>),
    /// What is known of evacuations; only to entries that have sent
    /// [`EntryMessage::Evacuations`].
    Evacuations(Vec<EvacuationWire>),
}

/// A message from an entry to the leader of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum EntryMessage {
    /// What is known of requests that crash runners; may be empty.
    Crashes(Vec<CrashNoteWire>),
    /// The entry's demand and what its responses say of rate limits; may be empty.
    Limits(EntryLimitsWire),
    /// What is known of evacuations; may be empty. Only from entries whose settings state
    /// a bound for them.
    Evacuations(Vec<EvacuationWire>),
}

/// What is known of a suspect, as in [`CrashNote`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashNoteWire {
    suspect: CrashSuspectWire,
    generation: u32,
    runners: Vec<RunnerStartWire>,
    further: u32,
    moments: u32,
    /// How much longer it is blocked, in milliseconds.
    blocked_ms: u64,
    is_trusted: bool,
    trial: Option<TrialNoteWire>,
}

/// One start of a runner, as in [`RunnerStart`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunnerStartWire {
    runner: String,
    unix_ms: Option<u64>,
}

impl From<&RunnerStart> for RunnerStartWire {
    fn from(start: &RunnerStart) -> Self {
        Self {
            runner: start.runner.to_string(),
            unix_ms: start.unix_ms,
        }
    }
}

impl From<&RunnerStartWire> for RunnerStart {
    fn from(wire: &RunnerStartWire) -> Self {
        Self {
            runner: wire.runner.as_str().into(),
            unix_ms: wire.unix_ms,
        }
    }
}

/// A trial under way, as in [`TrialNote`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TrialNoteWire {
    id: u64,
    remaining_ms: u64,
}

/// What may crash runners, as in [`CrashSuspect`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CrashSuspectWire {
    /// A request's content.
    Request(u128),
    /// A part of a prompt.
    Part(u64),
}

impl From<CrashSuspect> for CrashSuspectWire {
    fn from(suspect: CrashSuspect) -> Self {
        match suspect {
            CrashSuspect::Request(request) => Self::Request(request.0),
            CrashSuspect::Part(part) => Self::Part(part.0),
        }
    }
}

impl From<CrashSuspectWire> for CrashSuspect {
    fn from(wire: CrashSuspectWire) -> Self {
        match wire {
            CrashSuspectWire::Request(request) => Self::Request(Fingerprint(request)),
            CrashSuspectWire::Part(part) => Self::Part(PromptPart(part)),
        }
    }
}

impl From<&CrashNote> for CrashNoteWire {
    fn from(note: &CrashNote) -> Self {
        Self {
            suspect: note.suspect.into(),
            generation: note.generation,
            runners: note.runners.iter().map(Into::into).collect(),
            further: note.further,
            moments: note.moments,
            blocked_ms: note.blocked_for.as_millis() as u64,
            is_trusted: note.is_trusted,
            trial: note.trial.map(|trial| TrialNoteWire {
                id: trial.id,
                remaining_ms: trial.remaining.as_millis() as u64,
            }),
        }
    }
}

impl From<&CrashNoteWire> for CrashNote {
    fn from(wire: &CrashNoteWire) -> Self {
        Self {
            suspect: wire.suspect.into(),
            generation: wire.generation,
            runners: wire.runners.iter().map(Into::into).collect(),
            further: wire.further,
            moments: wire.moments,
            blocked_for: Duration::from_millis(wire.blocked_ms),
            is_trusted: wire.is_trusted,
            trial: wire.trial.map(|trial| TrialNote {
                id: trial.id,
                remaining: Duration::from_millis(trial.remaining_ms),
            }),
        }
    }
}

/// The load of a group, as in [`GroupLoad`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GroupLoadWire {
    /// Whether all ranks have joined the group.
    pub(crate) is_open: bool,
    /// Recent time of a pass, in microseconds; zero as long as none is known.
    pub(crate) pass_us: u32,
    /// The load of each rank.
    pub(crate) ranks: Vec<LoadWire>,
}

impl From<&GroupLoad> for GroupLoadWire {
    fn from(load: &GroupLoad) -> Self {
        Self {
            is_open: load.is_open,
            pass_us: load.pass_us,
            ranks: load.ranks.clone(),
        }
    }
}

/// A message from a leader to a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum LeaderMessage {
    /// An order.
    Order(OrderMessage),
    /// Addresses of the group's runners by rank, once all are known.
    Runners(Vec<Option<SocketAddr>>),
    /// How often the member reports.
    Intervals(IntervalsWire),
}

/// How often a member reports, as in [`ReportIntervals`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IntervalsWire {
    counts_ms: u32,
    states_ms: u32,
}

impl From<ReportIntervals> for IntervalsWire {
    fn from(intervals: ReportIntervals) -> Self {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        Self {
            counts_ms: millis(intervals.counts),
            states_ms: millis(intervals.states),
        }
    }
}

impl From<IntervalsWire> for ReportIntervals {
    fn from(wire: IntervalsWire) -> Self {
        Self {
            counts: Duration::from_millis(wire.counts_ms.into()),
            states: Duration::from_millis(wire.states_ms.into()),
        }
    }
}

/// A message from a member to its leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum MemberMessage {
    /// Its rank's position in a group; the first message, sent again when the
    /// position changes.
    Position(PositionWire),
    /// The state of the member's rank.
    View(ViewWire),
    /// The load of the member's runner.
    Load(LoadWire),
    /// The experts that its rank holds.
    Experts(ExpertsWire),
    /// How often experts were chosen lately.
    Counts(CountsWire),
}

/// A rank's position in a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PositionWire {
    pub(crate) group: String,
    pub(crate) rank: usize,
    pub(crate) size: usize,
}

impl From<PositionWire> for GroupRank {
    fn from(wire: PositionWire) -> Self {
        Self {
            group: wire.group.into(),
            rank: wire.rank,
        }
    }
}

impl From<&RankState> for PositionWire {
    fn from(state: &RankState) -> Self {
        Self {
            group: state.group.clone(),
            rank: state.rank,
            size: state.size,
        }
    }
}

/// The state of a rank, as in [`RankView`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ViewWire {
    epoch: u64,
    is_open: bool,
    pass: u64,
    map: u64,
    prepared: Option<u64>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    orders: u64,
}

/// The load of a runner, as in [`LoadReport`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadWire {
    pub(crate) running: u16,
    pub(crate) waiting: u16,
    /// Slowdown in thousandths: 1000 is the normal pace, more is slower.
    pub(crate) slowdown_milli: u32,
}

impl From<&LoadReport> for LoadWire {
    fn from(load: &LoadReport) -> Self {
        const MILLI: f64 = 1000.0;
        Self {
            running: load.running.min(u16::MAX.into()) as u16,
            waiting: load.waiting.min(u16::MAX.into()) as u16,
            slowdown_milli: (load.slowdown * MILLI) as u32,
        }
    }
}

/// The experts that a rank holds in a map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ExpertsWire {
    pub(crate) epoch: u64,
    pub(crate) map: u64,
    /// By set.
    pub(crate) experts: Vec<Vec<u16>>,
}

/// How often a rank chose experts in about a pass.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CountsWire {
    /// The epoch of the group.
    pub(crate) epoch: u64,
    /// The pass that the rank was at when the counts were read.
    pub(crate) pass: u64,
    /// By set, then expert.
    pub(crate) chosen: Vec<Vec<u32>>,
}

impl ViewWire {
    /// Returns whether the states differ in nothing but the pass.
    pub(crate) fn is_same_but_pass(&self, other: &Self) -> bool {
        let pass = other.pass;
        let same = Self {
            pass,
            ..self.clone()
        };
        same == *other
    }
}

impl From<&RankView> for ViewWire {
    fn from(view: &RankView) -> Self {
        Self {
            epoch: view.epoch,
            is_open: view.is_open,
            pass: view.pass,
            map: view.map.0,
            prepared: view.prepared.map(|number| number.0),
            armed: view.armed.map(|(number, pass)| (number.0, pass)),
            held: view.held,
            orders: view.orders,
        }
    }
}

impl From<ViewWire> for RankView {
    fn from(wire: ViewWire) -> Self {
        Self {
            epoch: wire.epoch,
            is_open: wire.is_open,
            pass: wire.pass,
            map: MapNumber(wire.map),
            prepared: wire.prepared.map(MapNumber),
            armed: wire.armed.map(|(number, pass)| (MapNumber(number), pass)),
            held: wire.held,
            orders: wire.orders,
        }
    }
}
