//! Leases: a watcher never finds one lapsed that its holder still counts on.

use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_core::lease::{OwnLease, Scan, Timing, Tracker};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TERMS: Timing = Timing {
    lease_ms: 4_000,
    margin_ms: 1_000,
    max_gap_ms: 2_000,
};

fn reading(started: u64, read_ms: u64, lease_valid: bool) -> Scan {
    Scan {
        started: Time::from_ms(started),
        finished: Time::from_ms(started + read_ms),
        lease_valid,
    }
}

/// Watches one instance whose version changes at the times in `renewed`.
fn watch(readings: &[Scan], renewed: &[u64]) -> Vec<u64> {
    let own = id::Instance::new("i0");
    let mut watch = Tracker::new(TERMS);
    let mut lapses = Vec::new();
    for reading in readings {
        let effective = renewed.iter().filter(|at| **at <= reading.started.as_ms());
        watch.observe(*reading, [(own.clone(), effective.count() as u64)]);
        if !watch.expired(|_| 0).is_empty() {
            lapses.push(reading.started.as_ms());
        }
    }
    lapses
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn lapsed_lease_is_not_held(
        waits in prop::collection::vec((0_u64..3_000, 0_u64..2_500, any::<bool>()), 1..60),
        renewals in prop::collection::vec((0_u64..7_000, 0_u64..3_000), 0..20),
    ) {
        let mut at = 0;
        let mut readings = Vec::new();
        for (wait, read_ms, lease_valid) in waits {
            at += wait;
            readings.push(reading(at, read_ms, lease_valid));
            at += read_ms;
        }
        let mut sent = 0;
        let mut sends = Vec::new();
        for (wait, way) in renewals {
            sent += wait;
            sends.push((sent, sent + way));
            sent += way;
        }
        let effects: Vec<u64> = sends.iter().map(|(_, effect)| *effect).collect();
        for lapse in watch(&readings, &effects) {
            let mut held = OwnLease::default();
            for (sent, effect) in &sends {
                if *effect <= lapse {
                    held.renew(Time::from_ms(*sent), TERMS);
                }
            }
            prop_assert!(!held.is_valid(Time::from_ms(lapse)), "held at {lapse} ms");
        }
    }
}

#[test]
fn silent_lease_lapses_after_lease_and_margin() {
    let readings: Vec<Scan> = (0..10).map(|n| reading(n * 1_000, 10, true)).collect();
    let lapses = watch(&readings, &[]);
    assert_eq!(lapses.first(), Some(&6_000));
}

#[test]
fn gap_between_reads_starts_over() {
    let before = (0..4).map(|n| reading(n * 1_000, 10, true));
    let after = (10..20).map(|n| reading(n * 1_000, 10, true));
    let readings: Vec<Scan> = before.chain(after).collect();
    assert_eq!(watch(&readings, &[]).first(), Some(&16_000));
}

#[test]
fn reader_without_a_lease_finds_nothing_lapsed() {
    let readings: Vec<Scan> = (0..20).map(|n| reading(n * 1_000, 10, n > 8)).collect();
    assert_eq!(watch(&readings, &[]).first(), Some(&14_000));
}

#[test]
fn read_that_took_too_long_starts_over() {
    let slow = |n: u64| if n == 4 { 2_500 } else { 10 };
    let readings: Vec<Scan> = (0..10).map(|n| reading(n * 3_000, slow(n), true)).collect();
    assert_eq!(watch(&readings, &[]), Vec::<u64>::new());
}

#[test]
fn delay_postpones_a_lapse() {
    let own = id::Instance::new("i0");
    let mut watch = Tracker::new(TERMS);
    for n in 0..7 {
        watch.observe(reading(n * 1_000, 0, true), [(own.clone(), 1)]);
    }
    assert_eq!(watch.expired(|_| 1_000).get(&own), Some(&1));
    assert!(watch.expired(|_| 1_001).is_empty());
}

#[test]
fn holder_counts_from_the_send_and_never_less_than_before() {
    let mut held = OwnLease::default();
    assert!(!held.is_valid(Time::ZERO));
    held.renew(Time::from_ms(500), TERMS);
    held.renew(Time::from_ms(100), TERMS);
    assert!(held.is_valid(Time::from_ms(4_499)));
    assert!(!held.is_valid(Time::from_ms(4_500)));
    held.renew(Time::from_ms(600), TERMS);
    held.mark_lost();
    assert!(!held.is_valid(Time::from_ms(700)));
}
