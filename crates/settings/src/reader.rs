//! Reads values out of a parsed settings file, and collects every fault on the way.

use std::cell::RefCell;
use std::collections::BTreeSet;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

use crate::fault::{Fault, Faults};

/// The text of a file, and the faults found in it so far.
#[derive(Debug)]
pub struct Document<'a> {
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Document<'a> {
    /// Makes a source without faults.
    pub const fn new(text: &'a str) -> Self {
        Self {
            text,
            faults: RefCell::new(Vec::new()),
        }
    }

    /// Notes a fault at a byte of the text.
    pub fn record_fault(&self, offset: usize, path: impl Into<String>, message: impl Into<String>) {
        let before = &self.text[..offset];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        self.faults.borrow_mut().push(Fault {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            path: path.into(),
            message: message.into(),
        });
    }

    /// Returns every fault, by place.
    pub fn into_faults(self) -> Faults {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|fault| (fault.line, fault.column));
        Faults(faults)
    }
}

/// An object in the file; reading a field marks it as known.
#[derive(Debug)]
pub struct Section<'a> {
    document: &'a Document<'a>,
    /// Nothing when the section is absent or no object.
    object: Option<&'a Object<'a>>,
    /// Where the section, or the one around it, begins.
    offset: usize,
    path: String,
    read_fields: BTreeSet<&'static str>,
}

impl<'a> Section<'a> {
    /// Makes a section of a value that has to be an object.
    pub fn new(document: &'a Document<'a>, value: &'a Value<'a>, path: String) -> Self {
        let object = value.as_object();
        if object.is_none() {
            document.record_fault(value.start(), path.as_str(), "has to be an object");
        }
        Self {
            document,
            object,
            offset: value.start(),
            path,
            read_fields: BTreeSet::new(),
        }
    }

    /// Reads a section that has to be there.
    pub fn section(&mut self, name: &'static str) -> Self {
        self.require_field(name);
        self.optional_section(name)
    }

    /// Reads a section that may be left out.
    pub fn optional_section(&mut self, name: &'static str) -> Self {
        let path = self.field_path(name);
        match self.field_value(name) {
            Some(value) => Section::new(self.document, value, path),
            None => Self {
                document: self.document,
                object: None,
                offset: self.offset,
                path,
                read_fields: BTreeSet::new(),
            },
        }
    }

    /// Reads a list of sections that may be left out.
    pub fn sections(&mut self, name: &'static str) -> Vec<Self> {
        let path = self.field_path(name);
        let Some(value) = self.field_value(name) else {
            return Vec::new();
        };
        let Some(list) = value.as_array() else {
            self.document
                .record_fault(value.start(), path, "has to be a list");
            return Vec::new();
        };
        let entries = list.elements.iter().enumerate();
        entries
            .map(|(index, entry)| Section::new(self.document, entry, format!("{path}[{index}]")))
            .collect()
    }

    /// Reads a value that has to be there. Returns nothing after a fault.
    pub fn required<T>(&mut self, name: &'static str, read: ValueParser<T>) -> Option<T> {
        self.require_field(name);
        self.optional(name, read)
    }

    /// Reads a value that may be left out, or returns the default, also after a fault.
    pub fn optional_or<T>(&mut self, name: &'static str, read: ValueParser<T>, default: T) -> T {
        self.optional(name, read).unwrap_or(default)
    }

    /// Reads a value that may be left out. Returns nothing then, or after a fault.
    pub fn optional<T>(&mut self, name: &'static str, read: ValueParser<T>) -> Option<T> {
        let value = self.field_value(name)?;
        match read(value) {
            Ok(read) => Some(read),
            Err(message) => {
                self.document
                    .record_fault(value.start(), self.field_path(name), message);
                None
            }
        }
    }

    /// Notes a fault of a field's value.
    pub fn record_fault(&mut self, name: &'static str, message: impl Into<String>) {
        let offset = self.field_value(name).map_or(self.offset, Ranged::start);
        self.document
            .record_fault(offset, self.field_path(name), message);
    }

    /// Notes a fault for each field that is not known, or given twice.
    pub fn finish(self) {
        let Some(object) = self.object else {
            return;
        };
        let mut seen_names = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let message = if !self.read_fields.contains(name) {
                "is not a known setting"
            } else if !seen_names.insert(name) {
                "is given twice"
            } else {
                continue;
            };
            self.document
                .record_fault(property.range.start, self.field_path(name), message);
        }
    }

    fn field_value(&mut self, name: &'static str) -> Option<&'a Value<'a>> {
        self.read_fields.insert(name);
        self.object?.get(name).map(|property| &property.value)
    }

    /// Notes a fault if a field is missing from an object that is there.
    fn require_field(&mut self, name: &'static str) {
        if self.object.is_some() && self.field_value(name).is_none() {
            self.document
                .record_fault(self.offset, self.field_path(name), "is missing");
        }
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}

/// Reads one value, or says what it has to be.
pub type ValueParser<T> = fn(&Value<'_>) -> Result<T, String>;
