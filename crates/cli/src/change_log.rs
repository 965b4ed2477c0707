//! Fetches the change log and reconstructs the items of any version from it.

use basilramp_wire::operator::{ChangeLog, ChangeLogEntry};

use crate::client::Client;
use crate::difference::{Items, format_fields, kind_name};
use crate::error::Error;
use crate::progress::Progress;

/// Fetches all changes with a version greater than `after`, page by page.
pub(crate) async fn fetch(client: &Client, after: u64) -> Result<Vec<ChangeLogEntry>, Error> {
    let progress = Progress::start("reading the change log");
    let mut changes: Vec<ChangeLogEntry> = Vec::new();
    loop {
        let last = changes.last().map_or(after, |entry| entry.version);
        let page: ChangeLog = client.get(&format!("/v1/config/log?after={last}")).await?;
        let newer = page.changes.into_iter();
        let newer: Vec<_> = newer.filter(|entry| entry.version > last).collect();
        if newer.is_empty() {
            return Ok(changes);
        }
        changes.extend(newer);
        progress.set_message(format!("reading the change log: {} changes", changes.len()));
    }
}

/// Returns the items at `version`. `changes` must begin with the first change of the log.
pub(crate) fn items_at(changes: &[ChangeLogEntry], version: u64) -> Items {
    let mut items = Items::new();
    for entry in changes.iter().filter(|entry| entry.version <= version) {
        apply_change(&mut items, entry);
    }
    items
}

fn apply_change(items: &mut Items, entry: &ChangeLogEntry) {
    for edit in &entry.change.edits {
        let key = (edit.kind, edit.name.clone());
        match &edit.value {
            Some(value) => items.insert(key, value.clone()),
            None => items.remove(&key),
        };
    }
}

/// Returns one line per edit with its version, operator and new value.
pub(crate) fn describe_changes(changes: &[ChangeLogEntry]) -> Vec<String> {
    changes.iter().flat_map(describe_change).collect()
}

fn describe_change(entry: &ChangeLogEntry) -> Vec<String> {
    let (version, operator) = (entry.version, &entry.change.operator);
    let lines = entry.change.edits.iter().map(|edit| {
        let (kind, name) = (kind_name(edit.kind), &edit.name);
        match &edit.value {
            Some(value) => format!(
                "{version} {operator}: set {kind} {name}: {}",
                format_fields(value)
            ),
            None => format!("{version} {operator}: deleted {kind} {name}"),
        }
    });
    lines.collect()
}
