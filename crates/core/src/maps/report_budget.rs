//! How much of a leader's link reports may take.
//!
//! Every member of a group reports to its leader, and the leader to every entry, so the
//! bytes on the leader's link grow with the group and with the number of entries. Orders
//! share that link, and a group stands while a held pass waits for them. Each kind of
//! report therefore has a share of the link, and reports are made as often as their share
//! allows. The size of a report is what a peer sends, with the headers of the network.
//!
//! The popularity of experts is a property of the load: counts of some ranks tell as much
//! as those of all, so a larger group reports counts of its ranks in turn.

use std::time::Duration;

use crate::hosting::LinkRate;
use crate::maps::copy_plan::MAX_CHANGES;

/// Rate that is assumed if the platform states none: 8 Mbit/s.
const DEFAULT_BYTES_PER_SECOND: f64 = 1e6;
/// Share of the incoming link for counts of expert choices.
const COUNTS_SHARE: f64 = 0.25;
/// Share of the incoming link for the states and loads of ranks.
const STATES_SHARE: f64 = 0.12;
/// Share of the outgoing link for load reports to entries.
const ENTRY_REPORTS_SHARE: f64 = 0.2;
/// Share of the outgoing link for orders, over [`ORDERS_TIME`].
const ORDERS_SHARE: f64 = 0.4;
/// Time in which a map reaches all members.
const ORDERS_TIME: Duration = Duration::from_millis(500);
/// Bytes of a change of the experts of one rank in one set.
const BYTES_PER_CHANGE: f64 = 10.0;
/// Fewest changes of a plan; with fewer, no plan is worth its switch.
const MIN_CHANGES: usize = 8;
/// Bytes that the network adds to a small message: headers of its packet and of the one
/// that acknowledges it.
const OVERHEAD_BYTES: f64 = 110.0;
/// Bytes of a count of one expert, as a variable-length number.
const BYTES_PER_COUNT: f64 = 1.25;
/// Bytes of the state and the load of a rank.
const STATE_BYTES: f64 = 40.0;
/// Bytes of a rank in a report to an entry.
const BYTES_PER_REPORTED_RANK: f64 = 5.0;
/// Shortest time between two readings of a rank's counts: about a pass. Until a shift of
/// popularity shows in the counts, passes stay too long for the streams.
const MIN_COUNT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two reports of a rank's load.
const MIN_STATE_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two reports of a group's load to an entry: about two passes.
/// Over shorter times an entry knows its own part of the load better.
const MIN_ENTRY_REPORT_INTERVAL: Duration = Duration::from_millis(80);
/// Longest time between two reports of any kind, so that no rank and no entry is forgotten
/// on a link that is too slow for its group.
const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// The shares of a leader's link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportBudget {
    bytes_per_second: f64,
}

/// How often the members of a group report to its leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportIntervals {
    /// Time between two readings of one rank's counts.
    pub counts: Duration,
    /// Shortest time between two reports of one rank's load.
    pub states: Duration,
}

impl ReportBudget {
    /// Returns the budget of a link; without a rate a slow one is assumed.
    pub fn new(rate: Option<LinkRate>) -> Self {
        Self {
            bytes_per_second: rate.map_or(DEFAULT_BYTES_PER_SECOND, LinkRate::bytes_per_second),
        }
    }

    /// Returns how often each of `members` reports. `counters` is the number of counts in
    /// a reading, over all sets; zero as long as it is not known.
    pub fn member_intervals(&self, members: usize, counters: usize) -> ReportIntervals {
        let members = members as f64;
        let reading = OVERHEAD_BYTES + BYTES_PER_COUNT * counters as f64;
        let state = OVERHEAD_BYTES + STATE_BYTES;
        ReportIntervals {
            counts: self.interval(members * reading, COUNTS_SHARE, MIN_COUNT_INTERVAL),
            states: self.interval(members * state, STATES_SHARE, MIN_STATE_INTERVAL),
        }
    }

    /// Returns the time between two reports of the load of `ranks` to each of `entries`.
    pub fn entry_interval(&self, entries: usize, ranks: usize) -> Duration {
        let report = OVERHEAD_BYTES + BYTES_PER_REPORTED_RANK * ranks as f64;
        let round = entries as f64 * report;
        self.interval(round, ENTRY_REPORTS_SHARE, MIN_ENTRY_REPORT_INTERVAL)
    }

    /// Returns how many changes a plan may have, so that a map reaches all of `members`
    /// in time. The changes of a copy are sent to every member.
    pub fn max_map_changes(&self, members: usize) -> usize {
        let bytes = self.bytes_per_second * ORDERS_SHARE * ORDERS_TIME.as_secs_f64();
        let per_member = bytes / members.max(1) as f64 - OVERHEAD_BYTES;
        let changes = (per_member / BYTES_PER_CHANGE).max(0.0) as usize;
        changes.clamp(MIN_CHANGES, MAX_CHANGES)
    }

    /// Returns the time in which a share of the link carries `bytes`.
    fn interval(&self, bytes: f64, share: f64, shortest: Duration) -> Duration {
        let seconds = bytes / (self.bytes_per_second * share);
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_INTERVAL)
            .clamp(shortest, MAX_INTERVAL)
    }
}
