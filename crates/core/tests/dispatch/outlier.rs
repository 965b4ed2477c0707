//! Upstreams that fail: which are ejected, for how long, and what happens to the requests.

use std::collections::BinaryHeap;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::{AttemptOutcome, Fleet, HealthChange, UpstreamKey};
use basilramp_core::dispatch::placement::{Placement, PlacementRequest, Prompt, select_upstream};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::upstream;

const SUCCESS: AttemptOutcome = AttemptOutcome::Succeeded {
    latency_ratio: None,
};

fn fleet(upstreams: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..upstreams {
        let domain = format!("z{}", index % 3);
        fleet.observe(upstream(&format!("u{index}"), &domain), Time::ZERO);
    }
    fleet
}

fn request(is_repeatable: bool, tried: &[UpstreamKey]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "engine",
        prompt: None,
        affinity_key: None,
        previous_upstream: None,
        failure_domain: "z0",
        version: None,
        tried,
        is_repeatable,
        starts_program: false,
        trials: None,
        may_use_limited: true,
    }
}

fn select(fleet: &Fleet, is_repeatable: bool, now: Time, draw: u64) -> Option<Placement> {
    select_upstream(fleet, &request(is_repeatable, &[]), now, draw)
}

fn attempt(
    fleet: &mut Fleet,
    key: UpstreamKey,
    outcome: AttemptOutcome,
    now: Time,
) -> Option<HealthChange> {
    fleet.start_attempt(key, &[], 0, now);
    fleet.end_attempt(key, outcome, now)
}

/// Records successes at all upstreams, so that a failure is unusual for the service.
fn warm_up(fleet: &mut Fleet, now: Time) {
    let keys: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
    for _ in 0..50 {
        for key in &keys {
            attempt(fleet, *key, SUCCESS, now);
        }
    }
}

/// How an instance classifies an error that an upstream returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Classification {
    /// As a response like any other, with its response time.
    Response,
    /// As an error of the upstream.
    ServerError,
}

/// Counts of a replay during the fault.
#[derive(Debug, Default)]
struct Counts {
    requests: u32,
    errors: u32,
    /// Requests whose last attempt failed.
    failed: u32,
    /// Attempts by upstream.
    attempts: Vec<u32>,
}

impl Counts {
    fn busiest_to_mean(&self) -> f64 {
        let total: u32 = self.attempts.iter().sum();
        let busiest = self.attempts.iter().max().copied().unwrap_or_default();
        f64::from(busiest) * self.attempts.len() as f64 / f64::from(total)
    }
}

const ENGINES: usize = 51;
const FAULTY: usize = 4;
const INSTANCES: usize = 69;
const REQUESTS_PER_S: u64 = 700;
const ATTEMPT_MS: u64 = 110;
const ERROR_MS: u64 = 2;
const FAULT: std::ops::Range<u64> = 5_000..12_000;

/// Replays four of 51 engines that respond to every request with an immediate error for 7 s, behind
/// 69 instances that know only of their own requests. A quarter of the requests must not run twice.
fn replay_fast_errors(classification: Classification, seed: u64) -> Counts {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleets: Vec<_> = (0..INSTANCES).map(|_| fleet(ENGINES)).collect();
    let mut running = BinaryHeap::new();
    let mut counts = Counts {
        attempts: vec![0; ENGINES],
        ..Counts::default()
    };
    for number in 0..(14 * REQUESTS_PER_S) {
        let now_ms = number * 1_000 / REQUESTS_PER_S;
        while let Some(std::cmp::Reverse((ends, instance, key, ratio))) = running.pop() {
            if ends > now_ms {
                running.push(std::cmp::Reverse((ends, instance, key, ratio)));
                break;
            }
            let outcome = AttemptOutcome::Succeeded {
                latency_ratio: Some(f64::from(ratio) / 100.0),
            };
            let fleet: &mut Fleet = &mut fleets[instance];
            fleet.end_attempt(key, outcome, Time::from_ms(ends));
        }
        let now = Time::from_ms(now_ms);
        let instance = rng.random_range(0..INSTANCES);
        let is_repeatable = rng.random_bool(0.75);
        let prompt = Prompt {
            tokens: 600,
            parts: &[],
        };
        let mut tried = Vec::new();
        let is_counted = FAULT.contains(&now_ms);
        counts.requests += u32::from(is_counted);
        loop {
            let fleet = &mut fleets[instance];
            let request = PlacementRequest {
                prompt: Some(prompt),
                failure_domain: ["z0", "z1", "z2"][instance % 3],
                ..request(is_repeatable, &tried)
            };
            let placement = select_upstream(fleet, &request, now, rng.random()).unwrap();
            let index: usize = placement.id[1..].parse().unwrap();
            counts.attempts[index] += u32::from(is_counted);
            fleet.start_attempt(placement.key, &[], 600, now);
            fleet.record_prompt_read(placement.key, 600);
            tried.push(placement.key);
            if index >= FAULTY || !is_counted {
                let ends = now_ms + ATTEMPT_MS;
                running.push(std::cmp::Reverse((ends, instance, placement.key, 100)));
                break;
            }
            counts.errors += 1;
            let outcome = match classification {
                Classification::Response => AttemptOutcome::Succeeded {
                    latency_ratio: Some(ERROR_MS as f64 / placement.expected_ms),
                },
                Classification::ServerError => AttemptOutcome::ServerError,
            };
            fleet.end_attempt(placement.key, outcome, now.after(ERROR_MS));
            let may_retry = classification == Classification::ServerError && is_repeatable;
            if !may_retry || tried.len() == 2 {
                counts.failed += 1;
                break;
            }
        }
    }
    counts
}

