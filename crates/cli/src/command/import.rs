//! Replaces the plans by those of a sheet.

use std::io::Write;

use super::{apply, item};
use crate::change::items;
use crate::client::Client;
use crate::config::{Import, Output};
use crate::error::Error;
use crate::sheet;

/// Reads and checks the whole sheet, then makes one change of it.
pub(super) async fn run(
    client: &Client,
    import: &Import,
    output: Output,
    out: &mut impl Write,
) -> Result<(), Error> {
    let text = item::read_file(&import.sheet)?;
    let snapshot = apply::snapshot(client).await?;
    let wanted = sheet::read(&text, &items(&snapshot), import.keep).map_err(|faults| {
        let file = import.sheet.display().to_string();
        let faults = faults.iter().map(ToString::to_string).collect();
        Error::Input { file, faults }
    })?;
    apply::run(client, &snapshot, &wanted, &import.operation, output, out).await
}
