//! Typed events and the bounded ring in which a process keeps them.
//!
//! Events record changes of state for the time line. Counts belong to metrics.

use std::collections::VecDeque;
use std::fmt;
use std::time::SystemTime;

use crate::hlc::Hlc;
use crate::hlc::HlcStamp;
use crate::ids::AttemptId;
use crate::ids::Fingerprint;
use crate::ids::GroupId;
use crate::ids::MapNumber;
use crate::ids::ProcessId;
use crate::ids::RunnerId;
use crate::ids::ServiceId;
use crate::ids::StepNumber;
use crate::ids::Term;
use crate::ids::TicketNumber;
use crate::ids::WorkspaceId;

/// Something that changed in a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The process began to run.
    Started,
    /// The process began its graceful shutdown.
    ShuttingDown,
    /// A ticket came into force here.
    TicketInForce(TicketNumber),
    /// The platform's object service stopped answering.
    PlatformDown,
    /// The platform's object service answers again.
    PlatformUp,
    /// A link to another process opened.
    LinkUp(ProcessId),
    /// A link to another process was closed and will be redialled.
    LinkDown(ProcessId),
    /// A runner announced that it takes no new work.
    RunnerLeaving(RunnerId),
    /// A runner is suspected and gets no new work.
    RunnerSuspect(RunnerId),
    /// A runner takes work again.
    RunnerUp(RunnerId),
    /// The endpoint beside this agent died while running an attempt.
    EndpointDied(AttemptId),
    /// A request that kills endpoints was blocked.
    RequestBlocked(Fingerprint),
    /// A request was refused before it ran, to protect the others.
    RequestShed {
        /// Whose request it was.
        workspace: WorkspaceId,
        /// What it asked for.
        service: ServiceId,
    },
    /// An interrupted stream continues on another runner.
    StreamResumed {
        /// The attempt that continues it.
        attempt: AttemptId,
        /// The runner that continues it.
        runner: RunnerId,
    },
    /// This process took over a ledger shard.
    ShardAcquired {
        /// Index of the shard.
        shard: u16,
        /// Fencing number under which it is held.
        term: Term,
    },
    /// This process learnt that another holds a ledger shard.
    ShardLost {
        /// Index of the shard.
        shard: u16,
    },
    /// This agent leads a group.
    GroupLeadershipAcquired {
        /// The group.
        group: GroupId,
        /// Fencing number of the leader.
        term: Term,
    },
    /// A map is loaded beside the active one.
    MapStaged {
        /// The group.
        group: GroupId,
        /// The map.
        map: MapNumber,
    },
    /// A map was written to the group's object.
    MapCommitted {
        /// The group.
        group: GroupId,
        /// The map.
        map: MapNumber,
    },
    /// A rank waits at a step for the decision on a map.
    MapArmed {
        /// The group.
        group: GroupId,
        /// The map.
        map: MapNumber,
        /// First step that may run with it.
        step: StepNumber,
    },
    /// A map is active from a step on.
    MapActive {
        /// The group.
        group: GroupId,
        /// The map.
        map: MapNumber,
        /// First step that runs with it.
        step: StepNumber,
    },
    /// A switch was given up; the former map stays active.
    MapDisarmed {
        /// The group.
        group: GroupId,
        /// The map.
        map: MapNumber,
    },
}

