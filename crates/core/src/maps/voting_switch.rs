//! One runner's part in changing the expert map at one step.
//!
//! A ballot names a map and the first step that may run with it. Each runner
//! votes once: it has armed its engine, which then holds that step, or it
//! refuses for good. All armed is go, one refusal is disarm. Every runner
//! learns the votes from its peers, so the decision needs neither a live
//! leader nor the platform; a runner in doubt asks and holds its engine. That
//! costs no availability, because a group makes no step without all its ranks.
//!
//! A vote to go stands in the engine, where a new life of the agent reads it
//! back. If the engine is lost, a new life begins in any case: it first has
//! every peer ignore its predecessor, and then refuses what is still open.

mod core;

use std::collections::BTreeMap;

pub use core::VotingSwitch;

use crate::ids::Incarnation;
use crate::ids::MapNumber;
use crate::ids::StepNumber;
use crate::ids::Term;

/// A proposal to run a map from a step on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Fencing number of the leader that proposes it.
    pub term: Term,
    /// The map.
    pub map: MapNumber,
    /// First step that may run with it.
    pub step: StepNumber,
}

/// A runner's vote; it never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// The engine holds the step until the decision.
    Armed,
    /// The runner will not arm its engine.
    Refused,
}

/// What the votes come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Every runner armed: the map runs from the step on.
    Go,
    /// One runner refused: the former map stays.
    Disarm,
}

/// What a runner tells another one that starts without its memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerSnapshot {
    /// Map that its engine runs; `None` when its engine has no state either.
    pub active: Option<MapNumber>,
    /// Ballot that its engine is armed for, with whether it may go.
    pub armed: Option<(Ballot, bool)>,
    /// Ballot that it knows no decision of.
    pub open: Option<Ballot>,
    /// Decisions that it remembers.
    pub decided: BTreeMap<Ballot, Decision>,
}

/// What runners of a group tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The leader asks to load a map beside the active one.
    Stage {
        /// Fencing number of the leader.
        term: Term,
        /// The map.
        map: MapNumber,
    },
    /// A map is loaded.
    Staged {
        /// The map.
        map: MapNumber,
        /// Step that the engine has reached.
        step: StepNumber,
    },
    /// Another leader has taken over with this term.
    Superseded(Term),
    /// The leader proposes a ballot to the lives of the runners that it names.
    Arm {
        /// The ballot.
        ballot: Ballot,
        /// The life of each runner, in order.
        incarnations: Vec<Incarnation>,
    },
    /// A vote.
    Vote(Ballot, Vote),
    /// A runner in doubt asks for a vote or a decision.
    Query(Ballot),
    /// A decision.
    Decided(Ballot, Decision),
    /// A life without memory and without an engine's state asks what is open.
    Join,
    /// The answer to `Join`; the former life's votes are ignored from now on.
    JoinResponse(RunnerSnapshot),
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Tell the state.
    ReadBack,
    /// Load a map beside the active one.
    Stage(Term, MapNumber),
    /// Hold the ballot's step until the decision.
    Arm(Ballot),
    /// Run the ballot's step with its map.
    Go(Ballot),
    /// Run the ballot's step with the former map.
    Disarm(Ballot),
    /// Take up the state that the group has; for an engine without any.
    ///
    /// The engine learns the group's step as it joins. If that is past the
    /// ballot's step already, it runs the ballot's map at once: what peers know
    /// of their engines may be older than that step.
    Restore {
        /// Map to run.
        active: MapNumber,
        /// Ballot to be armed for, with whether it may go.
        armed: Option<(Ballot, bool)>,
    },
}

/// The state of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Map that it runs; `None` when it has no state yet.
    pub active: Option<MapNumber>,
    /// Step that it has reached.
    pub step: StepNumber,
    /// Maps that are loaded beside the active one.
    pub staged: Vec<MapNumber>,
    /// Ballot that it is armed for, with whether it may go.
    pub armed: Option<(Ballot, bool)>,
}

/// What comes back from the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineReport {
    /// Its state, asked for by `ReadBack`.
    State(EngineView),
    /// An order was carried out.
    Done(EngineOrder),
    /// An order cannot be carried out; nothing changed.
    Refused(EngineOrder),
    /// No answer: the order may have been carried out, or may still be.
    Unknown(EngineOrder),
}

/// What the switch is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VotingInput {
    /// The agent's life begins.
    Start,
    /// A peer's message, with its index in the group and its life.
    Peer {
        /// Index of the runner.
        from: usize,
        /// Its life.
        incarnation: Incarnation,
        /// What it says.
        message: Message,
    },
    /// The engine answered, or did not.
    Engine(EngineReport),
    /// Time passed.
    Tick,
}

/// What the switch wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VotingOutput {
    /// Send a message to a runner of the group.
    Send(usize, Message),
    /// Give the engine an order; a report follows.
    Order(EngineOrder),
    /// A decision became known here.
    Decided(Ballot, Decision),
}
