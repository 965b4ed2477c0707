//! Limits of single upstreams, and their measured speeds.

use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::{AttemptOutcome, Fleet, Upstream, UpstreamKey};
use basilramp_core::dispatch::pace::{PaceCause, PaceChange};
use basilramp_core::dispatch::placement::{Placement, PlacementRequest, select_upstream};
use basilramp_core::dispatch::request::PromptPart;

use crate::fleet::upstream;

const REQUEST: PlacementRequest<'_> = PlacementRequest {
    service: "engine",
    prompt: None,
    affinity_key: None,
    previous_upstream: None,
    failure_domain: "z0",
    version: None,
    tried: &[],
    is_repeatable: true,
    starts_program: false,
    trials: None,
    may_use_limited: true,
};

const TIMELY: AttemptOutcome = AttemptOutcome::Succeeded {
    latency_ratio: Some(1.0),
};

fn entry(index: usize) -> Upstream {
    upstream(&format!("u{index}"), "z0")
}

/// Returns a fleet that has read the table with some upstreams.
fn loaded_fleet(upstreams: usize) -> Fleet {
    let mut fleet = Fleet::with_pace_seed(5);
    fleet.replace_all((0..upstreams).map(entry).collect(), Time::ZERO);
    fleet
}

fn key(fleet: &Fleet, index: usize) -> UpstreamKey {
    fleet.find_by_id(&format!("u{index}")).unwrap()
}

fn share(fleet: &Fleet, index: usize, now: Time) -> Option<f64> {
    fleet.get(key(fleet, index)).unwrap().pace().share(now)
}

fn select(fleet: &Fleet, request: &PlacementRequest<'_>, now: Time, draw: u64) -> Placement {
    select_upstream(fleet, request, now, draw).unwrap()
}

fn attempt(fleet: &mut Fleet, key: UpstreamKey, outcome: AttemptOutcome, now: Time) {
    fleet.start_attempt(key, &[], 0, now);
    fleet.end_attempt(key, outcome, now);
}

/// Sends a request every 10 ms for some time. Returns the number that the upstream got.
fn send(fleet: &mut Fleet, index: usize, from: Time, ms: u64) -> u32 {
    let target = key(fleet, index);
    let mut count = 0;
    for at in (0..ms).step_by(10) {
        let now = from.after(at);
        let placement = select(fleet, &REQUEST, now, from.as_ms() + at);
        count += u32::from(placement.key == target);
        attempt(fleet, placement.key, TIMELY, now);
    }
    count
}

/// An instance that starts, or reads the table again, would otherwise limit the whole service.
#[test]
fn upstreams_of_the_first_full_read_are_not_new() {
    let mut fleet = loaded_fleet(3);
    assert_eq!(fleet.paced_upstreams(Time::ZERO), 0);
    let now = Time::from_ms(5_000);
    fleet.replace_all((0..4).map(entry).collect(), now);
    assert_eq!(fleet.paced_upstreams(now), 1);
    assert!(share(&fleet, 3, now).is_some());
}

#[test]
fn new_incarnation_is_limited_and_a_returned_entry_is_not() {
    let mut fleet = loaded_fleet(3);
    fleet.remove("u0", Time::from_ms(100));
    fleet.expire(Time::from_ms(2_000));
    assert!(fleet.find_by_id("u0").is_none());
    fleet.observe(entry(0), Time::from_ms(2_000));
    assert_eq!(share(&fleet, 0, Time::from_ms(2_000)), None);
    let restarted = Upstream {
        started_ms: 8,
        ..entry(1)
    };
    fleet.observe(restarted, Time::from_ms(2_000));
    assert!(share(&fleet, 1, Time::from_ms(2_000)).is_some());
}

/// The number of requests is that of the share, also where the new upstream is the only one without
/// requests of this instance.
#[test]
fn new_upstream_gets_its_share_although_it_looks_best() {
    let mut fleet = loaded_fleet(4);
    let now = Time::from_ms(10_000);
    send(&mut fleet, 0, now.before(8_000), 8_000);
    for index in 0..4 {
        let key = key(&fleet, index);
        for _ in 0..4 {
            fleet.start_attempt(key, &[], 0, now);
        }
    }
    fleet.observe(entry(4), now);
    // A fifth of 100 requests per second, at a share below 0.8 in the first 500 ms.
    let target = key(&fleet, 4);
    let mut count = 0;
    for ms in (0..500).step_by(10) {
        let now = now.after(ms);
        let placement = select(&fleet, &REQUEST, now, ms);
        fleet.start_attempt(placement.key, &[], 0, now);
        count += u32::from(placement.key == target);
    }
    assert!((1..=8).contains(&count), "{count}");
}

