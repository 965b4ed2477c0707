//! Applies changes to a configuration.

use std::sync::Arc;

use basilramp_core::id;
use basilramp_wire::config::{Change, Edit, ItemKind, Value};

use super::Config;

/// Returns the configuration after changes that follow it without a gap.
pub(super) fn follow(config: &Config, changes: &[(u64, Change)]) -> Option<Config> {
    let mut config = config.clone();
    for (version, change) in changes {
        if *version != config.version + 1 {
            return None;
        }
        config.version = *version;
        for edit in &change.edits {
            apply(&mut config, *version, edit);
        }
    }
    Some(config)
}

/// Sets or deletes one item.
pub(super) fn apply(config: &mut Config, version: u64, edit: &Edit) {
    let name: Arc<str> = edit.name.as_str().into();
    let key = (edit.kind, Arc::clone(&name));
    match &edit.value {
        Some(value) => {
            config.versions.insert(key, version);
            set(config, name, value.clone());
        }
        None => {
            config.versions.remove(&key);
            delete(config, edit.kind, &name);
        }
    }
}

fn set(config: &mut Config, name: Arc<str>, value: Value) {
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

fn delete(config: &mut Config, kind: ItemKind, name: &Arc<str>) {
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

/// Returns one line for each edit of a change.
pub(super) fn describe(version: u64, change: &Change) -> Vec<String> {
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

/// Returns the name of a kind of item, as in its row's key.
pub(super) const fn kind_name(kind: ItemKind) -> &'static str {
    match kind {
        ItemKind::Service => "service",
        ItemKind::Place => "place",
        ItemKind::Plan => "plan",
        ItemKind::Limit => "limit",
    }
}

/// Returns the kind of item with a name.
pub(super) fn kind(name: &str) -> Option<ItemKind> {
    let kinds = [
        ItemKind::Service,
        ItemKind::Place,
        ItemKind::Plan,
        ItemKind::Limit,
    ];
    kinds.into_iter().find(|kind| kind_name(*kind) == name)
}
