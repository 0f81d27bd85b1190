//! The switch core.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Incarnation;
use crate::ids::MapNumber;
use crate::ids::Term;
use crate::maps::voting_switch::Ballot;
use crate::maps::voting_switch::Decision;
use crate::maps::voting_switch::EngineOrder;
use crate::maps::voting_switch::EngineReport;
use crate::maps::voting_switch::EngineView;
use crate::maps::voting_switch::Message;
use crate::maps::voting_switch::RunnerSnapshot;
use crate::maps::voting_switch::Vote;
use crate::maps::voting_switch::VotingInput;
use crate::maps::voting_switch::VotingOutput;

/// How long a runner waits for votes or an engine before it asks again.
const ASK_AFTER: Duration = Duration::from_millis(100);
/// Index of the runner that chooses the map when no engine has any state.
const STARTER: usize = 0;
/// Decisions that are remembered.
const MEMORY: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The engine's state is being read.
    ReadingBack,
    /// Peers are being asked; one answer each.
    Joining(Vec<Option<RunnerSnapshot>>),
    /// The engine takes up the group's state: a map, and a ballot to be armed for.
    Restoring(MapNumber, Option<(Ballot, bool)>),
    Ready,
}

#[derive(Clone, Debug)]
struct Open {
    ballot: Ballot,
    votes: Vec<Option<Vote>>,
}

/// One runner's part in switching maps.
#[derive(Clone, Debug)]
pub struct VotingSwitch {
    me: usize,
    incarnation: Incarnation,
    phase: Phase,
    /// Highest term seen; lower ones are refused.
    term: Term,
    /// The latest known life of each runner.
    incarnations: Vec<Incarnation>,
    /// The ballot without a decision; at most one is armed.
    open: Option<Open>,
    /// Votes of ballots that were not proposed here yet.
    early: BTreeMap<Ballot, Vec<Option<Vote>>>,
    /// At most `MEMORY` decisions.
    decided: BTreeMap<Ballot, Decision>,
    engine: EngineView,
    /// Map to start with when no runner has any state.
    initial: MapNumber,
    /// Who asked for which map to be staged.
    staging: Option<(usize, MapNumber)>,
    /// The map that the engine is loading.
    loading: Option<MapNumber>,
    ask_at: Option<Instant>,
}

impl VotingSwitch {
    /// Returns the switch of runner `me` of `runners`; `initial` is the map to
    /// start with when no runner has any state.
    pub fn new(me: usize, runners: usize, incarnation: Incarnation, initial: MapNumber) -> Self {
        let mut incarnations = vec![Incarnation(0); runners];
        incarnations[me] = incarnation;
        Self {
            me,
            incarnation,
            phase: Phase::ReadingBack,
            term: Term(0),
            incarnations,
            open: None,
            early: BTreeMap::new(),
            decided: BTreeMap::new(),
            engine: EngineView {
                active: None,
                step: Default::default(),
                staged: Vec::new(),
                armed: None,
            },
            initial,
            staging: None,
            loading: None,
            ask_at: None,
        }
    }

    /// Takes an input and appends what has to be done.
    pub fn handle(&mut self, now: Instant, input: VotingInput, out: &mut Vec<VotingOutput>) {
        match input {
            VotingInput::Start => self.read_back(now, out),
            VotingInput::Peer {
                from,
                incarnation,
                message,
            } => self.peer(now, from, incarnation, message, out),
            VotingInput::Engine(report) => self.engine(now, report, out),
            VotingInput::Tick => self.tick(now, out),
        }
    }

