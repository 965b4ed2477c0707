//! The change log, and the items at any version as worked out from it.

use basilramp_wire::operator::{ChangeLog, ChangeLogEntry};

use crate::change::{Items, all, kind_name};
use crate::client::Client;
use crate::error::Error;
use crate::progress::Progress;

/// Reads the whole log after a version, however many answers it takes.
pub(crate) async fn read(client: &Client, after: u64) -> Result<Vec<ChangeLogEntry>, Error> {
    let progress = Progress::open("reading the change log");
    let mut changes: Vec<ChangeLogEntry> = Vec::new();
    loop {
        let last = changes.last().map_or(after, |logged| logged.version);
        let page: ChangeLog = client.get(&format!("/v1/config/log?after={last}")).await?;
        let fresh = page.changes.into_iter();
        let fresh: Vec<_> = fresh.filter(|logged| logged.version > last).collect();
        if fresh.is_empty() {
            return Ok(changes);
        }
        changes.extend(fresh);
        progress.set(format!("reading the change log: {} changes", changes.len()));
    }
}

/// Returns the items at a version, from the log from its beginning.
pub(crate) fn items_at(changes: &[ChangeLogEntry], version: u64) -> Items {
    let mut items = Items::new();
    for logged in changes.iter().filter(|logged| logged.version <= version) {
        apply(&mut items, logged);
    }
    items
}

fn apply(items: &mut Items, logged: &ChangeLogEntry) {
    for edit in &logged.change.edits {
        let key = (edit.kind, edit.name.clone());
        match &edit.value {
            Some(value) => items.insert(key, value.clone()),
            None => items.remove(&key),
        };
    }
}

/// Describes what changes did: version, operator and edit, one line for each edit.
pub(crate) fn describe(changes: &[ChangeLogEntry]) -> Vec<String> {
    changes.iter().flat_map(describe_one).collect()
}

fn describe_one(logged: &ChangeLogEntry) -> Vec<String> {
    let (version, operator) = (logged.version, &logged.change.operator);
    let lines = logged.change.edits.iter().map(|edit| {
        let (kind, name) = (kind_name(edit.kind), &edit.name);
        match &edit.value {
            Some(value) => format!("{version} {operator}: set {kind} {name}: {}", all(value)),
            None => format!("{version} {operator}: deleted {kind} {name}"),
        }
    });
    lines.collect()
}
