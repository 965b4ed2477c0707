//! Validates a whole configuration change before anything is written.

use std::collections::{BTreeMap, BTreeSet};

use basilramp_core::id;
use basilramp_wire::config::{
    Change, Edit, Limit, NAME_RULE, Plan, Service, Target, Value, is_valid_name,
};

use super::{Config, edit};

/// Maximum serialized size of a change, which is stored as one log row.
const MAX_CHANGE_BYTES: usize = 350 * 1024;

const MINUTES_PER_DAY: u32 = 24 * 60;
const SHA256_HEX_LEN: usize = 64;

/// Returns one line for each validation error of a change to `config`; empty if it is valid.
pub(super) fn find_errors(config: &Config, change: &Change) -> Vec<String> {
    let mut errors = Vec::new();
    check_size(change, &mut errors);
    let mut edited = BTreeSet::new();
    let mut candidate = config.clone();
    for edit in &change.edits {
        if !edited.insert((edit.kind, edit.name.as_str())) {
            errors.push(format!("{}: edited twice", label(edit)));
        }
        check_edit(edit, &mut errors);
        edit::apply_edit(&mut candidate, config.version + 1, edit);
    }
    check_references(&candidate, &mut errors);
    check_keys(&candidate, &mut errors);
    errors
}

fn check_size(change: &Change, errors: &mut Vec<String>) {
    if change.edits.is_empty() {
        errors.push("the change has no edits".to_owned());
    }
    let bytes = serde_json::to_vec(change).map_or(0, |body| body.len());
    if bytes > MAX_CHANGE_BYTES {
        errors.push(format!(
            "{bytes} bytes, but a change may have at most {MAX_CHANGE_BYTES}"
        ));
    }
}

fn check_edit(edit: &Edit, errors: &mut Vec<String>) {
    let label = label(edit);
    if !is_valid_name(&edit.name) {
        errors.push(format!("{label}: {NAME_RULE}"));
    }
    let Some(value) = &edit.value else {
        return;
    };
    if value.kind() != edit.kind {
        errors.push(format!("{label}: the value does not match the item kind"));
    }
    match value {
        Value::Service(service) => check_service(&label, service, errors),
        Value::Place(place) if place.failure_domain.is_empty() => {
            errors.push(format!("{label}: the failure domain is empty"));
        }
        Value::Place(_) => {}
        Value::Plan(plan) => check_plan(&label, plan, errors),
        Value::Limit(limit) => check_limit(&label, limit, errors),
    }
}

fn check_service(label: &str, service: &Service, errors: &mut Vec<String>) {
    if service.timeout_ms == 0 {
        errors.push(format!("{label}: the timeout is zero"));
    }
    match &service.target {
        Target::Model { model, version, .. } => {
            if model.is_empty() || version.is_empty() {
                errors.push(format!("{label}: the model or its version is empty"));
            }
        }
        Target::Plain {
            path, status_path, ..
        } => {
            let paths = [Some(path), status_path.as_ref()];
            if paths
                .into_iter()
                .flatten()
                .any(|path| !path.starts_with('/'))
            {
                errors.push(format!("{label}: a path does not begin with '/'"));
            }
        }
    }
}

fn check_plan(label: &str, plan: &Plan, errors: &mut Vec<String>) {
    if plan.from_minute >= plan.until_minute || plan.until_minute > MINUTES_PER_DAY {
        errors.push(format!("{label}: the minutes are not a span of one day"));
    }
    if plan.headroom_percent > 100 {
        errors.push(format!("{label}: the headroom is more than 100 percent"));
    }
}

fn check_limit(label: &str, limit: &Limit, errors: &mut Vec<String>) {
    let is_sha256_hex = limit.key_sha256.len() == SHA256_HEX_LEN
        && limit
            .key_sha256
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !is_sha256_hex {
        errors.push(format!(
            "{label}: the key's digest is not 64 lower-case hexadecimal digits"
        ));
    }
}

/// Checks that the services and places of plans exist.
fn check_references(config: &Config, errors: &mut Vec<String>) {
    for (name, plan) in &config.plans {
        let service = id::Service::new(plan.service.as_str());
        if !config.services.contains_key(&service) {
            errors.push(format!("plan {name}: no service {service}"));
        }
        if !config.places.contains_key(plan.place.as_str()) {
            errors.push(format!("plan {name}: no place {}", plan.place));
        }
    }
}

/// Checks that no two accounts share a key.
fn check_keys(config: &Config, errors: &mut Vec<String>) {
    let mut accounts: BTreeMap<&str, &id::Account> = BTreeMap::new();
    for (account, limit) in &config.limits {
        if let Some(other) = accounts.insert(&limit.key_sha256, account) {
            errors.push(format!(
                "limit {account}: the key is already used by account {other}"
            ));
        }
    }
}

fn label(edit: &Edit) -> String {
    format!("{} {}", edit::kind_name(edit.kind), edit.name)
}
