//! Services, places, plans and limits.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::path::Path;

use basilramp_wire::config::{ItemKind, Limit, NamedItem, Place, Plan, Service, Snapshot, Value};
use serde::de::DeserializeOwned;

use super::apply;
use crate::change::{Items, all, compare, items, kind_name};
use crate::client::Client;
use crate::config::{Apply, Delete, Item, Output};
use crate::error::Error;
use crate::{output, replay, utc};

/// Runs a command on items of one kind.
pub(super) async fn run(
    client: &Client,
    kind: ItemKind,
    item: &Item,
    output: Output,
    out: &mut impl Write,
) -> Result<(), Error> {
    if let Item::History { name } = item {
        return history(client, kind, name, output, out).await;
    }
    let snapshot = apply::snapshot(client).await?;
    match item {
        Item::List => list(&snapshot, kind, output, out),
        Item::Show { name } => show(&snapshot, kind, name, output, out),
        Item::Apply(apply) => set(client, &snapshot, kind, apply, output, out).await,
        Item::Delete(delete) => remove(client, &snapshot, kind, delete, output, out).await,
        Item::Diff { file } => diff(&snapshot, kind, file, output, out),
        Item::History { .. } => Ok(()),
    }
}

fn list(
    snapshot: &Snapshot,
    kind: ItemKind,
    output: Output,
    out: &mut impl Write,
) -> Result<(), Error> {
    let items: Vec<&NamedItem> = of_kind(snapshot, kind).collect();
    if output == Output::Json {
        return output::json(out, &items);
    }
    let rows = items.iter();
    let rows = rows.map(|item| output::cells(&item.name, item.version, &item.value));
    output::table(out, output::columns(kind), rows.collect())
}

fn show(
    snapshot: &Snapshot,
    kind: ItemKind,
    name: &str,
    output: Output,
    out: &mut impl Write,
) -> Result<(), Error> {
    let found = of_kind(snapshot, kind).find(|item| item.name == name);
    let item = found.ok_or_else(|| missing(kind, name))?;
    match output {
        Output::Json => output::json(out, item),
        Output::Table => {
            let row = output::cells(&item.name, item.version, &item.value);
            output::table(out, output::columns(kind), vec![row])
        }
    }
}

async fn set(
    client: &Client,
    snapshot: &Snapshot,
    kind: ItemKind,
    apply: &Apply,
    output: Output,
    out: &mut impl Write,
) -> Result<(), Error> {
    let mut wanted = items(snapshot);
    wanted.extend(read_items(&apply.file, kind)?);
    apply::run(client, snapshot, &wanted, &apply.operation, output, out).await
}

async fn remove(
    client: &Client,
    snapshot: &Snapshot,
    kind: ItemKind,
    delete: &Delete,
    output: Output,
    out: &mut impl Write,
) -> Result<(), Error> {
    let mut wanted = items(snapshot);
    for name in &delete.names {
        let removed = wanted.remove(&(kind, name.clone()));
        removed.ok_or_else(|| missing(kind, name))?;
    }
    apply::run(client, snapshot, &wanted, &delete.operation, output, out).await
}

fn diff(
    snapshot: &Snapshot,
    kind: ItemKind,
    file: &Path,
    output: Output,
    out: &mut impl Write,
) -> Result<(), Error> {
    let current = items(snapshot);
    let mut wanted = current.clone();
    wanted.extend(read_items(file, kind)?);
    if apply::write(&compare(&current, &wanted), output, out)? {
        return Err(Error::Differ);
    }
    Ok(())
}

async fn history(
    client: &Client,
    kind: ItemKind,
    name: &str,
    output: Output,
    out: &mut impl Write,
) -> Result<(), Error> {
    let mut changes = replay::read(client, 0).await?;
    for logged in &mut changes {
        let edits = &mut logged.change.edits;
        edits.retain(|edit| edit.kind == kind && edit.name == name);
    }
    changes.retain(|logged| !logged.change.edits.is_empty());
    if changes.is_empty() {
        return Err(missing(kind, name));
    }
    if output == Output::Json {
        return output::json(out, &changes);
    }
    let mut rows = Vec::new();
    for logged in &changes {
        let change = &logged.change;
        for edit in &change.edits {
            rows.push(vec![
                logged.version.to_string(),
                utc::format(change.at_ms),
                change.operator.clone(),
                change.reason.clone(),
                edit.value
                    .as_ref()
                    .map_or_else(|| "deleted".to_owned(), all),
            ]);
        }
    }
    let header = ["VERSION", "TIME", "OPERATOR", "REASON", "VALUE"];
    output::table(out, &header, rows)
}

fn of_kind(snapshot: &Snapshot, kind: ItemKind) -> impl Iterator<Item = &NamedItem> {
    let items = snapshot.items.iter();
    items.filter(move |item| item.value.kind() == kind)
}

fn missing(kind: ItemKind, name: &str) -> Error {
    Error::Missing(format!("there is no {} named {name}", kind_name(kind)))
}

/// Reads a file that maps names to values of one kind.
fn read_items(file: &Path, kind: ItemKind) -> Result<Items, Error> {
    let text = read_file(file)?;
    let values = match kind {
        ItemKind::Service => decode::<Service>(&text, Value::Service),
        ItemKind::Place => decode::<Place>(&text, Value::Place),
        ItemKind::Plan => decode::<Plan>(&text, Value::Plan),
        ItemKind::Limit => decode::<Limit>(&text, Value::Limit),
    };
    let values = values.map_err(|fault| Error::input(file.display().to_string(), fault))?;
    let items = values.into_iter();
    Ok(items.map(|(name, value)| ((kind, name), value)).collect())
}

fn decode<T: DeserializeOwned>(
    text: &[u8],
    wrap: fn(T) -> Value,
) -> Result<BTreeMap<String, Value>, serde_json::Error> {
    let values: BTreeMap<String, T> = serde_json::from_slice(text)?;
    let items = values.into_iter();
    Ok(items.map(|(name, value)| (name, wrap(value))).collect())
}

/// Reads a file, or standard input for `-`.
pub(super) fn read_file(file: &Path) -> Result<Vec<u8>, Error> {
    let read = if file == Path::new("-") {
        let mut text = Vec::new();
        std::io::stdin().read_to_end(&mut text).map(|_| text)
    } else {
        std::fs::read(file)
    };
    read.map_err(|error| Error::input(file.display().to_string(), error))
}
