//! Time from a ticket's acceptance until it is in force in every process.

use std::time::Duration;
use std::time::Instant;

use wisteriawick::command::ticket;
use wisteriawick_core::ticket::Ticket;

use crate::client::Fleet;
use crate::client::sizes;
use crate::report::Report;
use crate::report::Target;
use crate::report::quantile;

const TICKETS: u64 = 60;

pub(crate) async fn run(report: &mut Report) {
    let fleet = Fleet::start(sizes(4, 32, 6, 32)).await;
    let client = ticket::platform_client(fleet.fleet.platform.addr());
    let mut up = Vec::new();
    let mut down = Vec::new();
    for number in 2..2 + TICKETS {
        let text = format!("number = {number}\ntitle = \"t\"\n");
        let ticket = Ticket::parse("t.toml", &text).expect("a valid ticket");
        let outage = number % 2 == 1;
        ticket::submit(&client, [ticket], "bench")
            .await
            .expect("accepted");
        let accepted = Instant::now();
        if outage {
            fleet.fleet.platform.set_faults(|faults| faults.down = true);
        }
        fleet.fleet.wait_until_in_force(number).await;
        let took = accepted.elapsed().as_secs_f64() * 1e3;
        if outage {
            down.push(took);
            fleet
                .fleet
                .platform
                .set_faults(|faults| faults.down = false);
            tokio::time::sleep(Duration::from_millis(400)).await;
        } else {
            up.push(took);
        }
    }
    report.add("processes", 42.0, "processes", Target::None);
    report.add(
        "in force everywhere, median",
        quantile(&mut up, 0.5),
        "ms",
        Target::None,
    );
    report.add(
        "in force everywhere, 99th percentile",
        quantile(&mut up, 0.99),
        "ms",
        Target::AtMost(2_000.0),
    );
    report.add(
        "store down after acceptance, 99th percentile",
        quantile(&mut down, 0.99),
        "ms",
        Target::AtMost(16_000.0),
    );
}
