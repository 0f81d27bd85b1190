//! The state machine of [`VotingSwitch`], which does no I/O itself.

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

/// Time after which a runner queries its peers or its engine again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Index of the runner that chooses the first map if no engine has any state.
const BOOTSTRAP_RUNNER: usize = 0;
/// Most decisions, and most ballots with early votes, that are remembered.
const MAX_REMEMBERED_BALLOTS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The engine's state is being read.
    ReadingBack,
    /// The peers are queried for their states; holds their responses by index.
    Joining(Vec<Option<RunnerSnapshot>>),
    /// The engine adopts the group's state: a map, and a ballot to be armed for.
    Restoring(MapNumber, Option<(Ballot, bool)>),
    /// The runner takes part in ballots.
    Ready,
}

/// A ballot without a decision, and the votes so far.
#[derive(Clone, Debug)]
struct OpenBallot {
    ballot: Ballot,
    votes: Vec<Option<Vote>>,
}

/// One runner's part in the votes on maps.
#[derive(Clone, Debug)]
pub struct VotingSwitch {
    /// Index of this runner.
    me: usize,
    incarnation: Incarnation,
    phase: Phase,
    /// Highest term received; lower ones are refused.
    term: Term,
    /// The latest known incarnation of each runner.
    incarnations: Vec<Incarnation>,
    /// The ballot on which this runner votes; there is at most one.
    open: Option<OpenBallot>,
    /// Votes on ballots whose proposal has not arrived here yet.
    early_votes: BTreeMap<Ballot, Vec<Option<Vote>>>,
    /// At most `MAX_REMEMBERED_BALLOTS` decisions.
    decided: BTreeMap<Ballot, Decision>,
    /// The last known state of the engine.
    engine: EngineView,
    /// Whether the engine refused an order, or did not respond, since its state was read.
    engine_in_doubt: bool,
    /// Map to start with if no runner has any state.
    initial: MapNumber,
    /// The map to be staged, and the index of the leader that waits for it.
    staging: Option<(usize, MapNumber)>,
    /// The map that the engine is loading.
    loading: Option<MapNumber>,
    /// When the engine or the peers are queried again.
    retry_at: Option<Instant>,
}

