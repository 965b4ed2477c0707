//! Versions of streams: what is stored, and what is assumed of a stream without a record.

use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::{Fleet, Upstream};
use basilramp_core::dispatch::placement::{PlacementRequest, has_candidate, select_upstream};
use basilramp_core::dispatch::software_version::Versions;
use proptest::prelude::*;

use crate::fleet::upstream;

const SPAN_MS: u64 = 8_000;

/// Interval at which an instance looks at the entries.
const POLL_MS: u64 = 250;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

/// When upstreams of a version have entries, in milliseconds.
#[derive(Clone, Debug)]
struct Presence {
    version: Arc<str>,
    from: u64,
    until: u64,
}

/// Returns what an instance that has run since `started` knows at `now`, if it sees entries late by
/// `lag_ms`.
fn view(presences: &[Presence], started: u64, now: u64, lag_ms: u64) -> Versions {
    let mut versions = Versions::default();
    let mut poll = started;
    while poll <= now {
        let seen_at = poll.saturating_sub(lag_ms);
        for presence in presences {
            if (presence.from..presence.until).contains(&seen_at) {
                versions.record(&presence.version, at(poll));
            }
        }
        versions.expire(at(poll));
        poll += POLL_MS;
    }
    versions
}

#[test]
fn nothing_is_stored_while_there_is_a_single_version() {
    let single = [Presence {
        version: "v1".into(),
        from: 0,
        until: 900_000,
    }];
    let versions = view(&single, 0, 30_000, 0);
    assert!(!versions.needs_record(SPAN_MS, at(30_000)));
    assert_eq!(
        versions.unrecorded(SPAN_MS, at(30_000)).unwrap().as_ref(),
        "v1"
    );
    // An instance that has just started can't know which versions the others have seen.
    let fresh = view(&single, 29_000, 30_000, 0);
    assert!(fresh.needs_record(SPAN_MS, at(30_000)));
    assert_eq!(
        fresh.unrecorded(SPAN_MS, at(30_000)).unwrap().as_ref(),
        "v1"
    );
}

#[test]
fn a_stream_from_before_a_release_belongs_to_the_earlier_version() {
    let release = [("v1", 0), ("v2", 30_000)].map(|(version, from)| Presence {
        version: version.into(),
        from,
        until: 900_000,
    });
    let soon = view(&release, 0, 33_000, 0);
    assert!(soon.needs_record(SPAN_MS, at(33_000)));
    assert_eq!(soon.unrecorded(SPAN_MS, at(33_000)).unwrap().as_ref(), "v1");
    let late = view(&release, 0, 60_000, 0);
    assert_eq!(late.unrecorded(SPAN_MS, at(60_000)), None);
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
    let times = prop::collection::vec((0_u64..90_000, 1_000_u64..90_000), 1..4);
    times.prop_map(|times| {
        let presences = times.into_iter().enumerate();
        let first = Presence {
            version: "v0".into(),
            from: 0,
            until: 40_000,
        };
        let others = presences.map(|(index, (from, ms))| Presence {
            version: format!("v{}", index + 1).into(),
            from,
            until: from + ms,
        });
        [first].into_iter().chain(others).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Instances see the entries at different times, and some have just started.
    #[test]
    fn no_instance_assumes_another_version_than_the_one_that_began_a_stream(
        presences in presences(),
        uptime in prop_oneof![0_u64..20_000, Just(500_000)],
        (begun, lasts) in (20_000_u64..100_000, 0..SPAN_MS / 2),
        (writer_lag, reader_lag) in (0..SPAN_MS / 4, 0..SPAN_MS / 4),
    ) {
        let started = begun.saturating_sub(uptime);
        let writer = view(&presences, started, begun, writer_lag);
        let serving: Vec<_> = presences
            .iter()
            .filter(|presence| {
                let last_poll = begun - (begun - started) % POLL_MS;
                let seen_at = last_poll.saturating_sub(writer_lag);
                (presence.from..presence.until).contains(&seen_at)
            })
            .collect();
        let taken_up = begun + lasts;
        let reader = view(&presences, 0, taken_up, reader_lag);
        for presence in serving {
            // A record is always right, as the reader looks for it first.
            if !writer.needs_record(SPAN_MS, at(begun)) {
                let assumed = reader.unrecorded(SPAN_MS, at(taken_up));
                prop_assert!(assumed.is_none_or(|version| *version == presence.version));
            }
        }
    }
}
