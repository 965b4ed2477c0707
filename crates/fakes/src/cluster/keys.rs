//! A certificate authority and the instance certificates that it signs, as PEM files.

use std::path::{Path, PathBuf};

use eyre::Result;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

/// Paths of the PEM files that an instance needs for mutual TLS.
#[derive(Clone, Debug)]
pub(crate) struct CertificateFiles {
    pub(crate) certificate: PathBuf,
    pub(crate) key: PathBuf,
    pub(crate) authority: PathBuf,
}

/// A certificate authority that writes its files to a directory.
pub(crate) struct CertificateAuthority {
    directory: PathBuf,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl std::fmt::Debug for CertificateAuthority {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Authority")
            .field("directory", &self.directory)
            .finish_non_exhaustive()
    }
}

impl CertificateAuthority {
    /// Creates a self-signed authority and writes its certificate to `authority.pem`.
    pub(crate) fn create(directory: &Path) -> Result<Self> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        std::fs::write(directory.join("authority.pem"), issuer.pem())?;
        Ok(Self {
            directory: directory.to_owned(),
            issuer,
        })
    }

    /// Issues a certificate for an instance and writes it with its private key.
    pub(crate) fn issue(&self, id: &str) -> Result<CertificateFiles> {
        let names = [id, "127.0.0.1", "localhost"].map(str::to_owned);
        let params = CertificateParams::new(names.to_vec())?;
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        let files = CertificateFiles {
            certificate: self.directory.join(format!("{id}.pem")),
            key: self.directory.join(format!("{id}.key")),
            authority: self.directory.join("authority.pem"),
        };
        std::fs::write(&files.certificate, certificate.pem())?;
        std::fs::write(&files.key, key.serialize_pem())?;
        Ok(files)
    }
}