/// Engines that return errors at once have an empty queue and short response times. On a day with
/// such engines the busiest upstream got 3.4 times the mean, and 4,075 requests failed.
#[test]
fn fast_errors_do_not_attract_requests() {
    for seed in 1..4 {
        let old = replay_fast_errors(Classification::Response, seed);
        let new = replay_fast_errors(Classification::ServerError, seed);
        assert!(5 * new.errors < old.errors, "{new:?}, {old:?}");
        assert!(20 * new.failed < new.requests, "{new:?}");
        assert!(new.busiest_to_mean() < 1.6, "{}", new.busiest_to_mean());
        assert!(old.busiest_to_mean() > 1.6, "{}", old.busiest_to_mean());
    }
}

/// One request in a hundred gets an honest error of a plain service. An upstream has been ejected
/// for no more than one in a hundred of its requests.
#[test]
fn honest_errors_eject_rarely() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut fleet = fleet(5);
    let mut ejected = 0;
    for number in 0..20_000_u64 {
        let now = Time::from_ms(number * 10);
        ejected += fleet
            .iter()
            .filter(|(_, entry)| entry.health().is_ejected())
            .count();
        let key = select(&fleet, true, now, number).unwrap().key;
        let outcome = match rng.random_bool(0.01) {
            true => AttemptOutcome::ServerError,
            false => SUCCESS,
        };
        attempt(&mut fleet, key, outcome, now);
    }
    assert!(ejected <= 5 * 200, "{ejected} of {}", 5 * 20_000);
}

/// A service whose every response is an error keeps half of its upstreams.
#[test]
fn at_most_half_of_a_service_is_ejected() {
    let mut fleet = fleet(6);
    warm_up(&mut fleet, Time::ZERO);
    for number in 0..200 {
        let now = Time::from_ms(number);
        let key = select(&fleet, true, now, number).unwrap().key;
        attempt(&mut fleet, key, AttemptOutcome::ServerError, now);
        let ejected = fleet
            .iter()
            .filter(|(_, entry)| entry.health().is_ejected());
        assert!(ejected.count() <= 3);
    }
}

#[test]
fn ejected_upstream_is_probed_by_one_repeatable_request_at_a_time() {
    let mut fleet = fleet(3);
    warm_up(&mut fleet, Time::ZERO);
    let key = fleet.find_by_id("u1").unwrap();
    let change = attempt(&mut fleet, key, AttemptOutcome::Unreachable, Time::ZERO);
    let Some(HealthChange::Ejected { ms, .. }) = change else {
        panic!("{change:?}");
    };
    let admits = |fleet: &Fleet, is_repeatable, now| {
        fleet.get(key).unwrap().health().admits(is_repeatable, now)
    };
    let probed_at = Time::from_ms(ms);
    assert!(!admits(&fleet, true, Time::from_ms(ms - 1)));
    assert!(admits(&fleet, true, probed_at));
    assert!(!admits(&fleet, false, probed_at));
    fleet.start_attempt(key, &[], 0, probed_at);
    assert!(!admits(&fleet, true, probed_at));
    assert_eq!(fleet.end_attempt(key, SUCCESS, probed_at), None);
    let change = attempt(&mut fleet, key, SUCCESS, probed_at);
    assert_eq!(change, Some(HealthChange::Restored));
    assert!(admits(&fleet, true, probed_at));
    assert!(!admits(&fleet, false, probed_at));
    let health = *fleet.get(key).unwrap().health();
    let cost_ms = |ms| health.slow_start_cost_ms(probed_at.after(ms));
    assert!(cost_ms(0) > cost_ms(1_000) && cost_ms(1_000) > cost_ms(2_000));
    assert!(admits(&fleet, false, probed_at.after(2_000)));
}

