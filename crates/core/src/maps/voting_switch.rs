//! Changes the expert map of a group at one step, by a vote of its runners.
//!
//! A ballot names a map and the first step that may run with it. Each runner
//! votes once: either it has armed its engine, which then holds that step, or
//! it refuses for good. If all runners armed, the decision is to go; one refusal
//! decides to disarm. Every runner receives the votes from its peers, so the
//! decision needs neither a live leader nor the platform. A runner in doubt
//! queries its peers while its engine holds the step. That costs no
//! availability, because a group makes no step without all its ranks.
//!
//! A vote to go is stored in the engine, from which the next incarnation of the
//! agent reads it back. If the engine loses its state, a new incarnation begins
//! in any case: it first makes every peer ignore the votes of its predecessor,
//! and then refuses all ballots that are still open.

mod core;

use std::collections::BTreeMap;

pub use core::VotingSwitch;

use crate::ids::Incarnation;
use crate::ids::MapNumber;
use crate::ids::StepNumber;
use crate::ids::Term;

/// A proposal to run a map from a certain step on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Fencing number of the leader that proposes the ballot.
    pub term: Term,
    /// Number of the proposed map.
    pub map: MapNumber,
    /// First step that may run with it.
    pub step: StepNumber,
}

/// The vote of a runner on a ballot, which never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// The runner's engine holds the step until the decision.
    Armed,
    /// The runner will not arm its engine.
    Refused,
}

/// The result of the votes on a ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Every runner armed: the map is used from the ballot's step on.
    Go,
    /// A runner refused: the previous map stays in use.
    Disarm,
}

/// The state of a runner, sent to another one that starts without any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerSnapshot {
    /// Map that its engine runs; `None` if its engine has no state either.
    pub active: Option<MapNumber>,
    /// Ballot for which its engine is armed, and whether it may go.
    pub armed: Option<(Ballot, bool)>,
    /// Ballot whose decision it does not know.
    pub open: Option<Ballot>,
    /// Decisions that it remembers.
    pub decided: BTreeMap<Ballot, Decision>,
}

/// A message between the runners of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The leader orders to load a map beside the active one.
    Stage {
        /// Fencing number of the leader.
        term: Term,
        /// Number of the map to load.
        map: MapNumber,
    },
    /// A map is loaded.
    Staged {
        /// Number of the loaded map.
        map: MapNumber,
        /// Step that the engine has reached.
        step: StepNumber,
    },
    /// Another leader has acquired the leadership, with this term.
    Superseded(Term),
    /// The leader proposes a ballot to certain incarnations of the runners.
    Arm {
        /// The proposal on which each runner votes.
        ballot: Ballot,
        /// The incarnation of each runner, by index.
        incarnations: Vec<Incarnation>,
    },
    /// A runner voted on a ballot.
    Vote(Ballot, Vote),
    /// A runner in doubt requests the receiver's vote or a decision.
    Query(Ballot),
    /// A ballot was decided.
    Decided(Ballot, Decision),
    /// An incarnation without any state, also not in its engine, asks for the
    /// receiver's state.
    Join,
    /// The response to `Join`. From here on the sender ignores the votes of the
    /// previous incarnation.
    JoinResponse(RunnerSnapshot),
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Report the state.
    ReadBack,
    /// Load a map beside the active one.
    Stage(Term, MapNumber),
    /// Hold the ballot's step until the decision.
    Arm(Ballot),
    /// Run the ballot's step with its map.
    Go(Ballot),
    /// Run the ballot's step with the previous map.
    Disarm(Ballot),
    /// Adopt the state of the group; for an engine without any.
    ///
    /// The engine learns the group's step when it joins. If that is already past
    /// the ballot's step, the engine runs the ballot's map at once, because what
    /// the peers know of their engines may be older than that step.
    Restore {
        /// Map to run.
        active: MapNumber,
        /// Ballot to be armed for, and whether it may go.
        armed: Option<(Ballot, bool)>,
    },
}

/// The state of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Map that it runs; `None` if it has no state yet.
    pub active: Option<MapNumber>,
    /// Step that it has reached.
    pub step: StepNumber,
    /// Maps that are loaded beside the active one.
    pub staged: Vec<MapNumber>,
    /// Ballot for which it is armed, and whether it may go.
    pub armed: Option<(Ballot, bool)>,
}

/// A report about an order to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineReport {
    /// The engine's state, in response to `ReadBack`.
    State(EngineView),
    /// The order was executed.
    Done(EngineOrder),
    /// The order cannot be executed; nothing changed.
    Refused(EngineOrder),
    /// No response: the order may have been executed, or may still be.
    Unknown(EngineOrder),
}

/// An input of [`VotingSwitch`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VotingInput {
    /// The agent has started.
    Start,
    /// A peer sent a message.
    Peer {
        /// Index of the peer in the group.
        from: usize,
        /// Incarnation of the peer that sent the message.
        incarnation: Incarnation,
        /// What the peer sent.
        message: Message,
    },
    /// The engine reported, or did not respond.
    Engine(EngineReport),
    /// Time passed.
    Tick,
}

/// An output of [`VotingSwitch`]: an action to take, or an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VotingOutput {
    /// Send a message to a runner of the group.
    Send(usize, Message),
    /// Send the engine an order; a report must follow.
    Order(EngineOrder),
    /// A decision became known here.
    Decided(Ballot, Decision),
}
