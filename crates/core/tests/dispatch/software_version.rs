//! Versions of streams: what is stored, and what is assumed of a stream without a record.

use std::collections::BTreeSet;
use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::{Fleet, Upstream};
use basilramp_core::dispatch::placement::{PlacementRequest, has_candidate, select_upstream};
use basilramp_core::dispatch::software_version::{History, max_view_age_ms};
use proptest::prelude::*;

use crate::fleet::upstream;

const SPAN_MS: u64 = 8_000;

/// Interval at which the instances look at the entries.
const POLL_MS: u64 = 250;

/// When upstreams of a version have entries, in milliseconds.
#[derive(Clone, Debug)]
struct Presence {
    version: Arc<str>,
    from: u64,
    until: u64,
}

/// Returns the versions with entries at a time.
fn present(presences: &[Presence], at: u64) -> BTreeSet<Arc<str>> {
    let presences = presences.iter();
    let present = presences.filter(|presence| (presence.from..presence.until).contains(&at));
    present
        .map(|presence| Arc::clone(&presence.version))
        .collect()
}

/// Returns the row at `now`, if the instances that write it notice changes late by `lag_ms`.
fn row(presences: &[Presence], now: u64, lag_ms: u64) -> History {
    row_of_spans(presences, now, lag_ms, |_| SPAN_MS)
}

/// Returns the row at `now`, where `span_ms` is the span of the configuration at a time.
fn row_of_spans(
    presences: &[Presence],
    now: u64,
    lag_ms: u64,
    span_ms: impl Fn(u64) -> u64,
) -> History {
    let mut history = History::default();
    for poll in (0..=now).step_by(POLL_MS as usize) {
        let at = poll.saturating_sub(lag_ms);
        let present = present(presences, at);
        history = history
            .update(&present, span_ms(at), poll)
            .unwrap_or(history);
    }
    history
}

/// Returns since when the versions with entries were the same at `now`, as an instance noticed it.
fn changed(presences: &[Presence], now: u64) -> u64 {
    let view = present(presences, now);
    let mut since = now;
    while since >= POLL_MS && present(presences, since - POLL_MS) == view {
        since -= POLL_MS;
    }
    since
}

/// Returns the version that an instance assumes of a stream without a record.
fn assumed(history: &History, view: &BTreeSet<Arc<str>>, now: u64) -> Option<Arc<str>> {
    assumed_with(history, view, SPAN_MS, now)
}

/// Like [`assumed`], for an instance whose configuration has another span.
fn assumed_with(
    history: &History,
    view: &BTreeSet<Arc<str>>,
    span_ms: u64,
    now: u64,
) -> Option<Arc<str>> {
    let updated = history.update(view, span_ms, now);
    updated.as_ref().unwrap_or(history).unrecorded(now).cloned()
}

fn versions<const N: usize>(names: [&str; N]) -> BTreeSet<Arc<str>> {
    names.into_iter().map(Arc::from).collect()
}

#[test]
fn nothing_is_stored_while_there_is_a_single_version() {
    let single = versions(["v1"]);
    // The first instance of a fleet has just written the row.
    let history = History::default().update(&single, SPAN_MS, 900).unwrap();
    let start = |history: &History, now| history.unrecorded_start(&single, 0, SPAN_MS, now);
    assert_eq!(start(&history, 900).as_deref(), Some("v1"));
    assert_eq!(history.unrecorded(900).unwrap().as_ref(), "v1");
    assert_eq!(history.update(&single, SPAN_MS, 90_000), None);
    assert_eq!(start(&history, 90_000).as_deref(), Some("v1"));
    // Without a row, nothing is known.
    assert_eq!(start(&History::default(), 900), None);
}

#[test]
fn a_stream_from_before_a_release_belongs_to_the_earlier_version() {
    let release =
        [("v1", 0, 40_000), ("v2", 30_000, 900_000)].map(|(version, from, until)| Presence {
            version: version.into(),
            from,
            until,
        });
    let at = |now| {
        let history = row(&release, now, 0);
        let view = present(&release, now);
        let start = history.unrecorded_start(&view, changed(&release, now), SPAN_MS, now);
        (start, assumed(&history, &view, now))
    };
    // A stream that begins now at the earlier version ends before the assumption changes.
    for during in [31_000, 35_000] {
        assert_eq!(
            at(during),
            (Some("v1".into()), Some("v1".into())),
            "{during}"
        );
    }
    for during in [36_000, 39_000, 41_000, 45_000] {
        assert_eq!(at(during), (None, Some("v1".into())), "{during}");
    }
    // Sixteen seconds ago there were two versions, so that each stream had a record.
    assert_eq!(at(55_000), (None, None));
    // An instance that began such a stream without the store has stopped doing so for a span.
    assert_eq!(at(57_000), (None, Some("v2".into())));
    assert_eq!(at(59_000), (Some("v2".into()), Some("v2".into())));
}

