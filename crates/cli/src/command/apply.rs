//! Makes a change of configuration from wanted items.

use std::io::Write;

use basilramp_wire::config::{Change, Snapshot};
use basilramp_wire::error::Kind;
use basilramp_wire::operator::Applied;

use crate::change::{Difference, Items, compare, edits, items};
use crate::client::Client;
use crate::config::{ChangeOptions, OutputFormat};
use crate::error::Error;
use crate::progress::Progress;
use crate::{output, replay};

/// Reads the configuration in force.
pub(super) async fn snapshot(client: &Client) -> Result<Snapshot, Error> {
    client.get("/v1/config").await
}

/// Writes differences. Returns whether there are any.
pub(super) fn write(
    differences: &[Difference],
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<bool, Error> {
    match output {
        OutputFormat::Json => output::json(out, &differences)?,
        OutputFormat::Table if differences.is_empty() => writeln!(out, "no difference")?,
        OutputFormat::Table => {
            for difference in differences {
                writeln!(out, "{difference}")?;
            }
        }
    }
    Ok(!differences.is_empty())
}

/// Changes the configuration from a snapshot to the wanted items, or prints the difference.
pub(super) async fn run(
    client: &Client,
    snapshot: &Snapshot,
    wanted: &Items,
    operation: &ChangeOptions,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let differences = compare(&items(snapshot), wanted);
    if operation.dry_run {
        write(&differences, output, out)?;
        return Ok(());
    }
    if differences.is_empty() {
        return report(None, &differences, output, out);
    }
    let base = operation.base.unwrap_or(snapshot.version);
    let change = Change {
        base,
        operator: String::new(),
        reason: operation.reason.clone(),
        at_ms: 0,
        edits: edits(&differences),
    };
    let version = send(client, &change).await?;
    report(Some(version), &differences, output, out)
}

async fn send(client: &Client, change: &Change) -> Result<u64, Error> {
    let progress = Progress::open(format!("changing {} items", change.edits.len()));
    let answer = client.change::<Applied>(change).await;
    drop(progress);
    match answer {
        Ok(applied) => Ok(applied.version),
        Err(Error::Rejected(error)) if error.kind == Kind::StaleVersion => {
            let told = error.details;
            Err(stale(client, change.base, told).await)
        }
        Err(error) => Err(error),
    }
}

/// Makes the error of a stale change; it tells what the other changes did.
async fn stale(client: &Client, base: u64, told: Vec<String>) -> Error {
    let changes = match replay::read(client, base).await {
        Ok(changes) if !changes.is_empty() => replay::describe(&changes),
        _ => told,
    };
    Error::StaleBase { base, changes }
}

fn report(
    version: Option<u64>,
    differences: &[Difference],
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    if output == OutputFormat::Json {
        let report = serde_json::json!({"version": version, "differences": differences});
        return output::json(out, &report);
    }
    write(differences, output, out)?;
    match version {
        Some(version) => writeln!(out, "accepted as version {version}")?,
        None => writeln!(out, "nothing to change")?,
    }
    Ok(())
}