impl EventKind {
    /// Returns the name by which the time line filters.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::ShuttingDown => "shutting-down",
            Self::TicketInForce(_) => "ticket-in-force",
            Self::PlatformDown => "platform-down",
            Self::PlatformUp => "platform-up",
            Self::LinkUp(_) => "link-up",
            Self::LinkDown(_) => "link-down",
            Self::RunnerLeaving(_) => "runner-leaving",
            Self::RunnerSuspect(_) => "runner-suspect",
            Self::RunnerUp(_) => "runner-up",
            Self::EndpointDied(_) => "endpoint-died",
            Self::RequestBlocked(_) => "request-blocked",
            Self::RequestShed { .. } => "shed",
            Self::StreamResumed { .. } => "stream-resumed",
            Self::ShardAcquired { .. } => "shard-taken",
            Self::ShardLost { .. } => "shard-lost",
            Self::GroupLeadershipAcquired { .. } => "group-led",
            Self::MapStaged { .. } => "map-staged",
            Self::MapCommitted { .. } => "map-committed",
            Self::MapArmed { .. } => "map-armed",
            Self::MapActive { .. } => "map-active",
            Self::MapDisarmed { .. } => "map-disarmed",
        }
    }

    /// Returns the workspace that the event concerns, if one does.
    pub fn workspace(&self) -> Option<&WorkspaceId> {
        match self {
            Self::RequestShed { workspace, .. } => Some(workspace),
            _ => None,
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started | Self::ShuttingDown | Self::PlatformDown | Self::PlatformUp => Ok(()),
            Self::TicketInForce(number) => write!(f, "ticket={number}"),
            Self::LinkUp(peer) | Self::LinkDown(peer) => write!(f, "peer={peer}"),
            Self::RunnerLeaving(runner) | Self::RunnerSuspect(runner) | Self::RunnerUp(runner) => {
                write!(f, "runner={runner}")
            }
            Self::EndpointDied(attempt) => write!(f, "attempt={attempt}"),
            Self::RequestBlocked(fingerprint) => write!(f, "fingerprint={fingerprint}"),
            Self::RequestShed { workspace, service } => {
                write!(f, "workspace={workspace} service={service}")
            }
            Self::StreamResumed { attempt, runner } => {
                write!(f, "attempt={attempt} runner={runner}")
            }
            Self::ShardAcquired { shard, term } => write!(f, "shard={shard} term={term}"),
            Self::ShardLost { shard } => write!(f, "shard={shard}"),
            Self::GroupLeadershipAcquired { group, term } => write!(f, "group={group} term={term}"),
            Self::MapStaged { group, map }
            | Self::MapCommitted { group, map }
            | Self::MapDisarmed { group, map } => write!(f, "group={group} map={map}"),
            Self::MapArmed { group, map, step } | Self::MapActive { group, map, step } => {
                write!(f, "group={group} map={map} step={step}")
            }
        }
    }
}

/// An event with its place on the time line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When it happened.
    pub at: HlcStamp,
    /// Where it happened.
    pub process: ProcessId,
    /// What happened.
    pub kind: EventKind,
}

/// The most recent events of one process, in bounded memory.
#[derive(Debug)]
pub struct EventRing {
    process: ProcessId,
    hlc: Hlc,
    /// At most `capacity` events, oldest first.
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl EventRing {
    /// Returns an empty ring for a process.
    pub fn new(process: ProcessId, capacity: usize) -> Self {
        Self {
            process,
            hlc: Hlc::default(),
            events: VecDeque::with_capacity(capacity.min(1024)),
            capacity: capacity.max(1),
            dropped: 0,
        }
    }

    /// Adds an event, dropping the oldest when the ring is full.
    pub fn push(&mut self, wall: SystemTime, kind: EventKind) -> HlcStamp {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        let at = self.hlc.stamp(wall);
        self.events.push_back(Event {
            at,
            process: self.process.clone(),
            kind,
        });
        at
    }

    /// Takes note of a stamp that came with a message.
    pub fn observe(&mut self, remote: HlcStamp) {
        self.hlc.observe(remote);
    }

    /// Returns a stamp for a message that is about to leave.
    pub fn stamp(&mut self, wall: SystemTime) -> HlcStamp {
        self.hlc.stamp(wall)
    }

    /// Returns the events at or after a stamp, oldest first.
    pub fn since(&self, since: HlcStamp) -> impl Iterator<Item = &Event> {
        self.events.iter().filter(move |event| event.at >= since)
    }

    /// Returns how many events were dropped to stay within the bound.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

#[cfg(test)]
mod tests {
    use std::time::SystemTime;

    use super::EventKind;
    use super::EventRing;
    use crate::hlc::HlcStamp;

    #[test]
    fn ring_keeps_the_newest_events() {
        let mut ring = EventRing::new("entry-1".into(), 2);
        for number in 1..=3 {
            ring.push(
                SystemTime::UNIX_EPOCH,
                EventKind::TicketInForce(crate::ids::TicketNumber(number)),
            );
        }
        let kept: Vec<_> = ring.since(HlcStamp::default()).collect();
        assert_eq!(kept.len(), 2);
        assert_eq!(ring.dropped(), 1);
        assert!(kept[0].at < kept[1].at);
    }
}
