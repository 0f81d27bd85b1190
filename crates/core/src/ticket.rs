//! Change tickets: the configuration changes that operators write.
//!
//! A ticket is a numbered TOML file that declares the whole new state of each
//! object that it touches. Tickets are accepted in number order, each by one
//! conditional update of the head, the configuration after the last accepted
//! ticket. Processes adopt only heads with higher numbers, so an accepted change
//! is never reverted by an older head.

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