/// A limit that never ended would waste the upstream.
#[test]
fn limit_ends_by_answers_or_by_time() {
    let mut fleet = loaded_fleet(4);
    let now = Time::from_ms(10_000);
    send(&mut fleet, 0, now.before(8_000), 8_000);
    fleet.observe(entry(4), now);
    send(&mut fleet, 4, now, 1_000);
    assert_eq!(share(&fleet, 4, now.after(1_000)), None);
    fleet.observe(entry(5), now);
    assert!(share(&fleet, 5, now.after(1_000)).is_some());
    assert_eq!(share(&fleet, 5, now.after(2_500)), None);
    fleet.expire(now.after(2_500));
    let changes = fleet.take_pace_changes();
    let began = PaceChange::Began(PaceCause::Start);
    assert_eq!(changes[0], ("u4".into(), began));
    let ends = |id: &str| {
        let is_end = |change: &PaceChange| matches!(change, PaceChange::Full { .. });
        changes
            .iter()
            .filter(|(of, change)| **of == *id && is_end(change))
            .count()
    };
    assert_eq!((ends("u4"), ends("u5")), (1, 1));
}

/// Failures that occur together are one observation; the share would otherwise fall to nothing and
/// swing.
#[test]
fn trouble_reduces_the_share_once_and_slows_its_growth() {
    let mut fleet = loaded_fleet(4);
    let began = Time::from_ms(10_000);
    fleet.observe(entry(4), began);
    let target = key(&fleet, 4);
    let now = began.after(1_000);
    let before = share(&fleet, 4, now).unwrap();
    for _ in 0..3 {
        fleet.start_attempt(target, &[], 0, now);
    }
    for _ in 0..3 {
        fleet.end_attempt(target, AttemptOutcome::Full, now);
    }
    let after = share(&fleet, 4, now).unwrap();
    assert!(after < before && after >= 0.25, "{before} {after}");
    assert_eq!(share(&fleet, 4, now.after(500)), Some(after));
    let growth = |from: u64| share(&fleet, 4, now.after(from + 500)).unwrap() - after;
    let usual = before - 0.25;
    assert!(growth(500) < usual / 1.5, "{} {usual}", growth(500));
}

/// An upstream that does not answer in time must not get more requests, although nothing has failed
/// yet.
#[test]
fn share_does_not_grow_while_a_request_is_overdue() {
    let mut fleet = loaded_fleet(4);
    let began = Time::from_ms(10_000);
    fleet.observe(entry(4), began);
    let target = key(&fleet, 4);
    fleet.start_attempt(target, &[], 0, began);
    let shares = [1_000, 2_000, 20_000].map(|ms| share(&fleet, 4, began.after(ms)));
    assert!(shares[0].is_some());
    assert_eq!(shares[0], shares[1]);
    assert_eq!(shares[0], shares[2]);
}

#[test]
fn limit_is_no_reason_to_reject() {
    let mut fleet = loaded_fleet(0);
    let now = Time::from_ms(1_000);
    for index in 0..3 {
        fleet.observe(entry(index), now);
    }
    let mut counts = [0; 3];
    for ms in 0..60 {
        let now = now.after(ms);
        let placement = select(&fleet, &REQUEST, now, ms);
        counts[placement.id[1..].parse::<usize>().unwrap()] += 1;
        fleet.start_attempt(placement.key, &[], 0, now);
    }
    assert!(
        counts.iter().all(|count| (15..=25).contains(count)),
        "{counts:?}"
    );
    // The others were tried.
    let tried = [key(&fleet, 0), key(&fleet, 1)];
    let request = PlacementRequest {
        tried: &tried,
        ..REQUEST
    };
    assert_eq!(&*select(&fleet, &request, now, 1).id, "u2");
}

/// The other upstream has no free slot, so that a request would queue there.
#[test]
fn limit_does_not_keep_requests_in_a_queue() {
    let mut fleet = loaded_fleet(1);
    let now = Time::from_ms(1_000);
    let busy = key(&fleet, 0);
    fleet.observe(entry(1), now);
    fleet.start_attempt(key(&fleet, 1), &[], 0, now);
    assert_eq!(select(&fleet, &REQUEST, now, 1).key, busy);
    for _ in 0..24 {
        fleet.start_attempt(busy, &[], 0, now);
    }
    assert_eq!(&*select(&fleet, &REQUEST, now, 1).id, "u1");
}

/// The other upstream has just rejected a request, so that the next one would fail as well.
#[test]
fn limit_does_not_keep_requests_at_a_failing_upstream() {
    let mut fleet = loaded_fleet(1);
    let now = Time::from_ms(1_000);
    fleet.observe(entry(1), now);
    let full = key(&fleet, 0);
    attempt(&mut fleet, full, AttemptOutcome::Full, now);
    assert_eq!(&*select(&fleet, &REQUEST, now, 1).id, "u1");
}

