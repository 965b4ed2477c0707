//! Replaces the plans by those of a sheet.

use std::io::Write;

use super::{apply, item};
use crate::change::items;
use crate::client::Client;
use crate::config::{ImportArgs, OutputFormat};
use crate::error::Error;
use crate::sheet;

/// Reads and checks the whole sheet, then makes one change of it.
pub(super) async fn run(
    client: &Client,
    import: &ImportArgs,
    output: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let text = item::read_file(&import.sheet)?;
    let snapshot = apply::snapshot(client).await?;
    let wanted = sheet::read(&text, &items(&snapshot), import.keep_unlisted).map_err(|faults| {
        let file = import.sheet.display().to_string();
        let errors = faults.iter().map(ToString::to_string).collect();
        Error::InvalidInput { file, errors }
    })?;
    apply::run(client, &snapshot, &wanted, &import.options, output, out).await
}
