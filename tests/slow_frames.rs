//! Frames on a link whose rest comes late or never.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rustls::pki_types::PrivateKeyDer;
use wisteriawick::link::FrameError;
use wisteriawick::link::FrameReader;

const NAME: &str = "peer.test";
/// A frame with the text "frame": its length, then the value in the postcard format.
const FRAME: &[u8] = b"\x06\0\0\0\x05frame";
/// Longest time until a reader gives up, with margin for a busy machine.
const MAX_READ_TIME: Duration = Duration::from_secs(9);

/// Both ends of a stream over loopback.
struct Stream {
    tx: quinn::SendStream,
    reader: FrameReader,
    /// Kept open for as long as the stream.
    _ends: (quinn::Endpoint, quinn::Endpoint, quinn::Connection),
}

impl Stream {
    /// Opens a stream and writes the first bytes to it.
    async fn open(first: &[u8]) -> Self {
        let key = rcgen::generate_simple_self_signed([NAME.to_string()]).expect("a certificate");
        let cert = key.cert.der().clone();
        let private = PrivateKeyDer::Pkcs8(key.signing_key.serialize_der().into());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("TLS 1.3")
            .with_no_client_auth()
            .with_single_cert(vec![cert.clone()], private)
            .expect("a matching key");
        let quic = quinn::crypto::rustls::QuicServerConfig::try_from(tls).expect("TLS 1.3");
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let config = quinn::ServerConfig::with_crypto(Arc::new(quic));
        let server = quinn::Endpoint::server(config, loopback).expect("a socket");

        let mut roots = rustls::RootCertStore::empty();
        roots.add(cert).expect("a valid certificate");
        let tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("TLS 1.3")
            .with_root_certificates(roots)
            .with_no_client_auth();
        let quic = quinn::crypto::rustls::QuicClientConfig::try_from(tls).expect("TLS 1.3");
        let client = quinn::Endpoint::client(loopback).expect("a socket");
        let address = server.local_addr().expect("bound");
        let connecting = client
            .connect_with(quinn::ClientConfig::new(Arc::new(quic)), address, NAME)
            .expect("a valid name");
        let accepting = async {
            let incoming = server.accept().await.expect("a connection");
            incoming.await.expect("a handshake")
        };
        let (connected, accepted) = tokio::join!(connecting, accepting);
        let connection = connected.expect("a handshake");
        let mut tx = connection.open_uni().await.expect("a stream");
        tx.write_all(first).await.expect("an open stream");
        let rx = accepted.accept_uni().await.expect("a stream");
        Self {
            tx,
            reader: FrameReader::new(rx),
            _ends: (server, client, accepted),
        }
    }
}

#[tokio::test]
async fn a_frame_that_never_ends_is_given_up_in_time() {
    for first in [&FRAME[..2], &FRAME[..7]] {
        let mut stream = Stream::open(first).await;
        let read = tokio::time::timeout(MAX_READ_TIME, stream.reader.read::<String>()).await;
        let result = read.expect("the reader gives up");
        assert!(matches!(result, Err(FrameError::TooSlow)), "{result:?}");
    }
}

#[tokio::test]
async fn a_frame_that_comes_in_parts_is_read_also_after_reading_was_interrupted() {
    let mut stream = Stream::open(&FRAME[..3]).await;
    let interrupted = stream.reader.read::<String>();
    let interrupted = tokio::time::timeout(Duration::from_millis(100), interrupted).await;
    assert!(interrupted.is_err(), "it is not complete");
    stream.tx.write_all(&FRAME[3..]).await.expect("open");
    let frame = stream.reader.read::<String>().await.expect("a frame");
    assert_eq!(frame.as_deref(), Some("frame"));
}

#[tokio::test]
async fn a_link_without_frames_is_not_given_up() {
    let mut stream = Stream::open(FRAME).await;
    stream.reader.read::<String>().await.expect("a frame");
    let waiting = stream.reader.read::<String>();
    let waited = tokio::time::timeout(Duration::from_secs(6), waiting).await;
    assert!(waited.is_err(), "the reader waits for the next frame");
}