impl VotingSwitch {
    /// Returns the switch of the runner with index `me` in a group of `runners`.
    /// `initial` is the map to start with if no runner has any state.
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
            early_votes: BTreeMap::new(),
            decided: BTreeMap::new(),
            engine: EngineView {
                active: None,
                step: Default::default(),
                staged: Vec::new(),
                armed: None,
            },
            engine_in_doubt: false,
            initial,
            staging: None,
            loading: None,
            retry_at: None,
        }
    }

    /// Handles an input and appends the outputs that follow from it.
    pub fn handle(&mut self, now: Instant, input: VotingInput, out: &mut Vec<VotingOutput>) {
        match input {
            VotingInput::Start => self.read_back(now, out),
            VotingInput::Peer {
                from,
                incarnation,
                message,
            } => self.handle_message(now, from, incarnation, message, out),
            VotingInput::Engine(report) => self.handle_report(now, report, out),
            VotingInput::Tick => self.tick(now, out),
        }
    }

    /// Returns when `VotingInput::Tick` is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Returns the last known state of the engine.
    pub fn engine_view(&self) -> &EngineView {
        &self.engine
    }

    /// Returns the incarnation that every message must carry. A new one begins
    /// when the engine loses its state.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the runner takes part in ballots.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns the decision on a ballot, if it is known and still remembered.
    pub fn decision(&self, ballot: Ballot) -> Option<Decision> {
        self.decided.get(&ballot).copied()
    }

    fn read_back(&mut self, now: Instant, out: &mut Vec<VotingOutput>) {
        self.retry_at = Some(now + RETRY_INTERVAL);
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
        if self.retry_at.is_none_or(|at| now < at) {
            return;
        }
        self.retry_at = None;
        match &self.phase {
            Phase::ReadingBack | Phase::Restoring(..) => {
                self.read_back(now, out);
            }
            Phase::Joining(snapshots) => {
                let missing: Vec<usize> = self
                    .peers()
                    .filter(|peer| snapshots[*peer].is_none())
                    .collect();
                out.extend(
                    missing
                        .into_iter()
                        .map(|peer| VotingOutput::Send(peer, Message::Join)),
                );
                self.retry_at = Some(now + RETRY_INTERVAL);
            }
            Phase::Ready => {
                self.query_votes(now, out);
                if self.engine.armed.is_some() || self.engine_in_doubt {
                    self.read_back(now, out);
                }
            }
        }
    }

    fn query_votes(&mut self, now: Instant, out: &mut Vec<VotingOutput>) {
        let Some(open) = &self.open else {
            return;
        };
        self.retry_at = Some(now + RETRY_INTERVAL);
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

    fn handle_message(
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
            self.discard_votes(from);
        }
        match message {
            Message::Stage { term, map } => self.handle_stage(from, term, map, out),
            // These messages are for the leader's part.
            Message::Staged { .. } | Message::Superseded(_) => {}
            Message::Arm {
                ballot,
                incarnations,
            } => self.handle_arm(now, ballot, &incarnations, out),
            Message::Vote(ballot, vote) => self.handle_vote(now, from, ballot, vote, out),
            Message::Query(ballot) => self.handle_query(now, from, ballot, out),
            Message::Decided(ballot, decision) => self.record_decision(now, ballot, decision, out),
            Message::Join => self.handle_join(from, out),
            Message::JoinResponse(snapshot) => self.handle_join_response(now, from, snapshot, out),
        }
    }

    /// Discards the votes of a peer's previous incarnation. Decisions remain.
    fn discard_votes(&mut self, from: usize) {
        if let Some(open) = &mut self.open {
            open.votes[from] = None;
        }
        for votes in self.early_votes.values_mut() {
            votes[from] = None;
        }
    }

    fn handle_stage(
        &mut self,
        from: usize,
        term: Term,
        map: MapNumber,
        out: &mut Vec<VotingOutput>,
    ) {
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
            // Loading again would double the traffic from the weight store.
            return;
        }
        if self.engine.staged.contains(&map) {
            out.push(VotingOutput::Order(EngineOrder::ReadBack));
            return;
        }
        self.loading = Some(map);
        out.push(VotingOutput::Order(EngineOrder::Stage(term, map)));
    }

    /// Reports to the leader that its map is loaded, with the engine's step.
    fn report_staged(&mut self, out: &mut Vec<VotingOutput>) {
        let staged = &self.engine.staged;
        if let Some((leader, map)) = self.staging.take_if(|(_, map)| staged.contains(map)) {
            let step = self.engine.step;
            out.push(VotingOutput::Send(leader, Message::Staged { map, step }));
        }
    }

    fn handle_arm(
        &mut self,
        now: Instant,
        ballot: Ballot,
        incarnations: &[Incarnation],
        out: &mut Vec<VotingOutput>,
    ) {
        if let Some(decision) = self.decision(ballot) {
            self.broadcast(&Message::Decided(ballot, decision), out);
            // A leader in this agent may have missed the decision.
            out.push(VotingOutput::Decided(ballot, decision));
            return;
        }
        if self.open.as_ref().is_some_and(|open| open.ballot == ballot) {
            return;
        }
        if self.phase != Phase::Ready {
            // The vote of a previous incarnation may still count at a peer, so
            // this one must not vote.
            return;
        }
        let can_arm = incarnations.get(self.me) == Some(&self.incarnation)
            && ballot.term >= self.term
            && self.open.is_none()
            && self.engine.armed.is_none()
            && self.engine.active.is_some_and(|active| active < ballot.map)
            && self.engine.staged.contains(&ballot.map);
        if !can_arm {
            self.refuse_ballot(now, ballot, out);
            return;
        }
        self.term = ballot.term;
        self.open_ballot(ballot);
        self.retry_at = Some(now + RETRY_INTERVAL);
        out.push(VotingOutput::Order(EngineOrder::Arm(ballot)));
    }

    /// Opens a ballot, with the votes that arrived before its proposal.
    fn open_ballot(&mut self, ballot: Ballot) {
        let votes = self
            .early_votes
            .remove(&ballot)
            .unwrap_or_else(|| vec![None; self.incarnations.len()]);
        self.open = Some(OpenBallot { ballot, votes });
    }

    /// Votes to refuse a ballot, which decides it.
    fn refuse_ballot(&mut self, now: Instant, ballot: Ballot, out: &mut Vec<VotingOutput>) {
        self.broadcast(&Message::Vote(ballot, Vote::Refused), out);
        self.record_decision(now, ballot, Decision::Disarm, out);
    }

    fn handle_vote(
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
            self.record_decision(now, ballot, Decision::Disarm, out);
            return;
        }
        match &mut self.open {
            Some(open) if open.ballot == ballot => open.votes[from] = Some(vote),
            _ => {
                let runners = self.incarnations.len();
                let votes = self
                    .early_votes
                    .entry(ballot)
                    .or_insert_with(|| vec![None; runners]);
                votes[from] = Some(vote);
                while self.early_votes.len() > MAX_REMEMBERED_BALLOTS {
                    self.early_votes.pop_first();
                }
            }
        }
        self.count_votes(now, out);
    }

    /// Decides to go if every runner has armed.
    fn count_votes(&mut self, now: Instant, out: &mut Vec<VotingOutput>) {
        let Some(open) = &self.open else {
            return;
        };
        let ballot = open.ballot;
        if open.votes.iter().all(|vote| *vote == Some(Vote::Armed)) {
            self.record_decision(now, ballot, Decision::Go, out);
        }
    }

    fn handle_query(
        &mut self,
        now: Instant,
        from: usize,
        ballot: Ballot,
        out: &mut Vec<VotingOutput>,
    ) {
        if let Some(decision) = self.decision(ballot) {
            out.push(VotingOutput::Send(from, Message::Decided(ballot, decision)));
            return;
        }
        if self.phase != Phase::Ready {
            // The vote of a previous incarnation is not known yet.
            return;
        }
        match &self.open {
            Some(open) if open.ballot == ballot => {
                if let Some(vote) = open.votes[self.me] {
                    out.push(VotingOutput::Send(from, Message::Vote(ballot, vote)));
                }
            }
            _ => self.refuse_ballot(now, ballot, out),
        }
    }

    fn record_decision(
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
        while self.decided.len() > MAX_REMEMBERED_BALLOTS {
            self.decided.pop_first();
        }
        self.early_votes.remove(&ballot);
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
        self.retry_at = Some(now + RETRY_INTERVAL);
        out.push(VotingOutput::Order(match decision {
            Decision::Go => EngineOrder::Go(ballot),
            Decision::Disarm => EngineOrder::Disarm(ballot),
        }));
    }

    /// Responds to a peer without any state. The votes of its previous incarnation
    /// were discarded when its message arrived.
    fn handle_join(&mut self, from: usize, out: &mut Vec<VotingOutput>) {
        if matches!(self.phase, Phase::ReadingBack) {
            // The peer will send `Join` again.
            return;
        }
        let active = match &self.phase {
            Phase::Ready => self.engine.active,
            // The engine will run this map, so no other runner may choose a
            // different one.
            Phase::Restoring(active, _) => Some(*active),
            Phase::ReadingBack | Phase::Joining(_) => None,
        };
        let snapshot = RunnerSnapshot {
            active,
            armed: self.engine.armed,
            open: self.open.as_ref().map(|open| open.ballot),
            decided: self.decided.clone(),
        };
        out.push(VotingOutput::Send(from, Message::JoinResponse(snapshot)));
    }

    fn handle_join_response(
        &mut self,
        now: Instant,
        from: usize,
        snapshot: RunnerSnapshot,
        out: &mut Vec<VotingOutput>,
    ) {
        let Phase::Joining(snapshots) = &mut self.phase else {
            return;
        };
        snapshots[from] = Some(snapshot);
        let me = self.me;
        let complete = snapshots
            .iter()
            .enumerate()
            .all(|(index, snapshot)| index == me || snapshot.is_some());
        if !complete {
            return;
        }
        let no_peer_has_state = snapshots.iter().flatten().all(|s| s.active.is_none());
        if no_peer_has_state && me != BOOTSTRAP_RUNNER {
            // The bootstrap runner chooses the first map; repeat `Join` until it has.
            snapshots.fill(None);
            return;
        }
        let snapshots: Vec<RunnerSnapshot> = snapshots.iter().flatten().cloned().collect();
        self.adopt_group_state(now, &snapshots, out);
    }

    /// Adopts the group's state from the states of all peers.
    fn adopt_group_state(
        &mut self,
        now: Instant,
        snapshots: &[RunnerSnapshot],
        out: &mut Vec<VotingOutput>,
    ) {
        for snapshot in snapshots {
            self.decided.extend(snapshot.decided.clone());
        }
        let open: Vec<Ballot> = snapshots.iter().filter_map(|s| s.open).collect();
        for ballot in open {
            match self.decision(ballot) {
                Some(decision) => self.broadcast(&Message::Decided(ballot, decision), out),
                None => self.refuse_ballot(now, ballot, out),
            }
        }
        let active = snapshots
            .iter()
            .filter_map(|s| s.active)
            .max()
            .unwrap_or(self.initial);
        let armed = snapshots
            .iter()
            .filter_map(|s| s.armed)
            .find(|(ballot, _)| self.decision(*ballot) == Some(Decision::Go))
            .filter(|(ballot, _)| ballot.map > active)
            .map(|(ballot, _)| (ballot, true));
        self.phase = Phase::Restoring(active, armed);
        self.retry_at = Some(now + RETRY_INTERVAL);
        out.push(VotingOutput::Order(EngineOrder::Restore { active, armed }));
    }

    fn handle_report(&mut self, now: Instant, report: EngineReport, out: &mut Vec<VotingOutput>) {
        if let EngineReport::Done(EngineOrder::Stage(_, map))
        | EngineReport::Refused(EngineOrder::Stage(_, map))
        | EngineReport::Unknown(EngineOrder::Stage(_, map)) = report
        {
            self.loading.take_if(|loading| *loading == map);
        }
        match report {
            EngineReport::State(view) => self.handle_engine_state(now, view, out),
            EngineReport::Done(order) => self.handle_done(now, order, out),
            EngineReport::Refused(EngineOrder::Arm(ballot)) => {
                let open = self.open.as_ref().map(|open| open.ballot);
                if open == Some(ballot) {
                    self.refuse_ballot(now, ballot, out);
                }
            }
            EngineReport::Refused(_) | EngineReport::Unknown(_) => {
                // The engine's state shows the outcome.
                self.engine_in_doubt = true;
                self.retry_at.get_or_insert(now + RETRY_INTERVAL);
            }
        }
    }

    fn handle_done(&mut self, now: Instant, order: EngineOrder, out: &mut Vec<VotingOutput>) {
        match order {
            EngineOrder::Arm(ballot) => self.cast_vote(now, ballot, out),
            EngineOrder::Go(ballot) => {
                self.engine.armed = Some((ballot, true));
                self.retry_at = Some(now + RETRY_INTERVAL);
            }
            EngineOrder::Disarm(_) => self.engine.armed = None,
            EngineOrder::Stage(..) | EngineOrder::Restore { .. } | EngineOrder::ReadBack => {
                self.read_back(now, out);
            }
        }
    }

    /// Casts the vote to go, because the engine holds the ballot's step.
    fn cast_vote(&mut self, now: Instant, ballot: Ballot, out: &mut Vec<VotingOutput>) {
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
        self.count_votes(now, out);
    }

    fn handle_engine_state(&mut self, now: Instant, view: EngineView, out: &mut Vec<VotingOutput>) {
        let had_state = self.engine.active.is_some();
        self.engine = view;
        self.engine_in_doubt = false;
        if self.engine.active.is_none() {
            self.handle_engine_without_state(now, had_state, out);
            return;
        }
        if self.phase != Phase::Ready {
            self.phase = Phase::Ready;
        }
        self.retry_at = None;
        self.report_staged(out);
        let Some((ballot, go)) = self.engine.armed else {
            self.rearm(now, out);
            return;
        };
        self.retry_at = Some(now + RETRY_INTERVAL);
        if go {
            self.record_decision(now, ballot, Decision::Go, out);
        } else if let Some(decision) = self.decision(ballot) {
            self.order_decision(now, ballot, decision, out);
        } else if self.open.is_none() {
            // A previous incarnation armed the engine, so its vote remains.
            self.open_ballot(ballot);
            self.cast_vote(now, ballot, out);
        } else {
            self.cast_vote(now, ballot, out);
        }
    }

    /// Orders the engine again to arm, if a ballot is open and the engine does not
    /// show it.
    fn rearm(&mut self, now: Instant, out: &mut Vec<VotingOutput>) {
        if let Some(open) = &mut self.open
            && open.votes[self.me].is_none()
        {
            let ballot = open.ballot;
            self.retry_at = Some(now + RETRY_INTERVAL);
            out.push(VotingOutput::Order(EngineOrder::Arm(ballot)));
        }
    }

    /// Joins the group again, or continues to, because the engine has no state.
    fn handle_engine_without_state(
        &mut self,
        now: Instant,
        had_state: bool,
        out: &mut Vec<VotingOutput>,
    ) {
        if let Phase::Joining(_) = self.phase {
            return;
        }
        if let Phase::Restoring(active, armed) = self.phase {
            // The order was lost; the choice of the map remains.
            self.retry_at = Some(now + RETRY_INTERVAL);
            out.push(VotingOutput::Order(EngineOrder::Restore { active, armed }));
            return;
        }
        if had_state {
            // The vote that was stored in the engine is lost. A new incarnation
            // begins, so that no late message of the previous one counts.
            self.incarnation = self.incarnation.next();
            self.incarnations[self.me] = self.incarnation;
            self.open = None;
            self.early_votes.clear();
        }
        self.phase = Phase::Joining(vec![None; self.incarnations.len()]);
        self.retry_at = Some(now + RETRY_INTERVAL);
        if self.incarnations.len() == 1 {
            self.adopt_group_state(now, &[], out);
            return;
        }
        self.broadcast(&Message::Join, out);
    }
}
