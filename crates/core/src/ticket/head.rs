//! The head: the state after the last accepted ticket, and how it advances.
//!
//! Accepting is one conditional update of one object. The head carries a
//! chain of digests, so one comparison tells whether two histories agree.

use std::sync::Arc;

use crate::fleet::Fleet;
use crate::ids::TicketNumber;
use crate::ticket::Ticket;
use crate::ticket::TicketError;

/// Accepted tickets whose digest and author the head keeps.
const RECENT_TICKETS: usize = 64;

/// An accepted ticket, as the head remembers it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecentTicket {
    /// Its number.
    pub number: TicketNumber,
    /// Hash of its text.
    pub digest: String,
    /// Its title.
    pub title: String,
    /// The desk that had it accepted.
    pub submitter: String,
}

/// The declared state in force, with the history that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Number of the last accepted ticket; zero before the first.
    pub number: TicketNumber,
    /// Hash over the digests of all accepted tickets, in order.
    pub chain: String,
    /// The last accepted tickets, oldest first.
    pub recent: Vec<RecentTicket>,
    /// The state after the last accepted ticket.
    pub fleet: Arc<Fleet>,
}

/// Why a ticket is not accepted; the message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// Numbers between the head and the ticket are missing.
    #[error("ticket {ticket} leaves a gap: ticket {missing} is missing; apply it first")]
    Gap {
        /// The ticket that was offered.
        ticket: TicketNumber,
        /// The first missing number.
        missing: TicketNumber,
    },
    /// The number belongs to another content.
    #[error(
        "ticket {number} was accepted with other content (\"{title}\", by {submitter}); \
         give yours the next free number"
    )]
    NumberInUse {
        /// The contested number.
        number: TicketNumber,
        /// Title of the accepted ticket.
        title: String,
        /// Desk that had it accepted.
        submitter: String,
    },
    /// An older part of the history differs.
    #[error(
        "tickets up to {number} differ from those accepted; \
         bring the directory up to date with version control"
    )]
    HistoryDiffers {
        /// Last number that was compared.
        number: TicketNumber,
    },
    /// The ticket itself cannot be applied.
    #[error(transparent)]
    Ticket(#[from] TicketError),
}

/// What to do to have a ticket accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptStep {
    /// The same content is accepted already.
    AlreadyAccepted,
    /// Replace the head by this one, if it has not changed meanwhile.
    Write(Head),
}

impl Head {
    /// Returns the head before the first ticket.
    pub fn empty() -> Self {
        Self {
            number: TicketNumber(0),
            chain: String::new(),
            recent: Vec::new(),
            fleet: Fleet::default().into(),
        }
    }

    /// Returns a short digest of the history, for heartbeats.
    pub fn tag(&self) -> u64 {
        let hash = blake3::hash(self.chain.as_bytes());
        let mut head = [0; 8];
        head.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(head)
    }

    /// Decides how a ticket can be accepted on top of this head.
    ///
    /// # Errors
    ///
    /// Refuses a gap, a number taken by other content, and a ticket whose
    /// references would dangle.
    pub fn accept(&self, ticket: &Ticket, submitter: &str) -> Result<AcceptStep, HeadError> {
        if ticket.number <= self.number {
            return self.check_accepted(ticket);
        }
        if ticket.number != self.number.next() {
            return Err(HeadError::Gap {
                ticket: ticket.number,
                missing: self.number.next(),
            });
        }
        let fleet = ticket.apply_to(&self.fleet)?;
        let mut recent = self.recent.clone();
        recent.push(RecentTicket {
            number: ticket.number,
            digest: ticket.digest.clone(),
            title: ticket.title.clone(),
            submitter: submitter.into(),
        });
        let excess = recent.len().saturating_sub(RECENT_TICKETS);
        recent.drain(..excess);
        Ok(AcceptStep::Write(Self {
            number: ticket.number,
            chain: extend_chain(&self.chain, &ticket.digest),
            recent,
            fleet,
        }))
    }

    fn check_accepted(&self, ticket: &Ticket) -> Result<AcceptStep, HeadError> {
        let held = self.recent.iter().find(|r| r.number == ticket.number);
        match held {
            Some(held) if held.digest != ticket.digest => Err(HeadError::NumberInUse {
                number: ticket.number,
                title: held.title.clone(),
                submitter: held.submitter.clone(),
            }),
            _ => Ok(AcceptStep::AlreadyAccepted),
        }
    }

    /// Checks that a directory's tickets are the ones that led to this head.
    ///
    /// # Errors
    ///
    /// Names the first ticket that differs, as far as the head remembers it.
    pub fn check_history(&self, tickets: &[Ticket]) -> Result<(), HeadError> {
        let mut chain = String::new();
        for ticket in tickets {
            if ticket.number > self.number {
                break;
            }
            self.check_accepted(ticket)?;
            chain = extend_chain(&chain, &ticket.digest);
            if ticket.number == self.number && chain != self.chain {
                return Err(HeadError::HistoryDiffers {
                    number: self.number,
                });
            }
        }
        Ok(())
    }
}

fn extend_chain(chain: &str, digest: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(chain.as_bytes());
    hasher.update(digest.as_bytes());
    hasher.finalize().to_hex().to_string()
}

#[cfg(test)]
mod tests {
    use super::AcceptStep;
    use super::Head;
    use super::HeadError;
    use crate::ids::TicketNumber;
    use crate::ticket::Ticket;

    fn ticket(number: u64, queue: u32) -> Ticket {
        let text = format!(
            "number = {number}\ntitle = \"t\"\n[service.a]\nkind = \"plain\"\nmax_queue = {queue}\n"
        );
        Ticket::parse("t.toml", &text).expect("valid")
    }

    fn accepted(head: &Head, ticket: &Ticket) -> Head {
        match head.accept(ticket, "desk-1").expect("accepted") {
            AcceptStep::Write(head) => head,
            AcceptStep::AlreadyAccepted => head.clone(),
        }
    }

    #[test]
    fn same_number_same_content_is_accepted_already() {
        let head = accepted(&Head::empty(), &ticket(1, 5));
        assert_eq!(
            head.accept(&ticket(1, 5), "desk-2"),
            Ok(AcceptStep::AlreadyAccepted)
        );
    }

    #[test]
    fn same_number_other_content_names_the_holder() {
        let head = accepted(&Head::empty(), &ticket(1, 5));
        let error = head.accept(&ticket(1, 6), "desk-2").expect_err("taken");
        assert!(error.to_string().contains("desk-1"));
    }

    #[test]
    fn a_gap_names_the_missing_number() {
        let error = Head::empty()
            .accept(&ticket(3, 5), "desk")
            .expect_err("gap");
        assert_eq!(
            error,
            HeadError::Gap {
                ticket: TicketNumber(3),
                missing: TicketNumber(1)
            }
        );
    }

    #[test]
    fn history_beyond_the_remembered_tickets_is_still_compared() {
        let mut head = Head::empty();
        let mut tickets = Vec::new();
        for number in 1..=100 {
            tickets.push(ticket(number, 5));
            head = accepted(&head, &tickets[number as usize - 1]);
        }
        assert_eq!(head.check_history(&tickets), Ok(()));
        tickets[2] = ticket(3, 6);
        assert!(matches!(
            head.check_history(&tickets),
            Err(HeadError::HistoryDiffers { .. })
        ));
    }
}
