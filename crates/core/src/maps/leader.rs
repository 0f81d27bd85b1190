//! The leader of a group: it has all runners stage a map, commits the map, and
//! proposes a ballot to [`VotingSwitch`](crate::maps::VotingSwitch).
//!
//! The leader is the agent that last wrote its term into the group's object in
//! the store; there is no lease to renew. Runners refuse lower terms, and a
//! leader that was suspended and superseded cannot commit. If the leader is
//! lost at any point, only its proposal is lost, because the runners decide
//! ballots among themselves.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Incarnation;
use crate::ids::MapNumber;
use crate::ids::ProcessId;
use crate::ids::StepNumber;
use crate::ids::Term;
use crate::ledger::WriteResult;
use crate::maps::Ballot;
use crate::maps::Decision;
use crate::maps::Message;

/// Steps between the proposal of a ballot and the first step with the new map.
const SWITCH_LEAD_STEPS: u64 = 20;
/// Most ballots for one map before the proposal is aborted.
const MAX_BALLOTS: u32 = 5;
/// Time after which a leader retries a read, a write or a message.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time for a proposal: staging is slow, since weights are loaded under a
/// rate limit.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(600);

/// The content of the group's object in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSnapshot {
    /// Fencing number of the leader.
    pub term: Term,
    /// The leader; `None` before the first one.
    pub leader: Option<ProcessId>,
    /// The last map that was committed.
    pub committed: MapNumber,
}

/// An input of [`Leader`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderInput {
    /// The agent is to acquire the leadership and bring a map into use.
    Propose(MapNumber),
    /// The group's object and its version; `None` and zero if it is missing.
    Read(u64, Option<GroupSnapshot>),
    /// A read of the group's object failed.
    ReadFailed,
    /// The outcome of a write.
    Written(WriteResult),
    /// A runner staged the map.
    Staged {
        /// Index of the runner.
        from: usize,
        /// Incarnation of the runner that staged it.
        incarnation: Incarnation,
        /// Number of the staged map.
        map: MapNumber,
        /// Step that its engine has reached.
        step: StepNumber,
    },
    /// A runner knows of a leader with this term.
    Superseded(Term),
    /// The runner beside this leader knows a decision.
    Decided(Ballot, Decision),
    /// Time passed.
    Tick,
}

/// An output of [`Leader`]: an action to take, or an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderOutput {
    /// Read the group's object.
    Read,
    /// Write the group's object if it still has this version.
    Write(u64, GroupSnapshot),
    /// Send a message to every runner, this one included.
    SendAll(Message),
    /// The map is in use.
    Finished(MapNumber),
    /// The proposal was aborted; the previous map stays in use.
    Aborted(MapNumber),
}

/// Progress of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// There is no proposal.
    Idle,
    /// The group's object is being read.
    Reading,
    /// The group's object is being written with a new term.
    AcquiringTerm(GroupSnapshot),
    /// The runners load the map.
    Staging,
    /// The group's object is being written with the committed map.
    Committing(GroupSnapshot),
    /// The runners vote on the ballot.
    Arming(Ballot),
}

/// The proposal of one map.
#[derive(Clone, Debug)]
struct Proposal {
    map: MapNumber,
    /// Incarnation and step of each runner that has staged the map.
    staged: Vec<Option<(Incarnation, StepNumber)>>,
    /// Ballots that were proposed so far.
    ballots: u32,
    /// Step of the last ballot; the next ballot must have a later one.
    last_step: StepNumber,
    deadline: Instant,
}

/// The leader's part in one agent; it is idle until a map is proposed.
#[derive(Clone, Debug)]
pub struct Leader {
    me: ProcessId,
    runners: usize,
    state: State,
    proposal: Option<Proposal>,
    /// The last known version of the group's object.
    version: u64,
    /// The group's object as this leader last wrote it.
    snapshot: Option<GroupSnapshot>,
    retry_at: Option<Instant>,
}

impl Leader {
    /// Returns an idle leader for a group of `runners`.
    pub fn new(me: ProcessId, runners: usize) -> Self {
        Self {
            me,
            runners,
            state: State::Idle,
            proposal: None,
            version: 0,
            snapshot: None,
            retry_at: None,
        }
    }

