//! Row with the software versions that a service has and had lately.

use std::sync::Arc;

use basilramp_core::dispatch::software_version as core;
use serde::{Deserialize, Serialize};

/// Row of a service, under its name. All times are those of the store's clock, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Longest span of the service's streams so far, in milliseconds.
    pub span_ms: u64,
    /// The presences, in the order of their beginnings.
    pub presences: Vec<Presence>,
}

/// Time during which the service had upstreams of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// The version.
    pub version: Arc<str>,
    /// When the first upstream was seen.
    pub first_ms: u64,
    /// When the last upstream was found to have left.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
}

impl From<&core::History> for History {
    fn from(history: &core::History) -> Self {
        let presences = history.presences.iter().map(|presence| Presence {
            version: Arc::clone(&presence.version),
            first_ms: presence.first_ms,
            left_ms: presence.left_ms,
        });
        Self {
            span_ms: history.span_ms,
            presences: presences.collect(),
        }
    }
}

impl From<History> for core::History {
    fn from(row: History) -> Self {
        let presences = row.presences.into_iter().map(|presence| core::Presence {
            version: presence.version,
            first_ms: presence.first_ms,
            left_ms: presence.left_ms,
        });
        Self {
            presences: presences.collect(),
            span_ms: row.span_ms,
        }
    }
}
