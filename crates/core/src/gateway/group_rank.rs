//! Which rank of which group a runner is.

use std::sync::Arc;

/// A runner's place among those that process each pass together.
///
/// Logs name it: ranks of a group fail together. Nothing decides by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRank {
    /// Name of the group.
    pub group: Arc<str>,
    /// Number of the rank, from zero.
    pub rank: usize,
}
