//! The configuration: services, places, plans and limits, with one global version.

use serde::{Deserialize, Serialize};

/// Maximum length of an item's name in bytes.
const MAX_NAME_LEN: usize = 128;

/// Description of a valid name, for error messages; see [`is_valid_name`].
pub const NAME_RULE: &str = "a name is 1 to 128 letters, digits, '-', '_', '.', ':' or '/'";

/// Tells whether `text` is a valid name of an item.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    (1..=MAX_NAME_LEN).contains(&text.len()) && text.chars().all(is_allowed)
}

/// The current version; body of the row `config` `head`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Incremented with each accepted change.
    pub version: u64,
}

/// Kind of a configuration item.
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

/// A configuration item, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Version that last changed the item.
    pub version: u64,
    /// Value; `None` once deleted.
    pub value: Option<Value>,
}

/// Value of a configuration item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// A service that callers can call.
    Service(Service),
    /// A place of upstreams.
    Place(Place),
    /// Capacity to keep ready at a place.
    Plan(Plan),
    /// Limits of an account.
    Limit(Limit),
}

impl Value {
    /// Returns the kind of the value.
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

/// A service that callers call by its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Model or plain service behind the name.
    pub target: Target,
    /// Timeout of a call in milliseconds.
    #[serde(default = "Service::default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Service {
    /// Returns the default timeout of a call in milliseconds.
    #[must_use]
    pub const fn default_timeout_ms() -> u64 {
        60_000
    }
}

/// What a service calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// A model that runs on engines.
    Model {
        /// Name of the model.
        model: String,
        /// Adapter of the model, if any.
        #[serde(default)]
        adapter: Option<String>,
        /// Version of the model.
        version: String,
    },
    /// A plain HTTP service.
    Plain {
        /// URL path that calls are posted to.
        path: String,
        /// Whether a call may be sent more than once.
        idempotent: bool,
        /// URL path to query the outcome of a call by its idempotency key, if the service has one.
        #[serde(default)]
        status_path: Option<String>,
    },
}

/// A place of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Failure domain of the place.
    pub failure_domain: String,
    /// Whether the upstreams check fencing numbers of orders.
    #[serde(default)]
    pub fencing: bool,
}

/// Number of upstreams to keep ready for a service at a place during a daily time window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the service.
    pub service: String,
    /// Name of the place.
    pub place: String,
    /// Start of the window, in minutes after midnight UTC.
    pub from_minute: u32,
    /// End of the window, in minutes after midnight UTC.
    pub until_minute: u32,
    /// Number of upstreams.
    pub ready: u32,
    /// Percentage of their capacity reserved for turns of running programs.
    pub headroom_percent: u32,
}

/// Limits of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// SHA-256 digest of the account's API key, in hexadecimal.
    pub key_sha256: String,
    /// Maximum requests per second.
    pub requests_per_s: u32,
    /// Maximum number of running programs.
    pub programs: u32,
}

/// A change of the configuration: body of `POST /v1/config` and entry of the change log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Version that the change is based on.
    pub base: u64,
    /// Operator who made the change; set by the system.
    #[serde(default)]
    pub operator: String,
    /// Reason given by the operator.
    #[serde(default)]
    pub reason: String,
    /// Time in milliseconds since the Unix epoch; set by the system.
    #[serde(default)]
    pub at_ms: u64,
    /// Items to set or delete.
    pub edits: Vec<Edit>,
}

/// Change of a single item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item.
    pub name: String,
    /// New value; `None` deletes the item.
    pub value: Option<Value>,
}

/// Response to `GET /v1/config`: all current items.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Current version at the responding instance.
    pub version: u64,
    /// Items, ordered by kind and name.
    pub items: Vec<NamedItem>,
}

/// A configuration item with its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedItem {
    /// Name of the item.
    pub name: String,
    /// Version that last changed the item.
    pub version: u64,
    /// Value of the item.
    pub value: Value,
}
