//! The members of the groups whose leaders this entry is linked to.
//!
//! A leader lists its members, so the entry needs to ask only the agents that no leader
//! lists for their positions. Asking all of them takes connections in proportion to entries
//! times agents.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use wisteriawick_core::collections::HashMap;

use crate::gateway::state::lock;

/// Runners that linked leaders list as members, and how many links list each.
#[derive(Debug, Default)]
pub(crate) struct LedGroups(Arc<Mutex<HashMap<SocketAddr, u32>>>);

/// The members that one link lists, until it is dropped.
#[derive(Debug)]
pub(crate) struct ListedMembers {
    all: Arc<Mutex<HashMap<SocketAddr, u32>>>,
    runners: Vec<Option<SocketAddr>>,
}

impl LedGroups {
    /// Returns the list of a new link, which is empty.
    pub(crate) fn join(&self) -> ListedMembers {
        ListedMembers {
            all: Arc::clone(&self.0),
            runners: Vec::new(),
        }
    }

    /// Returns whether a linked leader lists a runner among its members.
    pub(crate) fn is_member(&self, runner: SocketAddr) -> bool {
        lock(&self.0).contains_key(&runner)
    }
}

impl ListedMembers {
    /// Returns the runners of the group by rank; `None` for unknown ones.
    pub(crate) fn runners(&self) -> &[Option<SocketAddr>] {
        &self.runners
    }

    /// Replaces the list.
    pub(crate) fn set(&mut self, runners: Vec<Option<SocketAddr>>) {
        self.leave();
        self.runners = runners;
        let mut all = lock(&self.all);
        for runner in members(&self.runners) {
            *all.entry(runner).or_default() += 1;
        }
    }

    fn leave(&mut self) {
        let mut all = lock(&self.all);
        for runner in members(&self.runners) {
            if let Some(links) = all.get_mut(&runner) {
                *links -= 1;
                if *links == 0 {
                    all.remove(&runner);
                }
            }
        }
    }
}

impl Drop for ListedMembers {
    fn drop(&mut self) {
        self.leave();
    }
}

/// Returns the runners of all ranks but the leader's, to which the entry is linked.
fn members(runners: &[Option<SocketAddr>]) -> impl Iterator<Item = SocketAddr> {
    runners.iter().skip(1).copied().flatten()
}
