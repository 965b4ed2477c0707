//! Checks that the event definitions, the catalogue in `docs/EVENTS.md` and the logging calls agree.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use basilramp_daemon::Event;
use basilramp_ingress::Event as IngressEvent;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

fn level_name(level: slog::Level) -> &'static str {
    match level {
        slog::Level::Error | slog::Level::Critical => "error",
        slog::Level::Warning => "warn",
        slog::Level::Info => "info",
        slog::Level::Debug | slog::Level::Trace => "debug",
    }
}

/// Returns code, level, name and message of every event of the daemon and the ingress, sorted.
fn event_rows() -> Vec<Vec<String>> {
    let own = Event::ALL.iter().map(|event| {
        [
            event.code(),
            level_name(event.level()),
            event.name(),
            event.message(),
        ]
    });
    let ingress = IngressEvent::ALL.iter().map(|event| {
        [
            event.code(),
            level_name(event.level()),
            event.name(),
            event.message(),
        ]
    });
    let mut rows: Vec<_> = own.chain(ingress).collect();
    rows.sort_unstable();
    rows.iter()
        .map(|row| row.map(str::to_owned).to_vec())
        .collect()
}

fn parse_catalogue_row(line: &str) -> Vec<String> {
    line.trim_matches('|')
        .split('|')
        .take(4)
        .map(|cell| cell.trim().to_owned())
        .collect()
}

#[test]
fn catalogue_matches_the_event_definitions() {
    let code = event_rows();
    let page: Vec<_> = CATALOGUE
        .lines()
        .filter(|line| line.starts_with("| E"))
        .map(parse_catalogue_row)
        .collect();
    assert_eq!(page, code);
}

#[test]
fn catalogue_explains_when_each_event_is_logged() {
    for line in CATALOGUE.lines().filter(|line| line.starts_with("| E")) {
        let when = line.trim_matches('|').split('|').nth(4).unwrap_or_default();
        assert!(
            !when.trim().is_empty(),
            "no explanation of when the event is logged: {line}"
        );
    }
}

#[test]
fn event_codes_are_unique_and_sorted() {
    let codes: Vec<_> = event_rows().into_iter().map(|row| row[0].clone()).collect();
    let unique: BTreeSet<_> = codes.iter().collect();
    assert_eq!(unique.len(), codes.len());
    assert!(codes.is_sorted());
}

/// Returns the text of all source files below `directory`, without the event definitions.
fn read_sources(directory: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text.push_str(&read_sources(&path));
        } else if !path.ends_with("log_event.rs") {
            text.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
    text
}

/// Returns the event names that no source file of a package refers to.
fn unlogged_events(package: &str, names: impl Iterator<Item = &'static str>) -> Vec<&'static str> {
    let text = read_sources(
        &Path::new(env!("CARGO_MANIFEST_DIR"))
            .join(package)
            .join("src"),
    );
    let words: BTreeSet<&str> = text
        .split(|c: char| !c.is_alphanumeric() && c != ':')
        .collect();
    let is_logged = |name: &str| {
        let reference = format!("Event::{name}");
        words.iter().any(|word| word.ends_with(&reference))
    };
    names.filter(|name| !is_logged(name)).collect()
}

#[test]
fn every_event_is_logged_somewhere() {
    let own = unlogged_events(".", Event::ALL.iter().map(|event| event.name()));
    assert!(
        own.is_empty(),
        "events of the daemon that are never logged: {own:?}"
    );
    let ingress = unlogged_events(
        "../ingress",
        IngressEvent::ALL.iter().map(|event| event.name()),
    );
    assert!(
        ingress.is_empty(),
        "events of the ingress that are never logged: {ingress:?}"
    );
}
