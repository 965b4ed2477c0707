//! Reads settings files: JSON with comments, every fault with its line and column.

mod fault;
mod reader;
pub mod value;

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

pub use fault::{Fault, Faults};
use reader::Document;
pub use reader::{Section, ValueParser};

/// Standard JSON, but for comments and commas after the last entry.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// How severe an event is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// Something is wrong that the system can't mend.
    Error,
    /// Something is wrong that the system copes with.
    Warn,
    /// What an operator wants to know.
    #[default]
    Info,
    /// What a developer wants to know.
    Debug,
}

impl From<Level> for slog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warn => Self::Warning,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

/// Reads a settings file whole; `build` makes the settings of its root section.
///
/// # Errors
///
/// Names every fault with its line, column and path.
pub fn parse<T>(text: &str, build: impl FnOnce(Section<'_>) -> Option<T>) -> Result<T, Faults> {
    let document = Document::new(text);
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &SYNTAX) {
        Ok(parsed) => parsed.value,
        Err(error) => {
            document.record_fault(error.range().start, "", error.kind().to_string());
            return Err(document.into_faults());
        }
    };
    let Some(value) = parsed else {
        document.record_fault(0, "", "the file is empty");
        return Err(document.into_faults());
    };
    let settings = build(Section::new(&document, &value, String::new()));
    let faults = document.into_faults();
    match settings {
        Some(settings) if faults.0.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

/// Tells whether the root of a settings file has a section; a file that can't be read has none.
#[must_use]
pub fn has_section(text: &str, name: &str) -> bool {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &SYNTAX).ok();
    let value = parsed.and_then(|parsed| parsed.value);
    value.is_some_and(|value| {
        value
            .as_object()
            .is_some_and(|root| root.get(name).is_some())
    })
}
