//! The kinds of faults, the steps at which they are injected, and the
//! deliberate defects (mutations) that show that the checks can fail.

use std::time::Duration;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// The message is lost.
    Lost,
    /// The message is delivered twice.
    Duplicated,
    /// The message is delivered after a long delay.
    Delayed,
    /// The message is delivered after some that were sent later.
    Reordered,
    /// The process is killed and replaced by one without its state.
    Killed,
    /// The process is paused for longer than any lease, then resumes.
    Paused,
    /// The store does not respond for some seconds.
    StoreDown,
    /// The store responds slowly for some seconds.
    StoreSlow,
    /// The write takes effect but its response is lost.
    ResponseLost,
    /// A watch delivers an old state first and the change only later.
    StaleWatch,
    /// A second operator acts at the same time.
    OperatorRace,
    /// The endpoint crashes and restarts.
    EndpointCrash,
    /// All messages in one direction of a link are lost without an error, until
    /// the link is replaced.
    SilentOneWay,
    /// All messages in both directions of a link are lost without an error,
    /// until the link is replaced.
    SilentBothWays,
}

impl FaultKind {
    /// Every kind of fault, in the order of the printed matrix.
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

    /// Returns the name of the row in the printed matrix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lost => "message lost",
            Self::Duplicated => "message duplicated",
            Self::Delayed => "message delayed",
            Self::Reordered => "message reordered",
            Self::Killed => "process killed, replaced without state",
            Self::Paused => "process paused past its lease",
            Self::StoreDown => "store down",
            Self::StoreSlow => "store slow",
            Self::ResponseLost => "store's response lost",
            Self::StaleWatch => "stale watch",
            Self::OperatorRace => "concurrent operators",
            Self::EndpointCrash => "endpoint crash",
            Self::SilentOneWay => "link silent one way",
            Self::SilentBothWays => "link silent both ways",
        }
    }

    /// Returns whether the fault can be injected at a step of this class.
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

/// A fault to inject at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The number of the step, counted from zero.
    pub at_step: usize,
}

/// The class of a step, which decides which faults apply to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepClass {
    /// A message from another process arrives.
    Message,
    /// A write reaches the store.
    StoreWrite,
    /// Another request reaches the store, or a response of the store arrives.
    Store,
    /// A watch delivers a change.
    Watch,
    /// A process acts by itself, as on a timer or on a report of its engine.
    Local,
    /// Something outside the processes acts: a caller, an operator, an endpoint
    /// or the platform that replaces a process.
    External,
}

/// A step that took place in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The class of the step.
    pub class: StepClass,
    /// Simulated time of the step, since the start of the run.
    pub at: Duration,
}

/// A deliberate defect in the protocol, to show that the matrix detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Entries send keyed calls before the claim of the key is durable.
    SendBeforeClaim,
    /// Agents report "not run" for every attempt that an entry asks about.
    ForgetAttempts,
    /// Entries report "not run" for every call that failed.
    AssumeNotRun,
    /// Shard owners treat a write that failed with a conflict as successful.
    IgnoreWriteConflict,
    /// Entries relay frames of earlier attempts to the caller.
    RelayStaleFrames,
    /// Leaving agents keep accepting requests and do not report that they leave.
    IgnoreLeaving,
    /// Entries drop the requests in progress when they shut down.
    DropOnShutdown,
    /// A runner that does not know the decision about a ballot orders its engine
    /// to go instead of querying the others.
    GoWithoutDecision,
    /// Processes accept any head that they are offered, also an older one.
    AcceptAnyHead,
    /// Entries never detect that a link is lost.
    NeverDetectLostLinks,
}

/// No fault is injected after this time, so that all faults have ended when the
/// probes of a scenario are sent.
pub(crate) const LAST_FAULT_AT: Duration = Duration::from_secs(20);
/// Extra delay of a message with the fault [`FaultKind::Delayed`].
pub(crate) const MESSAGE_DELAY: Duration = Duration::from_secs(14);
/// Extra delay of a reordered message; long enough for others to overtake it.
pub(crate) const REORDER_DELAY: Duration = Duration::from_millis(25);
/// How long a paused process does nothing.
pub(crate) const PROCESS_PAUSE: Duration = Duration::from_secs(5);
/// Time from the death of a process to the start of its replacement.
pub(crate) const REPLACE_DELAY: Duration = Duration::from_secs(2);
/// How long the store stays down or slow, and a watch stale.
pub(crate) const STORE_FAULT_DURATION: Duration = Duration::from_secs(4);
/// Response time of the store while it is slow.
pub(crate) const SLOW_STORE_LATENCY: Duration = Duration::from_millis(700);
