//! The header and rows of the sheet.

use basilramp_wire::config::{Plan, Target};
use csv::StringRecord;

use super::{SheetError, cell, line_number};

const REQUIRED: [&str; 6] = [
    "service",
    "place",
    "from",
    "until",
    "ready",
    "headroom_percent",
];

const OPTIONAL: [&str; 3] = ["model", "version", "adapter"];

/// Column names in the order of the sheet.
#[derive(Debug)]
pub(super) struct Header {
    names: Vec<String>,
}

impl Header {
    /// Parses the first line. Fails on unknown, duplicate and missing columns.
    pub(super) fn parse(record: &StringRecord) -> Result<Self, Vec<SheetError>> {
        let names: Vec<String> = record.iter().map(str::to_owned).collect();
        let mut errors = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let message = if !REQUIRED.contains(&name.as_str()) && !OPTIONAL.contains(&&**name) {
                "is not a known column"
            } else if names[..index].contains(name) {
                "is duplicated"
            } else {
                continue;
            };
            errors.push(cell_error(record, index, name, message));
        }
        for name in REQUIRED {
            if !names.iter().any(|known| known == name) {
                let message = format!("the column {name} is missing");
                errors.push(cell_error(record, names.len(), "", message));
            }
        }
        if errors.is_empty() {
            Ok(Self { names })
        } else {
            Err(errors)
        }
    }

    fn column_index(&self, name: &str) -> usize {
        let index = self.names.iter().position(|known| known == name);
        index.unwrap_or(self.names.len())
    }
}

/// One row: a plan and the target of its service. Invalid cells are `None`.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// Line number, starting at 1.
    pub(super) line: u64,
    pub(super) service: Option<String>,
    pub(super) place: Option<String>,
    /// `from` and `until` in minutes after midnight.
    time_range: Option<(u32, u32)>,
    ready: Option<u32>,
    headroom_percent: Option<u32>,
    /// The inner option is `None` if the row has no model.
    pub(super) target: Option<Option<Target>>,
    columns: Vec<String>,
}

impl Row {
    /// Parses a row and appends the errors of its cells to `errors`.
    ///
    /// Returns `None` if the number of cells does not match the header.
    pub(super) fn parse(
        header: &Header,
        record: &StringRecord,
        errors: &mut Vec<SheetError>,
    ) -> Option<Self> {
        if record.len() != header.names.len() {
            let (actual, expected) = (record.len(), header.names.len());
            let message = format!("the row has {actual} cells, the header has {expected}");
            errors.push(cell_error(record, actual.min(expected), "", message));
            return None;
        }
        let mut parser = RowParser {
            header,
            record,
            errors,
        };
        Some(Self {
            line: line_number(record),
            service: parser.parse("service", cell::parse_name),
            place: parser.parse("place", cell::parse_name),
            time_range: parser.parse_time_range(),
            ready: parser.parse("ready", cell::parse_ready),
            headroom_percent: parser.parse("headroom_percent", cell::parse_percent),
            target: parser.parse_target(),
            columns: header.names.clone(),
        })
    }

    /// Returns the name and value of the plan, or `None` if one of its cells is invalid.
    pub(super) fn to_plan(&self) -> Option<(String, Plan)> {
        let (from_minute, until_minute) = self.time_range?;
        let plan = Plan {
            service: self.service.clone()?,
            place: self.place.clone()?,
            from_minute,
            until_minute,
            ready: self.ready?,
            headroom_percent: self.headroom_percent?,
        };
        let (hour, minute) = (from_minute / 60, from_minute % 60);
        let name = format!("{}/{}/{hour:02}{minute:02}", plan.service, plan.place);
        Some((name, plan))
    }

    /// Returns whether two rows overlap in time for the same service and place.
    pub(super) fn overlaps(&self, other: &Self) -> bool {
        let (Some((from, until)), Some((other_from, other_until))) =
            (self.time_range, other.time_range)
        else {
            return false;
        };
        let is_same = self.service.is_some()
            && self.service == other.service
            && self.place.is_some()
            && self.place == other.place;
        is_same && from < other_until && other_from < until
    }

    /// Creates an error about the cell in column `name`.
    pub(super) fn error(&self, name: &str, message: impl Into<String>) -> SheetError {
        let index = self.columns.iter().position(|known| known == name);
        SheetError {
            line: self.line,
            column: index.unwrap_or(0) + 1,
            column_name: name.to_owned(),
            message: message.into(),
        }
    }
}

/// Parses the cells of one row and collects their errors.
struct RowParser<'a> {
    header: &'a Header,
    record: &'a StringRecord,
    errors: &'a mut Vec<SheetError>,
}

impl RowParser<'_> {
    fn parse<T>(&mut self, name: &str, parse: fn(&str) -> Result<T, String>) -> Option<T> {
        match parse(self.cell(name)) {
            Ok(value) => Some(value),
            Err(message) => {
                self.error(name, message);
                None
            }
        }
    }

    /// Parses `from` and `until`. Returns `None` after an error.
    fn parse_time_range(&mut self) -> Option<(u32, u32)> {
        let from = self.parse("from", cell::parse_time_of_day);
        let until = self.parse("until", cell::parse_time_of_day);
        let time_range = from.zip(until)?;
        if time_range.1 <= time_range.0 {
            self.error("until", "must be later than from");
            return None;
        }
        Some(time_range)
    }

    /// Parses `model`, `version` and `adapter`. Returns `None` after an error.
    fn parse_target(&mut self) -> Option<Option<Target>> {
        let given = OPTIONAL.iter().find(|name| !self.cell(name).is_empty());
        if given.is_none() {
            return Some(None);
        }
        let model = self.parse("model", cell::parse_name);
        let version = self.parse("version", cell::parse_name);
        let adapter = if self.cell("adapter").is_empty() {
            Some(None)
        } else {
            self.parse("adapter", cell::parse_name).map(Some)
        };
        Some(Some(Target::Model {
            model: model?,
            adapter: adapter?,
            version: version?,
        }))
    }

    fn cell(&self, name: &str) -> &str {
        let index = self.header.column_index(name);
        self.record.get(index).unwrap_or_default()
    }

    fn error(&mut self, name: &str, message: impl Into<String>) {
        let index = self.header.column_index(name);
        self.errors
            .push(cell_error(self.record, index, name, message));
    }
}

fn cell_error(
    record: &StringRecord,
    index: usize,
    name: &str,
    message: impl Into<String>,
) -> SheetError {
    SheetError {
        line: line_number(record),
        column: index + 1,
        column_name: name.to_owned(),
        message: message.into(),
    }
}
