//! Applies configuration changes in memory.

use std::sync::Arc;

use basilramp_core::id;
use basilramp_wire::config::{Change, Edit, ItemKind, Value};

use super::Config;

/// Returns the configuration with the changes applied, or `None` if their versions do not follow
/// on it without a gap.
pub(super) fn apply_changes(config: &Config, changes: &[(u64, Change)]) -> Option<Config> {
    let mut config = config.clone();
    for (version, change) in changes {
        if *version != config.version + 1 {
            return None;
        }
        config.version = *version;
        for edit in &change.edits {
            apply_edit(&mut config, *version, edit);
        }
    }
    Some(config)
}

/// Sets or deletes one item, and records `version` as the version that changed it.
pub(super) fn apply_edit(config: &mut Config, version: u64, edit: &Edit) {
    let name: Arc<str> = edit.name.as_str().into();
    let key = (edit.kind, Arc::clone(&name));
    match &edit.value {
        Some(value) => {
            config.item_versions.insert(key, version);
            insert_item(config, name, value.clone());
        }
        None => {
            config.item_versions.remove(&key);
            remove_item(config, edit.kind, &name);
        }
    }
}

fn insert_item(config: &mut Config, name: Arc<str>, value: Value) {
    match value {
        Value::Service(service) => {
            config.services.insert(id::Service::new(name), service);
        }
        Value::Place(place) => {
            config.places.insert(name, place);
        }
        Value::Plan(plan) => {
            config.plans.insert(name, plan);
        }
        Value::Limit(limit) => {
            config.limits.insert(id::Account::new(name), limit);
        }
    }
}

fn remove_item(config: &mut Config, kind: ItemKind, name: &Arc<str>) {
    match kind {
        ItemKind::Service => {
            config.services.remove(&id::Service::new(Arc::clone(name)));
        }
        ItemKind::Place => {
            config.places.remove(name);
        }
        ItemKind::Plan => {
            config.plans.remove(name);
        }
        ItemKind::Limit => {
            config.limits.remove(&id::Account::new(Arc::clone(name)));
        }
    }
}

/// Describes each edit of a change in one line, for operators.
pub(super) fn describe_edits(version: u64, change: &Change) -> Vec<String> {
    let lines = change.edits.iter().map(|edit| {
        let verb = if edit.value.is_some() {
            "set"
        } else {
            "deleted"
        };
        let kind = kind_name(edit.kind);
        let name = &edit.name;
        let operator = &change.operator;
        let reason = &change.reason;
        format!("version {version}: {operator} {verb} {kind} {name} ({reason})")
    });
    lines.collect()
}

/// Returns the name of an item kind, as it appears in row keys.
pub(super) const fn kind_name(kind: ItemKind) -> &'static str {
    match kind {
        ItemKind::Service => "service",
        ItemKind::Place => "place",
        ItemKind::Plan => "plan",
        ItemKind::Limit => "limit",
    }
}

/// Parses the name of an item kind, the inverse of [`kind_name`].
pub(super) fn parse_kind(name: &str) -> Option<ItemKind> {
    let kinds = [
        ItemKind::Service,
        ItemKind::Place,
        ItemKind::Plan,
        ItemKind::Limit,
    ];
    kinds.into_iter().find(|kind| kind_name(*kind) == name)
}
