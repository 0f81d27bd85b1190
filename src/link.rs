//! Links between the processes of wisteriawick: QUIC connections that carry frames.
//!
//! Each request has a stream of its own, so a reply cannot be matched to the wrong
//! request. The first stream of a connection is the control stream: on it both ends
//! identify themselves and then exchange heartbeats. A link whose heartbeats get no
//! reply is closed and dialed again from a new port, since a device on the path may
//! have lost its state for the old one.

mod activity;
mod dial;
mod frame;
mod listen;
mod wire;

pub use dial::Link;
pub use dial::LinkEvent;
pub use dial::spawn_dialer;
pub use frame::FrameError;
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
