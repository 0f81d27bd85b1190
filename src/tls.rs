//! Mutual TLS for the QUIC links between processes.
//!
//! Both ends present a certificate that the fleet's certificate authority signed
//! for the name `<process>.wisteriawick.internal`. [`FileWatch`] detects changed
//! files, so that certificates can be replaced without a restart.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;
use wisteriawick_core::ids::ProcessId;

use crate::error::Error;
use crate::error::Result;
use crate::settings::TlsSettings;

/// ALPN protocol name that both ends must agree on.
const ALPN: &[u8] = b"wisteriawick/1";
/// Suffix of process names in certificates.
const NAME_SUFFIX: &str = ".wisteriawick.internal";
/// Time without a packet after which QUIC itself closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Packets that one acknowledgement may cover. Streams of small frames consist
/// of many packets, which need not be acknowledged one by one.
const ACK_ELICITING_THRESHOLD: u32 = 16;
/// Streams that a peer may have open at the same time.
const MAX_OPEN_STREAMS: u32 = 4_096;

/// TLS and QUIC configuration of one process as a client and as a server.
#[derive(Clone, Debug)]
pub struct TlsIdentity {
    client: quinn::ClientConfig,
    server: quinn::ServerConfig,
}

impl TlsIdentity {
    /// Reads the key and certificate files named in the settings.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or is invalid; the error names the file.
    pub fn read(settings: &TlsSettings) -> Result<Self> {
        let ca = read_certs(&settings.ca_file)?;
        let chain = read_certs(&settings.cert_file)?;
        let key = PrivateKeyDer::from_pem_file(&settings.key_file)
            .map_err(|e| tls_error(&settings.key_file, &e))?;
        let mut roots = RootCertStore::empty();
        for cert in ca {
            roots
                .add(cert)
                .map_err(|e| tls_error(&settings.ca_file, &e))?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let cert_error = |e: rustls::Error| tls_error(&settings.cert_file, &e);

        let mut client = rustls::ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(cert_error)?
            .with_root_certificates(Arc::clone(&roots))
            .with_client_auth_cert(chain.clone(), key.clone_key())
            .map_err(cert_error)?;
        client.alpn_protocols = vec![ALPN.to_vec()];

        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .map_err(|e| tls_error(&settings.ca_file, &e))?;
        let mut server = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(cert_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, key)
            .map_err(cert_error)?;
        server.alpn_protocols = vec![ALPN.to_vec()];

        let client =
            QuicClientConfig::try_from(client).map_err(|e| tls_error(&settings.cert_file, &e))?;
        let server =
            QuicServerConfig::try_from(server).map_err(|e| tls_error(&settings.cert_file, &e))?;
        let transport = Arc::new(transport());
        let mut client = quinn::ClientConfig::new(Arc::new(client));
        client.transport_config(Arc::clone(&transport));
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport);
        // A link is bound to one network path; a peer with a new address dials
        // again.
        server.migration(false);
        Ok(Self { client, server })
    }

    pub(crate) fn client(&self) -> quinn::ClientConfig {
        self.client.clone()
    }

    pub(crate) fn server(&self) -> quinn::ServerConfig {
        self.server.clone()
    }
}

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    let mut acks = quinn::AckFrequencyConfig::default();
    acks.ack_eliciting_threshold(ACK_ELICITING_THRESHOLD.into());
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).expect("the constant is in range");
    transport
        .max_idle_timeout(Some(idle))
        .max_concurrent_bidi_streams(MAX_OPEN_STREAMS.into())
        .max_concurrent_uni_streams(0u32.into())
        .ack_frequency_config(Some(acks))
        .datagram_receive_buffer_size(None);
    transport
}

/// Returns the DNS name in the certificate of a process.
pub fn certificate_name(process: &ProcessId) -> String {
    format!("{process}{NAME_SUFFIX}")
}

/// Returns whether the peer's certificate is valid for the name of this process.
pub(crate) fn peer_has_name(connection: &quinn::Connection, process: &ProcessId) -> bool {
    let Some(identity) = connection.peer_identity() else {
        return false;
    };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else {
        return false;
    };
    let Some(leaf) = chain.first() else {
        return false;
    };
    let Ok(cert) = webpki::EndEntityCert::try_from(leaf) else {
        return false;
    };
    ServerName::try_from(certificate_name(process))
        .is_ok_and(|name| cert.verify_is_valid_for_subject_name(&name).is_ok())
}

fn read_certs(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let certs: Vec<_> = CertificateDer::pem_file_iter(path)
        .map_err(|e| tls_error(path, &e))?
        .collect::<std::result::Result<_, _>>()
        .map_err(|e| tls_error(path, &e))?;
    if certs.is_empty() {
        return Err(tls_error(path, &"the file holds no certificate"));
    }
    Ok(certs)
}

fn tls_error(path: &Path, message: &dyn std::fmt::Display) -> Error {
    Error::Tls {
        path: path.to_path_buf(),
        message: message.to_string(),
    }
}

/// Detects by modification time that a key or certificate file was replaced.
#[derive(Debug)]
pub(crate) struct FileWatch {
    files: Vec<PathBuf>,
    last_modified: Vec<Option<SystemTime>>,
}

impl FileWatch {
    pub(crate) fn new(settings: &TlsSettings) -> Self {
        let files = vec![
            settings.ca_file.clone(),
            settings.cert_file.clone(),
            settings.key_file.clone(),
        ];
        let last_modified = modification_times(&files);
        Self {
            files,
            last_modified,
        }
    }

    /// Returns whether a file changed since the last call.
    pub(crate) fn has_changed(&mut self) -> bool {
        let now = modification_times(&self.files);
        let changed = now != self.last_modified;
        self.last_modified = now;
        changed
    }
}

fn modification_times(files: &[PathBuf]) -> Vec<Option<SystemTime>> {
    files
        .iter()
        .map(|file| std::fs::metadata(file).and_then(|m| m.modified()).ok())
        .collect()
}
