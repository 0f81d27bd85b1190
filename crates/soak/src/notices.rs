//! Runners that name a rate limit, ask for rest or say that they leave, while entries fail.
//!
//! The check counts the requests that reach such a runner from the moment at which all
//! entries have heard of it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_platform_standin::Notices;
use wisteriawick_platform_standin::RunnerBehavior;

use crate::Defect;
use crate::Soak;
use crate::faults::freeze;
use crate::faults::kill;
use crate::faults::stop;
use crate::fixture::Fixture;

/// Time after which the entries that run have heard what a runner says.
const HEARD_AFTER: Duration = Duration::from_millis(500);
/// Time for which a runner says it.
const NOTICE_TIME: Duration = Duration::from_millis(2_000);
/// End of the count before that, so that a rest that began first is not over.
const COUNT_MARGIN: Duration = Duration::from_millis(100);
/// Requests per second that a runner names as its limit.
const LIMIT: f64 = 2.0;
/// Requests beyond the limit that each entry may send in the count.
const LIMIT_SLACK: usize = 5;
/// Requests that each entry may send to a runner that rests or leaves.
const MAX_PER_ENTRY: usize = 2;
/// Requests that an entry may send before it hears of it: as many as are on their way when
/// the first is answered.
const MAX_UNTOLD: usize = 6;
/// The runners that rest and that name a limit, by index.
const RESTING_RUNNER: usize = 0;
const LIMITED_RUNNER: usize = 1;
/// The runner that leaves, which it does once.
const LEAVING_RUNNER: usize = 2;

/// What a runner says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notice {
    Limit,
    Rest,
    Leaving,
}

/// Injects notices for the duration of the run, each beside a fault of an entry.
pub(crate) async fn inject_all(fixture: &Arc<Fixture>, soak: &Soak) {
    let mut rng = SmallRng::seed_from_u64(soak.seed);
    let deadline = Instant::now() + soak.duration;
    let mut has_left = false;
    while Instant::now() < deadline {
        let notice = match rng.random_range(0..3) {
            0 => Notice::Limit,
            1 if !has_left => Notice::Leaving,
            _ => Notice::Rest,
        };
        has_left |= notice == Notice::Leaving;
        let outage = Duration::from_millis(rng.random_range(100..900));
        let entry = rng.random_range(0..soak.entries - 1);
        let fault = rng.random_range(0..4);
        let text = format!("{notice:?} beside fault {fault} of entry {entry}");
        fixture.report.record_fault(&text);
        tokio::join!(give_notice(fixture, notice, fault < 3), async {
            match fault {
                0 => kill(fixture, entry, outage).await,
                1 => stop(fixture, entry).await,
                2 => freeze(fixture, entry, outage).await,
                _ => {}
            }
        });
    }
}

/// Lets a runner say something, and checks how many requests it gets.
async fn give_notice(fixture: &Fixture, notice: Notice, entry_fails: bool) {
    let index = match notice {
        Notice::Limit => LIMITED_RUNNER,
        Notice::Rest => RESTING_RUNNER,
        Notice::Leaving => LEAVING_RUNNER,
    };
    let runner = &fixture.endpoints[index].runner;
    if fixture.soak.defect != Some(Defect::HidesNotices) {
        runner.set_notices(match notice {
            Notice::Limit => Notices::limit(&LIMIT.to_string()),
            Notice::Rest => Notices::rest(&NOTICE_TIME.as_secs_f64().to_string()),
            Notice::Leaving => Notices::leaving(),
        });
    }
    if notice == Notice::Rest {
        runner.set_behavior(RunnerBehavior::Rejects);
    }
    let from = Instant::now() + HEARD_AFTER;
    tokio::time::sleep(NOTICE_TIME).await;
    let to = Instant::now() - COUNT_MARGIN;
    let got = runner.arrivals_between(from, to);
    runner.set_behavior(RunnerBehavior::Normal);
    if notice != Notice::Leaving {
        runner.set_notices(Notices::default());
    }
    let entries = fixture.entries.len();
    let told = match notice {
        Notice::Limit => (1.5 * LIMIT * (to - from).as_secs_f64()) as usize + LIMIT_SLACK,
        Notice::Rest | Notice::Leaving => MAX_PER_ENTRY * entries,
    };
    let most = told + MAX_UNTOLD * usize::from(entry_fails);
    if got > most {
        let text = format!("{got} requests, at most {most}, to a runner that said {notice:?}");
        fixture.report.record_violation(text);
    }
}
