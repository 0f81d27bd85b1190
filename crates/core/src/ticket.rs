//! Change tickets: what operators write, and how it comes into force.
//!
//! A ticket states the whole new state of each object that it touches. The
//! head is the state after the last accepted ticket; processes adopt only
//! heads with higher numbers, so nothing that was accepted reverts.

mod config_state;
mod head;
mod parse;
mod submitter;
mod wire;

pub use config_state::ConfigState;
pub use config_state::HeadUpdate;
pub use head::AcceptStep;
pub use head::Head;
pub use head::HeadError;
pub use head::RecentTicket;
pub use parse::Removal;
pub use parse::Ticket;
pub use parse::TicketError;
pub use submitter::SubmitInput;
pub use submitter::SubmitOutput;
pub use submitter::TicketSubmitter;
pub use wire::HeadWire;
