//! Reads typed values from a parsed settings file and collects all faults.

use std::cell::RefCell;
use std::collections::BTreeSet;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

use crate::fault::{Fault, Faults};

/// The text of a settings file and the faults found in it so far.
#[derive(Debug)]
pub struct Document<'a> {
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Document<'a> {
    /// Creates a document without faults.
    pub const fn new(text: &'a str) -> Self {
        Self {
            text,
            faults: RefCell::new(Vec::new()),
        }
    }

    /// Records a fault at a byte offset of the text.
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

    /// Returns all faults, ordered by position.
    pub fn into_faults(self) -> Faults {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|fault| (fault.line, fault.column));
        Faults(faults)
    }
}

/// An object of the file. It tracks which fields were read; [`Section::finish`] reports all others.
#[derive(Debug)]
pub struct Section<'a> {
    document: &'a Document<'a>,
    /// `None` if the section is absent or not an object.
    object: Option<&'a Object<'a>>,
    /// Byte offset of the section, or of the enclosing one if the section is absent.
    offset: usize,
    path: String,
    read_fields: BTreeSet<&'static str>,
}

impl<'a> Section<'a> {
    /// Creates a section from a value; records a fault if it is not an object.
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

    /// Reads a required section; records a fault if it is absent.
    pub fn section(&mut self, name: &'static str) -> Self {
        self.require_field(name);
        self.optional_section(name)
    }

    /// Reads an optional section; it is empty if absent.
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

    /// Reads an optional list of sections; it is empty if absent or not a list.
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

    /// Reads a required value. Records a fault and returns `None` if it is absent or invalid.
    pub fn required<T>(&mut self, name: &'static str, read: ValueParser<T>) -> Option<T> {
        self.require_field(name);
        self.optional(name, read)
    }

    /// Reads an optional value, or returns `default` if it is absent or invalid.
    pub fn optional_or<T>(&mut self, name: &'static str, read: ValueParser<T>, default: T) -> T {
        self.optional(name, read).unwrap_or(default)
    }

    /// Reads an optional value. Returns `None` if it is absent or invalid.
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

    /// Records a fault at a field's value.
    pub fn record_fault(&mut self, name: &'static str, message: impl Into<String>) {
        let offset = self.field_value(name).map_or(self.offset, Ranged::start);
        self.document
            .record_fault(offset, self.field_path(name), message);
    }

    /// Records a fault for each unknown or duplicate field.
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

    /// Records a fault if the section is present but lacks the field.
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

/// Converts a value, or returns a message that states what the value has to be.
pub type ValueParser<T> = fn(&Value<'_>) -> Result<T, String>;
