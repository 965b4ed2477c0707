//! The initial configuration of a test deployment.

use basilramp_wire::config::{
    Change, ConfigVersion, Edit, Item, ItemKind, Limit, Place, Service, Target, Value,
};
use sha2::{Digest, Sha256};

use crate::platform::Platform;

/// Names of the services that every test deployment has.
pub mod name {
    /// A model: `base@1`.
    pub const MODEL: &str = "assistant";
    /// An idempotent look-up with path `/registry/lookup`.
    pub const LOOKUP: &str = "registry-lookup";
    /// A registration that is not idempotent and has status look-ups, with path `/registry/register`.
    pub const REGISTER: &str = "registry-register";
    /// An idempotent stock check with path `/store/stock`.
    pub const STOCK: &str = "store-stock";
    /// An order that is not idempotent and has no status look-ups, with path `/store/order`.
    pub const ORDER: &str = "store-order";
}

/// The engines' name of the model of service [`name::MODEL`].
pub const MODEL: &str = "base@1";

/// Path of the registry's status look-ups.
pub const STATUS_PATH: &str = "/registry/status";

/// Path of service [`name::REGISTER`].
pub const REGISTER_PATH: &str = "/registry/register";

/// Path of service [`name::ORDER`].
pub const ORDER_PATH: &str = "/store/order";

/// Returns the SHA-256 digest of a key or token, in hexadecimal.
#[must_use]
pub fn sha256_hex(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the configuration value of a plain service.
#[must_use]
pub fn plain_service(
    path: &str,
    idempotent: bool,
    status_path: Option<&str>,
    timeout_ms: u64,
) -> Value {
    Value::Service(Service {
        target: Target::Plain {
            path: path.to_owned(),
            idempotent,
            status_path: status_path.map(str::to_owned),
        },
        timeout_ms,
    })
}

/// Returns the configuration value of a model service.
#[must_use]
pub fn model_service(model: &str, version: &str, timeout_ms: u64) -> Value {
    Value::Service(Service {
        target: Target::Model {
            model: model.to_owned(),
            adapter: None,
            version: version.to_owned(),
        },
        timeout_ms,
    })
}

/// Returns the configuration value of an account's limits.
#[must_use]
pub fn account_limit(key: &str, requests_per_s: u32, programs: u32) -> Value {
    Value::Limit(Limit {
        key_sha256: sha256_hex(key),
        requests_per_s,
        programs,
    })
}

/// Returns the configuration value of a place.
#[must_use]
pub fn place_config(failure_domain: &str, fencing: bool) -> Value {
    Value::Place(Place {
        failure_domain: failure_domain.to_owned(),
        fencing,
    })
}

/// Returns an edit that sets a configuration item.
#[must_use]
pub fn set_item(name: &str, value: Value) -> Edit {
    Edit {
        kind: value.kind(),
        name: name.to_owned(),
        value: Some(value),
    }
}

/// Returns the services that every test deployment has, all with the same timeout.
#[must_use]
pub fn default_services(timeout_ms: u64) -> Vec<Edit> {
    let register = plain_service(REGISTER_PATH, false, Some(STATUS_PATH), timeout_ms);
    vec![
        set_item(name::MODEL, model_service("base", "1", timeout_ms)),
        set_item(
            name::LOOKUP,
            plain_service("/registry/lookup", true, None, timeout_ms),
        ),
        set_item(name::REGISTER, register),
        set_item(
            name::STOCK,
            plain_service("/store/stock", true, None, timeout_ms),
        ),
        set_item(
            name::ORDER,
            plain_service(ORDER_PATH, false, None, timeout_ms),
        ),
    ]
}

/// Writes the initial configuration as version 1 directly into the table.
pub(crate) fn write_initial_config(platform: &Platform, edits: Vec<Edit>) {
    const FIRST: u64 = 1;
    for edit in &edits {
        let item = Item {
            version: FIRST,
            value: edit.value.clone(),
        };
        let sort = format!("item/{}/{}", kind_name(edit.kind), edit.name);
        platform.put_row("config", &sort, FIRST, &item);
    }
    let change = Change {
        base: 0,
        operator: "setup".to_owned(),
        reason: "first configuration".to_owned(),
        at_ms: 0,
        edits,
    };
    platform.put_row("config", &format!("log/{FIRST:012}"), FIRST, &change);
    platform.put_row("config", "head", FIRST, &ConfigVersion { version: FIRST });
}

const fn kind_name(kind: ItemKind) -> &'static str {
    match kind {
        ItemKind::Service => "service",
        ItemKind::Place => "place",
        ItemKind::Plan => "plan",
        ItemKind::Limit => "limit",
    }
}