    /// Returns when `VotingInput::Tick` is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.ask_at
    }

    /// Returns the last known state of the engine.
    pub fn engine_view(&self) -> &EngineView {
        &self.engine
    }

    /// Returns the life that every message must carry; it ends with the engine's.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the runner takes part in ballots.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns a known decision.
    pub fn decision(&self, ballot: Ballot) -> Option<Decision> {
        self.decided.get(&ballot).copied()
    }

    fn read_back(&mut self, now: Instant, out: &mut Vec<VotingOutput>) {
        self.ask_at = Some(now + ASK_AFTER);
        out.push(VotingOutput::Order(EngineOrder::ReadBack));
    }

    fn peers(&self) -> impl Iterator<Item = usize> + use<> {
        let me = self.me;
        (0..self.incarnations.len()).filter(move |index| *index != me)
    }

    fn broadcast(&self, message: &Message, out: &mut Vec<VotingOutput>) {
        out.extend(
            self.peers()
                .map(|to| VotingOutput::Send(to, message.clone())),
        );
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<VotingOutput>) {
        if self.ask_at.is_none_or(|at| now < at) {
            return;
        }
        self.ask_at = None;
        match &self.phase {
            Phase::ReadingBack | Phase::Restoring(..) => {
                self.read_back(now, out);
            }
            Phase::Joining(standings) => {
                let missing: Vec<usize> = self
                    .peers()
                    .filter(|peer| standings[*peer].is_none())
                    .collect();
                out.extend(
                    missing
                        .into_iter()
                        .map(|peer| VotingOutput::Send(peer, Message::Join)),
                );
                self.ask_at = Some(now + ASK_AFTER);
            }
            Phase::Ready => {
                self.ask_for_votes(now, out);
                if self.engine.armed.is_some() {
                    self.read_back(now, out);
                }
            }
        }
    }

    fn ask_for_votes(&mut self, now: Instant, out: &mut Vec<VotingOutput>) {
        let Some(open) = &self.open else {
            return;
        };
        self.ask_at = Some(now + ASK_AFTER);
        if open.votes[self.me].is_none() {
            out.push(VotingOutput::Order(EngineOrder::Arm(open.ballot)));
            return;
        }
        for peer in self.peers() {
            if open.votes[peer].is_none() {
                out.push(VotingOutput::Send(peer, Message::Query(open.ballot)));
            }
        }
    }

    fn peer(
        &mut self,
        now: Instant,
        from: usize,
        incarnation: Incarnation,
        message: Message,
        out: &mut Vec<VotingOutput>,
    ) {
        if incarnation < self.incarnations[from] {
            return;
        }
        if incarnation > self.incarnations[from] {
            self.incarnations[from] = incarnation;
            self.void_votes(from);
        }
        match message {
            Message::Stage { term, map } => self.stage(from, term, map, out),
            // These are for the leader.
            Message::Staged { .. } | Message::Superseded(_) => {}
            Message::Arm {
                ballot,
                incarnations,
            } => self.arm(now, ballot, &incarnations, out),
            Message::Vote(ballot, vote) => self.vote(now, from, ballot, vote, out),
            Message::Query(ballot) => self.asked(now, from, ballot, out),
            Message::Decided(ballot, decision) => self.decide(now, ballot, decision, out),
            Message::Join => self.join(from, out),
            Message::JoinResponse(standing) => self.joined(now, from, standing, out),
        }
    }

    /// Forgets what a former life voted; what was decided stands.
    fn void_votes(&mut self, from: usize) {
        if let Some(open) = &mut self.open {
            open.votes[from] = None;
        }
        for votes in self.early.values_mut() {
            votes[from] = None;
        }
    }

    fn stage(&mut self, from: usize, term: Term, map: MapNumber, out: &mut Vec<VotingOutput>) {
        if term < self.term {
            out.push(VotingOutput::Send(from, Message::Superseded(self.term)));
            return;
        }
        if self.phase != Phase::Ready {
            return;
        }
        self.term = term;
        self.staging = Some((from, map));
        if self.loading == Some(map) {
            // Loading again would cost the weight store twice.
            return;
        }
        if self.engine.staged.contains(&map) {
            out.push(VotingOutput::Order(EngineOrder::ReadBack));
            return;
        }
        self.loading = Some(map);
        out.push(VotingOutput::Order(EngineOrder::Stage(term, map)));
    }

    /// Tells the leader that its map is loaded, and how far the engine is.
    fn tell_staged(&mut self, out: &mut Vec<VotingOutput>) {
        let staged = &self.engine.staged;
        if let Some((leader, map)) = self.staging.take_if(|(_, map)| staged.contains(map)) {
            let step = self.engine.step;
            out.push(VotingOutput::Send(leader, Message::Staged { map, step }));
        }
    }

    fn arm(
        &mut self,
        now: Instant,
        ballot: Ballot,
        incarnations: &[Incarnation],
        out: &mut Vec<VotingOutput>,
    ) {
        if let Some(decision) = self.decision(ballot) {
            self.broadcast(&Message::Decided(ballot, decision), out);
            // A leader here may have missed it.
            out.push(VotingOutput::Decided(ballot, decision));
            return;
        }
        if self.open.as_ref().is_some_and(|open| open.ballot == ballot) {
            return;
        }
        if self.phase != Phase::Ready {
            // What a former life voted may still count somewhere: say nothing.
            return;
        }
        let takes_part = incarnations.get(self.me) == Some(&self.incarnation)
            && ballot.term >= self.term
            && self.open.is_none()
            && self.engine.armed.is_none()
            && self.engine.active.is_some_and(|active| active < ballot.map)
            && self.engine.staged.contains(&ballot.map);
        if !takes_part {
            self.refuse(now, ballot, out);
            return;
        }
        self.term = ballot.term;
        self.open_ballot(ballot);
        self.ask_at = Some(now + ASK_AFTER);
        out.push(VotingOutput::Order(EngineOrder::Arm(ballot)));
    }

    /// Opens a ballot with the votes that came before it was proposed here.
    fn open_ballot(&mut self, ballot: Ballot) {
        let votes = self
            .early
            .remove(&ballot)
            .unwrap_or_else(|| vec![None; self.incarnations.len()]);
        self.open = Some(Open { ballot, votes });
    }

    fn refuse(&mut self, now: Instant, ballot: Ballot, out: &mut Vec<VotingOutput>) {
        self.broadcast(&Message::Vote(ballot, Vote::Refused), out);
        self.decide(now, ballot, Decision::Disarm, out);
    }

    fn vote(
        &mut self,
        now: Instant,
        from: usize,
        ballot: Ballot,
        vote: Vote,
        out: &mut Vec<VotingOutput>,
    ) {
        if self.decision(ballot).is_some() {
            return;
        }
        if vote == Vote::Refused {
            self.decide(now, ballot, Decision::Disarm, out);
            return;
        }
        match &mut self.open {
            Some(open) if open.ballot == ballot => open.votes[from] = Some(vote),
            _ => {
                let runners = self.incarnations.len();
                let votes = self
                    .early
                    .entry(ballot)
                    .or_insert_with(|| vec![None; runners]);
                votes[from] = Some(vote);
                while self.early.len() > MEMORY {
                    self.early.pop_first();
                }
            }
        }
        self.count(now, out);
    }

    /// Decides to go when every runner has armed.
    fn count(&mut self, now: Instant, out: &mut Vec<VotingOutput>) {
        let Some(open) = &self.open else {
            return;
        };
        let ballot = open.ballot;
        if open.votes.iter().all(|vote| *vote == Some(Vote::Armed)) {
            self.decide(now, ballot, Decision::Go, out);
        }
    }

    fn asked(&mut self, now: Instant, from: usize, ballot: Ballot, out: &mut Vec<VotingOutput>) {
        if let Some(decision) = self.decision(ballot) {
            out.push(VotingOutput::Send(from, Message::Decided(ballot, decision)));
            return;
        }
        if self.phase != Phase::Ready {
            // What a former life voted is not known yet.
            return;
        }
        match &self.open {
            Some(open) if open.ballot == ballot => {
                if let Some(vote) = open.votes[self.me] {
                    out.push(VotingOutput::Send(from, Message::Vote(ballot, vote)));
                }
            }
            _ => self.refuse(now, ballot, out),
        }
    }

    fn decide(
        &mut self,
        now: Instant,
        ballot: Ballot,
        decision: Decision,
        out: &mut Vec<VotingOutput>,
    ) {
        if self.decision(ballot).is_some() {
            return;
        }
        self.decided.insert(ballot, decision);
        while self.decided.len() > MEMORY {
            self.decided.pop_first();
        }
        self.early.remove(&ballot);
        out.push(VotingOutput::Decided(ballot, decision));
        let was_open = self.open.as_ref().is_some_and(|open| open.ballot == ballot);
        if was_open {
            self.open = None;
        }
        let armed = self.engine.armed.is_some_and(|(armed, _)| armed == ballot);
        if was_open || armed {
            self.order_decision(now, ballot, decision, out);
        }
    }

    fn order_decision(
        &mut self,
        now: Instant,
        ballot: Ballot,
        decision: Decision,
        out: &mut Vec<VotingOutput>,
    ) {
        self.ask_at = Some(now + ASK_AFTER);
        out.push(VotingOutput::Order(match decision {
            Decision::Go => EngineOrder::Go(ballot),
            Decision::Disarm => EngineOrder::Disarm(ballot),
        }));
    }

    /// Answers a life without memory; seeing it voided its predecessor's votes.
    fn join(&mut self, from: usize, out: &mut Vec<VotingOutput>) {
        if matches!(self.phase, Phase::ReadingBack) {
            // It asks again.
            return;
        }
        let active = match &self.phase {
            Phase::Ready => self.engine.active,
            // What it will run counts: a third runner must not choose another.
            Phase::Restoring(active, _) => Some(*active),
            Phase::ReadingBack | Phase::Joining(_) => None,
        };
        let standing = RunnerSnapshot {
            active,
            armed: self.engine.armed,
            open: self.open.as_ref().map(|open| open.ballot),
            decided: self.decided.clone(),
        };
        out.push(VotingOutput::Send(from, Message::JoinResponse(standing)));
    }

    fn joined(
        &mut self,
        now: Instant,
        from: usize,
        standing: RunnerSnapshot,
        out: &mut Vec<VotingOutput>,
    ) {
        let Phase::Joining(standings) = &mut self.phase else {
            return;
        };
        standings[from] = Some(standing);
        let me = self.me;
        let complete = standings
            .iter()
            .enumerate()
            .all(|(index, held)| index == me || held.is_some());
        if !complete {
            return;
        }
        let all_fresh = standings.iter().flatten().all(|s| s.active.is_none());
        if all_fresh && me != STARTER {
            // The starter chooses the first map; ask until it has.
            standings.fill(None);
            return;
        }
        let standings: Vec<RunnerSnapshot> = standings.iter().flatten().cloned().collect();
        self.take_up(now, &standings, out);
    }

    /// Takes up the group's state after all peers told theirs.
    fn take_up(&mut self, now: Instant, standings: &[RunnerSnapshot], out: &mut Vec<VotingOutput>) {
        for standing in standings {
            self.decided.extend(standing.decided.clone());
        }
        let open: Vec<Ballot> = standings.iter().filter_map(|s| s.open).collect();
        for ballot in open {
            match self.decision(ballot) {
                Some(decision) => self.broadcast(&Message::Decided(ballot, decision), out),
                None => self.refuse(now, ballot, out),
            }
        }
        let active = standings
            .iter()
            .filter_map(|s| s.active)
            .max()
            .unwrap_or(self.initial);
        let armed = standings
            .iter()
            .filter_map(|s| s.armed)
            .find(|(ballot, _)| self.decision(*ballot) == Some(Decision::Go))
            .filter(|(ballot, _)| ballot.map > active)
            .map(|(ballot, _)| (ballot, true));
        self.phase = Phase::Restoring(active, armed);
        self.ask_at = Some(now + ASK_AFTER);
        out.push(VotingOutput::Order(EngineOrder::Restore { active, armed }));
    }

    fn engine(&mut self, now: Instant, report: EngineReport, out: &mut Vec<VotingOutput>) {
        if let EngineReport::Done(EngineOrder::Stage(_, map))
        | EngineReport::Refused(EngineOrder::Stage(_, map))
        | EngineReport::Unknown(EngineOrder::Stage(_, map)) = report
        {
            self.loading.take_if(|loading| *loading == map);
        }
        match report {
            EngineReport::State(view) => self.state_read(now, view, out),
            EngineReport::Done(order) => self.done(now, order, out),
            EngineReport::Refused(EngineOrder::Arm(ballot)) => {
                let open = self.open.as_ref().map(|open| open.ballot);
                if open == Some(ballot) {
                    self.refuse(now, ballot, out);
                }
            }
            EngineReport::Refused(_) | EngineReport::Unknown(_) => {
                // The next look at the engine tells.
                self.ask_at.get_or_insert(now + ASK_AFTER);
            }
        }
    }

    fn done(&mut self, now: Instant, order: EngineOrder, out: &mut Vec<VotingOutput>) {
        match order {
            EngineOrder::Arm(ballot) => self.armed(now, ballot, out),
            EngineOrder::Go(ballot) => {
                self.engine.armed = Some((ballot, true));
                self.ask_at = Some(now + ASK_AFTER);
            }
            EngineOrder::Disarm(_) => self.engine.armed = None,
            EngineOrder::Stage(..) | EngineOrder::Restore { .. } | EngineOrder::ReadBack => {
                self.read_back(now, out);
            }
        }
    }

    /// The engine holds the ballot's step: the vote is cast.
    fn armed(&mut self, now: Instant, ballot: Ballot, out: &mut Vec<VotingOutput>) {
        self.engine.armed = Some((ballot, false));
        if let Some(decision) = self.decision(ballot) {
            self.order_decision(now, ballot, decision, out);
            return;
        }
        let me = self.me;
        let Some(open) = self.open.as_mut().filter(|open| open.ballot == ballot) else {
            return;
        };
        open.votes[me] = Some(Vote::Armed);
        self.broadcast(&Message::Vote(ballot, Vote::Armed), out);
        self.count(now, out);
    }

    fn state_read(&mut self, now: Instant, view: EngineView, out: &mut Vec<VotingOutput>) {
        let had_state = self.engine.active.is_some();
        self.engine = view;
        if self.engine.active.is_none() {
            self.engine_is_fresh(now, had_state, out);
            return;
        }
        if self.phase != Phase::Ready {
            self.phase = Phase::Ready;
        }
        self.ask_at = None;
        self.tell_staged(out);
        let Some((ballot, go)) = self.engine.armed else {
            self.arm_again(now, out);
            return;
        };
        self.ask_at = Some(now + ASK_AFTER);
        if go {
            self.decide(now, ballot, Decision::Go, out);
        } else if let Some(decision) = self.decision(ballot) {
            self.order_decision(now, ballot, decision, out);
        } else if self.open.is_none() {
            // Armed by a former life: its vote stands.
            self.open_ballot(ballot);
            self.armed(now, ballot, out);
        } else {
            self.armed(now, ballot, out);
        }
    }

    /// The engine is not armed although a ballot is open: arm it again.
    fn arm_again(&mut self, now: Instant, out: &mut Vec<VotingOutput>) {
        if let Some(open) = &mut self.open
            && open.votes[self.me].is_none()
        {
            let ballot = open.ballot;
            self.ask_at = Some(now + ASK_AFTER);
            out.push(VotingOutput::Order(EngineOrder::Arm(ballot)));
        }
    }

    fn engine_is_fresh(&mut self, now: Instant, had_state: bool, out: &mut Vec<VotingOutput>) {
        if let Phase::Joining(_) = self.phase {
            return;
        }
        if let Phase::Restoring(active, armed) = self.phase {
            // The order was lost; the choice stands.
            self.ask_at = Some(now + ASK_AFTER);
            out.push(VotingOutput::Order(EngineOrder::Restore { active, armed }));
            return;
        }
        if had_state {
            // The vote that stood in the engine is lost with it: a life of its
            // own, so that no late message of the former one counts.
            self.incarnation = self.incarnation.next();
            self.incarnations[self.me] = self.incarnation;
            self.open = None;
            self.early.clear();
        }
        self.phase = Phase::Joining(vec![None; self.incarnations.len()]);
        self.ask_at = Some(now + ASK_AFTER);
        if self.incarnations.len() == 1 {
            self.take_up(now, &[], out);
            return;
        }
        self.broadcast(&Message::Join, out);
    }
}
