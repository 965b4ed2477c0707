//! Mutual TLS between instances: keys from PEM files, QUIC configurations from keys.

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

/// The protocol name that both sides must agree on.
const ALPN_PROTOCOL: &[u8] = b"basilramp/1";

/// A connection without any packet for this long is dead.
const IDLE_TIMEOUT_MS: u32 = 3_000;

/// Time between packets that keep a connection alive.
const KEEP_ALIVE_MS: u64 = 1_000;

/// Requests that a peer may have under way on one connection.
const MAX_CONCURRENT_REQUESTS: u32 = 4_096;

/// Both sides' QUIC configuration.
pub(crate) struct QuicConfigs {
    /// For connections that peers open.
    pub(crate) server: ServerConfig,
    /// For connections that this instance opens.
    pub(crate) client: ClientConfig,
}

/// Reads the keys and makes both configurations.
///
/// # Errors
///
/// Names the file that can't be read or used.
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
        .wrap_err("certificate and key don't fit together")?;
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
        .wrap_err("certificate and key don't fit together")?;
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
            .wrap_err_with(|| format!("{} is no authority", path.display()))?;
    }
    Ok(roots)
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let chain: Vec<_> = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| eyre!("can't read certificates from {}: {error}", path.display()))?;
    if chain.is_empty() {
        return Err(eyre!("{} holds no certificate", path.display()));
    }
    Ok(chain)
}

fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>> {
    PrivateKeyDer::from_pem_file(path)
        .map_err(|error| eyre!("can't read a key from {}: {error}", path.display()))
}