fn observe_ratio(fleet: &mut Fleet, index: usize, ratio: f64, now: Time) {
    let outcome = AttemptOutcome::Succeeded {
        latency_ratio: Some(ratio),
    };
    let key = key(fleet, index);
    attempt(fleet, key, outcome, now);
}

/// Small instances see an upstream once in several seconds.
#[test]
fn few_observations_tell_slow_upstreams_and_time_forgets_them() {
    let mut fleet = loaded_fleet(6);
    for at in [0, 6_000, 12_000] {
        for index in 0..6 {
            let ratio = if index == 0 { 2.5 } else { 1.0 };
            observe_ratio(&mut fleet, index, ratio, Time::from_ms(at));
        }
    }
    let factor = |ms| fleet.time_factor(key(&fleet, 0), Time::from_ms(ms));
    assert!(factor(12_000) > 1.5, "{}", factor(12_000));
    assert!(factor(12_000) < 4.0);
    assert!(factor(120_000) < 1.1, "{}", factor(120_000));
    let restarted = Upstream {
        started_ms: 8,
        ..entry(0)
    };
    fleet.observe(restarted, Time::from_ms(12_000));
    let now = Time::from_ms(12_000);
    assert_eq!(fleet.time_factor(key(&fleet, 0), now), 1.0);
}

/// The load of the other instances makes all of a service's upstreams slower alike.
#[test]
fn equally_slow_upstreams_are_selected_as_without_measurements() {
    let unmeasured = loaded_fleet(8);
    let mut fleet = loaded_fleet(8);
    let now = Time::from_ms(1_000);
    for index in 0..8 {
        for ratio in [1.9, 2.0, 2.1] {
            observe_ratio(&mut fleet, index, ratio, now);
        }
    }
    for draw in 0..500 {
        let before = select(&unmeasured, &REQUEST, now, draw);
        let after = select(&fleet, &REQUEST, now, draw);
        assert_eq!((before.id, before.cost_ms), (after.id, after.cost_ms));
    }
}

/// All instances select alike, so that the upstream that looks fastest must not get all requests.
#[test]
fn fastest_upstream_gets_a_bounded_share() {
    let mut fleet = loaded_fleet(8);
    let now = Time::from_ms(1_000);
    for _ in 0..20 {
        for index in 0..8 {
            let ratio = if index == 0 { 0.2 } else { 1.0 };
            observe_ratio(&mut fleet, index, ratio, now);
        }
    }
    let draws = 4_000;
    let fastest = (0..draws).filter(|draw| &*select(&fleet, &REQUEST, now, *draw).id == "u0");
    let share = fastest.count() as f64 / draws as f64;
    assert!((1.0 / 8.0..0.5).contains(&share), "{share}");
}

/// The service's measured speed is that of its mean upstream, whichever gets the requests.
#[test]
fn service_speed_does_not_drift_towards_fast_upstreams() {
    let mut fleet = loaded_fleet(2);
    let service = "engine".into();
    for number in 0..2_000_u64 {
        let now = Time::from_ms(number * 20);
        // Nine of ten requests go to the fast one.
        let index = usize::from(!number.is_multiple_of(10));
        let (ms, ratio) = if index == 1 {
            (50.0, 0.5)
        } else {
            (200.0, 2.0)
        };
        let expected_ms = fleet.speed("engine").plain_ms();
        let ratio = if number < 100 {
            ratio
        } else {
            ms / expected_ms
        };
        observe_ratio(&mut fleet, index, ratio, now);
        let key = key(&fleet, index);
        fleet.record_plain(&service, key, ms, now);
    }
    let plain_ms = fleet.speed("engine").plain_ms();
    assert!((75.0..133.0).contains(&plain_ms), "{plain_ms}");
}

/// A prompt that other instances may have sent there before is neither fast if it was cached nor
/// slow if it was not.
#[test]
fn cold_cache_is_not_slowness() {
    use basilramp_core::dispatch::placement::Prompt;
    let fleet = loaded_fleet(2);
    let parts = [
        PromptPart {
            id: 1,
            tokens: 30_000,
        },
        PromptPart { id: 2, tokens: 600 },
    ];
    let request = PlacementRequest {
        prompt: Some(Prompt {
            tokens: 30_600,
            parts: &parts,
        }),
        ..REQUEST
    };
    let expected = select(&fleet, &request, Time::ZERO, 1).expected_time();
    assert_eq!(expected.ratio(expected.min_ms), Some(1.0));
    assert_eq!(expected.ratio(expected.min_ms * 1.1), None);
    assert_eq!(expected.ratio(expected.max_ms), Some(1.0));
    assert_eq!(expected.ratio(2.0 * expected.max_ms), Some(2.0));
    assert_eq!(expected.ratio(expected.min_ms / 2.0), Some(0.5));
}
