//! Quarantine of requests that crash upstreams, without harm to those that are in flight beside them.

use std::collections::{BTreeMap, BTreeSet};

use basilramp_core::clock::Time;
use basilramp_core::history::Digest;
use basilramp_core::id;
use basilramp_core::suspect::{Suspect, Table, Verdict};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn upstream(name: &str) -> id::Upstream {
    id::Upstream::new(name)
}

fn fingerprint(number: u64) -> Digest {
    Digest::from_parts([&number.to_be_bytes()[..]])
}

fn suspect(crashed: &[&str]) -> Suspect {
    Suspect {
        crashed: crashed.iter().map(|name| upstream(name)).collect(),
        trial: None,
        ..Suspect::default()
    }
}

/// Writes all changes of a table, as a store without conflicts does.
fn write_all(table: &mut Table, version: &mut u64, now: Time) {
    for change in table.changes(100) {
        *version += 1;
        table.record_written(&change, *version, now);
    }
    assert!(table.changes(100).is_empty());
}

#[test]
fn the_third_crash_quarantines_a_request() {
    let mut table = Table::default();
    let request = fingerprint(1);
    let now = Time::ZERO;
    let mut verdicts = Vec::new();
    for name in ["u1", "u2", "u3"] {
        // Several connections end with the same upstream.
        table.record_crash(request, &upstream(name), now);
        table.record_crash(request, &upstream(name), now);
        verdicts.push(table.verdict(request, now));
    }
    let expected = [Verdict::Unrestricted, Verdict::Trial, Verdict::Quarantined];
    assert_eq!(verdicts, expected);
    assert_eq!(table.verdict(fingerprint(2), now), Verdict::Unrestricted);
}

#[test]
fn a_request_that_completes_is_cleared_in_the_store_too() {
    let mut table = Table::default();
    let mut version = 0;
    let now = Time::ZERO;
    table.record_crash(fingerprint(1), &upstream("u1"), now);
    assert!(!table.is_stored(fingerprint(1)));
    write_all(&mut table, &mut version, now);
    assert!(table.is_stored(fingerprint(1)));
    assert!(table.clear(fingerprint(1)));
    let changes = table.changes(100);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].suspect, None);
    write_all(&mut table, &mut version, now);
    assert!(table.is_empty());
    assert!(!table.clear(fingerprint(1)));
}

/// Each instance sees one crash; the row adds them up, also when the writes conflict.
#[test]
fn crashes_seen_by_different_instances_add_up() {
    let request = fingerprint(1);
    let now = Time::ZERO;
    let mut instance = Table::default();
    instance.record_crash(request, &upstream("u3"), now);
    let change = instance.changes(100).remove(0);
    assert_eq!(change.version, 0);
    // The write fails: two other instances wrote the row before.
    instance.apply_row(request, suspect(&["u1", "u2"]), 8, now);
    assert_eq!(instance.verdict(request, now), Verdict::Quarantined);
    let change = instance.changes(100).remove(0);
    assert_eq!(change.version, 8);
    assert_eq!(change.suspect, Some(suspect(&["u1", "u2", "u3"])));
    instance.record_written(&change, 9, now);
    assert!(instance.changes(100).is_empty());
    // A late, older state of the row changes nothing.
    instance.apply_row(request, suspect(&["u1"]), 7, now);
    assert_eq!(instance.verdict(request, now), Verdict::Quarantined);
    instance.apply_removal(request, 10);
    assert!(instance.is_empty());
}

/// The answer to a write was lost, and the write took effect.
#[test]
fn a_crash_that_is_already_stored_is_not_written_again() {
    let mut table = Table::default();
    table.record_crash(fingerprint(1), &upstream("u1"), Time::ZERO);
    table.apply_row(fingerprint(1), suspect(&["u1"]), 4, Time::ZERO);
    assert!(table.changes(100).is_empty());
    assert_eq!(table.crashes(fingerprint(1)), 1);
}

