//! The budget of what requests hold, its division of a machine, and the bound on
//! connections.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::gateway::Charge;
use wisteriawick_core::gateway::ConnectionPhase;
use wisteriawick_core::gateway::ConnectionTable;
use wisteriawick_core::gateway::Decision;
use wisteriawick_core::gateway::Entrance;
use wisteriawick_core::gateway::HolderId;
use wisteriawick_core::gateway::HolderKind;
use wisteriawick_core::gateway::MemoryBudget;
use wisteriawick_core::gateway::MemoryPlan;
use wisteriawick_core::hosting::Resources;

const TOTAL: usize = 1024 * 1024;
const HALF: usize = TOTAL / 2;
/// Long enough without a byte to count as stalled.
const STALL: Duration = Duration::from_secs(3);
const PEER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn charge(budget: &mut MemoryBudget, now: Instant, holder: HolderId, bytes: usize) -> Decision {
    budget.charge(now, Charge { holder, bytes })
}

fn open(entrance: Entrance) -> wisteriawick_core::gateway::ConnectionId {
    match entrance {
        Entrance::Open(id) | Entrance::Instead(id, _) => id,
        Entrance::Full => panic!("no room"),
    }
}

#[test]
fn a_body_that_makes_no_progress_gives_way_and_a_complete_one_never() {
    let start = Instant::now();
    let mut budget = MemoryBudget::new(TOTAL);
    let complete = budget.enter(start, HolderKind::Receiving);
    assert_eq!(
        charge(&mut budget, start, complete, HALF),
        Decision::Granted
    );
    assert!(budget.complete(complete));
    let stalled = budget.enter(start, HolderKind::Receiving);
    assert_eq!(charge(&mut budget, start, stalled, HALF), Decision::Granted);
    let later = start + STALL;
    let newest = budget.enter(later, HolderKind::Receiving);
    assert_eq!(
        charge(&mut budget, later, newest, HALF),
        Decision::After(stalled)
    );
    assert_eq!(charge(&mut budget, later, newest, HALF), Decision::Short);
    assert!(!budget.complete(stalled), "it was told to give way");
    budget.leave(stalled);
    assert_eq!(charge(&mut budget, later, newest, HALF), Decision::Granted);
}

#[test]
fn the_oldest_of_the_bodies_in_progress_reaches_its_end() {
    let now = Instant::now();
    let mut budget = MemoryBudget::new(TOTAL);
    let oldest = budget.enter(now, HolderKind::Receiving);
    let newest = budget.enter(now, HolderKind::Receiving);
    assert_eq!(charge(&mut budget, now, oldest, HALF), Decision::Granted);
    assert_eq!(charge(&mut budget, now, newest, HALF), Decision::Granted);
    assert_eq!(charge(&mut budget, now, newest, 1), Decision::Short);
    assert_eq!(charge(&mut budget, now, oldest, 1), Decision::After(newest));
}

#[test]
fn a_client_that_sends_a_byte_now_and_then_makes_no_progress() {
    let start = Instant::now();
    let mut budget = MemoryBudget::new(TOTAL);
    let dripping = budget.enter(start, HolderKind::Receiving);
    assert_eq!(
        charge(&mut budget, start, dripping, TOTAL),
        Decision::Granted
    );
    let mut now = start;
    while now < start + STALL {
        now += Duration::from_millis(100);
        budget.record_progress(now, dripping, 1);
    }
    let other = budget.enter(now, HolderKind::Receiving);
    assert_eq!(
        charge(&mut budget, now, other, 1),
        Decision::After(dripping)
    );
}

