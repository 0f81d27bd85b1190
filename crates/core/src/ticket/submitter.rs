//! Has tickets accepted, one after another, whatever the store does.
//!
//! Each acceptance is one conditional update. A lost answer is settled by
//! reading the head again: the same content under the same number means that
//! it took effect.

use std::collections::VecDeque;

use crate::ids::TicketNumber;
use crate::ledger::WriteResult;
use crate::ticket::AcceptStep;
use crate::ticket::Head;
use crate::ticket::HeadError;
use crate::ticket::Ticket;

/// What a desk is told.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitInput {
    /// Start.
    Start,
    /// The head object, with its version; zero when it does not exist.
    Read(u64, Head),
    /// The store did not answer a read.
    ReadFailed,
    /// What became of a write.
    Written(WriteResult),
}

/// What a desk wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutput {
    /// Read the head object.
    Read,
    /// Read the head object after a pause.
    ReadAfterDelay,
    /// Write the head object if it has the version given.
    Write(u64, Box<Head>),
    /// A ticket is accepted; whether this desk wrote it.
    Accepted(TicketNumber, bool),
    /// A ticket is refused; those after it are not tried.
    Refused(HeadError),
    /// Every ticket is accepted.
    Done,
}

/// Has the tickets of one operator accepted.
#[derive(Clone, Debug)]
pub struct TicketSubmitter {
    name: String,
    /// Tickets that are not accepted yet, in number order.
    tickets: VecDeque<Ticket>,
    /// Whether a write of the first ticket was sent.
    wrote: bool,
}

impl TicketSubmitter {
    /// Returns a desk with tickets in number order.
    pub fn new(name: impl Into<String>, tickets: impl IntoIterator<Item = Ticket>) -> Self {
        Self {
            name: name.into(),
            tickets: tickets.into_iter().collect(),
            wrote: false,
        }
    }

    /// Takes an input; returns what has to be done.
    pub fn handle(&mut self, input: SubmitInput, out: &mut Vec<SubmitOutput>) {
        match input {
            SubmitInput::Start => out.push(SubmitOutput::Read),
            SubmitInput::ReadFailed => out.push(SubmitOutput::ReadAfterDelay),
            SubmitInput::Read(version, head) => self.read(version, &head, out),
            SubmitInput::Written(WriteResult::Written(_) | WriteResult::Conflict) => {
                // What stands there now tells, also after a conflict.
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

    fn handle(desk: &mut TicketSubmitter, input: SubmitInput) -> Vec<SubmitOutput> {
        let mut out = Vec::new();
        desk.handle(input, &mut out);
        out
    }

    #[test]
    fn a_lost_answer_is_settled_by_what_stands_there() {
        let mut desk = TicketSubmitter::new("desk-1", [ticket()]);
        let out = handle(&mut desk, SubmitInput::Read(0, Head::empty()));
        let [SubmitOutput::Write(0, head)] = &out[..] else {
            panic!("{out:?}");
        };
        let unknown = SubmitInput::Written(WriteResult::Unknown);
        assert_eq!(handle(&mut desk, unknown), [SubmitOutput::ReadAfterDelay]);
        let out = handle(&mut desk, SubmitInput::Read(1, (**head).clone()));
        let accepted = SubmitOutput::Accepted(TicketNumber(1), true);
        assert_eq!(out, [accepted, SubmitOutput::Done]);
    }
}
