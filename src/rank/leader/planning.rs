//! When the leader of a group proposes another expert map, and what it logs of the group's
//! pace, which shows whether one is needed.

use std::time::Duration;

use metrics::gauge;
use serde_json::json;
use wisteriawick_core::maps::CopyBounds;
use wisteriawick_core::maps::CopyBudget;
use wisteriawick_core::maps::HoldInput;
use wisteriawick_core::maps::MapNumber;
use wisteriawick_core::maps::plan_copies;
use wisteriawick_core::time::unix_millis;

use crate::eventlog::EventCategory;
use crate::rank::leader::LeaderTask;
use crate::rank::leader::leadership::Leadership;
use crate::telemetry;

/// Time between two attempts to find a plan that is worth its copies.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two log lines of a group's pace.
const PACE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// A plan needs at least this many choices in the window, on average for each
/// expert of each set. With fewer, the counts are mostly noise.
const MIN_CHOICES_PER_EXPERT: f64 = 30.0;
/// Random bits in the number of a map, so that a leader that has restarted does
/// not use a number again.
const RANDOM_BITS: u32 = 8;

impl LeaderTask {
    /// Proposes a new map if one is due and worth its copies.
    pub(super) fn plan(&self, leadership: &mut Leadership) {
        let now = self.clock.now();
        if now.saturating_duration_since(leadership.planned_at) < PLAN_INTERVAL {
            return;
        }
        leadership.planned_at = now;
        let Some(layout) = self.layout else {
            return;
        };
        let Some((epoch, number)) = leadership.switch.idle_map() else {
            return;
        };
        let Some(current) = leadership.current_map(epoch, number) else {
            return;
        };
        if leadership.switch.needs_map() {
            // Propose the same content under a new number, so that the held
            // pass can begin. Nothing is copied for that.
            let next = self.next_number(number);
            self.handle_input(leadership, HoldInput::Propose(next, current));
            return;
        }
        let Some(pass) = leadership.switch.pass() else {
            return;
        };
        let pass_time = Duration::from_micros(leadership.passes.mean_us().into());
        let loads = leadership
            .counts
            .loads(pass, pass_time, layout.sets, layout.experts);
        let Some(loads) = loads else {
            return;
        };
        let choices: f64 = loads.iter().flatten().sum();
        if choices < MIN_CHOICES_PER_EXPERT * (layout.sets * layout.experts) as f64 {
            return;
        }
        let budget = CopyBudget::new(pass_time, self.max_event_gap);
        let bounds = CopyBounds {
            experts: layout.experts,
            slots: layout.slots_per_rank,
            max_new_per_set: layout.max_new_per_set,
            max_new_per_rank: CopyBudget::max_copies_per_rank(layout.copy_time),
            max_changes: leadership.max_map_changes(),
            min_saving: budget.min_saving_per_copy(leadership.size),
        };
        let Some(plan) = plan_copies(&current, &loads, &bounds) else {
            return;
        };
        if plan.skew.0 - plan.skew.1 < budget.min_skew_reduction {
            return;
        }
        gauge!(telemetry::EXPERT_SKEW).set(plan.skew.0);
        let next = self.next_number(number);
        self.log.line(
            EventCategory::State,
            "map_planned",
            json!({
                "group": leadership.group,
                "map": next.0,
                "from": number.0,
                "skew": plan.skew.0,
                "skew_after": plan.skew.1,
                "copies": plan.copies,
                "most_copies": plan.max_copies_per_rank,
                "choices": choices,
                "took_us": (self.clock.now() - now).as_micros() as u64,
            }),
        );
        self.handle_input(leadership, HoldInput::Propose(next, plan.map));
    }

    /// Returns a number that is higher than all earlier ones: the time, followed by
    /// random bits.
    fn next_number(&self, current: MapNumber) -> MapNumber {
        let millis = unix_millis(self.clock.wall());
        let random = u64::from(rand::random::<u8>());
        let number = (millis << RANDOM_BITS) | random;
        MapNumber(number.max(current.0 + 1 + random))
    }

    /// Logs the group's pace every second while requests run, so that late streams
    /// can be traced to a slow rank, a long queue or a skewed map.
    pub(super) fn log_pace(&self, leadership: &mut Leadership) {
        let now = self.clock.now();
        if now.saturating_duration_since(leadership.pace_logged_at) < PACE_LOG_INTERVAL {
            return;
        }
        leadership.pace_logged_at = now;
        let running: u32 = leadership
            .loads
            .iter()
            .map(|load| u32::from(load.running))
            .sum();
        let waiting: u32 = leadership
            .loads
            .iter()
            .map(|load| u32::from(load.waiting))
            .sum();
        if running == 0 {
            return;
        }
        let fullest = leadership.loads.iter().map(|load| load.running).max();
        let slowest = leadership.loads.iter().enumerate();
        let slowest = slowest.max_by_key(|(_, load)| load.slowdown_milli);
        let fields = json!({
            "group": leadership.group,
            "pass_ms": f64::from(leadership.passes.mean_us()) / 1000.0,
            "running": running,
            "fullest": fullest,
            "waiting": waiting,
            "slowest_rank": slowest.map(|(rank, _)| rank),
            "slowest_pace": slowest.map(|(_, load)| f64::from(load.slowdown_milli) / 1000.0),
        });
        self.log.line(EventCategory::State, "group_pace", fields);
    }
}
