//! Tests of lease validity. A watcher must never see a lease as expired while its holder sees it as
//! valid.

use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_core::lease::{OwnLease, Scan, Timing, Tracker};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TIMING: Timing = Timing {
    lease_ms: 4_000,
    margin_ms: 1_000,
    max_gap_ms: 2_000,
};

fn scan(started: u64, read_ms: u64, lease_valid: bool) -> Scan {
    Scan {
        started: Time::from_ms(started),
        finished: Time::from_ms(started + read_ms),
        lease_valid,
    }
}

/// Tracks one instance whose version changes at the times in `renewed`. Returns the start times of
/// the scans that find its lease expired.
fn expiry_times(scans: &[Scan], renewed: &[u64]) -> Vec<u64> {
    let own = id::Instance::new("i0");
    let mut tracker = Tracker::new(TIMING);
    let mut expiries = Vec::new();
    for scan in scans {
        let effective = renewed.iter().filter(|at| **at <= scan.started.as_ms());
        tracker.observe(*scan, [(own.clone(), effective.count() as u64)]);
        if !tracker.expired(|_| 0).is_empty() {
            expiries.push(scan.started.as_ms());
        }
    }
    expiries
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
    fn expired_lease_is_not_valid_for_its_holder(
        waits in prop::collection::vec((0_u64..3_000, 0_u64..2_500, any::<bool>()), 1..60),
        renewals in prop::collection::vec((0_u64..7_000, 0_u64..3_000), 0..20),
    ) {
        let mut at = 0;
        let mut scans = Vec::new();
        for (wait, read_ms, lease_valid) in waits {
            at += wait;
            scans.push(scan(at, read_ms, lease_valid));
            at += read_ms;
        }
        let mut sent = 0;
        let mut sends = Vec::new();
        for (wait, latency) in renewals {
            sent += wait;
            sends.push((sent, sent + latency));
            sent += latency;
        }
        let effects: Vec<u64> = sends.iter().map(|(_, effect)| *effect).collect();
        for expiry in expiry_times(&scans, &effects) {
            let mut own_lease = OwnLease::default();
            for (sent, effect) in &sends {
                if *effect <= expiry {
                    own_lease.renew(Time::from_ms(*sent), TIMING);
                }
            }
            prop_assert!(!own_lease.is_valid(Time::from_ms(expiry)), "still valid at {expiry} ms");
        }
    }
}

#[test]
fn unrenewed_lease_expires_after_lease_and_margin() {
    let scans: Vec<Scan> = (0..10).map(|n| scan(n * 1_000, 10, true)).collect();
    let expiries = expiry_times(&scans, &[]);
    assert_eq!(expiries.first(), Some(&6_000));
}

#[test]
fn gap_between_scans_restarts_tracking() {
    let before = (0..4).map(|n| scan(n * 1_000, 10, true));
    let after = (10..20).map(|n| scan(n * 1_000, 10, true));
    let scans: Vec<Scan> = before.chain(after).collect();
    assert_eq!(expiry_times(&scans, &[]).first(), Some(&16_000));
}

#[test]
fn scan_without_own_lease_restarts_tracking() {
    let scans: Vec<Scan> = (0..20).map(|n| scan(n * 1_000, 10, n > 8)).collect();
    assert_eq!(expiry_times(&scans, &[]).first(), Some(&14_000));
}

#[test]
fn slow_scan_restarts_tracking() {
    let slow = |n: u64| if n == 4 { 2_500 } else { 10 };
    let scans: Vec<Scan> = (0..10).map(|n| scan(n * 3_000, slow(n), true)).collect();
    assert_eq!(expiry_times(&scans, &[]), Vec::<u64>::new());
}

#[test]
fn delay_postpones_expiry() {
    let own = id::Instance::new("i0");
    let mut tracker = Tracker::new(TIMING);
    for n in 0..7 {
        tracker.observe(scan(n * 1_000, 0, true), [(own.clone(), 1)]);
    }
    assert_eq!(tracker.expired(|_| 1_000).get(&own), Some(&1));
    assert!(tracker.expired(|_| 1_001).is_empty());
}

#[test]
fn holder_validity_counts_from_the_send_and_never_shrinks() {
    let mut own_lease = OwnLease::default();
    assert!(!own_lease.is_valid(Time::ZERO));
    own_lease.renew(Time::from_ms(500), TIMING);
    own_lease.renew(Time::from_ms(100), TIMING);
    assert!(own_lease.is_valid(Time::from_ms(4_499)));
    assert!(!own_lease.is_valid(Time::from_ms(4_500)));
    own_lease.renew(Time::from_ms(600), TIMING);
    own_lease.mark_lost();
    assert!(!own_lease.is_valid(Time::from_ms(700)));
}
