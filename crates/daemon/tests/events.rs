//! Holds the event list and its catalogue equal.

use std::collections::BTreeSet;

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
