//! Tests of program admission and rate limits.

use assert_matches::assert_matches;
use basilramp_core::admission::{
    FALL_SMOOTHING_MS, Gate, Load, ProgramCounts, REPORT_TTL_MS, RETRY_AFTER_MS, RISE_SMOOTHING_MS,
    SLOTS_PER_PROGRAM_PERMILLE,
};
use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_core::limit::TokenBucket;

fn account() -> id::Account {
    id::Account::new("account")
}

fn program(number: u32) -> id::Program {
    id::Program::root(&account(), &id::Request::new(number.to_string()))
}

fn gate_at_load(in_use: u32) -> (Gate, Time) {
    let mut gate = Gate::default();
    let now = Time::from_ms(FALL_SMOOTHING_MS);
    gate.observe(now, Load { slots: 100, in_use });
    (gate, now)
}

#[test]
fn headroom_is_reserved_for_running_programs() {
    let (mut gate, now) = gate_at_load(70);
    let admitted = (0..100).filter(|_| gate.admit(now, 20, 1).is_ok()).count();
    assert_eq!(admitted as u64 * SLOTS_PER_PROGRAM_PERMILLE, 10 * 1_000);
}

#[test]
fn each_instance_admits_its_share_of_free_slots() {
    let (mut gate, now) = gate_at_load(70);
    let admitted = (0..100).filter(|_| gate.admit(now, 20, 5).is_ok()).count();
    assert_eq!(admitted as u64 * SLOTS_PER_PROGRAM_PERMILLE, 2 * 1_000);
}

#[test]
fn load_rises_are_smoothed_faster_than_falls() {
    let (mut gate, now) = gate_at_load(0);
    let full = Load {
        slots: 100,
        in_use: 100,
    };
    let risen = now.after(RISE_SMOOTHING_MS);
    gate.observe(risen, full);
    assert_matches!(gate.admit(risen, 10, 1), Err(_));
    let fallen = risen.after(RISE_SMOOTHING_MS);
    gate.observe(fallen, Load { in_use: 0, ..full });
    assert_matches!(gate.admit(fallen, 30, 1), Err(_));
    let later = fallen.after(FALL_SMOOTHING_MS);
    gate.observe(later, Load { in_use: 0, ..full });
    assert_matches!(gate.admit(later, 30, 1), Ok(()));
}

#[test]
fn nothing_is_admitted_without_a_ready_upstream() {
    let mut gate = Gate::default();
    gate.observe(Time::ZERO, Load::default());
    assert_matches!(gate.admit(Time::ZERO, 0, 1), Err(_));
}

#[test]
fn idle_service_admits_one_program_despite_headroom() {
    let mut gate = Gate::default();
    gate.observe(
        Time::ZERO,
        Load {
            slots: 1,
            in_use: 0,
        },
    );
    assert_matches!(gate.admit(Time::ZERO, 50, 12), Ok(()));
    assert_matches!(gate.admit(Time::ZERO, 50, 12), Err(_));
}

#[test]
fn retry_after_grows_with_rejections() {
    let (mut gate, now) = gate_at_load(100);
    let first = gate.admit(now, 10, 1).expect_err("full");
    assert!(RETRY_AFTER_MS.contains(&first));
    for _ in 0..1_000 {
        let later = gate.admit(now, 10, 1).expect_err("full");
        assert!(RETRY_AFTER_MS.contains(&later));
        assert!(later >= first);
    }
    assert_eq!(gate.admit(now, 10, 1), Err(*RETRY_AFTER_MS.end()));
}

#[test]
fn account_program_limit_is_enforced() {
    let mut programs = ProgramCounts::default();
    let now = Time::ZERO;
    for number in 0..3 {
        assert!(programs.admit(now, &account(), program(number), 3));
    }
    assert!(!programs.admit(now, &account(), program(3), 3));
    assert!(
        programs.admit(now, &account(), program(2), 3),
        "a program does not count against itself"
    );
}

#[test]
fn a_program_reported_twice_counts_once() {
    let mut programs = ProgramCounts::default();
    let now = Time::ZERO;
    assert!(programs.admit(now, &account(), program(0), 2));
    for instance in ["a", "b"] {
        programs.record_owned(now, &id::Instance::new(instance), &account(), [program(0)]);
    }
    assert!(programs.admit(now, &account(), program(1), 2));
    assert!(!programs.admit(now, &account(), program(2), 2));
}

#[test]
fn ended_programs_and_expired_reports_are_not_counted() {
    let mut programs = ProgramCounts::default();
    let owner = id::Instance::new("a");
    programs.record_owned(Time::ZERO, &owner, &account(), [program(0)]);
    let early = Time::from_ms(REPORT_TTL_MS - 1);
    assert!(!programs.admit(early, &account(), program(1), 1));
    programs.record_owned(early, &owner, &account(), []);
    assert!(programs.admit(early, &account(), program(1), 1));
    let silent = id::Instance::new("b");
    programs.record_owned(early, &silent, &account(), [program(2)]);
    let late = early.after(REPORT_TTL_MS);
    assert!(!programs.admit(Time::from_ms(late.as_ms() - 1), &account(), program(3), 1));
    assert!(programs.admit(late, &account(), program(3), 1));
}

#[test]
fn token_bucket_limits_the_rate() {
    let mut now = Time::ZERO;
    let mut bucket = TokenBucket::new(now, 5_000);
    let mut acquired = 0;
    for _ in 0..=10_000 {
        acquired += u32::from(bucket.try_take(now).is_ok());
        now = now.after(1);
    }
    assert_eq!(acquired, 10 + 50);
}

#[test]
fn token_bucket_returns_the_wait_for_the_next_token() {
    let now = Time::ZERO;
    let mut bucket = TokenBucket::new(now, 250);
    assert_matches!(bucket.try_take(now), Ok(()));
    let wait_ms = bucket.try_take(now).expect_err("empty");
    assert_matches!(bucket.try_take(now.after(wait_ms - 1)), Err(_));
    assert_matches!(bucket.try_take(now.after(wait_ms)), Ok(()));
}
