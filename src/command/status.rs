//! `status`: what is alive and what is in force, process by process.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::command::OperatorClient;
use crate::command::print_line;
use crate::error::Result;
use crate::node::Node;

/// The state of one process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProcessStatus {
    /// Its name.
    pub process: String,
    /// Where it runs.
    pub place: String,
    /// Its life.
    pub incarnation: u64,
    /// Number of the ticket in force.
    pub ticket: u64,
    /// Age of the last confirmation of what is in force, in milliseconds.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests that its endpoint holds; only agents have one.
    pub in_flight: Option<u32>,
    /// Whether its endpoint answers; only agents have one.
    pub endpoint_up: Option<bool>,
    /// The state of its group's map; only runners of a group have one.
    pub group: Option<GroupStatus>,
}

/// The state of a group's map at one runner.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct GroupStatus {
    /// The group.
    pub group: String,
    /// The map that the engine runs; `None` while it has no state.
    pub map: Option<u64>,
    /// Step that the engine has reached.
    pub step: u64,
    /// Whether the runner takes part in ballots.
    pub ready: bool,
    /// Step time over the least possible, as the leader sees it.
    pub skew: Option<f64>,
    /// Bytes that the leader's plans have moved.
    pub bytes_moved: u64,
    /// Ranks that run slower than the others, as the leader sees it.
    pub slow_ranks: Vec<usize>,
}

impl ProcessStatus {
    /// Reads the state of this process.
    pub fn of(node: &Node) -> Self {
        let book = node.config.state();
        let load = node.load.as_ref().map(|load| load.report_for(&node.name));
        Self {
            process: node.name.to_string(),
            place: node.place.to_string(),
            incarnation: node.incarnation.0,
            ticket: book.number().0,
            confirmed_ms_ago: book.age(node.clock.now()).map(|age| age.as_millis() as u64),
            leaving: node.is_leaving(),
            in_flight: load.map(|load| load.in_flight),
            endpoint_up: load.map(|load| load.endpoint_up),
            group: None,
        }
    }

    /// Adds the state of the group's map.
    pub fn with_group(mut self, group: Option<GroupStatus>) -> Self {
        self.group = group;
        self
    }

    /// Returns the state as JSON.
    pub fn to_json(&self) -> Bytes {
        // Plain numbers and strings always serialize.
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Another process, as the answering entry sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerStatus {
    /// Its name.
    pub name: String,
    /// `up`, `suspect` or `leaving`.
    pub state: String,
    /// Number of the ticket that it said it has in force.
    pub ticket: u64,
    /// What it says of itself; `None` when it did not answer.
    pub process: Option<ProcessStatus>,
}

/// The state of all processes, as one entry gathered it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetStatus {
    /// The entry that answers.
    pub answering: ProcessStatus,
    /// All others.
    #[serde(rename = "neighbours")]
    pub peers: Vec<PeerStatus>,
}

impl FleetStatus {
    /// Returns the processes that do not have a ticket in force, with what
    /// they have; `None` for those that do not answer.
    pub fn behind(&self, ticket: u64) -> Vec<(&str, Option<u64>)> {
        let own = (self.answering.ticket < ticket)
            .then_some((self.answering.process.as_str(), Some(self.answering.ticket)));
        let others = self.peers.iter().filter_map(|peer| {
            let held = peer.process.as_ref().map(|process| process.ticket);
            held.is_none_or(|held| held < ticket)
                .then_some((peer.name.as_str(), held))
        });
        own.into_iter().chain(others).collect()
    }
}

/// Prints the state of all processes.
///
/// # Errors
///
/// Fails when the entry does not answer.
pub async fn run(access: &OperatorClient, json: bool) -> Result<()> {
    let status: FleetStatus = access.get("/status").await?;
    if json {
        print_line(format_args!(
            "{}",
            serde_json::to_string(&status).unwrap_or_default()
        ));
        return Ok(());
    }
    print_line(format_args!(
        "{:<16} {:<12} {:<9} {:>7} {:>9} {:>9}",
        "PROCESS", "PLACE", "STATE", "TICKET", "CONFIRMED", "IN-FLIGHT"
    ));
    print_process(&status.answering, "up");
    for peer in &status.peers {
        match &peer.process {
            Some(process) => print_process(process, &peer.state),
            None => print_line(format_args!(
                "{:<16} {:<12} {:<9} {:>7} {:>9} {:>9}",
                peer.name, "-", peer.state, peer.ticket, "no answer", "-"
            )),
        }
    }
    print_groups(&status);
    Ok(())
}

/// Prints each group as its leader sees it.
fn print_groups(status: &FleetStatus) {
    let processes = status.peers.iter().filter_map(|n| n.process.as_ref());
    for process in processes {
        let Some(group) = &process.group else {
            continue;
        };
        let Some(skew) = group.skew else {
            continue;
        };
        print_line(format_args!(
            "group {} led by {}: map {}, step {}, skew {skew:.3}, {} MB moved, slow ranks {:?}",
            group.group,
            process.process,
            group.map.unwrap_or(0),
            group.step,
            group.bytes_moved / 1_000_000,
            group.slow_ranks
        ));
    }
}

fn print_process(process: &ProcessStatus, state: &str) {
    let confirmed = process
        .confirmed_ms_ago
        .map_or("never".into(), |ms| format!("{ms} ms"));
    let in_flight = process
        .in_flight
        .map_or("-".into(), |count| count.to_string());
    print_line(format_args!(
        "{:<16} {:<12} {:<9} {:>7} {:>9} {:>9}",
        process.process, process.place, state, process.ticket, confirmed, in_flight
    ));
}
