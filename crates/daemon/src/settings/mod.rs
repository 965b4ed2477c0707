//! The daemon's settings, read from a file in JSON with comments.

mod file;

use std::net::SocketAddr;
use std::path::PathBuf;

pub(crate) use basilramp_settings::Level;
pub use basilramp_settings::{Fault, Faults};

/// Settings of an instance, one field for each section of the file.
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

/// Identity of this instance.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    /// Id that is unique among all instances.
    pub(crate) id: String,
    /// Failure domain that the instance runs in.
    pub(crate) failure_domain: String,
}

/// Listen addresses. Port 0 selects a free port, which is logged.
#[derive(Clone, Debug)]
pub(crate) struct Listen {
    /// Callers' HTTP API.
    pub(crate) callers: SocketAddr,
    /// Operators' HTTP API, health and metrics.
    pub(crate) operators: SocketAddr,
    /// QUIC for other instances.
    pub(crate) peers: SocketAddr,
    /// Address at which other instances reach `peers`, if it differs.
    pub(crate) peers_advertised: Option<SocketAddr>,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    /// The table service.
    pub(crate) table: SocketAddr,
    /// The table's name.
    pub(crate) table_name: String,
    /// The endpoint list, which names the upstreams.
    pub(crate) list: SocketAddr,
}

impl Platform {
    fn default_table_name() -> String {
        "basilramp".to_owned()
    }
}

/// PEM files for mutual TLS between instances.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    /// This instance's certificate chain.
    pub(crate) certificate: PathBuf,
    /// The certificate's private key.
    pub(crate) key: PathBuf,
    /// The certificate authority that signs the certificates of all instances.
    pub(crate) authority: PathBuf,
}

/// An operator who may use the operators' API.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    /// Name in audit records.
    pub(crate) name: String,
    /// SHA-256 digest of the token, in hexadecimal.
    pub(crate) token_sha256: String,
}

/// Times in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Timing {
    /// Time after which a lease expires unless it is renewed.
    pub(crate) lease_ms: u64,
    /// Time that other instances wait beyond `lease_ms` before they consider a lease expired.
    pub(crate) lease_margin_ms: u64,
    /// Interval of lease renewals and of reads of the other instances' leases.
    pub(crate) heartbeat_ms: u64,
    /// Interval of polling the configuration version.
    pub(crate) config_poll_ms: u64,
    /// Interval of polling the platform's endpoint list and the load of upstreams.
    pub(crate) upstream_poll_ms: u64,
    /// Maximum time that a shutdown waits for requests in flight.
    pub(crate) stop_ms: u64,
    /// Maximum time that a write waits for the store, if its request can still be rejected.
    pub(crate) store_wait_ms: u64,
    /// Maximum time that a call waits for a slot.
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

/// Limits on the use of the platform's table service.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    /// Maximum writes per second of all instances together.
    pub(crate) writes_per_s: u32,
}

impl Default for Store {
    fn default() -> Self {
        Self { writes_per_s: 300 }
    }
}

/// Limits of an instance.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// Maximum size of a request body in bytes.
    pub(crate) body_bytes: usize,
    /// Maximum number of requests processed at once.
    pub(crate) requests: usize,
    /// Maximum size in bytes of the turns that wait to be committed.
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

/// Weights of the placement policy.
#[derive(Clone, Debug)]
pub(crate) struct Policy {
    /// Cost of a millisecond of evicted prefill, relative to a millisecond of waiting.
    pub(crate) cache_weight: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { cache_weight: 0.5 }
    }
}

/// Logging of events.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    /// The least severe level that is logged.
    pub(crate) level: Level,
}

/// Export of trace spans.
#[derive(Clone, Debug)]
pub(crate) struct Traces {
    /// HTTP address of the OTLP collector. Without it, no spans are exported.
    pub(crate) otlp: Option<SocketAddr>,
    /// Fraction of the traces started by this instance that are exported, from 0 to 1.
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
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault with its line, column and path.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        file::parse(text)
    }
}
