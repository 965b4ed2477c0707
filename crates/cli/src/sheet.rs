//! Parses a CSV sheet of plans. Every error of the sheet is reported at once.
//!
//! | column | content | |
//! |---|---|---|
//! | `service` | the service's name | required |
//! | `place` | the place's name | required |
//! | `from`, `until` | times of day in UTC, `HH:MM`; `until` may be `24:00` | required |
//! | `ready` | number of upstreams to keep ready | required |
//! | `headroom_percent` | share of them reserved for running programs, 0 to 100 | required |
//! | `model`, `version`, `adapter` | the new target of the service | optional |
//!
//! A plan is named after its service, place and start time: `advice/casa-a/0600`.

mod cell;
mod row;

use std::collections::BTreeMap;
use std::fmt;

use basilramp_wire::config::{ItemKind, Service, Target, Value};
use csv::{ReaderBuilder, StringRecord, Trim};

use crate::difference::Items;

use row::{Header, Row};

/// An error of the sheet and its position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SheetError {
    /// Line number, starting at 1.
    line: u64,
    /// Column number, starting at 1.
    column: usize,
    /// Column name; empty if the error is not about one cell.
    column_name: String,
    message: String,
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)?;
        if !self.column_name.is_empty() {
            write!(f, " ({})", self.column_name)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// Returns the current items with the plans and service targets of the sheet applied.
///
/// Plans that the sheet does not list are removed unless `keep_unlisted` is set. On failure, all
/// errors are returned, sorted by position.
pub(crate) fn parse(
    text: &[u8],
    items: &Items,
    keep_unlisted: bool,
) -> Result<Items, Vec<SheetError>> {
    let mut errors = Vec::new();
    let rows = parse_rows(text, &mut errors);
    let mut desired = items.clone();
    if !keep_unlisted {
        desired.retain(|(kind, _), _| *kind != ItemKind::Plan);
    }
    set_services(&rows, &mut desired, &mut errors);
    set_plans(&rows, &mut desired, &mut errors);
    if rows.is_empty() && errors.is_empty() {
        errors.push(sheet_error("the sheet has no rows"));
    }
    if errors.is_empty() {
        return Ok(desired);
    }
    errors.sort();
    Err(errors)
}

fn parse_rows(text: &[u8], errors: &mut Vec<SheetError>) -> Vec<Row> {
    let mut reader = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(Trim::All)
        .from_reader(text);
    let mut header = None;
    let mut rows = Vec::new();
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                errors.push(csv_error(&error));
                continue;
            }
        };
        match &header {
            None => match Header::parse(&record) {
                Ok(parsed) => header = Some(parsed),
                Err(header_errors) => {
                    errors.extend(header_errors);
                    return Vec::new();
                }
            },
            Some(header) => rows.extend(Row::parse(header, &record, errors)),
        }
    }
    if header.is_none() && errors.is_empty() {
        errors.push(sheet_error("the sheet is empty"));
    }
    rows
}

/// Sets the targets of the services. All rows of one service must have the same target.
fn set_services(rows: &[Row], desired: &mut Items, errors: &mut Vec<SheetError>) {
    let mut first_rows: BTreeMap<&str, (&Row, &Option<Target>)> = BTreeMap::new();
    for row in rows {
        let (Some(name), Some(target)) = (&row.service, &row.target) else {
            continue;
        };
        let (earlier, earlier_target) = *first_rows.entry(name).or_insert((row, target));
        if earlier_target != target {
            let message = format!("differs from line {} for the same service", earlier.line);
            errors.push(row.error("model", message));
        }
    }
    for (name, (row, target)) in first_rows {
        let key = (ItemKind::Service, name.to_owned());
        let current = match desired.get(&key) {
            Some(Value::Service(service)) => Some(service.clone()),
            _ => None,
        };
        match resolve_service(row, target, current) {
            Ok(service) => {
                desired.insert(key, Value::Service(service));
            }
            Err(error) => errors.push(error),
        }
    }
}

/// Returns the service of a row: the current one, or one with the target of the row.
fn resolve_service(
    row: &Row,
    target: &Option<Target>,
    current: Option<Service>,
) -> Result<Service, SheetError> {
    let Some(target) = target else {
        return current.ok_or_else(|| {
            let message = "is not configured, and the sheet has no model for it";
            row.error("service", message)
        });
    };
    match current {
        Some(service) if matches!(service.target, Target::Plain { .. }) => {
            let message = "is a plain service, so it has no model";
            Err(row.error("model", message))
        }
        Some(service) => Ok(Service {
            target: target.clone(),
            ..service
        }),
        None => Ok(Service {
            target: target.clone(),
            timeout_ms: Service::default_timeout_ms(),
        }),
    }
}

/// Sets the plans. Plans of the same service and place must not overlap in time.
fn set_plans(rows: &[Row], desired: &mut Items, errors: &mut Vec<SheetError>) {
    let mut lines_by_name = BTreeMap::new();
    for (index, row) in rows.iter().enumerate() {
        let place = row.place.as_ref();
        let is_configured =
            |place: &String| desired.contains_key(&(ItemKind::Place, place.clone()));
        if place.is_some_and(|place| !is_configured(place)) {
            errors.push(row.error("place", "is not configured"));
        }
        if let Some(earlier) = rows[..index].iter().find(|earlier| earlier.overlaps(row)) {
            let message = format!("overlaps with line {}", earlier.line);
            errors.push(row.error("from", message));
        }
        let Some((name, plan)) = row.to_plan() else {
            continue;
        };
        match lines_by_name.insert(name.clone(), row.line) {
            // Rows with the same service, place and start time overlap, which is already reported.
            Some(earlier) if !rows[..index].iter().any(|earlier| earlier.overlaps(row)) => {
                let message = format!("yields the plan name {name}, like line {earlier}");
                errors.push(row.error("service", message));
            }
            _ => {
                desired.insert((ItemKind::Plan, name), Value::Plan(plan));
            }
        }
    }
}

fn sheet_error(message: &str) -> SheetError {
    SheetError {
        line: 1,
        column: 1,
        column_name: String::new(),
        message: message.to_owned(),
    }
}

fn csv_error(error: &csv::Error) -> SheetError {
    let line = error.position().map_or(1, csv::Position::line);
    let (column, message) = match error.kind() {
        csv::ErrorKind::Utf8 { err, .. } => (err.field() + 1, "is not UTF-8 text".to_owned()),
        _ => (1, error.to_string()),
    };
    SheetError {
        line,
        column,
        column_name: String::new(),
        message,
    }
}

fn line_number(record: &StringRecord) -> u64 {
    record.position().map_or(1, csv::Position::line)
}
