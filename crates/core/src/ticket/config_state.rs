//! Which head a process has in force, and how fresh that knowledge is.
//!
//! A book only ever moves to higher numbers. It does not accept tickets: that
//! is the conditional update described in [`super::head`].

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::TicketNumber;
use crate::ticket::Head;

/// What became of an offered head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadUpdate {
    /// It is in force now.
    Adopted,
    /// It was in force already; its age is reset.
    Confirmed,
    /// A newer one is in force; the offer is ignored.
    Outdated,
    /// The number is in force with another history; the offer is ignored.
    Conflict,
}

/// The head in force in one process.
#[derive(Clone, Debug)]
pub struct ConfigState {
    head: Option<Arc<Head>>,
    /// When the platform or a peer last vouched for the head in force.
    confirmed_at: Option<Instant>,
}

impl ConfigState {
    /// Returns a book with nothing in force.
    pub fn new() -> Self {
        Self {
            head: None,
            confirmed_at: None,
        }
    }

    /// Takes a head from the platform or a peer.
    pub fn update(&mut self, now: Instant, offered: &Arc<Head>) -> HeadUpdate {
        let adoption = match &self.head {
            Some(head) if offered.number < head.number => HeadUpdate::Outdated,
            Some(head) if offered.number == head.number && offered.chain != head.chain => {
                HeadUpdate::Conflict
            }
            Some(head) if offered.number == head.number => HeadUpdate::Confirmed,
            _ => HeadUpdate::Adopted,
        };
        match adoption {
            HeadUpdate::Adopted => {
                self.head = Some(Arc::clone(offered));
                self.confirmed_at = Some(now);
            }
            HeadUpdate::Confirmed => self.confirmed_at = Some(now),
            HeadUpdate::Outdated | HeadUpdate::Conflict => {}
        }
        adoption
    }

    /// Takes the digest that a peer's heartbeat carries.
    ///
    /// Returns whether the peer has a newer head that is worth asking for.
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

    /// Returns the number in force; zero when nothing is.
    pub fn number(&self) -> TicketNumber {
        self.head
            .as_ref()
            .map_or(TicketNumber(0), |head| head.number)
    }

    /// Returns the digest that heartbeats carry; zero when nothing is in force.
    pub fn tag(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.tag())
    }

    /// Returns how old the last confirmation is; `None` before the first.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether a process may serve by this book.
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
        let mut book = ConfigState::new();
        assert_eq!(book.update(now, &head(4, "d")), HeadUpdate::Adopted);
        assert_eq!(book.update(now, &head(3, "c")), HeadUpdate::Outdated);
        assert_eq!(book.update(now, &head(4, "x")), HeadUpdate::Conflict);
        assert_eq!(book.number(), TicketNumber(4));
    }

    #[test]
    fn freshness_ends_without_confirmation() {
        let now = Instant::now();
        let mut book = ConfigState::new();
        book.update(now, &head(1, "a"));
        let bound = Duration::from_secs(16);
        assert!(book.is_fresh(now + bound, bound));
        assert!(!book.is_fresh(now + bound + Duration::from_millis(1), bound));
        book.compare_digest(now + bound, TicketNumber(1), head(1, "a").tag());
        assert!(book.is_fresh(now + bound + bound, bound));
    }
}
