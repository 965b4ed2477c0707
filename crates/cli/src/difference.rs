//! Compares sets of configured items and converts the differences to edits.

use std::collections::BTreeMap;
use std::fmt;

use basilramp_wire::config::{Edit, ItemKind, Snapshot, Value};
use serde::Serialize;

/// Configured items by kind and name.
pub(crate) type Items = BTreeMap<(ItemKind, String), Value>;

/// Returns the items of a snapshot.
pub(crate) fn snapshot_items(snapshot: &Snapshot) -> Items {
    let entry = |item: &basilramp_wire::config::NamedItem| {
        let key = (item.value.kind(), item.name.clone());
        (key, item.value.clone())
    };
    snapshot.items.iter().map(entry).collect()
}

/// An item that was added, removed or changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Difference {
    pub(crate) kind: ItemKind,
    pub(crate) name: String,
    pub(crate) before: Option<Value>,
    pub(crate) after: Option<Value>,
}

/// Returns the items that differ, sorted by kind and name.
pub(crate) fn compare(before: &Items, after: &Items) -> Vec<Difference> {
    let mut keys: Vec<_> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    let differences = keys.into_iter().map(|key| Difference {
        kind: key.0,
        name: key.1.clone(),
        before: before.get(key).cloned(),
        after: after.get(key).cloned(),
    });
    differences
        .filter(|difference| difference.before != difference.after)
        .collect()
}

/// Returns the edits that change the items from `before` to `after`.
pub(crate) fn to_edits(differences: &[Difference]) -> Vec<Edit> {
    let edit = |difference: &Difference| Edit {
        kind: difference.kind,
        name: difference.name.clone(),
        value: difference.after.clone(),
    };
    differences.iter().map(edit).collect()
}

/// Returns the name of a kind as used on the command line.
pub(crate) const fn kind_name(kind: ItemKind) -> &'static str {
    match kind {
        ItemKind::Service => "service",
        ItemKind::Place => "place",
        ItemKind::Plan => "plan",
        ItemKind::Limit => "limit",
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name) = (kind_name(self.kind), &self.name);
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {kind} {name}: {}", format_fields(after)),
            (Some(before), None) => write!(f, "- {kind} {name}: {}", format_fields(before)),
            (Some(before), Some(after)) => {
                write!(
                    f,
                    "~ {kind} {name}: {}",
                    format_changed_fields(before, after)
                )
            }
            (None, None) => write!(f, "  {kind} {name}"),
        }
    }
}

/// Formats all fields of a value as `name=value`.
pub(crate) fn format_fields(value: &Value) -> String {
    let fields = flatten_fields(value);
    let texts = fields.iter().map(|(field, text)| format!("{field}={text}"));
    texts.collect::<Vec<_>>().join(" ")
}

/// Formats the fields that differ as `name old -> new`.
fn format_changed_fields(before: &Value, after: &Value) -> String {
    let (before, after) = (flatten_fields(before), flatten_fields(after));
    let mut names: Vec<_> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let absent = "none".to_owned();
    let mut texts = Vec::new();
    for name in names {
        let old = before.get(name).unwrap_or(&absent);
        let new = after.get(name).unwrap_or(&absent);
        if old != new {
            texts.push(format!("{name} {old} -> {new}"));
        }
    }
    texts.join(", ")
}

/// Returns the fields of a value by dotted path, without null fields.
fn flatten_fields(value: &Value) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let json = serde_json::to_value(value).unwrap_or_default();
    // The outermost object has a single key, the kind, which is not part of the path.
    for inner in json.as_object().into_iter().flat_map(|kind| kind.values()) {
        collect_fields(inner, "", &mut fields);
    }
    fields
}

fn collect_fields(json: &serde_json::Value, path: &str, fields: &mut BTreeMap<String, String>) {
    match json {
        serde_json::Value::Null => {}
        serde_json::Value::Object(object) => {
            for (name, inner) in object {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect_fields(inner, &path, fields);
            }
        }
        serde_json::Value::String(text) => {
            fields.insert(path.to_owned(), text.clone());
        }
        other => {
            fields.insert(path.to_owned(), other.to_string());
        }
    }
}
