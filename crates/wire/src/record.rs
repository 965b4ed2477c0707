//! Bodies of the rows that are stored in the platform's table service.
//!
//! | partition key | sort key | body |
//! |---|---|---|
//! | `instance` | instance id | [`Instance`] |
//! | `partition` | partition number, 4 digits | [`Partition`] |
//! | `program/{id}` | `head` | [`Program`] |
//! | `program/{id}` | `turn/` and position, 8 digits | [`Turn`] |
//! | `live/{partition}` | program id | [`LiveProgram`] |
//! | `upstream` | upstream id | [`Order`] |
//! | `suspect` | fingerprint | [`Suspect`] |
//! | `config` | `head` | [`crate::config::ConfigVersion`] |
//! | `config` | `pending` | [`crate::config::ConfigVersion`] of a change whose items are not yet all written |
//! | `config` | `item/{kind}/{name}` | [`crate::config::Item`] |
//! | `config` | `log/` and version, 12 digits | [`crate::config::Change`] |
//! | `audit` | time and write id | [`AuditEntry`] |

use serde::{Deserialize, Serialize};

use crate::api::{Budget, Usage};

/// An instance's lease. Every commit of the instance is conditional on this row's version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Number of starts of the instance.
    pub incarnation: u64,
    /// Address for peers: IP address and UDP port.
    pub peer_address: String,
    /// Failure domain that the instance runs in.
    pub failure_domain: String,
    /// State of the lease.
    pub state: InstanceState,
    /// Incremented with each transaction that changes the owner of a partition.
    #[serde(default)]
    pub moves: u64,
}

/// The state of an instance's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance holds the lease and acquires partitions.
    Live,
    /// The instance is draining: it hands its partitions over and acquires none.
    Leaving,
    /// The instance stopped, or a watcher found that its lease had expired; its commits fail.
    Fenced,
}

/// Ownership of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partition {
    /// Id of the owning instance; empty if the partition has no owner.
    pub owner: String,
    /// Incarnation of the owner.
    pub incarnation: u64,
    /// Incremented at each change of owner.
    pub term: u64,
}

/// A program, without its turns. Written at creation, at each budget reservation and at its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Account that the program belongs to.
    pub account: String,
    /// Request id of the creation.
    pub request_id: String,
    /// Digest of the creation's body, in hexadecimal.
    pub body_digest: String,
    /// Parent program, for a sub-agent.
    pub parent: Option<String>,
    /// Levels below the root program.
    pub depth: u32,
    /// Budget of the tree; set for a root only.
    pub budget: Option<Budget>,
    /// Reserved or spent tokens of the tree's budget; set for a root only.
    pub reserved: u64,
    /// Number of sub-agents created in the tree; set for a root only.
    pub members: u32,
    /// Time of creation in milliseconds since the Unix epoch; for display and for the wall-clock
    /// budget.
    pub created_at_ms: u64,
    /// Whether the program has ended.
    pub ended: bool,
}

/// A turn of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Request id of the call.
    pub request_id: String,
    /// Digest of the call's body, in hexadecimal.
    pub body_digest: String,
    /// Name of the called service.
    pub service: String,
    /// State of the call.
    pub state: TurnState,
    /// Input of the call.
    pub input: String,
    /// Output of the call.
    pub output: String,
    /// Tokens that the call used.
    pub usage: Usage,
    /// Chained hash of the history, in hexadecimal; empty for an intent.
    pub hash: String,
}

/// State of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TurnState {
    /// A call that must not be repeated and may have been sent.
    Intent,
    /// The call succeeded and its output is recorded.
    Done,
    /// The call failed permanently; the recorded output describes the failure.
    Failed,
}

/// Index entry of a running program, by partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveProgram {
    /// Account that the program belongs to.
    pub account: String,
}

/// The last order to an upstream. The row's version is the fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The order.
    pub order: crate::engine::Order,
    /// Id of the instance that sends it.
    pub sender: String,
    /// Milliseconds for which the sender may send it.
    pub valid_ms: u64,
}

/// A request that was in flight when its upstream crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Number of upstreams that crashed with the request in flight.
    pub crashes: u32,
    /// Upstream that crashed last.
    pub upstream: String,
    /// Upstream that runs the request in isolation as a trial; empty if none.
    pub trial: String,
    /// Whether the request is quarantined and therefore rejected.
    pub quarantined: bool,
}

/// A manual action of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The operator.
    pub operator: String,
    /// Time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Action and its object.
    pub action: String,
    /// Reason given by the operator.
    pub reason: String,
}
