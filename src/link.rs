//! Links between the processes of wisteriawick: QUIC connections with frames.
//!
//! Each exchange has a stream of its own, so answers cannot cross. The first
//! stream of a connection is the control stream: it names both ends and then
//! carries heartbeats both ways. A link without heartbeats is closed, and a
//! new one is dialled from a new port, because what lies between may have
//! lost track of the old one.

mod activity;
mod dial;
mod frame;
mod listen;
mod wire;

pub use dial::Link;
pub use dial::LinkEvent;
pub use dial::spawn_dialer;
pub use frame::FrameReader;
pub use frame::FrameWriter;
pub use frame::MAX_FRAME_BYTES;
pub use listen::AcceptedLink;
pub use listen::InboundStream;
pub use listen::spawn_listener;
pub use wire::AttemptWire;
pub use wire::ClaimWire;
pub use wire::DeathWire;
pub use wire::Heartbeat;
pub use wire::Hello;
pub use wire::LedgerReplyWire;
pub use wire::LoadWire;
pub use wire::OutcomeQuery;
pub use wire::RefusalWire;
pub use wire::Reply;
pub use wire::StreamRequest;
pub(crate) use wire::to_micros;
