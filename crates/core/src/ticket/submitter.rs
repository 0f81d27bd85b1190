//! State machine that submits an operator's tickets one after another.
//!
//! Each ticket is accepted by one conditional update of the head object. After a
//! conflict or a lost response the head is read again: if it holds the ticket's
//! number with the same content, the update took effect. Submitting the same
//! tickets again is therefore harmless.

use std::collections::VecDeque;

use crate::ids::TicketNumber;
use crate::ledger::WriteResult;
use crate::ticket::AcceptStep;
use crate::ticket::Head;
use crate::ticket::HeadError;
use crate::ticket::Ticket;

/// An event that a [`TicketSubmitter`] handles.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitInput {
    /// Starts the submission.
    Start,
    /// The version and content of the head object; version 0 when it does not exist.
    Read(u64, Head),
    /// The store did not respond to a read.
    ReadFailed,
    /// The result of a write.
    Written(WriteResult),
}

/// An action that a [`TicketSubmitter`] requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutput {
    /// Reads the head object.
    Read,
    /// Reads the head object after a delay.
    ReadAfterDelay,
    /// Writes the head object if it has the given version.
    Write(u64, Box<Head>),
    /// A ticket is accepted. The flag is true if this submitter wrote it, false if
    /// it was accepted before.
    Accepted(TicketNumber, bool),
    /// A ticket is refused; the tickets after it are not submitted.
    Refused(HeadError),
    /// All tickets are accepted.
    Done,
}

/// Submits a sequence of tickets in the name of one operator.
#[derive(Clone, Debug)]
pub struct TicketSubmitter {
    name: String,
    /// Tickets that are not accepted yet, in number order.
    tickets: VecDeque<Ticket>,
    /// Whether a write of the first of these tickets was sent.
    wrote: bool,
}

impl TicketSubmitter {
    /// Creates a submitter for tickets in number order. `name` is recorded as their
    /// submitter.
    pub fn new(name: impl Into<String>, tickets: impl IntoIterator<Item = Ticket>) -> Self {
        Self {
            name: name.into(),
            tickets: tickets.into_iter().collect(),
            wrote: false,
        }
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, input: SubmitInput, out: &mut Vec<SubmitOutput>) {
        match input {
            SubmitInput::Start => out.push(SubmitOutput::Read),
            SubmitInput::ReadFailed => out.push(SubmitOutput::ReadAfterDelay),
            SubmitInput::Read(version, head) => self.read(version, &head, out),
            SubmitInput::Written(WriteResult::Written(_) | WriteResult::Conflict) => {
                // The head as it is now shows whether the ticket was accepted, also
                // after a conflict.
                out.push(SubmitOutput::Read);
            }
            SubmitInput::Written(WriteResult::Unknown) => out.push(SubmitOutput::ReadAfterDelay),
        }
    }

    fn read(&mut self, version: u64, head: &Head, out: &mut Vec<SubmitOutput>) {
        while let Some(ticket) = self.tickets.front() {
            match head.accept(ticket, &self.name) {
                Ok(AcceptStep::AlreadyAccepted) => {
                    let number = ticket.number;
                    out.push(SubmitOutput::Accepted(number, self.wrote));
                    self.tickets.pop_front();
                    self.wrote = false;
                }
                Ok(AcceptStep::Write(next)) => {
                    self.wrote = true;
                    out.push(SubmitOutput::Write(version, Box::new(next)));
                    return;
                }
                Err(e) => {
                    self.tickets.clear();
                    out.push(SubmitOutput::Refused(e));
                    return;
                }
            }
        }
        out.push(SubmitOutput::Done);
    }
}

#[cfg(test)]
mod tests {
    use super::SubmitInput;
    use super::SubmitOutput;
    use super::TicketSubmitter;
    use crate::ids::TicketNumber;
    use crate::ledger::WriteResult;
    use crate::ticket::Head;
    use crate::ticket::Ticket;

    fn ticket() -> Ticket {
        Ticket::parse("1.toml", "number = 1\ntitle = \"t\"\n").expect("valid")
    }

    fn handle(submitter: &mut TicketSubmitter, input: SubmitInput) -> Vec<SubmitOutput> {
        let mut out = Vec::new();
        submitter.handle(input, &mut out);
        out
    }

    #[test]
    fn a_write_with_a_lost_response_is_recognized_when_the_head_is_read_again() {
        let mut submitter = TicketSubmitter::new("operator-1", [ticket()]);
        let out = handle(&mut submitter, SubmitInput::Read(0, Head::empty()));
        let [SubmitOutput::Write(0, head)] = &out[..] else {
            panic!("{out:?}");
        };
        let unknown = SubmitInput::Written(WriteResult::Unknown);
        assert_eq!(
            handle(&mut submitter, unknown),
            [SubmitOutput::ReadAfterDelay]
        );
        let out = handle(&mut submitter, SubmitInput::Read(1, (**head).clone()));
        let accepted = SubmitOutput::Accepted(TicketNumber(1), true);
        assert_eq!(out, [accepted, SubmitOutput::Done]);
    }
}
