//! Checks a change whole before anything is written.

use std::collections::{BTreeMap, BTreeSet};

use basilramp_core::id;
use basilramp_wire::config::{
    Change, Edit, Limit, NAME_RULE, Plan, Service, Target, Value, is_valid_name,
};

use super::{Config, edit};

/// The most bytes of one change, which is one row of the log.
const MAX_CHANGE_BYTES: usize = 350 * 1024;

const DAY_MINUTES: u32 = 24 * 60;
const SHA256_HEX_LEN: usize = 64;

/// Returns one line for each fault of a change to `config`; none if it is in order.
pub(super) fn faults(config: &Config, change: &Change) -> Vec<String> {
    let mut faults = Vec::new();
    check_size(change, &mut faults);
    let mut seen = BTreeSet::new();
    let mut after = config.clone();
    for edit in &change.edits {
        if !seen.insert((edit.kind, edit.name.as_str())) {
            faults.push(format!("{}: edited twice", label(edit)));
        }
        check_edit(edit, &mut faults);
        edit::apply(&mut after, config.version + 1, edit);
    }
    check_references(&after, &mut faults);
    check_keys(&after, &mut faults);
    faults
}

fn check_size(change: &Change, faults: &mut Vec<String>) {
    if change.edits.is_empty() {
        faults.push("the change has no edits".to_owned());
    }
    let bytes = serde_json::to_vec(change).map_or(0, |body| body.len());
    if bytes > MAX_CHANGE_BYTES {
        faults.push(format!(
            "{bytes} bytes, but one change may have {MAX_CHANGE_BYTES}"
        ));
    }
}

fn check_edit(edit: &Edit, faults: &mut Vec<String>) {
    let label = label(edit);
    if !is_valid_name(&edit.name) {
        faults.push(format!("{label}: {NAME_RULE}"));
    }
    let Some(value) = &edit.value else {
        return;
    };
    if value.kind() != edit.kind {
        faults.push(format!("{label}: the value is of another kind"));
    }
    match value {
        Value::Service(service) => check_service(&label, service, faults),
        Value::Place(place) if place.failure_domain.is_empty() => {
            faults.push(format!("{label}: the failure domain is empty"));
        }
        Value::Place(_) => {}
        Value::Plan(plan) => check_plan(&label, plan, faults),
        Value::Limit(limit) => check_limit(&label, limit, faults),
    }
}

fn check_service(label: &str, service: &Service, faults: &mut Vec<String>) {
    if service.timeout_ms == 0 {
        faults.push(format!("{label}: the timeout is zero"));
    }
    match &service.target {
        Target::Model { model, version, .. } => {
            if model.is_empty() || version.is_empty() {
                faults.push(format!("{label}: the model or its version is empty"));
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
                faults.push(format!("{label}: a path does not begin with '/'"));
            }
        }
    }
}

fn check_plan(label: &str, plan: &Plan, faults: &mut Vec<String>) {
    if plan.from_minute >= plan.until_minute || plan.until_minute > DAY_MINUTES {
        faults.push(format!("{label}: the minutes are not a span of one day"));
    }
    if plan.headroom_percent > 100 {
        faults.push(format!("{label}: the headroom is more than 100 percent"));
    }
}

fn check_limit(label: &str, limit: &Limit, faults: &mut Vec<String>) {
    let is_digest = limit.key_sha256.len() == SHA256_HEX_LEN
        && limit
            .key_sha256
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !is_digest {
        faults.push(format!(
            "{label}: the key's digest is not 64 lower-case hexadecimal digits"
        ));
    }
}

/// Checks that plans name services and places that exist.
fn check_references(config: &Config, faults: &mut Vec<String>) {
    for (name, plan) in &config.plans {
        let service = id::Service::new(plan.service.as_str());
        if !config.services.contains_key(&service) {
            faults.push(format!("plan {name}: no service {service}"));
        }
        if !config.places.contains_key(plan.place.as_str()) {
            faults.push(format!("plan {name}: no place {}", plan.place));
        }
    }
}

/// Checks that no two accounts have the same key.
fn check_keys(config: &Config, faults: &mut Vec<String>) {
    let mut accounts: BTreeMap<&str, &id::Account> = BTreeMap::new();
    for (account, limit) in &config.limits {
        if let Some(other) = accounts.insert(&limit.key_sha256, account) {
            faults.push(format!("limit {account}: the key is that of {other}"));
        }
    }
}

fn label(edit: &Edit) -> String {
    format!("{} {}", edit::kind_name(edit.kind), edit.name)
}
