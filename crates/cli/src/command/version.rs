//! The configuration as a whole: what is in force, its log, and differences between versions.

use std::io::Write;

use basilramp_wire::config::Kind;

use super::apply;
use crate::change::compare;
use crate::client::Client;
use crate::config::OutputFormat;
use crate::error::Error;
use crate::{output, replay, utc};

const KINDS: [(Kind, &str); 4] = [
    (Kind::Service, "services"),
    (Kind::Place, "places"),
    (Kind::Plan, "plans"),
    (Kind::Limit, "limits"),
];

/// Shows every item in force.
pub(super) async fn show(
    client: &Client,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let snapshot = apply::snapshot(client).await?;
    if output == OutputFormat::Json {
        return output::json(out, &snapshot);
    }
    writeln!(out, "version {}", snapshot.version)?;
    for (kind, name) in KINDS {
        let items = snapshot.items.iter();
        let items = items.filter(|item| item.value.kind() == kind);
        let rows = items.map(|item| output::cells(&item.name, item.version, &item.value));
        writeln!(out, "\n{name}")?;
        output::table(out, output::columns(kind), rows.collect())?;
    }
    Ok(())
}

/// Shows the changes after a version.
pub(super) async fn log(
    client: &Client,
    after: u64,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let changes = replay::read(client, after).await?;
    if output == OutputFormat::Json {
        return output::json(out, &changes);
    }
    let rows = changes.into_iter().map(|logged| {
        vec![
            logged.version.to_string(),
            utc::format(logged.change.at_ms),
            logged.change.operator,
            logged.change.edits.len().to_string(),
            logged.change.reason,
        ]
    });
    let header = ["VERSION", "TIME", "OPERATOR", "ITEMS", "REASON"];
    output::table(out, &header, rows.collect())
}

/// Shows what differs between two versions.
pub(super) async fn diff(
    client: &Client,
    from: u64,
    to: Option<u64>,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let changes = replay::read(client, 0).await?;
    let newest = changes.last().map_or(0, |logged| logged.version);
    let to = to.unwrap_or(newest);
    if from.max(to) > newest {
        let message = format!(
            "there is no version {}; the newest is {newest}",
            from.max(to)
        );
        return Err(Error::NotFound(message));
    }
    let before = replay::items_at(&changes, from);
    let after = replay::items_at(&changes, to);
    if apply::write(&compare(&before, &after), output, out)? {
        return Err(Error::DifferencesFound);
    }
    Ok(())
}