/// Streams of a longer timeout than now were begun with the earlier configuration.
#[test]
fn a_shorter_timeout_does_not_shorten_the_span() {
    let history = History::default();
    let history = history.update(&versions(["v1"]), 4 * SPAN_MS, 0).unwrap();
    assert_eq!(history.update(&versions(["v1"]), SPAN_MS, 10), None);
    let history = history.update(&versions(["v2"]), SPAN_MS, 20_000).unwrap();
    let later = 20_000 + 6 * SPAN_MS;
    let start = history.unrecorded_start(&versions(["v2"]), 20_000, SPAN_MS, later);
    assert_eq!(start, None);
    assert_eq!(history.unrecorded(later).unwrap().as_ref(), "v1");
    // With a longer one, streams are recorded until the row says so.
    let history = History::default();
    let history = history.update(&versions(["v1"]), SPAN_MS, 0).unwrap();
    let start = history.unrecorded_start(&versions(["v1"]), 0, 2 * SPAN_MS, 90_000);
    assert_eq!(start, None);
}

/// A timeout is raised while streams without a record are under way. Whether the version before the
/// latest release comes back or not, they go on at their own.
#[test]
fn a_longer_timeout_leaves_streams_under_way_at_their_version() {
    let raised_ms = 48_000;
    let span_ms = |at: u64| if at < raised_ms { SPAN_MS } else { 3 * SPAN_MS };
    for back_ms in [46_000, u64::MAX] {
        let presences = [
            ("v1", 0, 22_000),
            ("v2", 12_000, u64::MAX),
            ("v1", back_ms, u64::MAX),
        ];
        let presences = presences.map(|(version, from, until)| Presence {
            version: version.into(),
            from,
            until,
        });
        let begun = 47_000;
        let writer = row_of_spans(&presences, begun, 0, span_ms);
        let view = present(&presences, begun);
        let changed = changed(&presences, begun);
        let version = writer.unrecorded_start(&view, changed, SPAN_MS, begun);
        assert_eq!(version.as_deref(), Some("v2"));
        for taken_up in [begun, 48_000, 49_000, begun + SPAN_MS] {
            let reader = row_of_spans(&presences, taken_up, 0, span_ms);
            let view = present(&presences, taken_up);
            for span_ms in [SPAN_MS, 3 * SPAN_MS] {
                let assumed = assumed_with(&reader, &view, span_ms, taken_up);
                assert_eq!(assumed, version, "at {taken_up}, back at {back_ms}");
            }
        }
    }
}

/// The span can't grow while a change would then lie before the start of the store's clock.
#[test]
fn a_longer_span_waits_until_the_clock_allows_it() {
    let history = History::default();
    let history = history.update(&versions(["v1"]), SPAN_MS, 100).unwrap();
    let both = versions(["v1", "v2"]);
    let history = history.update(&both, SPAN_MS, 3_000).unwrap();
    assert_eq!(history.update(&both, 2 * SPAN_MS, 4_000), None);
    assert_eq!(
        history.unrecorded_start(&both, 3_000, 2 * SPAN_MS, 4_000),
        None
    );
    assert_eq!(history.unrecorded(18_999).unwrap().as_ref(), "v1");
    assert_eq!(history.unrecorded(19_000), None);
}

#[test]
fn an_upstream_of_another_version_is_no_candidate() {
    let mut fleet = Fleet::default();
    let newer = Upstream {
        version: "v2".into(),
        ..upstream("b", "z1")
    };
    fleet.observe(upstream("a", "z1"), Time::ZERO);
    fleet.observe(newer, Time::ZERO);
    let only_old = fleet.find_by_id("a").unwrap();
    let request = PlacementRequest {
        service: "engine",
        prompt: None,
        affinity_key: None,
        previous_upstream: None,
        failure_domain: "z1",
        version: Some("v1"),
        tried: &[],
        is_repeatable: true,
        starts_program: false,
        trials: None,
        may_use_limited: true,
    };
    for draw in 0..50 {
        let placement = select_upstream(&fleet, &request, Time::ZERO, draw).unwrap();
        assert_eq!(&*placement.version, "v1");
    }
    let tried = [only_old];
    assert!(!has_candidate(
        &fleet,
        "engine",
        Some("v1"),
        &tried,
        Time::ZERO
    ));
    assert!(has_candidate(
        &fleet,
        "engine",
        Some("v2"),
        &tried,
        Time::ZERO
    ));
}

