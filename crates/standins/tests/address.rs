//! No connection of another program can take an address between its choice and the
//! moment when a process or a stand-in binds it.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::time::Duration;

use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use wisteriawick_standins::address::own_address;
use wisteriawick_standins::engine::Engine;
use wisteriawick_standins::engine::EngineConfig;

/// Returns the first and the last port that the system chooses from.
fn chosen_ports() -> (u16, u16) {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("a Linux system");
    let mut ports = range.split_whitespace().map(|port| port.parse());
    let mut next = || ports.next().expect("two ports").expect("a port");
    (next(), next())
}

#[test]
fn system_never_chooses_the_address_of_a_process() {
    let (first, last) = chosen_ports();
    for _ in 0..100 {
        let port = own_address().port();
        assert!(port < first || port > last, "{port}");
    }
}

#[test]
fn addresses_of_a_process_differ_and_can_be_bound() {
    let addresses: BTreeSet<SocketAddr> = (0..100).map(|_| own_address()).collect();
    assert_eq!(addresses.len(), 100);
    for address in addresses {
        TcpListener::bind(address).expect("a free TCP port");
        UdpSocket::bind(address).expect("a free UDP port");
    }
}

/// Binds a port the way the system chooses one: no socket may share it.
fn take(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(address)?;
    Ok(socket)
}

#[tokio::test]
async fn port_of_a_crashed_engine_stays_its_own() {
    let cx = CancellationToken::new();
    let config = EngineConfig {
        restart_delay: Duration::from_millis(500),
        ..EngineConfig::default()
    };
    let engine = Engine::start(0, config, None, cx.clone()).await;
    let engine = engine.expect("loopback");
    engine.kill();
    while TcpStream::connect(engine.addr()).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let taken = take(engine.addr()).map_err(|e| e.kind());
    assert_eq!(taken.err(), Some(ErrorKind::AddrInUse));
    tokio::time::sleep(Duration::from_secs(1)).await;
    TcpStream::connect(engine.addr()).await.expect("restarted");
    cx.cancel();
}