#[test]
fn one_trial_runs_at_a_time_until_it_is_stale() {
    let mut table = Table::default();
    let mut version = 0;
    let request = fingerprint(1);
    let now = Time::ZERO;
    table.record_crash(request, &upstream("u1"), now);
    table.record_crash(request, &upstream("u2"), now);
    assert_eq!(table.trial(request, &upstream("u3")), None, "not stored");
    write_all(&mut table, &mut version, now);
    let change = table.trial(request, &upstream("u3")).unwrap();
    table.record_written(&change, version + 1, now);
    assert_eq!(table.verdict(request, now), Verdict::Busy);
    assert_eq!(table.verdict(request, now.after(6_000)), Verdict::Trial);
    assert!(!table.end_trial(request, &upstream("another")));
    assert!(table.end_trial(request, &upstream("u3")));
    assert_eq!(table.verdict(request, now), Verdict::Trial);
    // The end is written until the store confirms it.
    let change = table.changes(100).remove(0);
    assert_eq!(change.suspect, Some(suspect(&["u1", "u2"])));
    assert_eq!(table.changes(100), std::slice::from_ref(&change));
    table.record_written(&change, version + 2, now);
    assert!(table.changes(100).is_empty());
    assert_eq!(table.verdict(request, now), Verdict::Trial);
    // The crash of the trial's upstream ends the trial.
    let change = table.trial(request, &upstream("u4")).unwrap();
    table.record_written(&change, version + 3, now);
    table.record_crash(request, &upstream("u4"), now);
    assert!(table.end_trial(request, &upstream("u4")));
    assert_eq!(table.verdict(request, now), Verdict::Quarantined);
}

/// A cut looks like a crash until the upstream's heartbeats arrive.
#[test]
fn an_upstream_that_is_alive_is_held_against_no_request() {
    let mut table = Table::default();
    let mut version = 0;
    let now = Time::ZERO;
    for name in ["u1", "u2", "u3"] {
        table.record_crash(fingerprint(1), &upstream(name), now);
    }
    table.record_crash(fingerprint(2), &upstream("u2"), now);
    write_all(&mut table, &mut version, now);
    assert_eq!(table.verdict(fingerprint(1), now), Verdict::Quarantined);
    let released = table.retract(&upstream("u2"), now);
    assert_eq!(released.len(), 2);
    assert_eq!(table.verdict(fingerprint(1), now), Verdict::Trial);
    assert_eq!(table.verdict(fingerprint(2), now), Verdict::Unrestricted);
    write_all(&mut table, &mut version, now);
    assert_eq!(table.len(), 1);
    // Another instance that has not heard of it yet writes the crash again.
    table.apply_row(fingerprint(1), suspect(&["u1", "u2", "u3"]), 50, now);
    assert_eq!(table.verdict(fingerprint(1), now), Verdict::Trial);
}

/// Two requests were in flight at the same three crashes. One of them runs first, and its outcome
/// tells which is to blame.
#[test]
fn requests_with_the_same_crashes_run_one_after_the_other() {
    for first_is_guilty in [true, false] {
        let mut table = Table::default();
        let mut requests = [fingerprint(1), fingerprint(2)];
        requests.sort();
        let now = Time::ZERO;
        for request in requests {
            for name in ["u1", "u2", "u3"] {
                table.record_crash(request, &upstream(name), now);
            }
        }
        assert_eq!(table.verdict(requests[0], now), Verdict::Trial);
        assert_eq!(table.verdict(requests[1], now), Verdict::Busy);
        if first_is_guilty {
            table.record_crash(requests[0], &upstream("u4"), now);
            assert_eq!(table.verdict(requests[0], now), Verdict::Quarantined);
            assert_eq!(table.verdict(requests[1], now), Verdict::Trial);
        } else {
            table.clear(requests[0]);
            assert_eq!(table.verdict(requests[1], now), Verdict::Quarantined);
        }
    }
}

#[test]
fn suspects_expire_and_their_number_is_limited() {
    let mut table = Table::default();
    let mut version = 0;
    let now = Time::ZERO;
    table.record_crash(fingerprint(1), &upstream("u1"), now);
    for name in ["u1", "u2", "u3"] {
        table.record_crash(fingerprint(2), &upstream(name), now);
    }
    write_all(&mut table, &mut version, now);
    let later = now.after(30 * 60_000);
    table.expire(0.5, later);
    assert_eq!(table.crashes(fingerprint(1)), 0);
    assert_eq!(table.verdict(fingerprint(2), later), Verdict::Quarantined);
    table.expire(0.5, now.after(48 * 3_600_000));
    assert!(table.is_empty());
    for number in 0..10_500 {
        table.record_crash(fingerprint(number), &upstream("u"), now);
    }
    assert_eq!(table.len(), 10_000);
}

/// A fleet of upstreams under requests of which some crash each upstream that runs them. All
/// requests that were in flight at a crash are sent again, in rounds.
struct Fleet {
    random: ChaCha8Rng,
    table: Table,
    guilty: BTreeSet<u64>,
    crashes: u64,
    crashes_of: BTreeMap<u64, u32>,
    wrongly_rejected: Vec<u64>,
}

