//! Computes and sends the configuration change that produces the wanted items.

use std::io::Write;

use basilramp_wire::config::{Change, Snapshot};
use basilramp_wire::error::Kind;
use basilramp_wire::operator::AppliedChange;

use crate::client::Client;
use crate::config::{ChangeOptions, OutputFormat};
use crate::difference::{Difference, Items, compare, snapshot_items, to_edits};
use crate::error::Error;
use crate::progress::Progress;
use crate::{change_log, output};

/// Fetches the current configuration.
pub(super) async fn fetch_snapshot(client: &Client) -> Result<Snapshot, Error> {
    client.get("/v1/config").await
}

/// Writes the differences and returns whether there are any.
pub(super) fn write_differences(
    differences: &[Difference],
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<bool, Error> {
    match format {
        OutputFormat::Json => output::write_json(out, &differences)?,
        OutputFormat::Table if differences.is_empty() => writeln!(out, "no difference")?,
        OutputFormat::Table => {
            for difference in differences {
                writeln!(out, "{difference}")?;
            }
        }
    }
    Ok(!differences.is_empty())
}

/// Sends the change from `snapshot` to `desired` as one atomic change and writes the result.
///
/// A dry run only writes the differences.
pub(super) async fn apply_items(
    client: &Client,
    snapshot: &Snapshot,
    desired: &Items,
    options: &ChangeOptions,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let differences = compare(&snapshot_items(snapshot), desired);
    if options.dry_run {
        write_differences(&differences, format, out)?;
        return Ok(());
    }
    if differences.is_empty() {
        return write_result(None, &differences, format, out);
    }
    let base = options.base.unwrap_or(snapshot.version);
    let change = Change {
        base,
        operator: String::new(),
        reason: options.reason.clone(),
        at_ms: 0,
        edits: to_edits(&differences),
    };
    let version = post_change(client, &change).await?;
    write_result(Some(version), &differences, format, out)
}

async fn post_change(client: &Client, change: &Change) -> Result<u64, Error> {
    let progress = Progress::start(format!("changing {} items", change.edits.len()));
    let result = client.post_change::<AppliedChange>(change).await;
    drop(progress);
    match result {
        Ok(applied) => Ok(applied.version),
        Err(Error::Rejected(error)) if error.kind == Kind::StaleVersion => {
            let details = error.details;
            Err(stale_base_error(client, change.base, details).await)
        }
        Err(error) => Err(error),
    }
}

/// Creates the error of a change with an outdated base version.
///
/// It lists the changes made since `base`, or `details` if the change log is unavailable.
async fn stale_base_error(client: &Client, base: u64, details: Vec<String>) -> Error {
    let changes = match change_log::fetch(client, base).await {
        Ok(changes) if !changes.is_empty() => change_log::describe_changes(&changes),
        _ => details,
    };
    Error::StaleBase { base, changes }
}

fn write_result(
    version: Option<u64>,
    differences: &[Difference],
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    if format == OutputFormat::Json {
        let report = serde_json::json!({"version": version, "differences": differences});
        return output::write_json(out, &report);
    }
    write_differences(differences, format, out)?;
    match version {
        Some(version) => writeln!(out, "accepted as version {version}")?,
        None => writeln!(out, "nothing to change")?,
    }
    Ok(())
}
