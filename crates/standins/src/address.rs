//! Addresses for processes that bind them themselves.
//!
//! A port that the system chooses can be taken by any other connection before the
//! process binds it. Each process that starts others therefore uses a loopback address
//! of its own, which Linux accepts without setting it up, and ports below those that
//! the system chooses from.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// First port that [`own_address`] returns.
const FIRST_PORT: u16 = 10_000;
/// Number of ports before [`own_address`] returns the first one again.
const PORTS: u16 = 20_000;
/// Second octet of the smallest address; 127.0.0.1 and its neighbors stay free.
const FIRST_SECOND_OCTET: u8 = 64;

/// Returns a loopback address that no other process uses, and that this process has
/// not used for its last 20,000 calls.
pub fn own_address() -> SocketAddr {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let port = FIRST_PORT + (call % u32::from(PORTS)) as u16;
    SocketAddr::from((own_ip(std::process::id()), port))
}

/// Returns the loopback address of a process; Linux numbers processes with 22 bits.
fn own_ip(process: u32) -> Ipv4Addr {
    let [_, high, middle, low] = process.to_be_bytes();
    Ipv4Addr::new(127, FIRST_SECOND_OCTET + high % 64, middle, low)
}
