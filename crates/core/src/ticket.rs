//! Change tickets: what operators write, and how it comes into force.
//!
//! A ticket states the whole new state of each object that it touches. The
//! head is the state after the last accepted ticket; processes adopt only
//! heads with higher numbers, so nothing that was accepted reverts.

mod book;
mod desk;
mod head;
mod parse;
mod wire;

pub use book::Adoption;
pub use book::TicketBook;
pub use desk::Desk;
pub use desk::DeskInput;
pub use desk::DeskOutput;
pub use head::AcceptStep;
pub use head::Head;
pub use head::HeadError;
pub use head::Recent;
pub use parse::Removal;
pub use parse::Ticket;
pub use parse::TicketError;
pub use wire::HeadWire;