/// A failed probe doubles the time of the ejection, up to its maximum.
#[test]
fn ejections_of_a_failing_upstream_grow() {
    let mut fleet = fleet(3);
    warm_up(&mut fleet, Time::ZERO);
    let key = fleet.find_by_id("u1").unwrap();
    let mut now = Time::ZERO;
    let mut times = Vec::new();
    for _ in 0..6 {
        let change = attempt(&mut fleet, key, AttemptOutcome::Unreachable, now);
        let Some(HealthChange::Ejected { ms, .. }) = change else {
            panic!("{change:?}");
        };
        times.push(ms);
        now = now.after(ms);
    }
    assert!(times.is_sorted() && times[1] == 2 * times[0], "{times:?}");
    assert_eq!(times[4], times[5], "{times:?}");
}

/// The end of an attempt from before the ejection is not a probe.
#[test]
fn earlier_attempts_do_not_restore_an_ejected_upstream() {
    let mut fleet = fleet(3);
    warm_up(&mut fleet, Time::ZERO);
    let key = fleet.find_by_id("u1").unwrap();
    for _ in 0..4 {
        fleet.start_attempt(key, &[], 0, Time::ZERO);
    }
    let change = fleet.end_attempt(key, AttemptOutcome::Silent, Time::ZERO);
    assert!(matches!(change, Some(HealthChange::Ejected { .. })));
    for ms in 1..4 {
        assert_eq!(fleet.end_attempt(key, SUCCESS, Time::from_ms(ms)), None);
    }
    assert!(fleet.get(key).unwrap().health().is_ejected());
}

/// A failure that is not yet enough to eject keeps requests away that must not run twice.
#[test]
fn unrepeatable_request_is_not_offered_to_a_suspect_upstream() {
    let mut fleet = fleet(2);
    let key = fleet.find_by_id("u1").unwrap();
    let change = attempt(&mut fleet, key, AttemptOutcome::ServerError, Time::ZERO);
    assert_eq!(change, None);
    for draw in 0..50 {
        let placement = select(&fleet, false, Time::ZERO, draw).unwrap();
        assert_ne!(placement.key, key);
    }
    let health = fleet.get(key).unwrap().health();
    assert!(health.admits(true, Time::ZERO));
    assert!(health.admits(false, Time::from_ms(10_000)));
}

fn outcomes() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(SUCCESS),
        Just(AttemptOutcome::ServerError),
        Just(AttemptOutcome::Full),
        Just(AttemptOutcome::Unreachable),
        Just(AttemptOutcome::Broken),
        Just(AttemptOutcome::Silent),
        Just(AttemptOutcome::Abandoned),
    ]
}

proptest! {
    /// Whatever happens, a request finds an upstream, and half of the service is not ejected.
    #[test]
    fn some_upstream_is_always_selected(
        upstreams in 1_usize..8,
        steps in prop::collection::vec((0_usize..8, outcomes(), 0_u64..700), 1..200),
    ) {
        let mut fleet = fleet(upstreams);
        let keys: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
        let mut now = Time::ZERO;
        for (index, outcome, ms) in steps {
            now = now.after(ms);
            attempt(&mut fleet, keys[index % upstreams], outcome, now);
            for is_repeatable in [true, false] {
                prop_assert!(select(&fleet, is_repeatable, now, ms).is_some());
            }
            let ejected = fleet.iter().filter(|(_, entry)| entry.health().is_ejected());
            prop_assert!(2 * ejected.count() <= upstreams);
        }
    }
}
