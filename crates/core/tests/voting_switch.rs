//! What a runner's part in the votes does when its engine does not follow orders.

use std::time::Instant;

use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ids::MapNumber;
use wisteriawick_core::ids::StepNumber;
use wisteriawick_core::ids::Term;
use wisteriawick_core::maps::EngineOrder;
use wisteriawick_core::maps::EngineReport;
use wisteriawick_core::maps::EngineView;
use wisteriawick_core::maps::Message;
use wisteriawick_core::maps::VotingInput;
use wisteriawick_core::maps::VotingOutput;
use wisteriawick_core::maps::VotingSwitch;

fn handle(switch: &mut VotingSwitch, now: Instant, input: VotingInput) -> Vec<VotingOutput> {
    let mut out = Vec::new();
    switch.handle(now, input, &mut out);
    out
}

fn state(active: Option<MapNumber>) -> VotingInput {
    VotingInput::Engine(EngineReport::State(EngineView {
        active,
        step: StepNumber(7),
        staged: Vec::new(),
        armed: None,
    }))
}

/// An engine lost its state, and an older report that arrived late hides that.
#[test]
fn engine_that_refuses_an_order_is_read_and_found_without_state() {
    let now = Instant::now();
    let mut switch = VotingSwitch::new(1, 3, Incarnation(1), MapNumber(0));
    handle(&mut switch, now, VotingInput::Start);
    handle(&mut switch, now, state(None));
    handle(&mut switch, now, state(Some(MapNumber(0))));
    let (term, map) = (Term(1), MapNumber(1));
    let stage = VotingInput::Peer {
        from: 0,
        incarnation: Incarnation(1),
        message: Message::Stage { term, map },
    };
    let order = EngineOrder::Stage(term, map);
    let out = handle(&mut switch, now, stage);
    assert_eq!(out, [VotingOutput::Order(order.clone())]);
    let refused = VotingInput::Engine(EngineReport::Refused(order));
    handle(&mut switch, now, refused);
    let due = switch.next_deadline().expect("the state is read");
    let out = handle(&mut switch, due, VotingInput::Tick);
    assert_eq!(out, [VotingOutput::Order(EngineOrder::ReadBack)]);
    handle(&mut switch, due, state(None));
    assert!(!switch.is_ready(), "the engine has no state");
}
