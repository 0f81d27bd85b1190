//! Measures the time from the acceptance of a ticket until every process applies it.
//!
//! The store goes down right after the acceptance of every second ticket, so that
//! processes that have not read it yet must receive it from their peers.

use std::time::Duration;
use std::time::Instant;

use wisteriawick::command::ticket;
use wisteriawick_core::ticket::Ticket;

use crate::client::BenchFleet;
use crate::client::fleet_spec;
use crate::report::Report;
use crate::report::Target;
use crate::report::quantile;

/// Tickets that are accepted; half of them before an outage of the store.
const TICKET_COUNT: u64 = 60;

pub(crate) async fn run(report: &mut Report) {
    let fleet = BenchFleet::start(fleet_spec(4, 32, 6, 32)).await;
    let client = ticket::platform_client(fleet.dev.platform.addr());
    let mut store_up_ms = Vec::new();
    let mut store_down_ms = Vec::new();
    for number in 2..2 + TICKET_COUNT {
        let text = format!("number = {number}\ntitle = \"t\"\n");
        let ticket = Ticket::parse("t.toml", &text).expect("a valid ticket");
        let outage = number % 2 == 1;
        ticket::submit(&client, [ticket], "bench")
            .await
            .expect("accepted");
        let accepted = Instant::now();
        if outage {
            fleet.dev.platform.set_faults(|faults| faults.down = true);
        }
        fleet.dev.wait_until_in_force(number).await;
        let elapsed_ms = accepted.elapsed().as_secs_f64() * 1e3;
        if outage {
            store_down_ms.push(elapsed_ms);
            fleet.dev.platform.set_faults(|faults| faults.down = false);
            tokio::time::sleep(Duration::from_millis(400)).await;
        } else {
            store_up_ms.push(elapsed_ms);
        }
    }
    report.add("processes", 42.0, "processes", Target::None);
    report.add(
        "in force everywhere, median",
        quantile(&mut store_up_ms, 0.5),
        "ms",
        Target::None,
    );
    report.add(
        "in force everywhere, 99th percentile",
        quantile(&mut store_up_ms, 0.99),
        "ms",
        Target::AtMost(2_000.0),
    );
    report.add(
        "store down after acceptance, 99th percentile",
        quantile(&mut store_down_ms, 0.99),
        "ms",
        Target::AtMost(16_000.0),
    );
}
