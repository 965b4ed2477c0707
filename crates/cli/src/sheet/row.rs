//! The header and the rows of the sheet.

use basilramp_wire::config::{Plan, Target};
use csv::StringRecord;

use super::{Fault, cell, line};

const REQUIRED: [&str; 6] = [
    "service",
    "place",
    "from",
    "until",
    "ready",
    "headroom_percent",
];

const OPTIONAL: [&str; 3] = ["model", "version", "adapter"];

/// The columns' names in the order of the sheet.
#[derive(Debug)]
pub(super) struct Header {
    names: Vec<String>,
}

impl Header {
    /// Reads the first line.
    pub(super) fn read(record: &StringRecord) -> Result<Self, Vec<Fault>> {
        let names: Vec<String> = record.iter().map(str::to_owned).collect();
        let mut faults = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let message = if !REQUIRED.contains(&name.as_str()) && !OPTIONAL.contains(&&**name) {
                "is not a known column"
            } else if names[..index].contains(name) {
                "is given twice"
            } else {
                continue;
            };
            faults.push(fault(record, index, name, message));
        }
        for name in REQUIRED {
            if !names.iter().any(|known| known == name) {
                let message = format!("the column {name} is missing");
                faults.push(fault(record, names.len(), "", message));
            }
        }
        if faults.is_empty() {
            Ok(Self { names })
        } else {
            Err(faults)
        }
    }

    fn index(&self, name: &str) -> usize {
        let index = self.names.iter().position(|known| known == name);
        index.unwrap_or(self.names.len())
    }
}

/// One row: a plan, and what its service leads to. Cells with a fault hold nothing.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// The line, from one.
    pub(super) line: u64,
    pub(super) service: Option<String>,
    pub(super) place: Option<String>,
    /// Minutes after midnight: from, until.
    minutes: Option<(u32, u32)>,
    ready: Option<u32>,
    headroom_percent: Option<u32>,
    /// The inner option holds nothing if the row names no model.
    pub(super) model: Option<Option<Target>>,
    columns: Vec<String>,
}

impl Row {
    /// Reads a row. Returns nothing if its cells can't be told apart.
    pub(super) fn read(
        header: &Header,
        record: &StringRecord,
        faults: &mut Vec<Fault>,
    ) -> Option<Self> {
        if record.len() != header.names.len() {
            let (has, wants) = (record.len(), header.names.len());
            let message = format!("the row has {has} cells, the header has {wants}");
            faults.push(fault(record, has.min(wants), "", message));
            return None;
        }
        let mut cells = Cells {
            header,
            record,
            faults,
        };
        Some(Self {
            line: line(record),
            service: cells.read("service", cell::name),
            place: cells.read("place", cell::name),
            minutes: cells.minutes(),
            ready: cells.read("ready", cell::ready),
            headroom_percent: cells.read("headroom_percent", cell::percent),
            model: cells.model(),
            columns: header.names.clone(),
        })
    }

    /// Returns the row's plan and its name; nothing if a cell of it has a fault.
    pub(super) fn plan(&self) -> Option<(String, Plan)> {
        let (from_minute, until_minute) = self.minutes?;
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

    /// Tells whether two rows plan the same service and place at the same time.
    pub(super) fn overlaps(&self, other: &Self) -> bool {
        let (Some((from, until)), Some((other_from, other_until))) = (self.minutes, other.minutes)
        else {
            return false;
        };
        let is_same = self.service.is_some()
            && self.service == other.service
            && self.place.is_some()
            && self.place == other.place;
        is_same && from < other_until && other_from < until
    }

    /// Makes the fault of a cell.
    pub(super) fn fault(&self, name: &str, message: impl Into<String>) -> Fault {
        let index = self.columns.iter().position(|known| known == name);
        Fault {
            line: self.line,
            column: index.unwrap_or(0) + 1,
            name: name.to_owned(),
            message: message.into(),
        }
    }
}

/// The cells of one row.
struct Cells<'a> {
    header: &'a Header,
    record: &'a StringRecord,
    faults: &'a mut Vec<Fault>,
}

impl Cells<'_> {
    fn read<T>(&mut self, name: &str, read: fn(&str) -> Result<T, String>) -> Option<T> {
        match read(self.text(name)) {
            Ok(value) => Some(value),
            Err(message) => {
                self.fault(name, message);
                None
            }
        }
    }

    /// Reads from and until. Returns nothing after a fault.
    fn minutes(&mut self) -> Option<(u32, u32)> {
        let from = self.read("from", cell::minute);
        let until = self.read("until", cell::minute);
        let minutes = from.zip(until)?;
        if minutes.1 <= minutes.0 {
            self.fault("until", "has to be later than from");
            return None;
        }
        Some(minutes)
    }

    /// Reads model, version and adapter. Returns nothing after a fault.
    fn model(&mut self) -> Option<Option<Target>> {
        let given = OPTIONAL.iter().find(|name| !self.text(name).is_empty());
        if given.is_none() {
            return Some(None);
        }
        let model = self.read("model", cell::name);
        let version = self.read("version", cell::name);
        let adapter = if self.text("adapter").is_empty() {
            Some(None)
        } else {
            self.read("adapter", cell::name).map(Some)
        };
        Some(Some(Target::Model {
            model: model?,
            adapter: adapter?,
            version: version?,
        }))
    }

    fn text(&self, name: &str) -> &str {
        let index = self.header.index(name);
        self.record.get(index).unwrap_or_default()
    }

    fn fault(&mut self, name: &str, message: impl Into<String>) {
        let index = self.header.index(name);
        self.faults.push(fault(self.record, index, name, message));
    }
}

fn fault(record: &StringRecord, index: usize, name: &str, message: impl Into<String>) -> Fault {
    Fault {
        line: line(record),
        column: index + 1,
        name: name.to_owned(),
        message: message.into(),
    }
}