    /// Handles an input and appends the outputs that follow from it.
    pub fn handle(&mut self, now: Instant, input: LeaderInput, out: &mut Vec<LeaderOutput>) {
        match input {
            LeaderInput::Propose(map) => self.propose(now, map, out),
            LeaderInput::Read(version, snapshot) => self.handle_read(now, version, snapshot, out),
            LeaderInput::ReadFailed => self.retry_at = Some(now + RETRY_INTERVAL),
            LeaderInput::Written(result) => self.handle_written(now, result, out),
            LeaderInput::Staged {
                from,
                incarnation,
                map,
                step,
            } => self.handle_staged(now, from, incarnation, map, step, out),
            LeaderInput::Superseded(term) => {
                if self
                    .snapshot
                    .as_ref()
                    .is_some_and(|snapshot| snapshot.term < term)
                {
                    self.abort(out);
                }
            }
            LeaderInput::Decided(ballot, decision) => {
                self.handle_decided(now, ballot, decision, out)
            }
            LeaderInput::Tick => self.tick(now, out),
        }
    }

    /// Returns when `LeaderInput::Tick` is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let deadline = self.proposal.as_ref().map(|proposal| proposal.deadline);
        self.retry_at.into_iter().chain(deadline).min()
    }

    /// Returns whether a proposal is under way.
    pub fn is_busy(&self) -> bool {
        self.proposal.is_some()
    }

    fn propose(&mut self, now: Instant, map: MapNumber, out: &mut Vec<LeaderOutput>) {
        if self.proposal.is_some() {
            return;
        }
        self.proposal = Some(Proposal {
            map,
            staged: vec![None; self.runners],
            ballots: 0,
            last_step: StepNumber(0),
            deadline: now + PROPOSAL_TIMEOUT,
        });
        self.state = State::Reading;
        self.retry_at = Some(now + RETRY_INTERVAL);
        out.push(LeaderOutput::Read);
    }

    fn handle_read(
        &mut self,
        now: Instant,
        version: u64,
        snapshot: Option<GroupSnapshot>,
        out: &mut Vec<LeaderOutput>,
    ) {
        let stored = snapshot.unwrap_or(GroupSnapshot {
            term: Term(0),
            leader: None,
            committed: MapNumber(0),
        });
        match self.state.clone() {
            State::Reading => {
                self.version = version;
                self.acquire_term(stored, out);
            }
            State::AcquiringTerm(target) if stored == target => {
                self.handle_term_acquired(now, version, target, out)
            }
            State::Committing(target) if stored == target => {
                self.handle_committed(now, version, target, out);
            }
            State::AcquiringTerm(target) | State::Committing(target) => {
                if version == self.version {
                    // The write has not taken effect, or not yet: write the same
                    // content again.
                    out.push(LeaderOutput::Write(version, target));
                } else {
                    self.abort(out);
                }
            }
            State::Idle | State::Staging | State::Arming(_) => {}
        }
    }

    fn acquire_term(&mut self, stored: GroupSnapshot, out: &mut Vec<LeaderOutput>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.map <= stored.committed {
            proposal.map = stored.committed.next();
        }
        let target = GroupSnapshot {
            term: stored.term.next(),
            leader: Some(self.me.clone()),
            committed: stored.committed,
        };
        self.state = State::AcquiringTerm(target.clone());
        out.push(LeaderOutput::Write(self.version, target));
    }

    fn handle_written(&mut self, now: Instant, result: WriteResult, out: &mut Vec<LeaderOutput>) {
        match (self.state.clone(), result) {
            (State::AcquiringTerm(snapshot), WriteResult::Written(version)) => {
                self.handle_term_acquired(now, version, snapshot, out);
            }
            (State::Committing(snapshot), WriteResult::Written(version)) => {
                self.handle_committed(now, version, snapshot, out);
            }
            (State::AcquiringTerm(_) | State::Committing(_), WriteResult::Conflict) => {
                out.push(LeaderOutput::Read);
            }
            (State::AcquiringTerm(_) | State::Committing(_), WriteResult::Unknown) => {
                self.retry_at = Some(now + RETRY_INTERVAL);
            }
            _ => {}
        }
    }

    fn handle_term_acquired(
        &mut self,
        now: Instant,
        version: u64,
        snapshot: GroupSnapshot,
        out: &mut Vec<LeaderOutput>,
    ) {
        self.version = version;
        self.snapshot = Some(snapshot);
        self.state = State::Staging;
        self.send_stage(now, out);
    }

    fn send_stage(&mut self, now: Instant, out: &mut Vec<LeaderOutput>) {
        if let (Some(proposal), Some(snapshot)) = (&self.proposal, &self.snapshot) {
            let (term, map) = (snapshot.term, proposal.map);
            out.push(LeaderOutput::SendAll(Message::Stage { term, map }));
        }
        self.retry_at = Some(now + RETRY_INTERVAL);
    }

    fn handle_staged(
        &mut self,
        now: Instant,
        from: usize,
        incarnation: Incarnation,
        map: MapNumber,
        step: StepNumber,
        out: &mut Vec<LeaderOutput>,
    ) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.map != map {
            return;
        }
        proposal.staged[from] = Some((incarnation, step));
        let complete = proposal.staged.iter().all(Option::is_some);
        if complete && self.state == State::Staging {
            self.commit(now, out);
        }
    }

    fn commit(&mut self, now: Instant, out: &mut Vec<LeaderOutput>) {
        let (Some(proposal), Some(snapshot)) = (&self.proposal, &self.snapshot) else {
            return;
        };
        let target = GroupSnapshot {
            committed: proposal.map,
            ..snapshot.clone()
        };
        if target == *snapshot {
            // The map was committed before an earlier ballot was disarmed.
            self.send_arm(now, out);
            return;
        }
        self.state = State::Committing(target.clone());
        self.retry_at = Some(now + RETRY_INTERVAL);
        out.push(LeaderOutput::Write(self.version, target));
    }

    fn handle_committed(
        &mut self,
        now: Instant,
        version: u64,
        snapshot: GroupSnapshot,
        out: &mut Vec<LeaderOutput>,
    ) {
        self.version = version;
        self.snapshot = Some(snapshot);
        self.send_arm(now, out);
    }

    fn send_arm(&mut self, now: Instant, out: &mut Vec<LeaderOutput>) {
        let (Some(proposal), Some(snapshot)) = (&mut self.proposal, &self.snapshot) else {
            return;
        };
        let reached = proposal
            .staged
            .iter()
            .flatten()
            .map(|(_, step)| step.0)
            .max();
        // A group that makes no steps reports the same step again, but a new
        // ballot needs a later step, since a decided ballot stays decided.
        let step = (reached.unwrap_or(0) + SWITCH_LEAD_STEPS).max(proposal.last_step.0 + 1);
        let ballot = Ballot {
            term: snapshot.term,
            map: proposal.map,
            step: StepNumber(step),
        };
        proposal.last_step = ballot.step;
        proposal.ballots += 1;
        let incarnations = proposal
            .staged
            .iter()
            .flatten()
            .map(|(incarnation, _)| *incarnation)
            .collect();
        self.state = State::Arming(ballot);
        self.retry_at = Some(now + RETRY_INTERVAL);
        out.push(LeaderOutput::SendAll(Message::Arm {
            ballot,
            incarnations,
        }));
    }

    fn handle_decided(
        &mut self,
        now: Instant,
        ballot: Ballot,
        decision: Decision,
        out: &mut Vec<LeaderOutput>,
    ) {
        if self.state != State::Arming(ballot) {
            return;
        }
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        match decision {
            Decision::Go => {
                let map = proposal.map;
                self.reset();
                out.push(LeaderOutput::Finished(map));
            }
            Decision::Disarm if proposal.ballots >= MAX_BALLOTS => self.abort(out),
            Decision::Disarm => {
                // Stage again, to receive the current step of each runner.
                proposal.staged = vec![None; self.runners];
                self.state = State::Staging;
                self.send_stage(now, out);
            }
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<LeaderOutput>) {
        let is_late = |proposal: &Proposal| proposal.deadline <= now;
        if self.proposal.as_ref().is_some_and(is_late) {
            self.abort(out);
            return;
        }
        if self.retry_at.is_none_or(|at| now < at) {
            return;
        }
        self.retry_at = Some(now + RETRY_INTERVAL);
        match &self.state {
            State::Idle => self.retry_at = None,
            State::Reading | State::AcquiringTerm(_) | State::Committing(_) => {
                out.push(LeaderOutput::Read);
            }
            State::Staging => self.send_stage(now, out),
            State::Arming(ballot) => {
                let ballot = *ballot;
                let incarnations = self.incarnations();
                out.push(LeaderOutput::SendAll(Message::Arm {
                    ballot,
                    incarnations,
                }));
            }
        }
    }

    fn incarnations(&self) -> Vec<Incarnation> {
        let staged = self.proposal.iter().flat_map(|p| p.staged.iter().flatten());
        staged.map(|(incarnation, _)| *incarnation).collect()
    }

    fn abort(&mut self, out: &mut Vec<LeaderOutput>) {
        if let Some(proposal) = &self.proposal {
            out.push(LeaderOutput::Aborted(proposal.map));
        }
        self.reset();
    }

    fn reset(&mut self) {
        self.proposal = None;
        self.state = State::Idle;
        self.retry_at = None;
    }
}
