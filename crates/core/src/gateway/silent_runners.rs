//! Runners of which no agent reports: how many requests they get, and when they get none.
//!
//! Without reports an entry knows neither the load of a runner nor its group. It relies on
//! what the responses show. This answers to deployments in which most runners have no agent,
//! and to the time after a start of all processes.

mod bound;
mod doubt;
mod window;

pub(crate) use bound::Bound;
pub(crate) use doubt::Doubt;

/// What a runner of unknown group has shown of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It has sent a part of a response since doubt arose.
    Heard,
    /// Nothing has been heard of it since doubt arose.
    Unheard,
    /// It refused the last request that it responded to.
    Refusing,
}

/// This entry's requests at the runners of unknown group that may refuse them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DoubtedRequests {
    /// Requests at those that have not been heard.
    pub(crate) unheard: u32,
    /// Requests at those that refused the last one.
    pub(crate) refusing: u32,
}

impl DoubtedRequests {
    fn at(&self, standing: Standing) -> u32 {
        match standing {
            Standing::Heard => 0,
            Standing::Unheard => self.unheard,
            Standing::Refusing => self.refusing,
        }
    }
}
