//! The head that a process has in force, and when it was last confirmed.
//!
//! A process receives heads from the platform and from peers, in any order. It
//! only ever moves to higher numbers, and stops serving when its head has not
//! been confirmed for too long. Accepting tickets is the task of
//! [`super::head`].

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::TicketNumber;
use crate::ticket::Head;

/// The result of [`ConfigState::update`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadUpdate {
    /// The received head is now in force.
    Adopted,
    /// The received head was in force already; its age is reset.
    Confirmed,
    /// A newer head is in force; the received one is ignored.
    Outdated,
    /// A head with the same number but another history is in force; the received
    /// one is ignored.
    Conflict,
}

/// The head in force in one process.
#[derive(Clone, Debug)]
pub struct ConfigState {
    head: Option<Arc<Head>>,
    /// When the platform or a peer last confirmed the head in force.
    confirmed_at: Option<Instant>,
}

impl ConfigState {
    /// Creates a state without a head in force.
    pub fn new() -> Self {
        Self {
            head: None,
            confirmed_at: None,
        }
    }

    /// Receives a head from the platform or a peer and adopts it if it is newer.
    pub fn update(&mut self, now: Instant, received: &Arc<Head>) -> HeadUpdate {
        let update = match &self.head {
            Some(head) if received.number < head.number => HeadUpdate::Outdated,
            Some(head) if received.number == head.number && received.chain != head.chain => {
                HeadUpdate::Conflict
            }
            Some(head) if received.number == head.number => HeadUpdate::Confirmed,
            _ => HeadUpdate::Adopted,
        };
        match update {
            HeadUpdate::Adopted => {
                self.head = Some(Arc::clone(received));
                self.confirmed_at = Some(now);
            }
            HeadUpdate::Confirmed => self.confirmed_at = Some(now),
            HeadUpdate::Outdated | HeadUpdate::Conflict => {}
        }
        update
    }

    /// Compares the number and tag from a peer's heartbeat with the head in force. The
    /// tag is a short digest, see [`Head::tag`].
    ///
    /// An equal number and tag confirm the head. Returns whether the peer has a newer head,
    /// which the caller should request.
    pub fn compare_digest(&mut self, now: Instant, number: TicketNumber, tag: u64) -> bool {
        match &self.head {
            Some(head) if head.number == number && head.tag() == tag => {
                self.confirmed_at = Some(now);
                false
            }
            Some(head) => number > head.number,
            None => true,
        }
    }

    /// Returns the head in force.
    pub fn head(&self) -> Option<&Arc<Head>> {
        self.head.as_ref()
    }

    /// Returns the number of the head in force; zero when there is none.
    pub fn number(&self) -> TicketNumber {
        self.head
            .as_ref()
            .map_or(TicketNumber(0), |head| head.number)
    }

    /// Returns the tag of the head in force, for heartbeats; zero when there is none.
    pub fn tag(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.tag())
    }

    /// Returns the time since the last confirmation; `None` before the first.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether the head was confirmed within `bound`, so that the process
    /// may serve requests.
    pub fn is_fresh(&self, now: Instant, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }
}

impl Default for ConfigState {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::time::Duration;
    use std::time::Instant;

    use super::ConfigState;
    use super::HeadUpdate;
    use crate::ids::TicketNumber;
    use crate::ticket::Head;

    fn head(number: u64, chain: &str) -> Arc<Head> {
        Arc::new(Head {
            number: TicketNumber(number),
            chain: chain.into(),
            ..Head::empty()
        })
    }

    #[test]
    fn an_older_head_never_replaces_a_newer_one() {
        let now = Instant::now();
        let mut config = ConfigState::new();
        assert_eq!(config.update(now, &head(4, "d")), HeadUpdate::Adopted);
        assert_eq!(config.update(now, &head(3, "c")), HeadUpdate::Outdated);
        assert_eq!(config.update(now, &head(4, "x")), HeadUpdate::Conflict);
        assert_eq!(config.number(), TicketNumber(4));
    }

    #[test]
    fn a_head_without_confirmation_within_the_bound_is_not_fresh() {
        let now = Instant::now();
        let mut config = ConfigState::new();
        config.update(now, &head(1, "a"));
        let bound = Duration::from_secs(16);
        assert!(config.is_fresh(now + bound, bound));
        assert!(!config.is_fresh(now + bound + Duration::from_millis(1), bound));
        config.compare_digest(now + bound, TicketNumber(1), head(1, "a").tag());
        assert!(config.is_fresh(now + bound + bound, bound));
    }
}