impl Fleet {
    /// Runs a round of one second: each of `requests` is placed at one of `upstreams` unless its
    /// verdict forbids it. Returns the requests that are still neither served nor quarantined.
    fn run_round(&mut self, requests: &[u64], upstreams: usize, now: Time) -> Vec<u64> {
        let mut placed: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
        let mut trials = BTreeSet::new();
        let mut waiting = Vec::new();
        let mut requests = requests.to_vec();
        requests.shuffle(&mut self.random);
        for request in &requests {
            let verdict = self.table.verdict(fingerprint(*request), now);
            match verdict {
                Verdict::Unrestricted | Verdict::Trial => {
                    // Every instance knows the trials, but no other suspects of other instances.
                    let free: Vec<_> = (0..upstreams).filter(|at| !trials.contains(at)).collect();
                    let at = *free.choose(&mut self.random).unwrap_or(&0);
                    placed.entry(at).or_default().push(*request);
                    if verdict == Verdict::Trial {
                        trials.insert(at);
                    }
                }
                Verdict::Busy => waiting.push(*request),
                Verdict::Quarantined if self.guilty.contains(request) => {}
                Verdict::Quarantined => self.wrongly_rejected.push(*request),
            }
        }
        for in_flight in placed.into_values() {
            let guilty = in_flight
                .iter()
                .find(|request| self.guilty.contains(request));
            let Some(guilty) = guilty else {
                for request in in_flight {
                    self.table.clear(fingerprint(request));
                }
                continue;
            };
            *self.crashes_of.entry(*guilty).or_default() += 1;
            self.crashes += 1;
            let name = upstream(&format!("u{}", self.crashes));
            for request in in_flight {
                self.table.record_crash(fingerprint(request), &name, now);
                waiting.push(request);
            }
        }
        waiting
    }
}

/// A crash of a busy upstream makes suspects of 24 requests. Those that are innocent are served,
/// also those that meet the guilty one again, and the guilty ones are stopped.
#[test]
fn requests_beside_those_that_crash_upstreams_are_served() {
    const SEEDS: u64 = 300;
    let mut served = 0;
    for guilty in [1, 3] {
        let mut wrongly_rejected = 0;
        for seed in 0..SEEDS {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let upstreams = random.random_range(6..30);
            let mut fleet = Fleet {
                table: Table::default(),
                guilty: (0..guilty).collect(),
                crashes: 0,
                crashes_of: BTreeMap::new(),
                wrongly_rejected: Vec::new(),
                random,
            };
            let mut requests: Vec<_> = (0..24 + guilty).collect();
            for round in 0..40 {
                let now = Time::from_ms(round * 1_000);
                // The requests of the first round are at the same few upstreams.
                let upstreams = if round == 0 {
                    1 + guilty as usize / 2
                } else {
                    upstreams
                };
                requests = fleet.run_round(&requests, upstreams, now);
            }
            assert!(requests.is_empty(), "seed {seed}: {requests:?} still wait");
            let most = fleet.crashes_of.values().max().copied().unwrap_or_default();
            assert!(most <= 6, "seed {seed}: {most} crashes of one request");
            wrongly_rejected += fleet.wrongly_rejected.len();
            served += 24 - fleet.wrongly_rejected.len();
        }
        assert!(
            wrongly_rejected == 0,
            "{guilty} guilty ones: {wrongly_rejected} of {} innocent ones rejected",
            SEEDS * 24
        );
    }
    assert!(served > 0);
}

/// The digest of a target.
fn target(number: u64) -> Digest {
    fingerprint(1_000_000 + number)
}

/// Records crashes of requests for target 1, one upstream each, and that they are stored.
fn crash_at_target(table: &mut Table, requests: &[u64], now: Time) {
    for (index, request) in requests.iter().enumerate() {
        let request = fingerprint(*request);
        table.record_crash(request, &upstream(&format!("u{index}")), now);
        table.set_target(request, target(1));
    }
    store(table, now);
}

fn store(table: &mut Table, now: Time) {
    for (version, change) in (now.as_ms() + 1..).zip(table.changes(100)) {
        table.record_written(&change, version, now);
    }
}

