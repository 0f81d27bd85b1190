//! `status`: the state of each process and the ticket in force there.
//!
//! One entry collects the state of all processes it knows. The types here are also the
//! JSON that processes report and that `status --json` prints.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::command::OperatorClient;
use crate::command::print_line;
use crate::error::Result;
use crate::node::Node;

/// The state of one process, as it reports itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProcessStatus {
    /// Name of the process.
    pub process: String,
    /// The data centre it runs in.
    pub place: String,
    /// Incarnation of the process; a later start has a higher number.
    pub incarnation: u64,
    /// Number of the ticket in force; zero before the first.
    pub ticket: u64,
    /// Milliseconds since the configuration in force was last confirmed; `None` before
    /// the first time.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Requests in flight at its endpoint; only agents have one.
    pub in_flight: Option<u32>,
    /// Whether its endpoint responds; only agents have one.
    pub endpoint_up: Option<bool>,
    /// State of the expert map; set for agents whose runner belongs to a group.
    pub group: Option<GroupStatus>,
}

/// The state of a group's expert map at one runner.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub group: String,
    /// Number of the map that the engine uses; `None` while it has no state.
    pub map: Option<u64>,
    /// The step that the engine has reached.
    pub step: u64,
    /// Whether the runner takes part in ballots on a new map.
    pub ready: bool,
    /// Step time divided by its lower bound, a perfectly balanced step. Only the leader
    /// of the group reports it.
    pub skew: Option<f64>,
    /// Bytes of weights that this runner's plans moved while it was the leader.
    pub bytes_moved: u64,
    /// Ranks that this runner, as the leader, measured to be slower than the others.
    pub slow_ranks: Vec<usize>,
}

impl ProcessStatus {
    /// Returns the state of this process, without that of a group.
    pub fn of(node: &Node) -> Self {
        let config = node.config.state();
        let load = node.load.as_ref().map(|load| load.report_for(&node.name));
        Self {
            process: node.name.to_string(),
            place: node.place.to_string(),
            incarnation: node.incarnation.0,
            ticket: config.number().0,
            confirmed_ms_ago: config
                .age(node.clock.now())
                .map(|age| age.as_millis() as u64),
            leaving: node.is_leaving(),
            in_flight: load.map(|load| load.in_flight),
            endpoint_up: load.map(|load| load.endpoint_up),
            group: None,
        }
    }

    /// Sets the state of the group's expert map.
    pub fn with_group(mut self, group: Option<GroupStatus>) -> Self {
        self.group = group;
        self
    }

    /// Returns the state as JSON.
    pub fn to_json(&self) -> Bytes {
        // Never fails: the type consists of numbers, flags and strings.
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// The state of another process, as an entry knows it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerStatus {
    /// Name of the process.
    pub name: String,
    /// Membership state: `up`, `suspect` or `leaving`.
    pub state: String,
    /// Number of the ticket in force there, from its last heartbeat.
    pub ticket: u64,
    /// The state it reported on request; `None` when it did not respond.
    pub process: Option<ProcessStatus>,
}

/// The state of all processes that one entry knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetStatus {
    /// State of the entry that collected the others.
    pub answering: ProcessStatus,
    /// State of all other processes.
    #[serde(rename = "neighbours")]
    pub peers: Vec<PeerStatus>,
}

impl FleetStatus {
    /// Returns the processes in which a ticket is not known to be in force, each with the
    /// number of its ticket in force, or `None` if it did not respond.
    pub fn behind(&self, ticket: u64) -> Vec<(&str, Option<u64>)> {
        let own = (self.answering.ticket < ticket)
            .then_some((self.answering.process.as_str(), Some(self.answering.ticket)));
        let others = self.peers.iter().filter_map(|peer| {
            let in_force = peer.process.as_ref().map(|process| process.ticket);
            in_force
                .is_none_or(|in_force| in_force < ticket)
                .then_some((peer.name.as_str(), in_force))
        });
        own.into_iter().chain(others).collect()
    }
}

/// Prints the state of all processes, as a table or as JSON.
///
/// # Errors
///
/// Fails when the entry does not respond.
pub async fn run(client: &OperatorClient, json: bool) -> Result<()> {
    let status: FleetStatus = client.get("/status").await?;
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

/// Prints a line about each group, with the state that its leader reports.
fn print_groups(status: &FleetStatus) {
    let processes = status.peers.iter().filter_map(|peer| peer.process.as_ref());
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
