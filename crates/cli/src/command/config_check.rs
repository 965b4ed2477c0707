//! `config check`: checks a configuration document of the users' platform.

use std::io::Write;
use std::path::{Path, PathBuf};

use basilramp_adapter::config::{self, InvalidConfig};
use basilramp_core::dispatch::config::Config;
use basilramp_core::dispatch::config_check::{self, Change, Difference, FieldChange, Finding};
use serde::Serialize;

use super::item;
use crate::config::{CheckArgs, OutputFormat};
use crate::error::Error;
use crate::output;

/// Result of a check.
#[derive(Serialize)]
struct Report {
    file: String,
    version: u64,
    findings: Vec<FindingEntry>,
    /// The document that `differences` compares with.
    #[serde(skip_serializing_if = "Option::is_none")]
    against: Option<Against>,
    #[serde(skip_serializing_if = "Option::is_none")]
    differences: Option<Vec<DifferenceEntry>>,
}

#[derive(Serialize)]
struct Against {
    file: String,
    version: u64,
}

#[derive(Serialize)]
struct FindingEntry {
    severity: String,
    code: &'static str,
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<String>,
    message: String,
}

#[derive(Serialize)]
struct DifferenceEntry {
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<String>,
    change: &'static str,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    fields: Vec<FieldEntry>,
    #[serde(skip_serializing_if = "Option::is_none")]
    keys: Option<KeysEntry>,
}

#[derive(Serialize)]
struct FieldEntry {
    field: &'static str,
    before: String,
    after: String,
}

#[derive(Serialize)]
struct KeysEntry {
    added: usize,
    removed: usize,
}

/// Report on a document that could not be read.
#[derive(Serialize)]
struct UnreadableReport<'a> {
    file: &'a str,
    error: ErrorEntry<'a>,
}

#[derive(Serialize)]
struct ErrorEntry<'a> {
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    line: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    column: Option<usize>,
}

/// Writes the findings of a document and its differences from another one.
///
/// # Errors
///
/// `FindingsFound` if there are findings, `UnreadableConfig` if a document can't be read.
pub(super) fn run(
    args: &CheckArgs,
    format: OutputFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let config = read(&args.file, format, out)?;
    let mut findings = config_check::check(&config);
    let active = args.against.as_ref();
    let active: Option<(&PathBuf, Config)> = active
        .map(|file| Ok::<_, Error>((file, read(file, format, out)?)))
        .transpose()?;
    if let Some((_, active)) = &active {
        findings.extend(config_check::check_version(&config, active));
    }
    let differences = active.as_ref().map(|(_, active)| {
        let differences = config_check::compare(active, &config);
        differences.into_iter().map(DifferenceEntry::from).collect()
    });
    let report = Report {
        file: args.file.display().to_string(),
        version: config.version,
        findings: findings.into_iter().map(FindingEntry::from).collect(),
        against: active.map(|(file, active)| Against {
            file: file.display().to_string(),
            version: active.version,
        }),
        differences,
    };
    match format {
        OutputFormat::Json => output::write_json(out, &report)?,
        OutputFormat::Table => report.write(out)?,
    }
    if report.findings.is_empty() {
        return Ok(());
    }
    Err(Error::FindingsFound)
}

fn read(file: &Path, format: OutputFormat, out: &mut impl Write) -> Result<Config, Error> {
    let name = file.display().to_string();
    let (reason, position) = match item::read_file(file) {
        Ok(text) => match config::parse(&text) {
            Ok(config) => return Ok(config),
            Err(InvalidConfig {
                reason,
                line,
                column,
            }) => (reason, Some((line, column))),
        },
        Err(Error::InvalidInput { errors, .. }) => (errors.join("; "), None),
        Err(error) => return Err(error),
    };
    if format == OutputFormat::Json {
        let report = UnreadableReport {
            file: &name,
            error: ErrorEntry {
                reason: &reason,
                line: position.map(|(line, _)| line),
                column: position.map(|(_, column)| column),
            },
        };
        output::write_json(out, &report)?;
    }
    let place = position.map(|(line, column)| format!(":{line}:{column}"));
    let place = place.unwrap_or_default();
    Err(Error::UnreadableConfig(format!("{name}{place}: {reason}")))
}

impl From<Finding> for FindingEntry {
    fn from(finding: Finding) -> Self {
        Self {
            severity: finding.problem.severity().to_string(),
            code: finding.problem.code(),
            kind: finding.subject.kind(),
            name: finding.subject.name().map(str::to_owned),
            message: finding.problem.to_string(),
        }
    }
}

impl From<Difference> for DifferenceEntry {
    fn from(difference: Difference) -> Self {
        let (change, changes) = match difference.change {
            Change::Added => ("added", Vec::new()),
            Change::Removed => ("removed", Vec::new()),
            Change::Changed(changes) => ("changed", changes),
        };
        let mut entry = Self {
            kind: difference.subject.kind(),
            name: difference.subject.name().map(str::to_owned),
            change,
            fields: Vec::new(),
            keys: None,
        };
        for change in changes {
            match change {
                FieldChange::Value {
                    field,
                    before,
                    after,
                } => entry.fields.push(FieldEntry {
                    field,
                    before,
                    after,
                }),
                FieldChange::Keys { added, removed } => {
                    entry.keys = Some(KeysEntry { added, removed });
                }
            }
        }
        entry
    }
}

impl Report {
    fn write(&self, out: &mut impl Write) -> Result<(), Error> {
        writeln!(out, "{}, version {}", self.file, self.version)?;
        for finding in &self.findings {
            let subject = subject(finding.kind, finding.name.as_deref());
            writeln!(
                out,
                "  {}: {subject}: {}",
                finding.severity, finding.message
            )?;
        }
        if self.findings.is_empty() {
            writeln!(out, "  no findings")?;
        }
        let (Some(against), Some(differences)) = (&self.against, &self.differences) else {
            return Ok(());
        };
        let (file, version) = (&against.file, against.version);
        writeln!(out, "differences from {file}, version {version}")?;
        for difference in differences {
            writeln!(out, "  {}", difference.text())?;
        }
        if differences.is_empty() {
            writeln!(out, "  none")?;
        }
        Ok(())
    }
}

impl DifferenceEntry {
    fn text(&self) -> String {
        let mut changes = Vec::new();
        for field in &self.fields {
            let (before, after) = (&field.before, &field.after);
            changes.push(format!("{} {before} -> {after}", field.field));
        }
        if let Some(keys) = &self.keys {
            changes.push(format!("keys +{} -{}", keys.added, keys.removed));
        }
        let subject = subject(self.kind, self.name.as_deref());
        if changes.is_empty() {
            return format!("{subject}: {}", self.change);
        }
        format!("{subject}: {}", changes.join(", "))
    }
}

fn subject(kind: &str, name: Option<&str>) -> String {
    name.map_or_else(|| kind.to_owned(), |name| format!("{kind} {name}"))
}
