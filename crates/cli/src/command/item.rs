//! The `service`, `place`, `plan` and `limit` commands.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::path::Path;

use basilramp_wire::config::{ItemKind, Limit, NamedItem, Place, Plan, Service, Snapshot, Value};
use serde::de::DeserializeOwned;

use super::apply;
use crate::client::Client;
use crate::config::{ApplyArgs, DeleteArgs, ItemCommand, OutputFormat};
use crate::difference::{Items, compare, format_fields, kind_name, snapshot_items};
use crate::error::Error;
use crate::{change_log, output, timestamp};

/// Runs a command on the items of one kind.
pub(super) async fn run(
    client: &Client,
    kind: ItemKind,
    command: &ItemCommand,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    if let ItemCommand::History { name } = command {
        return history(client, kind, name, format, out).await;
    }
    let snapshot = apply::fetch_snapshot(client).await?;
    match command {
        ItemCommand::List => list(&snapshot, kind, format, out),
        ItemCommand::Show { name } => show(&snapshot, kind, name, format, out),
        ItemCommand::Apply(args) => apply_file(client, &snapshot, kind, args, format, out).await,
        ItemCommand::Delete(args) => delete_items(client, &snapshot, kind, args, format, out).await,
        ItemCommand::Diff { file } => diff(&snapshot, kind, file, format, out),
        ItemCommand::History { .. } => Ok(()),
    }
}

fn list(
    snapshot: &Snapshot,
    kind: ItemKind,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let items: Vec<&NamedItem> = items_of_kind(snapshot, kind).collect();
    if format == OutputFormat::Json {
        return output::write_json(out, &items);
    }
    let rows = items.iter();
    let rows = rows.map(|item| output::item_cells(&item.name, item.version, &item.value));
    output::write_table(out, output::column_names(kind), rows.collect())
}

fn show(
    snapshot: &Snapshot,
    kind: ItemKind,
    name: &str,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let found = items_of_kind(snapshot, kind).find(|item| item.name == name);
    let item = found.ok_or_else(|| not_found(kind, name))?;
    match format {
        OutputFormat::Json => output::write_json(out, item),
        OutputFormat::Table => {
            let row = output::item_cells(&item.name, item.version, &item.value);
            output::write_table(out, output::column_names(kind), vec![row])
        }
    }
}

async fn apply_file(
    client: &Client,
    snapshot: &Snapshot,
    kind: ItemKind,
    args: &ApplyArgs,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let mut desired = snapshot_items(snapshot);
    desired.extend(load_items(&args.file, kind)?);
    apply::apply_items(client, snapshot, &desired, &args.options, format, out).await
}

async fn delete_items(
    client: &Client,
    snapshot: &Snapshot,
    kind: ItemKind,
    args: &DeleteArgs,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let mut desired = snapshot_items(snapshot);
    for name in &args.names {
        let removed = desired.remove(&(kind, name.clone()));
        removed.ok_or_else(|| not_found(kind, name))?;
    }
    apply::apply_items(client, snapshot, &desired, &args.options, format, out).await
}

fn diff(
    snapshot: &Snapshot,
    kind: ItemKind,
    file: &Path,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let current = snapshot_items(snapshot);
    let mut desired = current.clone();
    desired.extend(load_items(file, kind)?);
    if apply::write_differences(&compare(&current, &desired), format, out)? {
        return Err(Error::DifferencesFound);
    }
    Ok(())
}

async fn history(
    client: &Client,
    kind: ItemKind,
    name: &str,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let mut changes = change_log::fetch(client, 0).await?;
    for entry in &mut changes {
        let edits = &mut entry.change.edits;
        edits.retain(|edit| edit.kind == kind && edit.name == name);
    }
    changes.retain(|entry| !entry.change.edits.is_empty());
    if changes.is_empty() {
        return Err(not_found(kind, name));
    }
    if format == OutputFormat::Json {
        return output::write_json(out, &changes);
    }
    let mut rows = Vec::new();
    for entry in &changes {
        let change = &entry.change;
        for edit in &change.edits {
            rows.push(vec![
                entry.version.to_string(),
                timestamp::format_utc(change.at_ms),
                change.operator.clone(),
                change.reason.clone(),
                edit.value
                    .as_ref()
                    .map_or_else(|| "deleted".to_owned(), format_fields),
            ]);
        }
    }
    let header = ["VERSION", "TIME", "OPERATOR", "REASON", "VALUE"];
    output::write_table(out, &header, rows)
}

fn items_of_kind(snapshot: &Snapshot, kind: ItemKind) -> impl Iterator<Item = &NamedItem> {
    let items = snapshot.items.iter();
    items.filter(move |item| item.value.kind() == kind)
}

fn not_found(kind: ItemKind, name: &str) -> Error {
    Error::NotFound(format!("there is no {} named {name}", kind_name(kind)))
}

/// Parses a file with a JSON object that maps names to values of one kind.
fn load_items(file: &Path, kind: ItemKind) -> Result<Items, Error> {
    let text = read_file(file)?;
    let values = match kind {
        ItemKind::Service => parse_values::<Service>(&text, Value::Service),
        ItemKind::Place => parse_values::<Place>(&text, Value::Place),
        ItemKind::Plan => parse_values::<Plan>(&text, Value::Plan),
        ItemKind::Limit => parse_values::<Limit>(&text, Value::Limit),
    };
    let values = values.map_err(|error| Error::invalid_input(file.display().to_string(), error))?;
    let items = values.into_iter();
    Ok(items.map(|(name, value)| ((kind, name), value)).collect())
}

fn parse_values<T: DeserializeOwned>(
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
    read.map_err(|error| Error::invalid_input(file.display().to_string(), error))
}
