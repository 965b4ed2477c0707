//! Formats results as tables or JSON.

use std::io::Write;

use basilramp_wire::config::{ItemKind, Target, Value};
use comfy_table::{Table, presets};
use serde::Serialize;

use crate::error::Error;

/// Writes a value as indented JSON.
pub(crate) fn write_json(out: &mut impl Write, value: &impl Serialize) -> Result<(), Error> {
    serde_json::to_writer_pretty(&mut *out, value).map_err(std::io::Error::from)?;
    writeln!(out)?;
    Ok(())
}

/// Writes a table with a header, or `none` if there are no rows.
pub(crate) fn write_table(
    out: &mut impl Write,
    header: &[&str],
    rows: Vec<Vec<String>>,
) -> Result<(), Error> {
    if rows.is_empty() {
        writeln!(out, "none")?;
        return Ok(());
    }
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    table.add_rows(rows);
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    for line in table.lines() {
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}

/// Returns the column names of the table for items of one kind.
pub(crate) const fn column_names(kind: ItemKind) -> &'static [&'static str] {
    match kind {
        ItemKind::Service => &["NAME", "TARGET", "IDEMPOTENT", "TIMEOUT MS", "CHANGED"],
        ItemKind::Place => &["NAME", "FAILURE DOMAIN", "FENCING", "CHANGED"],
        ItemKind::Plan => &[
            "NAME", "SERVICE", "PLACE", "FROM", "UNTIL", "READY", "HEADROOM", "CHANGED",
        ],
        ItemKind::Limit => &["NAME", "REQUESTS/S", "PROGRAMS", "KEY DIGEST", "CHANGED"],
    }
}

/// Returns the cells of an item in the order of [`column_names`].
pub(crate) fn item_cells(name: &str, version: u64, value: &Value) -> Vec<String> {
    let mut cells = vec![name.to_owned()];
    match value {
        Value::Service(service) => {
            cells.extend(target_cells(&service.target));
            cells.push(service.timeout_ms.to_string());
        }
        Value::Place(place) => {
            cells.push(place.failure_domain.clone());
            cells.push(yes_or_no(place.fencing));
        }
        Value::Plan(plan) => cells.extend([
            plan.service.clone(),
            plan.place.clone(),
            format_time_of_day(plan.from_minute),
            format_time_of_day(plan.until_minute),
            plan.ready.to_string(),
            format!("{}%", plan.headroom_percent),
        ]),
        Value::Limit(limit) => cells.extend([
            limit.requests_per_s.to_string(),
            limit.programs.to_string(),
            digest_prefix(&limit.key_sha256),
        ]),
    }
    cells.push(version.to_string());
    cells
}

/// Returns the target of a service and whether its calls are idempotent.
fn target_cells(target: &Target) -> [String; 2] {
    match target {
        Target::Model {
            model,
            adapter,
            version,
        } => {
            let adapter = adapter.as_ref();
            let adapter = adapter.map(|adapter| format!("+{adapter}"));
            let text = format!("{model}@{version}{}", adapter.unwrap_or_default());
            [text, yes_or_no(true)]
        }
        Target::Plain {
            path, idempotent, ..
        } => [path.clone(), yes_or_no(*idempotent)],
    }
}

fn format_time_of_day(minute: u32) -> String {
    format!("{:02}:{:02}", minute / 60, minute % 60)
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Returns the first characters of a key digest.
fn digest_prefix(text: &str) -> String {
    const PREFIX_CHARS: usize = 12;
    text.chars().take(PREFIX_CHARS).collect()
}
