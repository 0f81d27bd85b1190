//! Requests that are sent although something that they have may crash runners.

use crate::gateway::CrashSuspect;

/// A request that is sent to find out whether it still crashes runners, or which of its
/// suspects does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashTrial {
    /// Crashes that counted against what the request has when the trial began.
    pub(crate) crashes: usize,
    /// Whether all processes were told of it, since it has to be the only one.
    pub(crate) is_announced: bool,
}

impl CrashTrial {
    /// Returns whether the request must wait for announcements of others, and then for
    /// [`CrashTracker::confirm`].
    pub fn is_announced(&self) -> bool {
        self.is_announced
    }
}

/// Returns the number of a request's trial: its content tells it from others.
pub(crate) fn trial_id(suspects: &[CrashSuspect]) -> u64 {
    let content = suspects.iter().find_map(|suspect| match suspect {
        CrashSuspect::Request(content) => Some(content.0 as u64),
        CrashSuspect::Part(_) => None,
    });
    content.unwrap_or(u64::MAX)
}
