//! Wire types of the messages between the runners of a group (postcard) and of the
//! group's object on the platform (JSON).
//!
//! Postcard writes fields and variants by position, without names. In the types of the
//! messages the names may therefore change, but not the order or the types.

use serde::Deserialize;
use serde::Serialize;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::MapNumber;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::StepNumber;
use wisteriawick_core::ids::Term;
use wisteriawick_core::maps::Ballot;
use wisteriawick_core::maps::Decision;
use wisteriawick_core::maps::GroupSnapshot;
use wisteriawick_core::maps::Message;
use wisteriawick_core::maps::RunnerSnapshot;
use wisteriawick_core::maps::Vote;

/// A message from a runner of a group to another one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GroupMessageWire {
    /// Name of the group that both runners belong to.
    pub group: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// What the runner sends.
    pub message: MessageWire,
}

/// The part of an engine's load that peers use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineLoadWire {
    /// Speed of each rank of this runner; 1.0 is normal.
    pub rank_speeds: Vec<f64>,
    /// Whether the engine's ranks make no steps.
    pub stalled: bool,
}

/// Wire form of [`Ballot`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct BallotWire {
    term: u64,
    map: u64,
    step: u64,
}

impl From<Ballot> for BallotWire {
    fn from(ballot: Ballot) -> Self {
        Self {
            term: ballot.term.0,
            map: ballot.map.0,
            step: ballot.step.0,
        }
    }
}

impl From<BallotWire> for Ballot {
    fn from(wire: BallotWire) -> Self {
        Self {
            term: Term(wire.term),
            map: MapNumber(wire.map),
            step: StepNumber(wire.step),
        }
    }
}

/// Wire form of [`Message`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum MessageWire {
    /// The leader orders to load a map.
    Stage { term: u64, map: u64 },
    /// A map is loaded.
    Staged { map: u64, step: u64 },
    /// Another leader has acquired the leadership, with this term.
    Superseded(u64),
    /// The leader proposes a ballot.
    Arm {
        ballot: BallotWire,
        incarnations: Vec<u64>,
    },
    /// A vote; true if the runner armed its engine.
    Vote(BallotWire, bool),
    /// A runner in doubt asks for the vote or the decision on a ballot.
    Query(BallotWire),
    /// A decision; true if the map is used.
    Decided(BallotWire, bool),
    /// An incarnation without any state asks for the receiver's state.
    Join,
    /// The response to `Join`. The flag of `armed` says whether the ballot may go, those
    /// of `decided` are as in `Decided`.
    JoinResponse {
        active: Option<u64>,
        armed: Option<(BallotWire, bool)>,
        open: Option<BallotWire>,
        decided: Vec<(BallotWire, bool)>,
    },
}

impl From<&Message> for MessageWire {
    fn from(message: &Message) -> Self {
        match message {
            Message::Stage { term, map } => Self::Stage {
                term: term.0,
                map: map.0,
            },
            Message::Staged { map, step } => Self::Staged {
                map: map.0,
                step: step.0,
            },
            Message::Superseded(term) => Self::Superseded(term.0),
            Message::Arm {
                ballot,
                incarnations,
            } => Self::Arm {
                ballot: (*ballot).into(),
                incarnations: incarnations
                    .iter()
                    .map(|incarnation| incarnation.0)
                    .collect(),
            },
            Message::Vote(ballot, vote) => Self::Vote((*ballot).into(), *vote == Vote::Armed),
            Message::Query(ballot) => Self::Query((*ballot).into()),
            Message::Decided(ballot, decision) => {
                Self::Decided((*ballot).into(), *decision == Decision::Go)
            }
            Message::Join => Self::Join,
            Message::JoinResponse(snapshot) => Self::JoinResponse {
                active: snapshot.active.map(|map| map.0),
                armed: snapshot.armed.map(|(ballot, go)| (ballot.into(), go)),
                open: snapshot.open.map(Into::into),
                decided: snapshot
                    .decided
                    .iter()
                    .map(|(ballot, decision)| ((*ballot).into(), *decision == Decision::Go))
                    .collect(),
            },
        }
    }
}

fn decision(go: bool) -> Decision {
    if go { Decision::Go } else { Decision::Disarm }
}

impl From<MessageWire> for Message {
    fn from(wire: MessageWire) -> Self {
        match wire {
            MessageWire::Stage { term, map } => Self::Stage {
                term: Term(term),
                map: MapNumber(map),
            },
            MessageWire::Staged { map, step } => Self::Staged {
                map: MapNumber(map),
                step: StepNumber(step),
            },
            MessageWire::Superseded(term) => Self::Superseded(Term(term)),
            MessageWire::Arm {
                ballot,
                incarnations,
            } => Self::Arm {
                ballot: ballot.into(),
                incarnations: incarnations.into_iter().map(Incarnation).collect(),
            },
            MessageWire::Vote(ballot, armed) => {
                let vote = if armed { Vote::Armed } else { Vote::Refused };
                Self::Vote(ballot.into(), vote)
            }
            MessageWire::Query(ballot) => Self::Query(ballot.into()),
            MessageWire::Decided(ballot, go) => Self::Decided(ballot.into(), decision(go)),
            MessageWire::Join => Self::Join,
            MessageWire::JoinResponse {
                active,
                armed,
                open,
                decided,
            } => Self::JoinResponse(RunnerSnapshot {
                active: active.map(MapNumber),
                armed: armed.map(|(ballot, go)| (ballot.into(), go)),
                open: open.map(Into::into),
                decided: decided
                    .into_iter()
                    .map(|(ballot, go)| (ballot.into(), decision(go)))
                    .collect(),
            }),
        }
    }
}

/// The content of the group's object; wire form of [`GroupSnapshot`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct GroupSnapshotWire {
    term: u64,
    leader: Option<String>,
    committed: u64,
}

impl From<&GroupSnapshot> for GroupSnapshotWire {
    fn from(image: &GroupSnapshot) -> Self {
        Self {
            term: image.term.0,
            leader: image.leader.as_ref().map(ToString::to_string),
            committed: image.committed.0,
        }
    }
}

impl From<GroupSnapshotWire> for GroupSnapshot {
    fn from(wire: GroupSnapshotWire) -> Self {
        Self {
            term: Term(wire.term),
            leader: wire.leader.map(ProcessId::new),
            committed: MapNumber(wire.committed),
        }
    }
}
