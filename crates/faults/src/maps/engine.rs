//! The engine of one runner.

use wisteriawick_core::ids::MapNumber;
use wisteriawick_core::ids::StepNumber;
use wisteriawick_core::ids::Term;
use wisteriawick_core::maps::Ballot;
use wisteriawick_core::maps::EngineOrder;
use wisteriawick_core::maps::EngineReport;
use wisteriawick_core::maps::EngineView;

/// An engine; it loses everything when it dies.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) up: bool,
    pub(crate) active: Option<MapNumber>,
    staged: Vec<MapNumber>,
    pub(crate) armed: Option<(Ballot, bool)>,
    term: Term,
    checks_fencing: bool,
}

impl Engine {
    pub(crate) fn new(active: Option<MapNumber>, checks_fencing: bool) -> Self {
        Self {
            up: true,
            active,
            staged: Vec::new(),
            armed: None,
            term: Term(0),
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

    /// Carries an order out; `step` is the last step that the group ran.
    pub(crate) fn order(&mut self, order: EngineOrder, step: StepNumber) -> EngineReport {
        if !self.up {
            return EngineReport::Unknown(order);
        }
        let refused = match &order {
            EngineOrder::ReadBack => return EngineReport::State(self.view(step)),
            EngineOrder::Stage(term, map) => !self.stage(*term, *map),
            EngineOrder::Arm(ballot) => !self.arm(*ballot, step),
            EngineOrder::Go(ballot) => {
                if let Some((armed, go)) = &mut self.armed
                    && armed == ballot
                {
                    *go = true;
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

    fn accepts(&mut self, term: Term) -> bool {
        if term < self.term {
            return !self.checks_fencing;
        }
        self.term = term;
        true
    }

    fn stage(&mut self, term: Term, map: MapNumber) -> bool {
        if !self.accepts(term) || self.active.is_none() {
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
        let possible = self.armed.is_none()
            && self.staged.contains(&ballot.map)
            && ballot.step > step.next()
            && self.accepts(ballot.term);
        if possible {
            self.armed = Some((ballot, false));
        }
        possible
    }

    /// Returns whether the engine may run a step.
    pub(crate) fn may_run(&self, step: StepNumber) -> bool {
        let held = self
            .armed
            .is_some_and(|(ballot, go)| ballot.step == step && !go);
        self.up && self.active.is_some() && !held
    }

    /// Runs a step; returns the map that it used.
    pub(crate) fn run(&mut self, step: StepNumber) -> Option<MapNumber> {
        if let Some((ballot, _)) = self.armed.take_if(|(ballot, _)| ballot.step == step) {
            self.active = Some(ballot.map);
        }
        self.active
    }
}
