//! The leader's part: stage a map everywhere, commit it, propose a ballot.
//!
//! A leader is whoever wrote its term into the group's object; nothing is
//! renewed. Runners refuse lower terms, and a leader that was paused and
//! superseded cannot commit. Losing the leader at any point loses only the
//! proposal, because the runners decide ballots among themselves.

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

/// Steps between the proposal and the first step with the new map.
const STEP_MARGIN: u64 = 20;
/// Ballots for one map before it is given up.
const MAX_BALLOTS: u32 = 5;
/// How long a leader waits before it repeats itself.
const REPEAT_AFTER: Duration = Duration::from_millis(300);
/// How long staging may take: weights come through a rate limit.
const STAGE_WITHIN: Duration = Duration::from_secs(600);

/// The content of the group's object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupImage {
    /// Fencing number of the leader.
    pub term: Term,
    /// The leader; `None` before the first.
    pub leader: Option<ProcessId>,
    /// The last map that was committed.
    pub committed: MapNumber,
}

/// What the leader is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderInput {
    /// Take the lead and bring a map into force.
    Propose(MapNumber),
    /// The group's object, with its version; zero and `None` when missing.
    Read(u64, Option<GroupImage>),
    /// The store did not answer a read.
    ReadFailed,
    /// What became of a write.
    Written(WriteResult),
    /// A runner staged the map.
    Staged {
        /// Index of the runner.
        from: usize,
        /// Its life.
        incarnation: Incarnation,
        /// The map.
        map: MapNumber,
        /// Step that its engine has reached.
        step: StepNumber,
    },
    /// A runner has seen a leader with this term.
    Superseded(Term),
    /// This runner learnt a decision.
    Decided(Ballot, Decision),
    /// Time passed.
    Tick,
}

/// What the leader wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderOutput {
    /// Read the group's object.
    Read,
    /// Write the group's object if it has the version given.
    Write(u64, GroupImage),
    /// Send a message to every runner, this one included.
    SendAll(Message),
    /// The map is in force.
    Finished(MapNumber),
    /// The map is given up; the former one stays.
    Aborted(MapNumber),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Reading,
    Taking(GroupImage),
    Staging,
    Committing(GroupImage),
    Arming(Ballot),
}

#[derive(Clone, Debug)]
struct Proposal {
    map: MapNumber,
    /// Life and step of each runner that staged the map.
    staged: Vec<Option<(Incarnation, StepNumber)>>,
    ballots: u32,
    /// Step of the last ballot; the next one is later.
    last_step: StepNumber,
    give_up_at: Instant,
}

/// The leader's part in one agent.
#[derive(Clone, Debug)]
pub struct Leader {
    me: ProcessId,
    runners: usize,
    state: State,
    proposal: Option<Proposal>,
    version: u64,
    image: Option<GroupImage>,
    repeat_at: Option<Instant>,
}

impl Leader {
    /// Returns a leader that leads nothing yet.
    pub fn new(me: ProcessId, runners: usize) -> Self {
        Self {
            me,
            runners,
            state: State::Idle,
            proposal: None,
            version: 0,
            image: None,
            repeat_at: None,
        }
    }

    /// Takes an input and appends what has to be done.
    pub fn handle(&mut self, now: Instant, input: LeaderInput, out: &mut Vec<LeaderOutput>) {
        match input {
            LeaderInput::Propose(map) => self.propose(now, map, out),
            LeaderInput::Read(version, image) => self.read(now, version, image, out),
            LeaderInput::ReadFailed => self.repeat_at = Some(now + REPEAT_AFTER),
            LeaderInput::Written(result) => self.written(now, result, out),
            LeaderInput::Staged {
                from,
                incarnation,
                map,
                step,
            } => self.staged(now, from, incarnation, map, step, out),
            LeaderInput::Superseded(term) => {
                if self.image.as_ref().is_some_and(|image| image.term < term) {
                    self.give_up(out);
                }
            }
            LeaderInput::Decided(ballot, decision) => self.decided(now, ballot, decision, out),
            LeaderInput::Tick => self.tick(now, out),
        }
    }

