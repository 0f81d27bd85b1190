//! All entries lose power at once, right after the store acknowledged what the operator and
//! a runner wrote.

use std::time::Duration;

use wisteriawick_platform_standin::RegisteredState;

use crate::Defect;
use crate::faults::restart;
use crate::fixture::Fixture;

/// Time in which callers send requests while the runner that left must receive none.
const WATCH_TIME: Duration = Duration::from_millis(400);

/// Kills all entries right after the store acknowledged a configuration and that a runner
/// leaves, restarts them after `duration` and checks that both are in force at each entry
/// as soon as it is ready.
pub(crate) async fn lose(fixture: &Fixture, runner: usize, duration: Duration) {
    let config = fixture.store.read("config", "main");
    fixture.register(runner, RegisteredState::Leaving);
    fixture.write_next_config();
    for entry in &fixture.entries {
        entry.process.set_in_rotation(false);
        entry.process.begin_outage();
    }
    for entry in &fixture.entries {
        entry.process.kill();
    }
    for entry in &fixture.entries {
        let name = &entry.process.name;
        match entry.process.is_disk_empty() {
            Ok(true) => {}
            Ok(false) => fixture
                .report
                .record_violation(format!("{name} wrote to its disk")),
            Err(e) => fixture
                .report
                .record_violation(format!("{name}: its disk is unreadable: {e}")),
        }
    }
    if fixture.soak.defect == Some(Defect::ForgetsAcknowledged) {
        fixture.register(runner, RegisteredState::Ready);
        fixture
            .store
            .write_configuration(config.unwrap_or_default());
    }
    tokio::time::sleep(duration).await;
    let executions = || fixture.endpoints[runner].runner.executed_requests().len();
    let before = executions();
    for index in 0..fixture.entries.len() {
        restart(fixture, index).await;
        let entry = &fixture.entries[index].process;
        entry.end_outage();
        if !entry.is_in_rotation() {
            let name = &entry.name;
            fixture
                .report
                .record_violation(format!("{name} was not ready in time after a power loss"));
        } else if let Err(problem) = fixture.probe(entry).await {
            let name = &entry.name;
            fixture.report.record_violation(format!(
                "{name} is ready without the acknowledged configuration: {problem}"
            ));
        }
    }
    tokio::time::sleep(WATCH_TIME).await;
    let received = executions() - before;
    if received > 0 {
        fixture.report.record_violation(format!(
            "{received} requests reached a runner that had left before the power loss"
        ));
    }
    fixture.register(runner, RegisteredState::Ready);
}
