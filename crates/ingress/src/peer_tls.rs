//! Mutual TLS between instances. Each process creates a certificate at its start and publishes its
//! fingerprint in the store; only published certificates are accepted.

use std::sync::Arc;

use basilramp_core::history::Digest;
use eyre::{Result, WrapErr, eyre};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{
    ClientConfig, DigitallySignedStruct, DistinguishedName, Error, ServerConfig, SignatureScheme,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// Name in every certificate. Instances are told apart by fingerprints.
const SERVER_NAME: &str = "instance";

/// Certificate and key of this process.
pub(crate) struct Identity {
    certificate: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
    provider: Arc<CryptoProvider>,
}

impl std::fmt::Debug for Identity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Identity({})", self.fingerprint())
    }
}

impl Identity {
    /// Creates a key and a certificate for it.
    ///
    /// # Errors
    ///
    /// Fails if no key can be generated.
    pub(crate) fn generate() -> Result<Self> {
        let generated = rcgen::generate_simple_self_signed(vec![SERVER_NAME.to_owned()])
            .wrap_err("can't create a certificate")?;
        Ok(Self {
            certificate: generated.cert.der().clone(),
            key: generated.signing_key.serialize_der().into(),
            provider: Arc::new(rustls::crypto::ring::default_provider()),
        })
    }

    /// Returns the fingerprint of the certificate.
    pub(crate) fn fingerprint(&self) -> Digest {
        fingerprint(&self.certificate)
    }

    /// Returns the acceptor of connections from other instances. The fingerprint of the certificate
    /// has to be checked after the handshake.
    ///
    /// # Errors
    ///
    /// Fails if the certificate and the key are invalid.
    pub(crate) fn acceptor(&self) -> Result<TlsAcceptor> {
        let verifier = Arc::new(AnyInstance(Arc::clone(&self.provider)));
        let config = ServerConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.private_key())?;
        Ok(TlsAcceptor::from(Arc::new(config)))
    }

    /// Returns a connector to the instance whose certificate has a fingerprint.
    ///
    /// # Errors
    ///
    /// Fails if the certificate and the key are invalid.
    pub(crate) fn connector(&self, expected: Digest) -> Result<TlsConnector> {
        let verifier = Arc::new(OneInstance {
            expected,
            provider: Arc::clone(&self.provider),
        });
        let config = ClientConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .dangerous()
            .with_custom_certificate_verifier(verifier)
            .with_client_auth_cert(vec![self.certificate.clone()], self.private_key())?;
        Ok(TlsConnector::from(Arc::new(config)))
    }

    fn private_key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(self.key.clone_key())
    }
}

/// Returns the name that connectors expect.
///
/// # Errors
///
/// Never fails, as the name is valid.
pub(crate) fn server_name() -> Result<ServerName<'static>> {
    ServerName::try_from(SERVER_NAME).map_err(|error| eyre!("{error}"))
}

/// Returns the fingerprint of a certificate.
pub(crate) fn fingerprint(certificate: &CertificateDer<'_>) -> Digest {
    Digest::from_parts([certificate.as_ref()])
}

/// Accepts the one certificate that an instance has published.
#[derive(Debug)]
struct OneInstance {
    expected: Digest,
    provider: Arc<CryptoProvider>,
}

impl ServerCertVerifier for OneInstance {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        if fingerprint(certificate) == self.expected {
            Ok(ServerCertVerified::assertion())
        } else {
            Err(Error::General("the certificate is not published".into()))
        }
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        let algorithms = &self.provider.signature_verification_algorithms;
        algorithms.supported_schemes()
    }
}

/// Accepts every certificate whose key the client has. Whether it is published is checked after the
/// handshake, as that may take a call of the store.
#[derive(Debug)]
struct AnyInstance(Arc<CryptoProvider>);

impl ClientCertVerifier for AnyInstance {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}