/// What a sequence of events does: a holder, and what happens to it.
fn play(budget: &mut MemoryBudget, holders: &mut Vec<HolderId>, now: Instant, event: (u8, u16)) {
    let (kind, number) = event;
    let picked = match holders.len() {
        0 => None,
        count => Some(holders[usize::from(number) % count]),
    };
    match (kind % 6, picked) {
        (0, _) | (_, None) => holders.push(budget.enter(now, HolderKind::Receiving)),
        (1 | 2, Some(holder)) => {
            let bytes = usize::from(number) * 16;
            for _ in 0..=holders.len() {
                match charge(budget, now, holder, bytes) {
                    // A holder that gives way ends; its task may be slow to do so.
                    Decision::After(other) if number % 3 == 0 => {
                        budget.leave(other);
                        holders.retain(|id| *id != other);
                    }
                    Decision::After(_) => {}
                    Decision::Granted | Decision::Short | Decision::Never => return,
                }
            }
            panic!("the budget names holders without end");
        }
        (3, Some(holder)) => budget.record_progress(now, holder, number.into()),
        (4, Some(holder)) => {
            budget.complete(holder);
            if number % 2 == 0 {
                budget.begin_response(now, holder, number.into());
            }
        }
        (_, Some(holder)) => {
            budget.leave(holder);
            holders.retain(|id| *id != holder);
        }
    }
}

#[test]
fn no_sequence_exceeds_the_budget_or_keeps_a_byte() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<(u8, u16)>>()
        .for_each(|events| {
            let mut now = Instant::now();
            let mut budget = MemoryBudget::new(TOTAL);
            let mut holders = Vec::new();
            for event in events {
                now += Duration::from_millis(u64::from(event.0) * 4);
                play(&mut budget, &mut holders, now, *event);
                assert!(budget.used() <= TOTAL);
            }
            // Whoever is alone in the end gets what it wants.
            let last = budget.enter(now, HolderKind::Receiving);
            for holder in holders {
                budget.leave(holder);
            }
            assert_eq!(budget.used(), 0);
            assert_eq!(charge(&mut budget, now, last, TOTAL), Decision::Granted);
            budget.leave(last);
            assert_eq!((budget.used(), budget.holder_count()), (0, 0));
        });
}

#[test]
fn a_full_table_closes_what_waits_longest_and_nothing_that_is_busy() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(3);
    let busy = open(table.enter(now, PEER));
    let idle = open(table.enter(now, PEER));
    let silent = open(table.enter(now, PEER));
    table.set_phase(now, busy, ConnectionPhase::Busy);
    table.set_phase(now, idle, ConnectionPhase::Idle);
    let first = table.enter(now, PEER);
    assert!(matches!(first, Entrance::Instead(_, closed) if closed == silent));
    table.set_phase(now, open(first), ConnectionPhase::Busy);
    let second = table.enter(now, PEER);
    assert!(matches!(second, Entrance::Instead(_, closed) if closed == idle));
    table.set_phase(now, open(second), ConnectionPhase::Busy);
    assert_eq!(table.enter(now, PEER), Entrance::Full);
    table.leave(busy);
    assert!(matches!(table.enter(now, PEER), Entrance::Open(_)));
}

#[test]
fn a_full_table_of_links_closes_one_of_the_peer_that_has_most() {
    let now = Instant::now();
    let other = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
    let mut table = ConnectionTable::new(3);
    let entry = open(table.enter_link(now, other));
    let greedy = open(table.enter_link(now, PEER));
    let greedy_too = open(table.enter_link(now, PEER));
    for link in [entry, greedy, greedy_too] {
        table.set_phase(now, link, ConnectionPhase::Busy);
    }
    let entrance = table.enter_link(now, PEER);
    assert!(matches!(entrance, Entrance::Instead(_, closed) if closed == greedy));
}

#[test]
fn the_smallest_machine_holds_the_largest_body_and_hundreds_of_connections() {
    const LARGEST_BODY: usize = 4 * 1024 * 1024;
    let plan = MemoryPlan::new(&Resources {
        memory_bytes: Some(160_000_000),
        max_descriptors: Some(4_200),
        cores: None,
    });
    let charged = plan.charged_bytes(plan.max_connections);
    assert!(charged >= 8 * LARGEST_BODY, "{charged} bytes");
    assert!(plan.max_connections >= 1_000, "{plan:?}");
}

#[test]
fn a_machine_of_any_size_is_divided() {
    for memory in [0, 1, 32_000_000, u64::MAX] {
        for descriptors in [0, 1, u32::MAX] {
            let plan = MemoryPlan::new(&Resources {
                memory_bytes: Some(memory),
                max_descriptors: Some(descriptors),
                cores: None,
            });
            assert!(plan.max_connections > 0);
            let most = plan.charged_bytes(plan.max_connections);
            assert!(most as u64 <= memory, "{most} of {memory}");
        }
    }
}
