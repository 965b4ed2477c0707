//! `plan import`: replaces the plans with those of a sheet.

use std::io::Write;

use super::{apply, item};
use crate::client::Client;
use crate::config::{ImportArgs, OutputFormat};
use crate::difference::snapshot_items;
use crate::error::Error;
use crate::sheet;

/// Validates the whole sheet, then sends it as one configuration change.
pub(super) async fn run(
    client: &Client,
    args: &ImportArgs,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let text = item::read_file(&args.sheet)?;
    let snapshot = apply::fetch_snapshot(client).await?;
    let desired =
        sheet::parse(&text, &snapshot_items(&snapshot), args.keep_unlisted).map_err(|errors| {
            let file = args.sheet.display().to_string();
            let errors = errors.iter().map(ToString::to_string).collect();
            Error::InvalidInput { file, errors }
        })?;
    apply::apply_items(client, &snapshot, &desired, &args.options, format, out).await
}
