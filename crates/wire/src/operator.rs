//! The HTTP bodies of operators.
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `GET /v1/config` | | [`crate::config::Snapshot`] |
//! | `POST /v1/config` | [`crate::config::Change`] | [`Applied`] |
//! | `GET /v1/config/log?after=VERSION` | | [`Log`] |
//! | `GET /v1/instances` | | [`Instances`] |
//! | `GET /v1/upstreams` | | [`Upstreams`] |
//! | `POST /v1/upstreams/{id}/orders` | [`crate::engine::Order`] | [`Ordered`] |
//! | `GET /v1/programs/{id}` | | [`crate::api::Program`] |
//! | `POST /v1/programs/{id}/settle` | [`crate::frame::Settlement`] | [`crate::api::Program`] |

use serde::{Deserialize, Serialize};

use crate::config::Change;

/// Answer to an accepted change of configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// The version that the change made.
    pub version: u64,
}

/// Changes in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeLog {
    /// The changes, oldest first.
    pub changes: Vec<ChangeLogEntry>,
}

/// A change and the version that it made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeLogEntry {
    /// The version that the change made.
    pub version: u64,
    /// The change.
    pub change: Change,
}

/// The instances that the answering instance knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// One entry for each, by id.
    pub instances: Vec<Instance>,
}

/// An instance, as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its id.
    pub id: String,
    /// Where it runs.
    pub failure_domain: String,
    /// Counts its starts.
    pub incarnation: u64,
    /// `live`, `leaving` or `fenced`.
    pub state: String,
    /// Where its peers reach it.
    pub peer_address: String,
    /// Partitions it owns.
    pub partitions: u32,
}

/// The upstreams that the answering instance knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstreams {
    /// One entry for each, by id.
    pub upstreams: Vec<Upstream>,
}

/// An upstream, as the answering instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: String,
    /// `engine` or `service`.
    pub role: String,
    /// The place it stands at.
    pub place: String,
    /// Where it takes calls.
    pub address: String,
    /// Its home instance.
    pub home: String,
    /// `ready`, `leaving` or `down`.
    pub state: String,
    /// Calls under way there.
    pub running: u32,
    /// Calls it can run at once.
    pub slots: u32,
    /// What it has loaded.
    pub models: Vec<String>,
}

/// Answer to an accepted order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedOrder {
    /// The order's fencing number.
    pub fencing: u64,
}
