//! The configuration: services, places, plans and limits under one global version.

use serde::{Deserialize, Serialize};

/// The longest name of an item, in bytes.
const MAX_NAME_LEN: usize = 128;

/// What [`is_valid_name`] asks for, for a person to read.
pub const NAME_RULE: &str = "a name is 1 to 128 letters, digits, '-', '_', '.', ':' or '/'";

/// Tells whether a text may be the name of an item.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    (1..=MAX_NAME_LEN).contains(&text.len()) && text.chars().all(is_allowed)
}

/// Row `config` `head`: the version in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Raised by one with each accepted change.
    pub version: u64,
}

/// The kind of a configured item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemKind {
    /// A [`Service`].
    Service,
    /// A [`Place`].
    Place,
    /// A [`Plan`].
    Plan,
    /// A [`Limit`].
    Limit,
}

/// One configured item, and the version that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The version that last changed it.
    pub version: u64,
    /// Its value; nothing once deleted.
    pub value: Option<Value>,
}

/// The value of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// What callers call.
    Service(Service),
    /// Where upstreams stand.
    Place(Place),
    /// What should be ready where.
    Plan(Plan),
    /// What an account may use.
    Limit(Limit),
}

impl Value {
    /// Returns the kind of this value.
    #[must_use]
    pub const fn kind(&self) -> ItemKind {
        match self {
            Self::Service(_) => ItemKind::Service,
            Self::Place(_) => ItemKind::Place,
            Self::Plan(_) => ItemKind::Plan,
            Self::Limit(_) => ItemKind::Limit,
        }
    }
}

/// Something that callers call by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// A model, or a plain service.
    pub target: Target,
    /// Milliseconds after which a call without an answer is given up.
    #[serde(default = "Service::default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Service {
    /// Returns the time limit of a service that names none, in milliseconds.
    #[must_use]
    pub const fn default_timeout_ms() -> u64 {
        60_000
    }
}

/// What a service leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// A model on the engines.
    Model {
        /// The model's name.
        model: String,
        /// The adapter, if any.
        #[serde(default)]
        adapter: Option<String>,
        /// The version.
        version: String,
    },
    /// A plain service.
    Plain {
        /// The path that calls are posted to.
        path: String,
        /// Whether the same call may be sent again.
        idempotent: bool,
        /// The path that tells the outcome of a call by its key, if the service offers one.
        #[serde(default)]
        status_path: Option<String>,
    },
}

/// A place where upstreams stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The failure domain.
    pub failure_domain: String,
    /// Whether upstreams there check fencing numbers.
    #[serde(default)]
    pub fencing: bool,
}

/// What should be ready at a place for a service, over a time of the day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The service.
    pub service: String,
    /// The place.
    pub place: String,
    /// Minutes after midnight UTC from which it holds.
    pub from_minute: u32,
    /// Minutes after midnight UTC until which it holds.
    pub until_minute: u32,
    /// Upstreams that should be ready.
    pub ready: u32,
    /// Share of them, in percent, kept for the turns of programs under way.
    pub headroom_percent: u32,
}

/// What one account may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// SHA-256 digest of the account's key, in hexadecimal.
    pub key_sha256: String,
    /// Requests a second.
    pub requests_per_s: u32,
    /// Programs under way at once.
    pub programs: u32,
}

/// A change of configuration: body of `POST /v1/config`, and of the change log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The version that the change was made from.
    pub base: u64,
    /// The operator; filled in by the system.
    #[serde(default)]
    pub operator: String,
    /// Why.
    #[serde(default)]
    pub reason: String,
    /// Wall-clock milliseconds; filled in by the system.
    #[serde(default)]
    pub at_ms: u64,
    /// The items to set or delete.
    pub edits: Vec<Edit>,
}

/// One item's change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The kind of item.
    pub kind: ItemKind,
    /// Its name.
    pub name: String,
    /// The new value; nothing deletes the item.
    pub value: Option<Value>,
}

/// Body of `GET /v1/config`: every item in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version in force at the answering instance.
    pub version: u64,
    /// The items, by kind and name.
    pub items: Vec<NamedItem>,
}

/// An item with its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedItem {
    /// The item's name.
    pub name: String,
    /// The version that last changed it.
    pub version: u64,
    /// Its value.
    pub value: Value,
}