    /// Returns when `LeaderInput::Tick` is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let give_up = self.proposal.as_ref().map(|proposal| proposal.give_up_at);
        self.repeat_at.into_iter().chain(give_up).min()
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
            give_up_at: now + STAGE_WITHIN,
        });
        self.state = State::Reading;
        self.repeat_at = Some(now + REPEAT_AFTER);
        out.push(LeaderOutput::Read);
    }

    fn read(
        &mut self,
        now: Instant,
        version: u64,
        image: Option<GroupImage>,
        out: &mut Vec<LeaderOutput>,
    ) {
        let found = image.unwrap_or(GroupImage {
            term: Term(0),
            leader: None,
            committed: MapNumber(0),
        });
        match self.state.clone() {
            State::Reading => {
                self.version = version;
                self.take(found, out);
            }
            State::Taking(wanted) if found == wanted => self.taken(now, version, wanted, out),
            State::Committing(wanted) if found == wanted => {
                self.committed(now, version, wanted, out);
            }
            State::Taking(wanted) | State::Committing(wanted) => {
                if version == self.version {
                    // The write did not take effect, or not yet: the same again.
                    out.push(LeaderOutput::Write(version, wanted));
                } else {
                    self.give_up(out);
                }
            }
            State::Idle | State::Staging | State::Arming(_) => {}
        }
    }

    fn take(&mut self, found: GroupImage, out: &mut Vec<LeaderOutput>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.map <= found.committed {
            proposal.map = found.committed.next();
        }
        let wanted = GroupImage {
            term: found.term.next(),
            leader: Some(self.me.clone()),
            committed: found.committed,
        };
        self.state = State::Taking(wanted.clone());
        out.push(LeaderOutput::Write(self.version, wanted));
    }

    fn written(&mut self, now: Instant, result: WriteResult, out: &mut Vec<LeaderOutput>) {
        match (self.state.clone(), result) {
            (State::Taking(image), WriteResult::Written(version)) => {
                self.taken(now, version, image, out);
            }
            (State::Committing(image), WriteResult::Written(version)) => {
                self.committed(now, version, image, out);
            }
            (State::Taking(_) | State::Committing(_), WriteResult::Conflict) => {
                out.push(LeaderOutput::Read);
            }
            (State::Taking(_) | State::Committing(_), WriteResult::Unknown) => {
                self.repeat_at = Some(now + REPEAT_AFTER);
            }
            _ => {}
        }
    }

    fn taken(
        &mut self,
        now: Instant,
        version: u64,
        image: GroupImage,
        out: &mut Vec<LeaderOutput>,
    ) {
        self.version = version;
        self.image = Some(image);
        self.state = State::Staging;
        self.send_stage(now, out);
    }

    fn send_stage(&mut self, now: Instant, out: &mut Vec<LeaderOutput>) {
        if let (Some(proposal), Some(image)) = (&self.proposal, &self.image) {
            let (term, map) = (image.term, proposal.map);
            out.push(LeaderOutput::SendAll(Message::Stage { term, map }));
        }
        self.repeat_at = Some(now + REPEAT_AFTER);
    }

    fn staged(
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
        let (Some(proposal), Some(image)) = (&self.proposal, &self.image) else {
            return;
        };
        let wanted = GroupImage {
            committed: proposal.map,
            ..image.clone()
        };
        if wanted == *image {
            // Committed before an earlier ballot was disarmed.
            self.send_arm(now, out);
            return;
        }
        self.state = State::Committing(wanted.clone());
        self.repeat_at = Some(now + REPEAT_AFTER);
        out.push(LeaderOutput::Write(self.version, wanted));
    }

    fn committed(
        &mut self,
        now: Instant,
        version: u64,
        image: GroupImage,
        out: &mut Vec<LeaderOutput>,
    ) {
        self.version = version;
        self.image = Some(image);
        self.send_arm(now, out);
    }

    fn send_arm(&mut self, now: Instant, out: &mut Vec<LeaderOutput>) {
        let (Some(proposal), Some(image)) = (&mut self.proposal, &self.image) else {
            return;
        };
        let reached = proposal
            .staged
            .iter()
            .flatten()
            .map(|(_, step)| step.0)
            .max();
        // A group that stands still reports the same step again, and a ballot
        // that was decided stays decided.
        let step = (reached.unwrap_or(0) + STEP_MARGIN).max(proposal.last_step.0 + 1);
        let ballot = Ballot {
            term: image.term,
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
        self.repeat_at = Some(now + REPEAT_AFTER);
        out.push(LeaderOutput::SendAll(Message::Arm {
            ballot,
            incarnations,
        }));
    }

    fn decided(
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
                self.end();
                out.push(LeaderOutput::Finished(map));
            }
            Decision::Disarm if proposal.ballots >= MAX_BALLOTS => self.give_up(out),
            Decision::Disarm => {
                // Learn anew how far each runner is.
                proposal.staged = vec![None; self.runners];
                self.state = State::Staging;
                self.send_stage(now, out);
            }
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<LeaderOutput>) {
        let late = |proposal: &Proposal| proposal.give_up_at <= now;
        if self.proposal.as_ref().is_some_and(late) {
            self.give_up(out);
            return;
        }
        if self.repeat_at.is_none_or(|at| now < at) {
            return;
        }
        self.repeat_at = Some(now + REPEAT_AFTER);
        match &self.state {
            State::Idle => self.repeat_at = None,
            State::Reading | State::Taking(_) | State::Committing(_) => {
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

    fn give_up(&mut self, out: &mut Vec<LeaderOutput>) {
        if let Some(proposal) = &self.proposal {
            out.push(LeaderOutput::Aborted(proposal.map));
        }
        self.end();
    }

    fn end(&mut self) {
        self.proposal = None;
        self.state = State::Idle;
        self.repeat_at = None;
    }
}
