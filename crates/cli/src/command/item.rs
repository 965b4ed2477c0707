//! Services, places, plans and limits.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::path::Path;

use basilramp_wire::config::{Kind, Limit, Named, Place, Plan, Service, Snapshot, Value};
use serde::de::DeserializeOwned;

use super::apply;
use crate::change::{Items, all, compare, items, kind_name};
use crate::client::Client;
use crate::config::{ApplyArgs, DeleteArgs, ItemCommand, OutputFormat};
use crate::error::Error;
use crate::{output, replay, utc};

/// Runs a command on items of one kind.
pub(super) async fn run(
    client: &Client,
    kind: Kind,
    item: &ItemCommand,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    if let ItemCommand::History { name } = item {
        return history(client, kind, name, output, out).await;
    }
    let snapshot = apply::snapshot(client).await?;
    match item {
        ItemCommand::List => list(&snapshot, kind, output, out),
        ItemCommand::Show { name } => show(&snapshot, kind, name, output, out),
        ItemCommand::Apply(apply) => set(client, &snapshot, kind, apply, output, out).await,
        ItemCommand::Delete(delete) => remove(client, &snapshot, kind, delete, output, out).await,
        ItemCommand::Diff { file } => diff(&snapshot, kind, file, output, out),
        ItemCommand::History { .. } => Ok(()),
    }
}

fn list(
    snapshot: &Snapshot,
    kind: Kind,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let items: Vec<&Named> = of_kind(snapshot, kind).collect();
    if output == OutputFormat::Json {
        return output::json(out, &items);
    }
    let rows = items.iter();
    let rows = rows.map(|item| output::cells(&item.name, item.version, &item.value));
    output::table(out, output::columns(kind), rows.collect())
}

fn show(
    snapshot: &Snapshot,
    kind: Kind,
    name: &str,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let found = of_kind(snapshot, kind).find(|item| item.name == name);
    let item = found.ok_or_else(|| missing(kind, name))?;
    match output {
        OutputFormat::Json => output::json(out, item),
        OutputFormat::Table => {
            let row = output::cells(&item.name, item.version, &item.value);
            output::table(out, output::columns(kind), vec![row])
        }
    }
}

async fn set(
    client: &Client,
    snapshot: &Snapshot,
    kind: Kind,
    apply: &ApplyArgs,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let mut wanted = items(snapshot);
    wanted.extend(read_items(&apply.file, kind)?);
    apply::run(client, snapshot, &wanted, &apply.options, output, out).await
}

async fn remove(
    client: &Client,
    snapshot: &Snapshot,
    kind: Kind,
    delete: &DeleteArgs,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let mut wanted = items(snapshot);
    for name in &delete.names {
        let removed = wanted.remove(&(kind, name.clone()));
        removed.ok_or_else(|| missing(kind, name))?;
    }
    apply::run(client, snapshot, &wanted, &delete.options, output, out).await
}

fn diff(
    snapshot: &Snapshot,
    kind: Kind,
    file: &Path,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let current = items(snapshot);
    let mut wanted = current.clone();
    wanted.extend(read_items(file, kind)?);
    if apply::write(&compare(&current, &wanted), output, out)? {
        return Err(Error::DifferencesFound);
    }
    Ok(())
}

async fn history(
    client: &Client,
    kind: Kind,
    name: &str,
    output: OutputFormat,
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
    if output == OutputFormat::Json {
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

fn of_kind(snapshot: &Snapshot, kind: Kind) -> impl Iterator<Item = &Named> {
    let items = snapshot.items.iter();
    items.filter(move |item| item.value.kind() == kind)
}

fn missing(kind: Kind, name: &str) -> Error {
    Error::NotFound(format!("there is no {} named {name}", kind_name(kind)))
}

/// Reads a file that maps names to values of one kind.
fn read_items(file: &Path, kind: Kind) -> Result<Items, Error> {
    let text = read_file(file)?;
    let values = match kind {
        Kind::Service => decode::<Service>(&text, Value::Service),
        Kind::Place => decode::<Place>(&text, Value::Place),
        Kind::Plan => decode::<Plan>(&text, Value::Plan),
        Kind::Limit => decode::<Limit>(&text, Value::Limit),
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
