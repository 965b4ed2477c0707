//! Which upstreams accept requests, depending on their entries and attempts.

use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::{AttemptOutcome, Change, Fleet, Upstream};

pub(crate) fn upstream(id: &str, failure_domain: &str) -> Upstream {
    Upstream {
        id: id.into(),
        service: "engine".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: failure_domain.into(),
        version: "v1".into(),
        slots: 24,
        is_draining: false,
        started_ms: 7,
    }
}

fn serving(fleet: &Fleet, now: Time) -> Vec<String> {
    let entries = fleet.serving_upstreams("engine", now);
    entries
        .map(|(_, entry)| entry.upstream.id.to_string())
        .collect()
}

#[test]
fn draining_upstream_gets_no_work() {
    let mut fleet = Fleet::default();
    fleet.observe(upstream("a", "z1"), Time::ZERO);
    let draining = Upstream {
        is_draining: true,
        ..upstream("a", "z1")
    };
    assert_eq!(fleet.observe(draining, Time::ZERO), Change::Draining);
    assert!(serving(&fleet, Time::ZERO).is_empty());
}

/// The entry is older than the answer, but another incarnation is not barred.
#[test]
fn an_upstream_that_said_that_it_leaves_gets_no_work() {
    let mut fleet = Fleet::default();
    fleet.observe(upstream("a", "z1"), Time::ZERO);
    assert!(fleet.record_leaving(&"a".into(), 7, Time::ZERO));
    assert!(!fleet.record_leaving(&"a".into(), 7, Time::ZERO));
    fleet.observe(upstream("a", "z1"), Time::ZERO);
    assert!(serving(&fleet, Time::ZERO).is_empty());
    fleet.remove("a", Time::from_ms(100));
    fleet.expire(Time::from_ms(1_100));
    fleet.observe(upstream("a", "z1"), Time::from_ms(1_200));
    assert!(serving(&fleet, Time::from_ms(1_200)).is_empty());
    let restarted = Upstream {
        started_ms: 8,
        ..upstream("a", "z1")
    };
    fleet.observe(restarted, Time::from_ms(1_300));
    assert_eq!(serving(&fleet, Time::from_ms(1_300)), ["a"]);
    // It may be known from another instance before its entry is.
    assert!(fleet.record_leaving(&"b".into(), 7, Time::ZERO));
    fleet.observe(upstream("b", "z1"), Time::from_ms(1_300));
    assert_eq!(serving(&fleet, Time::from_ms(1_300)), ["a"]);
}

#[test]
fn entry_restored_within_the_grace_period_keeps_its_upstream() {
    let mut fleet = Fleet::default();
    fleet.observe(upstream("a", "z1"), Time::ZERO);
    fleet.remove("a", Time::from_ms(100));
    assert_eq!(serving(&fleet, Time::from_ms(600)), ["a"]);
    fleet.observe(upstream("a", "z1"), Time::from_ms(700));
    assert_eq!(serving(&fleet, Time::from_ms(9_000)), ["a"]);
}

#[test]
fn upstream_without_an_entry_gets_no_work_after_the_grace_period() {
    let mut fleet = Fleet::default();
    fleet.observe(upstream("a", "z1"), Time::ZERO);
    fleet.remove("a", Time::from_ms(100));
    assert!(serving(&fleet, Time::from_ms(1_100)).is_empty());
    fleet.expire(Time::from_ms(1_100));
    assert!(fleet.find_by_id("a").is_none());
}

/// The entries of all upstreams expire during a store outage and reappear two seconds after it. The
/// upstreams must keep getting requests in between.
#[test]
fn entries_that_expired_during_an_outage_keep_their_upstreams() {
    let mut fleet = Fleet::default();
    for id in ["a", "b", "c"] {
        fleet.observe(upstream(id, "z1"), Time::ZERO);
    }
    let recovered = Time::from_ms(10_000);
    fleet.record_store_recovery(recovered);
    fleet.replace_all(vec![upstream("c", "z1")], recovered.after(5));
    assert_eq!(serving(&fleet, recovered.after(2_000)), ["a", "b", "c"]);
    fleet.observe(upstream("b", "z1"), recovered.after(2_000));
    assert_eq!(serving(&fleet, recovered.after(2_400)), ["b", "c"]);
}

#[test]
fn displaced_upstream_gets_no_work_until_it_starts_again() {
    let mut fleet = Fleet::default();
    fleet.observe(upstream("a", "z1"), Time::ZERO);
    let key = fleet.find_by_id("a").unwrap();
    fleet.start_attempt(key, &[], 0, Time::ZERO);
    fleet.end_attempt(key, AttemptOutcome::Displaced, Time::ZERO);
    assert!(serving(&fleet, Time::ZERO).is_empty());
    // The same id starts again.
    let again = Upstream {
        started_ms: 8,
        ..upstream("a", "z1")
    };
    assert_eq!(fleet.observe(again, Time::ZERO), Change::Joined);
    assert_eq!(serving(&fleet, Time::ZERO), ["a"]);
}

#[test]
fn upstream_with_running_requests_outlives_its_entry() {
    let mut fleet = Fleet::default();
    fleet.observe(upstream("a", "z1"), Time::ZERO);
    let key = fleet.find_by_id("a").unwrap();
    fleet.start_attempt(key, &[], 100, Time::ZERO);
    fleet.remove("a", Time::ZERO);
    fleet.expire(Time::from_ms(5_000));
    assert_eq!(fleet.get(key).unwrap().load.requests, 1);
    fleet.end_attempt(
        key,
        AttemptOutcome::Succeeded {
            latency_ratio: None,
        },
        Time::from_ms(5_000),
    );
    fleet.expire(Time::from_ms(5_000));
    assert!(fleet.get(key).is_none());
}
