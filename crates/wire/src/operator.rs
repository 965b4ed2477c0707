//! Bodies of the HTTP API for operators.
//!
//! | method and path | request body | response |
//! |---|---|---|
//! | `GET /v1/config` | | [`crate::config::Snapshot`] |
//! | `POST /v1/config` | [`crate::config::Change`] | [`AppliedChange`] |
//! | `GET /v1/config/log?after=VERSION` | | [`ChangeLog`] |
//! | `GET /v1/instances` | | [`Instances`] |
//! | `GET /v1/upstreams` | | [`Upstreams`] |
//! | `POST /v1/upstreams/{id}/orders` | [`crate::engine::Order`] | [`IssuedOrder`] |
//! | `GET /v1/programs/{id}` | | [`crate::api::Program`] |
//! | `POST /v1/programs/{id}/settle` | [`crate::frame::Settlement`] | [`crate::api::Program`] |

use serde::{Deserialize, Serialize};

use crate::config::Change;

/// Response to an accepted change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Version that the change created.
    pub version: u64,
}

/// Part of the change log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeLog {
    /// The changes, oldest first.
    pub changes: Vec<ChangeLogEntry>,
}

/// A change with the version that it created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeLogEntry {
    /// Version that the change created.
    pub version: u64,
    /// The change.
    pub change: Change,
}

/// Instances known to the responding instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Instances, ordered by id.
    pub instances: Vec<Instance>,
}

/// An instance as known to the responding instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Id of the instance.
    pub id: String,
    /// Failure domain that it runs in.
    pub failure_domain: String,
    /// Number of starts of the instance.
    pub incarnation: u64,
    /// `live`, `leaving` or `fenced`.
    pub state: String,
    /// Address for its peers.
    pub peer_address: String,
    /// Number of partitions that it owns.
    pub partitions: u32,
}

/// Upstreams known to the responding instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstreams {
    /// Upstreams, ordered by id.
    pub upstreams: Vec<Upstream>,
}

/// An upstream as known to the responding instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Id of the upstream.
    pub id: String,
    /// `engine` or `service`.
    pub role: String,
    /// Name of its place.
    pub place: String,
    /// Address for calls.
    pub address: String,
    /// Id of its home instance.
    pub home: String,
    /// `ready`, `leaving` or `down`.
    pub state: String,
    /// Running calls.
    pub running: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Loaded models.
    pub models: Vec<String>,
}

/// Response to an accepted order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedOrder {
    /// Fencing number of the order.
    pub fencing: u64,
}
