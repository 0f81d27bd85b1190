//! Events of the timeline, and the ring buffer in which a process keeps its own.
//!
//! An event records a change of state, with a stamp that orders it among the events
//! of all processes. Anything that is counted belongs to the metrics instead.

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
    /// A change ticket took effect in this process.
    TicketInForce(TicketNumber),
    /// The platform's object service stopped responding.
    PlatformDown,
    /// The platform's object service responds again.
    PlatformUp,
    /// A link to another process opened.
    LinkUp(ProcessId),
    /// A link to another process closed and will be reopened.
    LinkDown(ProcessId),
    /// A runner announced that it takes no new work.
    RunnerLeaving(RunnerId),
    /// A runner has no working link, or its endpoint is down; it gets no new work.
    RunnerSuspect(RunnerId),
    /// A runner takes work again.
    RunnerUp(RunnerId),
    /// The endpoint beside this agent died while it ran an attempt.
    EndpointDied(AttemptId),
    /// Requests with this fingerprint are blocked, since they kill endpoints.
    RequestBlocked(Fingerprint),
    /// A request was rejected before it ran, because the service is overloaded.
    RequestShed {
        /// The customer that sent the request.
        workspace: WorkspaceId,
        /// The service that the request was for.
        service: ServiceId,
    },
    /// An interrupted stream continues on another runner.
    StreamResumed {
        /// The attempt that continues it.
        attempt: AttemptId,
        /// The runner that continues it.
        runner: RunnerId,
    },
    /// This process acquired the ownership of a ledger shard.
    ShardAcquired {
        /// Index of the shard.
        shard: u16,
        /// Fencing number of the ownership.
        term: Term,
    },
    /// This process learned that another process owns a ledger shard.
    ShardLost {
        /// Index of the shard.
        shard: u16,
    },
    /// This agent became the leader of a group.
    GroupLeadershipAcquired {
        /// The group that this agent leads now.
        group: GroupId,
        /// Fencing number of the leadership.
        term: Term,
    },
    /// An expert map was loaded beside the active one.
    MapStaged {
        /// The group of the runner that loaded the map.
        group: GroupId,
        /// Number of the loaded map.
        map: MapNumber,
    },
    /// An expert map was written to the group's object.
    MapCommitted {
        /// The group that the map is for.
        group: GroupId,
        /// Number of the written map.
        map: MapNumber,
    },
    /// A rank waits at a step for the decision whether to switch to an expert map.
    MapArmed {
        /// The group of the waiting rank.
        group: GroupId,
        /// Number of the map that a ballot proposes.
        map: MapNumber,
        /// First step that may run with the map.
        step: StepNumber,
    },
    /// A switch of expert maps was completed; the map is active from a step on.
    MapActive {
        /// The group that switched.
        group: GroupId,
        /// Number of the map that is active now.
        map: MapNumber,
        /// First step that runs with the map.
        step: StepNumber,
    },
    /// A switch of expert maps was aborted; the former map stays active.
    MapDisarmed {
        /// The group whose switch was aborted.
        group: GroupId,
        /// The map that did not become active.
        map: MapNumber,
    },
}

impl EventKind {
    /// Returns the name by which the timeline can be filtered.
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

    /// Returns the workspace that the event concerns, if there is one.
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

/// An event with its position on the timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When it happened.
    pub at: HlcStamp,
    /// Where it happened.
    pub process: ProcessId,
    /// What happened.
    pub kind: EventKind,
}

/// The most recent events of one process, in a ring buffer.
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
    /// Returns an empty ring for at most `capacity` events of a process.
    pub fn new(process: ProcessId, capacity: usize) -> Self {
        Self {
            process,
            hlc: Hlc::default(),
            events: VecDeque::with_capacity(capacity.min(1024)),
            capacity: capacity.max(1),
            dropped: 0,
        }
    }

    /// Adds an event, and drops the oldest one when the ring is full.
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

    /// Records the stamp of a received message, so that later stamps exceed it.
    pub fn observe(&mut self, remote: HlcStamp) {
        self.hlc.observe(remote);
    }

    /// Returns a stamp for a message that is about to be sent.
    pub fn stamp(&mut self, wall: SystemTime) -> HlcStamp {
        self.hlc.stamp(wall)
    }

    /// Returns the events at or after a stamp, oldest first.
    pub fn since(&self, since: HlcStamp) -> impl Iterator<Item = &Event> {
        self.events.iter().filter(move |event| event.at >= since)
    }

    /// Returns how many events were dropped because the ring was full.
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
    fn full_ring_drops_the_oldest_event_and_counts_it() {
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
