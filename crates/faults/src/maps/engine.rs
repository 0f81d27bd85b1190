//! A fake of the engine of one runner.

use wisteriawick_core::ids::MapNumber;
use wisteriawick_core::ids::StepNumber;
use wisteriawick_core::ids::Term;
use wisteriawick_core::maps::Ballot;
use wisteriawick_core::maps::EngineOrder;
use wisteriawick_core::maps::EngineReport;
use wisteriawick_core::maps::EngineView;

/// The engine of a runner. It keeps no state across a crash.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) up: bool,
    /// Map that it runs; `None` if it has no state.
    pub(crate) active: Option<MapNumber>,
    /// Maps that are loaded beside the active one.
    staged: Vec<MapNumber>,
    /// Ballot for which it is armed, and whether it may go.
    pub(crate) armed: Option<(Ballot, bool)>,
    /// Highest fencing number that it has accepted.
    highest_term: Term,
    /// Whether it refuses orders with a lower fencing number.
    checks_fencing: bool,
}

impl Engine {
    pub(crate) fn new(active: Option<MapNumber>, checks_fencing: bool) -> Self {
        Self {
            up: true,
            active,
            staged: Vec::new(),
            armed: None,
            highest_term: Term(0),
            checks_fencing,
        }
    }

    pub(crate) fn view(&self, step: StepNumber) -> EngineView {
        EngineView {
            active: self.active,
            step,
            staged: self.staged.clone(),
            armed: self.armed,
        }
    }

    /// Executes an order, or refuses it; `step` is the last step that the group ran.
    pub(crate) fn execute(&mut self, order: EngineOrder, step: StepNumber) -> EngineReport {
        if !self.up {
            return EngineReport::Unknown(order);
        }
        let refused = match &order {
            EngineOrder::ReadBack => return EngineReport::State(self.view(step)),
            EngineOrder::Stage(term, map) => !self.stage(*term, *map),
            EngineOrder::Arm(ballot) => !self.arm(*ballot, step),
            EngineOrder::Go(ballot) => {
                if let Some((armed, may_go)) = &mut self.armed
                    && armed == ballot
                {
                    *may_go = true;
                }
                false
            }
            EngineOrder::Disarm(ballot) => {
                self.armed.take_if(|(armed, _)| armed == ballot);
                false
            }
            EngineOrder::Restore { active, armed } => {
                if self.active.is_none() {
                    self.restore(*active, *armed, step);
                }
                false
            }
        };
        if refused {
            EngineReport::Refused(order)
        } else {
            EngineReport::Done(order)
        }
    }

    fn restore(&mut self, active: MapNumber, armed: Option<(Ballot, bool)>, step: StepNumber) {
        self.active = Some(active);
        self.armed = armed;
        if let Some((ballot, _)) = self.armed.take_if(|(ballot, _)| ballot.step <= step) {
            self.active = Some(ballot.map);
        }
    }

    /// Records an order's fencing number; returns whether the order is accepted.
    fn accept_term(&mut self, term: Term) -> bool {
        if term < self.highest_term {
            return !self.checks_fencing;
        }
        self.highest_term = term;
        true
    }

    fn stage(&mut self, term: Term, map: MapNumber) -> bool {
        if !self.accept_term(term) || self.active.is_none() {
            return false;
        }
        if !self.staged.contains(&map) {
            self.staged.push(map);
        }
        true
    }

    fn arm(&mut self, ballot: Ballot, step: StepNumber) -> bool {
        if self.armed.is_some_and(|(armed, _)| armed == ballot) {
            return true;
        }
        let can_arm = self.armed.is_none()
            && self.staged.contains(&ballot.map)
            && ballot.step > step.next()
            && self.accept_term(ballot.term);
        if can_arm {
            self.armed = Some((ballot, false));
        }
        can_arm
    }

    /// Returns whether the engine may run a step, which it may not while it holds
    /// that step for a ballot without a decision.
    pub(crate) fn may_run(&self, step: StepNumber) -> bool {
        let held = self
            .armed
            .is_some_and(|(ballot, may_go)| ballot.step == step && !may_go);
        self.up && self.active.is_some() && !held
    }

    /// Runs a step, and changes to the map of a ballot for this step first. Returns
    /// the map that it used.
    pub(crate) fn run_step(&mut self, step: StepNumber) -> Option<MapNumber> {
        if let Some((ballot, _)) = self.armed.take_if(|(ballot, _)| ballot.step == step) {
            self.active = Some(ballot.map);
        }
        self.active
    }
}
