//! The head: the configuration after the last accepted ticket.
//!
//! Accepting a ticket is one conditional update of the one object that stores the
//! head. The head carries a hash chain over the accepted tickets, so comparing two
//! hashes shows whether two histories are equal.

use std::sync::Arc;

use crate::fleet::Fleet;
use crate::ids::TicketNumber;
use crate::ticket::Ticket;
use crate::ticket::TicketError;

/// Most accepted tickets that the head lists with digest, title and submitter.
const MAX_RECENT_TICKETS: usize = 64;

/// An accepted ticket in the list of the head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecentTicket {
    /// Number of the ticket.
    pub number: TicketNumber,
    /// Hash of the ticket file's text.
    pub digest: String,
    /// Title of the ticket.
    pub title: String,
    /// The operator who submitted it.
    pub submitter: String,
}

/// The declared configuration, with the history that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Number of the last accepted ticket; zero before the first.
    pub number: TicketNumber,
    /// Hash chain over the digests of all accepted tickets, in order.
    pub chain: String,
    /// The last accepted tickets, oldest first.
    pub recent: Vec<RecentTicket>,
    /// The configuration after the last accepted ticket.
    pub fleet: Arc<Fleet>,
}

/// The reason why a ticket is not accepted. The message says how to proceed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// Tickets between the head and the submitted ticket are missing.
    #[error("ticket {ticket} leaves a gap: ticket {missing} is missing; apply it first")]
    Gap {
        /// Number of the submitted ticket.
        ticket: TicketNumber,
        /// The first missing number.
        missing: TicketNumber,
    },
    /// A ticket with the same number and other content was accepted.
    #[error(
        "ticket {number} was accepted with other content (\"{title}\", by {submitter}); \
         give yours the next free number"
    )]
    NumberInUse {
        /// The number of both tickets.
        number: TicketNumber,
        /// Title of the accepted ticket.
        title: String,
        /// The operator who submitted the accepted ticket.
        submitter: String,
    },
    /// The submitted history differs from the accepted one in an older ticket.
    #[error(
        "tickets up to {number} differ from those accepted; \
         bring the directory up to date with version control"
    )]
    HistoryDiffers {
        /// Last number that was compared.
        number: TicketNumber,
    },
    /// The ticket cannot be applied to the fleet of the head.
    #[error(transparent)]
    Ticket(#[from] TicketError),
}

/// The step that accepts a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptStep {
    /// None is needed: the same ticket was accepted before.
    AlreadyAccepted,
    /// Replace the head by this one, on condition that it has not changed.
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

    /// Returns the tag, a short digest of the history. Heartbeats carry it, so that peers
    /// notice when their heads differ.
    pub fn tag(&self) -> u64 {
        let hash = blake3::hash(self.chain.as_bytes());
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(prefix)
    }

    /// Decides how a ticket can be accepted on top of this head.
    ///
    /// # Errors
    ///
    /// Fails when tickets before this one are missing, when its number was accepted
    /// with other content, or when it cannot be applied to the fleet.
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
        let excess = recent.len().saturating_sub(MAX_RECENT_TICKETS);
        recent.drain(..excess);
        Ok(AcceptStep::Write(Self {
            number: ticket.number,
            chain: extend_chain(&self.chain, &ticket.digest),
            recent,
            fleet,
        }))
    }

    /// Checks a ticket with a number up to that of the head. A ticket that is older
    /// than the listed ones counts as accepted.
    fn check_accepted(&self, ticket: &Ticket) -> Result<AcceptStep, HeadError> {
        let accepted = self.recent.iter().find(|r| r.number == ticket.number);
        match accepted {
            Some(accepted) if accepted.digest != ticket.digest => Err(HeadError::NumberInUse {
                number: ticket.number,
                title: accepted.title.clone(),
                submitter: accepted.submitter.clone(),
            }),
            _ => Ok(AcceptStep::AlreadyAccepted),
        }
    }

    /// Checks that the tickets of a directory are the ones that led to this head.
    ///
    /// # Errors
    ///
    /// Names the first ticket that differs if the head still lists it, otherwise
    /// only reports that the history differs.
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
        match head.accept(ticket, "operator-1").expect("accepted") {
            AcceptStep::Write(head) => head,
            AcceptStep::AlreadyAccepted => head.clone(),
        }
    }

    #[test]
    fn submitting_an_accepted_ticket_again_changes_nothing() {
        let head = accepted(&Head::empty(), &ticket(1, 5));
        assert_eq!(
            head.accept(&ticket(1, 5), "operator-2"),
            Ok(AcceptStep::AlreadyAccepted)
        );
    }

    #[test]
    fn number_accepted_with_other_content_is_refused_naming_its_submitter() {
        let head = accepted(&Head::empty(), &ticket(1, 5));
        let error = head
            .accept(&ticket(1, 6), "operator-2")
            .expect_err("the number is in use");
        assert!(error.to_string().contains("operator-1"));
    }

    #[test]
    fn ticket_after_a_gap_is_refused_naming_the_missing_number() {
        let error = Head::empty()
            .accept(&ticket(3, 5), "operator")
            .expect_err("tickets are missing");
        assert_eq!(
            error,
            HeadError::Gap {
                ticket: TicketNumber(3),
                missing: TicketNumber(1)
            }
        );
    }

    #[test]
    fn history_differing_in_an_unlisted_ticket_is_refused() {
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
