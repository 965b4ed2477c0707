//! Parses settings files in JSON with comments, and reports every fault with its line and column.

mod fault;
mod reader;
pub mod value;

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

pub use fault::{Fault, Faults};
use reader::Document;
pub use reader::{Section, ValueParser};

/// Standard JSON plus comments and trailing commas.
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

/// Log level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// A fault that the system can't recover from.
    Error,
    /// A fault that the system handles.
    Warn,
    /// Information for operators.
    #[default]
    Info,
    /// Information for developers.
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

/// Parses a settings file; `build` converts its root section to the settings.
///
/// # Errors
///
/// Returns all faults, each with its line, column and path.
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

/// Tells whether a settings file has the top-level section `name`; false if it can't be parsed.
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
