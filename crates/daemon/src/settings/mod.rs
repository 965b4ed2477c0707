//! The settings file: JSON with comments.

mod file;

use std::net::SocketAddr;
use std::path::PathBuf;

pub(crate) use basilramp_settings::Level;
pub use basilramp_settings::{Fault, Faults};

/// Everything that an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) instance: Instance,
    pub(crate) listen: Listen,
    pub(crate) platform: Platform,
    pub(crate) peers: Peers,
    pub(crate) operators: Vec<Operator>,
    pub(crate) timing: Timing,
    pub(crate) store: Store,
    pub(crate) limits: Limits,
    pub(crate) policy: Policy,
    pub(crate) log: Log,
    pub(crate) traces: Traces,
}

/// Who this instance is.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    /// Unique over all instances.
    pub(crate) id: String,
    /// Where it runs.
    pub(crate) failure_domain: String,
}

/// Where it listens. Port 0 takes a free one, which the log names.
#[derive(Clone, Debug)]
pub(crate) struct Listen {
    /// HTTP for callers.
    pub(crate) callers: SocketAddr,
    /// HTTP for operators, health and metrics.
    pub(crate) operators: SocketAddr,
    /// QUIC for other instances.
    pub(crate) peers: SocketAddr,
    /// Where other instances reach `peers`, if not at its own address.
    pub(crate) peers_advertised: Option<SocketAddr>,
}

/// Where the platform's services are.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    /// The table service.
    pub(crate) table: SocketAddr,
    /// The table's name.
    pub(crate) table_name: String,
    /// The list of endpoints.
    pub(crate) list: SocketAddr,
}

impl Platform {
    /// The table's name, unless the settings say otherwise.
    fn default_table_name() -> String {
        "basilramp".to_owned()
    }
}

/// Keys for mutual TLS between instances, as PEM files.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    /// This instance's certificate chain.
    pub(crate) certificate: PathBuf,
    /// The certificate's private key.
    pub(crate) key: PathBuf,
    /// The authority that signs every instance's certificate.
    pub(crate) authority: PathBuf,
}

/// An operator.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    /// The name in audit records.
    pub(crate) name: String,
    /// SHA-256 digest of the token, in hexadecimal.
    pub(crate) token_sha256: String,
}

/// Times in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Timing {
    /// A lease without renewal lapses after this.
    pub(crate) lease_ms: u64,
    /// What watchers add to the lease.
    pub(crate) lease_margin_ms: u64,
    /// Time between renewals and between reads of the other leases.
    pub(crate) heartbeat_ms: u64,
    /// Time between reads of the configuration's version.
    pub(crate) config_poll_ms: u64,
    /// Time between reads of the platform's list and of upstream loads.
    pub(crate) upstream_poll_ms: u64,
    /// The longest that a stop waits for requests in flight.
    pub(crate) stop_ms: u64,
    /// The longest that a refusable write waits for the store.
    pub(crate) store_wait_ms: u64,
    /// The longest that a call waits for a slot.
    pub(crate) grant_wait_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 4_000,
            lease_margin_ms: 1_000,
            heartbeat_ms: 1_000,
            config_poll_ms: 1_000,
            upstream_poll_ms: 500,
            stop_ms: 30_000,
            store_wait_ms: 2_000,
            grant_wait_ms: 30_000,
        }
    }
}

/// The share of the platform's table service.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    /// Writes a second that all instances together may send.
    pub(crate) writes_per_s: u32,
}

impl Default for Store {
    fn default() -> Self {
        Self { writes_per_s: 300 }
    }
}

/// Bounds on what an instance takes.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// The longest request body in bytes.
    pub(crate) body_bytes: usize,
    /// Requests that are worked on at once.
    pub(crate) requests: usize,
    /// Bytes of turns that wait for the store.
    pub(crate) uncommitted_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            requests: 4_096,
            uncommitted_bytes: 32 * 1024 * 1024,
        }
    }
}

/// What the deployment weighs.
#[derive(Clone, Debug)]
pub(crate) struct Policy {
    /// What a millisecond of evicted prefill counts against a millisecond of waiting.
    pub(crate) cache_weight: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { cache_weight: 0.5 }
    }
}

/// How events are logged.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    /// The least severe level that is logged.
    pub(crate) level: Level,
}

/// Where spans go.
#[derive(Clone, Debug)]
pub(crate) struct Traces {
    /// The OTLP collector's HTTP address; no spans are exported without it.
    pub(crate) otlp: Option<SocketAddr>,
    /// Share of the traces that begin here which are exported, from 0 to 1.
    pub(crate) sample_ratio: f64,
}

impl Default for Traces {
    fn default() -> Self {
        Self {
            otlp: None,
            sample_ratio: 1.0,
        }
    }
}

impl Settings {
    /// Reads settings from the text of a settings file.
    ///
    /// # Errors
    ///
    /// Names every fault with its line, column and path.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        file::parse(text)
    }
}
