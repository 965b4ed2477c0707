//! The `config` commands: current items, change log and differences between versions.

use std::io::Write;

use basilramp_wire::config::ItemKind;

use super::apply;
use crate::client::Client;
use crate::config::OutputFormat;
use crate::difference::compare;
use crate::error::Error;
use crate::{change_log, output, timestamp};

const SECTIONS: [(ItemKind, &str); 4] = [
    (ItemKind::Service, "services"),
    (ItemKind::Place, "places"),
    (ItemKind::Plan, "plans"),
    (ItemKind::Limit, "limits"),
];

/// Writes every configured item.
pub(super) async fn show(
    client: &Client,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let snapshot = apply::fetch_snapshot(client).await?;
    if format == OutputFormat::Json {
        return output::write_json(out, &snapshot);
    }
    writeln!(out, "version {}", snapshot.version)?;
    for (kind, title) in SECTIONS {
        let items = snapshot.items.iter();
        let items = items.filter(|item| item.value.kind() == kind);
        let rows = items.map(|item| output::item_cells(&item.name, item.version, &item.value));
        writeln!(out, "\n{title}")?;
        output::write_table(out, output::column_names(kind), rows.collect())?;
    }
    Ok(())
}

/// Writes the changes with a version greater than `after`.
pub(super) async fn log(
    client: &Client,
    after: u64,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let changes = change_log::fetch(client, after).await?;
    if format == OutputFormat::Json {
        return output::write_json(out, &changes);
    }
    let rows = changes.into_iter().map(|entry| {
        vec![
            entry.version.to_string(),
            timestamp::format_utc(entry.change.at_ms),
            entry.change.operator,
            entry.change.edits.len().to_string(),
            entry.change.reason,
        ]
    });
    let header = ["VERSION", "TIME", "OPERATOR", "ITEMS", "REASON"];
    output::write_table(out, &header, rows.collect())
}

/// Writes the differences between two versions; `to` defaults to the newest one.
pub(super) async fn diff(
    client: &Client,
    from: u64,
    to: Option<u64>,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let changes = change_log::fetch(client, 0).await?;
    let newest = changes.last().map_or(0, |entry| entry.version);
    let to = to.unwrap_or(newest);
    if from.max(to) > newest {
        let message = format!(
            "there is no version {}; the newest is {newest}",
            from.max(to)
        );
        return Err(Error::NotFound(message));
    }
    let before = change_log::items_at(&changes, from);
    let after = change_log::items_at(&changes, to);
    if apply::write_differences(&compare(&before, &after), format, out)? {
        return Err(Error::DifferencesFound);
    }
    Ok(())
}
