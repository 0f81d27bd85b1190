//! Tells the starts of a runner apart.

use crate::hosting::ListedRunner;
use crate::ids::RunnerId;

/// One start of a runner, which may start again under the identifier that it had.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunnerStart {
    /// The runner.
    pub runner: RunnerId,
    /// Time of the start in Unix milliseconds, if the platform states it.
    pub unix_ms: Option<u64>,
}

impl RunnerStart {
    /// Returns whether both may be the same start.
    pub(crate) fn may_be(&self, other: &Self) -> bool {
        let differs = |(own, other): (u64, u64)| own != other;
        self.runner == other.runner && !self.unix_ms.zip(other.unix_ms).is_some_and(differs)
    }
}

impl From<&ListedRunner> for RunnerStart {
    fn from(listed: &ListedRunner) -> Self {
        Self {
            runner: listed.id.clone(),
            unix_ms: listed.started_unix_ms,
        }
    }
}

/// The start of a runner of which the platform states no time.
impl From<&str> for RunnerStart {
    fn from(id: &str) -> Self {
        Self {
            runner: id.into(),
            unix_ms: None,
        }
    }
}
