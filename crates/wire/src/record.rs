//! Bodies of the rows that are kept in the platform's table service.
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
//! | `config` | `pending` | [`crate::config::ConfigVersion`] of a change whose items are not all written |
//! | `config` | `item/{kind}/{name}` | [`crate::config::Item`] |
//! | `config` | `log/` and version, 12 digits | [`crate::config::Change`] |
//! | `audit` | time and write id | [`AuditEntry`] |

use serde::{Deserialize, Serialize};

use crate::api::{Budget, Usage};

/// An instance's lease. Every commit of the instance is conditional on this row's version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Counts the starts of this instance.
    pub incarnation: u64,
    /// Where peers reach it: IP number and UDP port.
    pub peer_address: String,
    /// The failure domain it runs in.
    pub failure_domain: String,
    /// Whether it holds the lease.
    pub state: InstanceState,
    /// Raised with each transaction that changes who owns a partition.
    #[serde(default)]
    pub moves: u64,
}

/// The state of an instance's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It takes new partitions.
    Live,
    /// It hands its partitions over and takes none.
    Leaving,
    /// It stopped, or a watcher found its lease lapsed; its commits fail from here on.
    Fenced,
}

/// Who owns a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partition {
    /// The owning instance; empty if nobody.
    pub owner: String,
    /// The owner's incarnation.
    pub incarnation: u64,
    /// Raised at each change of owner.
    pub term: u64,
}

/// A program's head: written at creation, at each budget reservation and at its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// The account it belongs to.
    pub account: String,
    /// The creation's request id.
    pub request_id: String,
    /// The digest of the creation's body, in hexadecimal.
    pub body_digest: String,
    /// Its parent, for a sub-agent.
    pub parent: Option<String>,
    /// Levels below the root.
    pub depth: u32,
    /// The tree's budget; on the root only.
    pub budget: Option<Budget>,
    /// Tokens of the tree's budget that are reserved or spent; on the root only.
    pub reserved: u64,
    /// How many sub-agents the tree has had; on the root only.
    pub members: u32,
    /// Wall-clock milliseconds of creation, for people and for the wall budget.
    pub created_at_ms: u64,
    /// Whether it has ended.
    pub ended: bool,
}

/// One turn of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The caller's request id.
    pub request_id: String,
    /// The digest of the call's body, in hexadecimal.
    pub body_digest: String,
    /// The service called.
    pub service: String,
    /// How far the call has come.
    pub state: TurnState,
    /// What was asked.
    pub input: String,
    /// What was answered.
    pub output: String,
    /// What it used.
    pub usage: Usage,
    /// Chained hash of the history, in hexadecimal; empty for an intent.
    pub hash: String,
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TurnState {
    /// An unrepeatable call that may have been sent.
    Intent,
    /// It ran and its answer is recorded.
    Done,
    /// It ran and failed for good; the recorded output says how.
    Failed,
}

/// A program under way, indexed by its partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveProgram {
    /// The account it belongs to.
    pub account: String,
}

/// The last order to an upstream. The row's version is the fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What was ordered.
    pub order: crate::engine::Order,
    /// Who sends it.
    pub sender: String,
    /// Milliseconds for which the sender may still send it.
    pub valid_ms: u64,
}

/// A request that was in flight when its upstream crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Upstreams that crashed with it in flight.
    pub crashes: u32,
    /// The upstream that crashed last.
    pub upstream: String,
    /// Where it is tried alone; empty if nowhere.
    pub trial: String,
    /// Whether it is refused from now on.
    pub quarantined: bool,
}

/// What an operator did by hand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The operator.
    pub operator: String,
    /// Wall-clock milliseconds.
    pub at_ms: u64,
    /// What was done, to what.
    pub action: String,
    /// The reason given.
    pub reason: String,
}
