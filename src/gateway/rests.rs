//! Runners that want no request for a time, or none any more, as their responses say.

use metrics::counter;
use wisteriawick_core::gateway::RestNotice;
use wisteriawick_core::hosting::ListedRunner;
use wisteriawick_core::ids::ServiceId;

use crate::eventlog::EventCategory;
use crate::gateway::state::GatewayState;
use crate::gateway::state::lock;
use crate::telemetry;

impl GatewayState {
    /// Takes in what a refusal says about when to come back.
    pub(crate) fn observe_rest(
        &self,
        service: &ServiceId,
        runner: &ListedRunner,
        notice: RestNotice,
    ) {
        let rest = match notice {
            RestNotice::None => return,
            RestNotice::For(rest) => rest,
            RestNotice::Unreadable => {
                let mut fields = self.positions.log_fields(runner);
                fields["problem"] = "a rest that is no valid time; ignored".into();
                self.log.line(EventCategory::Failure, "unreadable", fields);
                return;
            }
        };
        let now = self.now();
        self.with_service(service, |service_state| {
            service_state.pool.rest(now, runner, rest);
        });
        let mut fields = self.positions.log_fields(runner);
        fields["rest_ms"] = (rest.as_millis() as u64).into();
        self.log.line(EventCategory::State, "runner_rests", fields);
    }

    /// Takes in that a runner says that it is leaving. This counts like the same word of
    /// the store.
    pub(crate) fn observe_leaving(&self, runner: &ListedRunner) {
        let is_news = lock(&self.runner_registry).announce_leaving(runner);
        if !is_news {
            return;
        }
        self.refresh_services();
        counter!(telemetry::LEAVING_ANNOUNCED).increment(1);
        let fields = self.positions.log_fields(runner);
        self.log
            .line(EventCategory::State, "runner_leaving", fields);
    }
}
