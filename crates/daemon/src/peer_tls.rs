//! Mutual TLS between instances: loads PEM files and builds the QUIC configurations.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::settings;

/// ALPN protocol that both sides must support.
const ALPN_PROTOCOL: &[u8] = b"basilramp/1";

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT_MS: u32 = 3_000;

/// Interval of packets that keep an idle connection open.
const KEEP_ALIVE_MS: u64 = 1_000;

/// Maximum number of requests in flight on one connection.
const MAX_CONCURRENT_REQUESTS: u32 = 4_096;

/// QUIC configurations of the server and the client.
pub(crate) struct QuicConfigs {
    /// For connections opened by peers.
    pub(crate) server: ServerConfig,
    /// For connections opened by this instance.
    pub(crate) client: ClientConfig,
}

/// Loads the certificates and the key and builds both configurations.
///
/// # Errors
///
/// Fails if a file can't be read or is invalid, or if certificate and key don't match.
pub(crate) fn load(peers: &settings::Peers) -> Result<QuicConfigs> {
    let roots = Arc::new(read_root_certificates(&peers.authority)?);
    let transport = Arc::new(transport());
    let server = server_config(peers, roots.clone(), transport.clone())?;
    let client = client_config(peers, &roots, transport)?;
    Ok(QuicConfigs { server, client })
}

fn server_config(
    peers: &settings::Peers,
    roots: Arc<RootCertStore>,
    transport: Arc<TransportConfig>,
) -> Result<ServerConfig> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone()).build()?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(read_chain(&peers.certificate)?, read_key(&peers.key)?)
        .wrap_err("the certificate and the private key don't match")?;
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let crypto = QuicServerConfig::try_from(tls)?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport);
    Ok(config)
}

fn client_config(
    peers: &settings::Peers,
    roots: &Arc<RootCertStore>,
    transport: Arc<TransportConfig>,
) -> Result<ClientConfig> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots.clone())
        .with_client_auth_cert(read_chain(&peers.certificate)?, read_key(&peers.key)?)
        .wrap_err("the certificate and the private key don't match")?;
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let crypto = QuicClientConfig::try_from(tls)?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport);
    Ok(config)
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS));
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(Duration::from_millis(KEEP_ALIVE_MS)));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_REQUESTS));
    transport
}

fn read_root_certificates(path: &Path) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in read_chain(path)? {
        roots
            .add(certificate)
            .wrap_err_with(|| format!("{} is not a valid certificate authority", path.display()))?;
    }
    Ok(roots)
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let chain: Vec<_> = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| eyre!("can't read certificates from {}: {error}", path.display()))?;
    if chain.is_empty() {
        return Err(eyre!("{} contains no certificate", path.display()));
    }
    Ok(chain)
}

fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>> {
    PrivateKeyDer::from_pem_file(path)
        .map_err(|error| eyre!("can't read a private key from {}: {error}", path.display()))
}
