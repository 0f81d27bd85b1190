//! Shows operators how many requests leave the data centre, and why.

use metrics::counter;
use metrics::gauge;
use serde_json::json;
use wisteriawick_core::gateway::Pool;
use wisteriawick_core::ids::ServiceId;

use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::telemetry;

/// Share of the requests from which on a service counts as leaving the data centre. It
/// counts as back at home once none leaves.
const LEAVING_SHARE: f64 = 0.05;

/// What was last logged of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DepartureLog {
    is_leaving: bool,
}

impl DepartureLog {
    /// Updates the metrics of a service's pool, and logs when requests begin to leave for a
    /// surplus and when they stay at home again.
    pub(crate) fn report(&mut self, service: &ServiceId, pool: &Pool, log: &EventLog) {
        let Some(state) = pool.locality() else {
            return;
        };
        let label = service.as_str().to_string();
        gauge!(telemetry::DEPARTURE_SHARE, "service" => label.clone()).set(state.share);
        let departures = pool.departures();
        let by_reason = [
            ("surplus", departures.surplus),
            ("no room", departures.no_room),
            ("unfit", departures.unfit),
            ("busy", departures.busy),
        ];
        for (reason, total) in by_reason {
            counter!(telemetry::DEPARTURES, "service" => label.clone(), "reason" => reason)
                .absolute(total);
        }
        let is_leaving = match self.is_leaving {
            true => state.share > 0.0,
            false => state.share >= LEAVING_SHARE,
        };
        if is_leaving == self.is_leaving {
            return;
        }
        self.is_leaving = is_leaving;
        let event = match is_leaving {
            true => "leaves_place",
            false => "stays_in_place",
        };
        let fields = json!({
            "service": service.as_str(),
            "share": state.share,
            "home_runners": state.home.runners,
            "home_requests": state.home.requests,
            "elsewhere_runners": state.elsewhere.runners,
            "elsewhere_requests": state.elsewhere.requests,
        });
        log.line(EventCategory::State, event, fields);
    }
}