/// What triggers a fault may be part of many requests. Guards against one crash after the other, each
/// under a new request for the same target.
#[test]
fn a_target_is_quarantined_after_several_of_its_requests_met_crashes() {
    let (mut table, now) = (Table::default(), Time::from_ms(100));
    crash_at_target(&mut table, &[1, 2], now);
    assert_eq!(table.target_verdict(target(1), now), Verdict::Unrestricted);
    crash_at_target(&mut table, &[1, 2, 3], now);
    assert_eq!(table.target_verdict(target(1), now), Verdict::Trial);
    assert_eq!(table.target_verdict(target(2), now), Verdict::Unrestricted);
    // A request that was not seen before has a trial.
    let change = table.target_trial(fingerprint(4), target(1), &upstream("u9"));
    table.record_written(&change.unwrap(), 200, now);
    assert_eq!(table.target_verdict(target(1), now), Verdict::Busy);
    table.record_crash(fingerprint(4), &upstream("u9"), now);
    // The upstream may have crashed for another reason.
    assert_eq!(table.target_verdict(target(1), now), Verdict::Trial);
    store(&mut table, now.after(200));
    let change = table.target_trial(fingerprint(6), target(1), &upstream("u11"));
    table.record_written(&change.unwrap(), 10_000, now);
    table.record_crash(fingerprint(6), &upstream("u11"), now);
    assert_eq!(table.target_verdict(target(1), now), Verdict::Quarantined);
    store(&mut table, now.after(20_000));
    let later = now.after(29_000);
    assert_eq!(table.target_verdict(target(1), later), Verdict::Quarantined);
    // The target may be sound after all. The next time is longer.
    let later = now.after(31_000);
    assert_eq!(table.target_verdict(target(1), later), Verdict::Trial);
    let change = table.target_trial(fingerprint(5), target(1), &upstream("u10"));
    table.record_written(&change.unwrap(), 90_000, later);
    table.record_crash(fingerprint(5), &upstream("u10"), later);
    let later = later.after(15_000);
    assert_eq!(table.target_verdict(target(1), later), Verdict::Quarantined);
}

/// A request that is quarantined itself explains the crashes under others beside it. Guards against a target
/// that is refused for the fault of one request, with nothing left that could complete.
#[test]
fn a_quarantined_request_explains_its_crashes() {
    let (mut table, now) = (Table::default(), Time::from_ms(100));
    for name in ["u1", "u2", "u3"] {
        table.record_crash(fingerprint(1), &upstream(name), now);
        table.set_target(fingerprint(1), target(1));
    }
    for name in ["u2", "u4"] {
        table.record_crash(fingerprint(2), &upstream(name), now);
        table.set_target(fingerprint(2), target(1));
    }
    assert_eq!(table.verdict(fingerprint(1), now), Verdict::Quarantined);
    assert_eq!(table.target_verdict(target(1), now), Verdict::Unrestricted);
    // Two quarantined requests are the target's fault.
    for name in ["u5", "u6"] {
        table.record_crash(fingerprint(2), &upstream(name), now);
    }
    assert_eq!(table.target_verdict(target(1), now), Verdict::Trial);
}

/// Guards against a target that is refused for one of its requests, or although others complete.
#[test]
fn a_target_of_sound_requests_is_not_held_against_them() {
    let now = Time::from_ms(100);
    // A single request crashes its upstreams.
    let mut table = Table::default();
    crash_at_target(&mut table, &[1, 1, 1, 1], now);
    assert_eq!(table.verdict(fingerprint(1), now), Verdict::Quarantined);
    assert_eq!(table.target_verdict(target(1), now), Verdict::Unrestricted);
    // Requests beside a crashing one, of which any completes.
    let mut table = Table::default();
    crash_at_target(&mut table, &[1, 2, 3, 4, 5], now);
    assert_eq!(table.target_verdict(target(1), now), Verdict::Trial);
    let instance = table.changes(100);
    assert!(instance.is_empty());
    assert!(table.exonerate(target(1)));
    assert!(!table.exonerate(target(1)));
    assert_eq!(table.target_verdict(target(1), now), Verdict::Unrestricted);
    // The other instances learn of it, and the crashes remain.
    let changes = table.changes(100);
    assert_eq!(changes.len(), 5);
    let is_cleared = |suspect: &Suspect| suspect.target.is_none() && !suspect.crashed.is_empty();
    assert!(
        changes
            .iter()
            .all(|change| change.suspect.as_ref().is_some_and(is_cleared))
    );
}

/// A trial whose instance ends leaves a row without crashes, which is removed.
#[test]
fn a_trial_for_a_target_leaves_nothing_behind() {
    let (mut table, now) = (Table::default(), Time::from_ms(100));
    crash_at_target(&mut table, &[1, 2, 3], now);
    let change = table.target_trial(fingerprint(4), target(1), &upstream("u9"));
    table.record_written(&change.unwrap(), 200, now);
    assert!(table.end_trial(fingerprint(4), &upstream("u9")));
    let changes = table.changes(100);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].suspect, None);
    assert_eq!(table.target_verdict(target(1), now), Verdict::Trial);
}
