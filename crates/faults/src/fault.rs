//! The faults, the steps they are put at, and deliberate breakage.

use std::time::Duration;

/// A fault of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// The message is lost.
    Lost,
    /// The message comes twice.
    Duplicated,
    /// The message is held up for a long time.
    Delayed,
    /// The message comes after those that follow it.
    Reordered,
    /// The process is killed and replaced without memory.
    Killed,
    /// The process is paused for longer than any lease, then goes on.
    Paused,
    /// The store is down for a time.
    StoreDown,
    /// The store is slow for a time.
    StoreSlow,
    /// The write takes effect but its answer is lost.
    ResponseLost,
    /// A watch shows an old state for a time.
    StaleWatch,
    /// A second operator acts at the same time.
    OperatorRace,
    /// The endpoint dies and comes back.
    EndpointCrash,
    /// What goes one way on a link vanishes, for good.
    SilentOneWay,
    /// What goes either way on a link vanishes, for good.
    SilentBothWays,
}

impl FaultKind {
    /// Every fault.
    pub const ALL: [Self; 14] = [
        Self::Lost,
        Self::Duplicated,
        Self::Delayed,
        Self::Reordered,
        Self::Killed,
        Self::Paused,
        Self::StoreDown,
        Self::StoreSlow,
        Self::ResponseLost,
        Self::StaleWatch,
        Self::OperatorRace,
        Self::EndpointCrash,
        Self::SilentOneWay,
        Self::SilentBothWays,
    ];

    /// Returns the name in the printed matrix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lost => "message lost",
            Self::Duplicated => "message doubled",
            Self::Delayed => "message late",
            Self::Reordered => "message reordered",
            Self::Killed => "process killed, replaced empty",
            Self::Paused => "holder paused past its lease",
            Self::StoreDown => "store down",
            Self::StoreSlow => "store slow",
            Self::ResponseLost => "store's answer lost",
            Self::StaleWatch => "stale watch",
            Self::OperatorRace => "operators racing",
            Self::EndpointCrash => "endpoint crash",
            Self::SilentOneWay => "link silent one way",
            Self::SilentBothWays => "link silent both ways",
        }
    }

    /// Returns whether the fault means anything at a step of this class.
    pub fn applies_to(self, class: StepClass) -> bool {
        match self {
            Self::Lost
            | Self::Duplicated
            | Self::Delayed
            | Self::Reordered
            | Self::SilentOneWay
            | Self::SilentBothWays => class == StepClass::Message,
            Self::Killed | Self::Paused => class != StepClass::External,
            Self::ResponseLost => class == StepClass::StoreWrite,
            Self::StaleWatch => class == StepClass::Watch,
            Self::StoreDown | Self::StoreSlow => true,
            Self::OperatorRace => true,
            Self::EndpointCrash => true,
        }
    }
}

/// A fault at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// At which step, counted from zero.
    pub at_step: usize,
}

/// What a step is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepClass {
    /// A message between processes arrives.
    Message,
    /// A write reaches the store.
    StoreWrite,
    /// Another call to the store, or an answer of it.
    Store,
    /// A watch shows a change.
    Watch,
    /// A process acts on its own: a timer, or its endpoint's answer.
    Local,
    /// Something outside acts: a caller or an operator.
    External,
}

/// A step of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// What it is.
    pub class: StepClass,
    /// When it takes place, since the start of the run.
    pub at: Duration,
}

/// A core broken on purpose, to show that the matrix can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Calls are sent before their claim is durable.
    SendBeforeClaim,
    /// An agent calls anything it is asked about not run.
    ForgetAttempts,
    /// An entry that does not know calls it not run.
    AssumeNotRun,
    /// An owner takes a refused write for a good one.
    IgnoreWriteConflict,
    /// Frames of former attempts are relayed.
    RelayStaleFrames,
    /// Entries go on using runners that leave, and agents let them.
    IgnoreLeaving,
    /// A shutdown drops what is in progress.
    DropOnShutdown,
    /// A runner in doubt lets its engine go.
    GoWithoutDecision,
    /// A process takes any head it is offered.
    AcceptAnyHead,
    /// Lost links are never noticed.
    NeverDetectLostLinks,
}

/// No fault begins after this time, so that all have ended when the probes come.
pub(crate) const LAST_FAULT_AT: Duration = Duration::from_secs(20);
/// How long a late message is held up.
pub(crate) const MESSAGE_DELAY: Duration = Duration::from_secs(14);
/// How long a reordered message is held up.
pub(crate) const REORDER_DELAY: Duration = Duration::from_millis(25);
/// How long a paused process stands still.
pub(crate) const PROCESS_PAUSE: Duration = Duration::from_secs(5);
/// How long a killed process takes to be replaced.
pub(crate) const REPLACE_DELAY: Duration = Duration::from_secs(2);
/// How long the store stays down or slow, and a watch stale.
pub(crate) const STORE_FAULT_DURATION: Duration = Duration::from_secs(4);
/// How much slower a slow store answers.
pub(crate) const SLOW_STORE_LATENCY: Duration = Duration::from_millis(700);
