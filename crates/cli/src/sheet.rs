//! The planners' sheet: CSV, checked whole before anything changes.
//!
//! | column | holds | |
//! |---|---|---|
//! | `service` | the service's name | required |
//! | `place` | the place's name | required |
//! | `from`, `until` | times of the day in UTC, `HH:MM`; `until` may be `24:00` | required |
//! | `ready` | upstreams that should be ready | required |
//! | `headroom_percent` | share of them kept for programs under way, 0 to 100 | required |
//! | `model`, `version`, `adapter` | what the service leads to from now on | optional |
//!
//! A plan is named after its service, place and start: `advice/casa-a/0600`.

mod cell;
mod row;

use std::collections::BTreeMap;
use std::fmt;

use basilramp_wire::config::{ItemKind, Service, Target, Value};
use csv::{ReaderBuilder, StringRecord, Trim};

use crate::change::Items;

use row::{Header, Row};

/// A fault and where it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Fault {
    /// The line, from one.
    line: u64,
    /// The column of the sheet, from one.
    column: usize,
    /// The column's name.
    name: String,
    message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)?;
        if !self.name.is_empty() {
            write!(f, " ({})", self.name)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// Reads a sheet over the items in force, and returns the items that it asks for.
///
/// Plans that the sheet does not name are dropped unless `keep` is set.
pub(crate) fn read(text: &[u8], items: &Items, keep: bool) -> Result<Items, Vec<Fault>> {
    let mut faults = Vec::new();
    let rows = rows(text, &mut faults);
    let mut wanted = items.clone();
    if !keep {
        wanted.retain(|(kind, _), _| *kind != ItemKind::Plan);
    }
    set_services(&rows, &mut wanted, &mut faults);
    set_plans(&rows, &mut wanted, &mut faults);
    if rows.is_empty() && faults.is_empty() {
        faults.push(whole("the sheet has no rows"));
    }
    if faults.is_empty() {
        return Ok(wanted);
    }
    faults.sort();
    Err(faults)
}

fn rows(text: &[u8], faults: &mut Vec<Fault>) -> Vec<Row> {
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
                faults.push(unreadable(&error));
                continue;
            }
        };
        match &header {
            None => match Header::read(&record) {
                Ok(read) => header = Some(read),
                Err(found) => {
                    faults.extend(found);
                    return Vec::new();
                }
            },
            Some(header) => rows.extend(Row::read(header, &record, faults)),
        }
    }
    if header.is_none() && faults.is_empty() {
        faults.push(whole("the sheet is empty"));
    }
    rows
}

/// Sets what services lead to. All rows of one service have to agree.
fn set_services(rows: &[Row], wanted: &mut Items, faults: &mut Vec<Fault>) {
    let mut first: BTreeMap<&str, (&Row, &Option<Target>)> = BTreeMap::new();
    for row in rows {
        let (Some(name), Some(model)) = (&row.service, &row.model) else {
            continue;
        };
        let (earlier, earlier_model) = *first.entry(name).or_insert((row, model));
        if earlier_model != model {
            let message = format!("is not what line {} says for this service", earlier.line);
            faults.push(row.fault("model", message));
        }
    }
    for (name, (row, model)) in first {
        let key = (ItemKind::Service, name.to_owned());
        let current = match wanted.get(&key) {
            Some(Value::Service(service)) => Some(service.clone()),
            _ => None,
        };
        match service(row, model, current) {
            Ok(service) => {
                wanted.insert(key, Value::Service(service));
            }
            Err(fault) => faults.push(fault),
        }
    }
}

/// Returns the service that a row asks for.
fn service(row: &Row, model: &Option<Target>, current: Option<Service>) -> Result<Service, Fault> {
    let Some(target) = model else {
        return current.ok_or_else(|| {
            let message = "is not configured, and the sheet gives no model for it";
            row.fault("service", message)
        });
    };
    match current {
        Some(service) if matches!(service.target, Target::Plain { .. }) => {
            let message = "is a plain service, so it has no model";
            Err(row.fault("model", message))
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

/// Sets the plans. Those of one service and place may not overlap.
fn set_plans(rows: &[Row], wanted: &mut Items, faults: &mut Vec<Fault>) {
    let mut lines = BTreeMap::new();
    for (index, row) in rows.iter().enumerate() {
        let place = row.place.as_ref();
        let is_configured = |place: &String| wanted.contains_key(&(ItemKind::Place, place.clone()));
        if place.is_some_and(|place| !is_configured(place)) {
            faults.push(row.fault("place", "is not configured"));
        }
        if let Some(earlier) = rows[..index].iter().find(|earlier| earlier.overlaps(row)) {
            let message = format!("overlaps with line {}", earlier.line);
            faults.push(row.fault("from", message));
        }
        let Some((name, plan)) = row.plan() else {
            continue;
        };
        match lines.insert(name.clone(), row.line) {
            // Two rows of one service, place and start overlap, which has been said.
            Some(earlier) if !rows[..index].iter().any(|earlier| earlier.overlaps(row)) => {
                let message = format!("gives the plan the name {name}, as line {earlier} does");
                faults.push(row.fault("service", message));
            }
            _ => {
                wanted.insert((ItemKind::Plan, name), Value::Plan(plan));
            }
        }
    }
}

fn whole(message: &str) -> Fault {
    Fault {
        line: 1,
        column: 1,
        name: String::new(),
        message: message.to_owned(),
    }
}

fn unreadable(error: &csv::Error) -> Fault {
    let line = error.position().map_or(1, csv::Position::line);
    let (column, message) = match error.kind() {
        csv::ErrorKind::Utf8 { err, .. } => (err.field() + 1, "is not UTF-8 text".to_owned()),
        _ => (1, error.to_string()),
    };
    Fault {
        line,
        column,
        name: String::new(),
        message,
    }
}

fn line(record: &StringRecord) -> u64 {
    record.position().map_or(1, csv::Position::line)
}
