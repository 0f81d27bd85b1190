//! What is known of the ranks of runners, for log lines.
//!
//! The agent beside each runner tells its group and rank when an entry dials it. What
//! it told last is kept until the runner is no longer listed, since it is wanted when the
//! runner has failed.

use std::net::SocketAddr;
use std::sync::Mutex;

use serde_json::Value;
use serde_json::json;
use wisteriawick_core::collections::HashMap;
use wisteriawick_core::gateway::GroupRank;
use wisteriawick_core::hosting::ListedRunner;

use crate::gateway::state::lock;

/// The group and rank of each runner whose agent has told them, by the runner's address.
#[derive(Debug, Default)]
pub(crate) struct RankPositions(Mutex<HashMap<SocketAddr, GroupRank>>);

impl RankPositions {
    pub(crate) fn set(&self, runner: SocketAddr, position: GroupRank) {
        lock(&self.0).insert(runner, position);
    }

    /// Records the positions of a group's runners, given by rank.
    pub(crate) fn set_group(&self, group: &str, runners: &[Option<SocketAddr>]) {
        let mut positions = lock(&self.0);
        for (rank, runner) in runners.iter().enumerate() {
            if let Some(runner) = runner {
                let position = GroupRank {
                    group: group.into(),
                    rank,
                };
                positions.insert(*runner, position);
            }
        }
    }

    pub(crate) fn remove(&self, runner: SocketAddr) {
        lock(&self.0).remove(&runner);
    }

    pub(crate) fn get(&self, runner: SocketAddr) -> Option<GroupRank> {
        lock(&self.0).get(&runner).cloned()
    }

    /// Returns the fields of a log line that name a runner; group and rank are null if
    /// they are not known.
    pub(crate) fn log_fields(&self, runner: &ListedRunner) -> Value {
        let position = self.get(runner.address);
        json!({
            "runner": runner.id.as_str(),
            "group": position.as_ref().map(|position| &*position.group),
            "rank": position.as_ref().map(|position| position.rank),
        })
    }
}
