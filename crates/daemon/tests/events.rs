//! Holds the event list and its catalogue equal.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use basilramp_daemon::Event;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

fn level(event: Event) -> &'static str {
    match event.level() {
        slog::Level::Error | slog::Level::Critical => "error",
        slog::Level::Warning => "warn",
        slog::Level::Info => "info",
        slog::Level::Debug | slog::Level::Trace => "debug",
    }
}

fn row_of_code(event: Event) -> Vec<String> {
    [event.code(), level(event), event.name(), event.message()]
        .map(str::to_owned)
        .to_vec()
}

fn row_of_page(line: &str) -> Vec<String> {
    line.trim_matches('|')
        .split('|')
        .take(4)
        .map(|cell| cell.trim().to_owned())
        .collect()
}

#[test]
fn catalogue_lists_the_events_of_the_code() {
    let code: Vec<_> = Event::ALL.iter().copied().map(row_of_code).collect();
    let page: Vec<_> = CATALOGUE
        .lines()
        .filter(|line| line.starts_with("| E"))
        .map(row_of_page)
        .collect();
    assert_eq!(page, code);
}

#[test]
fn catalogue_says_when_each_event_is_written() {
    for line in CATALOGUE.lines().filter(|line| line.starts_with("| E")) {
        let when = line.trim_matches('|').split('|').nth(4).unwrap_or_default();
        assert!(!when.trim().is_empty(), "no explanation: {line}");
    }
}

#[test]
fn numbers_are_unique_and_rise() {
    let codes: Vec<_> = Event::ALL.iter().map(|event| event.code()).collect();
    let unique: BTreeSet<_> = codes.iter().collect();
    assert_eq!(unique.len(), codes.len());
    assert!(codes.is_sorted());
}

/// Returns the text of all source files but the list of events itself.
fn sources(directory: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text.push_str(&sources(&path));
        } else if !path.ends_with("log_event.rs") {
            text.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
    text
}

#[test]
fn every_event_is_logged_somewhere() {
    let text = sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    let words: BTreeSet<&str> = text
        .split(|c: char| !c.is_alphanumeric() && c != ':')
        .collect();
    let is_logged = |event: &&Event| {
        let name = event.name();
        words
            .iter()
            .any(|word| word.ends_with(&format!("Event::{name}")))
    };
    let unused: Vec<_> = Event::ALL
        .iter()
        .filter(|event| !is_logged(event))
        .collect();
    assert!(unused.is_empty(), "nothing logs {unused:?}");
}
