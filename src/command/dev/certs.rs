//! Certificate authority of a `dev` fleet, which `dev` and the tests generate.

use std::path::Path;
use std::path::PathBuf;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;
use wisteriawick_core::ids::ProcessId;

use crate::error::Error;
use crate::error::Result;
use crate::settings::TlsSettings;
use crate::tls::certificate_name;

/// A certificate authority that signs the certificates of the processes of one fleet.
#[derive(Debug)]
pub(crate) struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    dir: PathBuf,
}

impl CertificateAuthority {
    /// Generates an authority and writes its certificate to `dir`. Issued keys and
    /// certificates are written there too.
    pub(crate) fn new(dir: &Path) -> Result<Self> {
        let mut params = CertificateParams::new(Vec::new()).map_err(cert_error)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().map_err(cert_error)?;
        let issuer = CertifiedIssuer::self_signed(params, key).map_err(cert_error)?;
        let authority = Self {
            issuer,
            dir: dir.to_path_buf(),
        };
        write(&authority.file("ca.pem"), &authority.issuer.pem())?;
        Ok(authority)
    }

    /// Generates a key and a signed certificate for a process. Returns the TLS settings
    /// that name the files.
    pub(crate) fn issue_certificate(&self, process: &ProcessId) -> Result<TlsSettings> {
        let names = vec![certificate_name(process)];
        let params = CertificateParams::new(names).map_err(cert_error)?;
        let key = KeyPair::generate().map_err(cert_error)?;
        let cert = params.signed_by(&key, &self.issuer).map_err(cert_error)?;
        let settings = TlsSettings {
            ca_file: self.file("ca.pem"),
            cert_file: self.file(&format!("{process}.pem")),
            key_file: self.file(&format!("{process}.key")),
        };
        write(&settings.cert_file, &cert.pem())?;
        write(&settings.key_file, &key.serialize_pem())?;
        Ok(settings)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }
}

fn write(file: &Path, text: &str) -> Result<()> {
    std::fs::write(file, text).map_err(Error::file(file))
}

fn cert_error(e: rcgen::Error) -> Error {
    Error::Other(format!("cannot generate a certificate: {e}"))
}