fn presences() -> impl Strategy<Value = Vec<Presence>> {
    let times = prop::collection::vec((0_u64..90_000, 1_000_u64..90_000, 1..4), 1..5);
    times.prop_map(|times| {
        let first = Presence {
            version: "v0".into(),
            from: 0,
            until: 40_000,
        };
        // A version may come back.
        let others = times.into_iter().map(|(from, ms, number)| Presence {
            version: format!("v{number}").into(),
            from,
            until: from + ms,
        });
        [first].into_iter().chain(others).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// An instance that may have lost the store some time ago begins a stream. It is taken up at
    /// another instance, which may have started since then.
    #[test]
    fn no_instance_assumes_another_version_than_the_one_that_began_a_stream(
        presences in presences(),
        (begun, lasts) in (20_000_u64..140_000, 0..SPAN_MS),
        view_age in prop_oneof![Just(0), 0..=max_view_age_ms(SPAN_MS)],
        (row_lag, reader_lag) in (0..600_u64, 0..600_u64),
    ) {
        let synced = begun.saturating_sub(view_age);
        let view = present(&presences, synced);
        let writer = row(&presences, synced, row_lag);
        let changed = changed(&presences, synced);
        if let Some(version) = writer.unrecorded_start(&view, changed, SPAN_MS, begun) {
            let taken_up = begun + lasts;
            let reader = row(&presences, taken_up, row_lag);
            let view = present(&presences, taken_up.saturating_sub(reader_lag));
            prop_assert_eq!(assumed(&reader, &view, taken_up), Some(version));
        }
    }

    /// Timeouts are raised and lowered around a stream, and the instance that begins it or the one that
    /// takes it up may have an older configuration than others.
    #[test]
    fn a_stream_without_a_record_keeps_its_version_whatever_timeouts_are_configured(
        presences in presences(),
        changes in prop::collection::vec((20_000_u64..140_000, 1..6_u64), 0..4),
        (begun, lasts) in (20_000_u64..140_000, 0.0..1.0_f64),
        view_age in prop_oneof![Just(0), 0..=max_view_age_ms(SPAN_MS)],
        (config_age, reader_config_age) in (0..20_000_u64, 0..20_000_u64),
        (row_lag, reader_lag) in (0..600_u64, 0..600_u64),
    ) {
        let span_ms = |at: u64| {
            let latest = changes.iter().filter(|(from, _)| *from <= at).max();
            latest.map_or(SPAN_MS, |(_, factor)| factor * SPAN_MS)
        };
        let synced = begun.saturating_sub(view_age);
        let view = present(&presences, synced);
        let writer = row_of_spans(&presences, synced, row_lag, span_ms);
        let writer_span_ms = span_ms(begun.saturating_sub(config_age));
        let changed = changed(&presences, synced);
        let version = writer.unrecorded_start(&view, changed, writer_span_ms, begun);
        if let Some(version) = version {
            let taken_up = begun + (lasts * writer_span_ms as f64) as u64;
            let reader = row_of_spans(&presences, taken_up, row_lag, span_ms);
            let view = present(&presences, taken_up.saturating_sub(reader_lag));
            let reader_span_ms = span_ms(taken_up.saturating_sub(reader_config_age));
            let assumed = assumed_with(&reader, &view, reader_span_ms, taken_up);
            prop_assert_eq!(assumed, Some(version));
        }
    }

    /// No instance has reached the store for any time when a stream begins. It is taken up after the
    /// return of the store, when the upstreams may be others.
    #[test]
    fn a_stream_begun_in_an_outage_of_any_length_belongs_to_the_assumed_version(
        presences in presences(),
        (lost, outage, remaining) in (20_000_u64..100_000, 0..40_000_u64, 0..SPAN_MS),
        (row_lag, has_row) in (0..600_u64, any::<bool>()),
        lasts in 0..SPAN_MS,
    ) {
        let begun = lost + outage.saturating_sub(remaining);
        let taken_up = (lost + outage).max(begun + lasts);
        // No entry changes during the outage, and no row. Changes just before it may not be in the row
        // that the writer knows, though in that of the store.
        let entries = |at: u64| present(&presences, if at < lost + outage { at.min(lost) } else { at });
        let rows = |now: u64, lag: u64| {
            let mut history = History::default();
            for poll in (0..=now).step_by(POLL_MS as usize) {
                if !(lost..lost + outage).contains(&poll) {
                    let present = entries(poll.saturating_sub(lag));
                    history = history.update(&present, SPAN_MS, poll).unwrap_or(history);
                }
            }
            history
        };
        let writer = rows(lost, if has_row { row_lag } else { 600 });
        let changed = changed(&presences, lost);
        if let Some(version) = writer.unrecorded_start(&entries(lost), changed, SPAN_MS, begun) {
            let reader = rows(taken_up, row_lag);
            prop_assert_eq!(assumed(&reader, &entries(taken_up), taken_up), Some(version));
        }
    }
}
