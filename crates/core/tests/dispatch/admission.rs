//! Several times the usual arrivals for some seconds, before engines that slow down.

use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::admission::{AdmissionControl, TurnTiming};

/// Turns that engines end in a second: beyond them, turns slow down in proportion to those
/// under way.
const TURNS_PER_S: f64 = 100.0;

/// A turn on an idle engine, in milliseconds.
const IDLE_TURN_MS: f64 = 200.0;

/// Turns of a program.
const TURNS: u32 = 5;

/// The pause of a program between two turns, in which its tools run.
const PAUSE_MS: u64 = 120;

/// A program is in time within this multiple of its time on idle engines.
const IN_TIME_FACTOR: f64 = 2.8;

const STEP_MS: u64 = 10;

/// Programs that arrive in a second at the usual load.
const NORMAL_PER_S: f64 = 15.0;

/// How long the usual load lasts before the overload, in milliseconds.
const NORMAL_MS: u64 = 5_000;

/// What became of the programs that arrived in a overload.
#[derive(Debug, Default)]
struct Counts {
    arrived: u32,
    rejected: u32,
    in_time: u32,
}

struct Program {
    began: u64,
    /// What is remaining_ms of its turns, in milliseconds on an idle engine.
    remaining_ms: f64,
    turns_left: u32,
    turn_began: u64,
}

/// Plays arrivals of `per_s` programs a second for `seconds`, after five seconds of the usual
/// load; returns how many of them arrived, were rejected, and ended in time. Engines are shared by
/// all turns under way.
fn simulate(per_s: f64, seconds: u64, has_admission_control: bool) -> Counts {
    let service: Arc<str> = "engine".into();
    let mut control = AdmissionControl::default();
    let mut programs: Vec<Program> = Vec::new();
    let mut counts = Counts::default();
    let mut pending_arrivals = 0.0;
    // With this many turns under way, engines are as busy as they can be at their full speed.
    let capacity = TURNS_PER_S * IDLE_TURN_MS / 1_000.0;
    let overload = NORMAL_MS..NORMAL_MS + seconds * 1_000;
    for now in (0..overload.end + 30_000).step_by(STEP_MS as usize) {
        let is_overload = overload.contains(&now);
        let rate = if is_overload { per_s } else { NORMAL_PER_S };
        if now < overload.end {
            pending_arrivals += rate * STEP_MS as f64 / 1_000.0;
        }
        while pending_arrivals >= 1.0 {
            pending_arrivals -= 1.0;
            counts.arrived += u32::from(is_overload);
            let id = format!("program at {now} and {pending_arrivals}");
            let rejection = control.rejection_delay_ms(&service, &id, 0.5, Time::from_ms(now));
            if has_admission_control && rejection.is_some() {
                counts.rejected += u32::from(is_overload);
                continue;
            }
            programs.push(Program {
                began: now,
                remaining_ms: IDLE_TURN_MS,
                turns_left: TURNS - 1,
                turn_began: now,
            });
        }
        let running = programs.iter().filter(|program| program.turn_began <= now);
        let speed = (capacity / running.count() as f64).min(1.0);
        for program in &mut programs {
            program.step(speed, now, &mut control, &service);
        }
        let in_time_ms = IN_TIME_FACTOR * (IDLE_TURN_MS + PAUSE_MS as f64) * f64::from(TURNS);
        programs.retain(|program| {
            let is_in_time = (now - program.began) as f64 <= in_time_ms;
            if program.remaining_ms <= 0.0 && is_in_time && overload.contains(&program.began) {
                counts.in_time += 1;
            }
            program.remaining_ms > 0.0
        });
    }
    counts
}

impl Program {
    /// Goes on for a step at a share of the full speed.
    fn step(&mut self, speed: f64, now: u64, control: &mut AdmissionControl, service: &Arc<str>) {
        if self.turn_began > now {
            return;
        }
        self.remaining_ms -= STEP_MS as f64 * speed;
        if self.remaining_ms > 0.0 {
            return;
        }
        let ms = (now - self.turn_began).max(1) as f64;
        let turn = TurnTiming {
            unread_tokens: 1_000,
            first_event_ms: ms / 5.0,
            streaming_ms: ms * 4.0 / 5.0,
            events: 9,
        };
        control.record(service, turn, Time::from_ms(now));
        if self.turns_left > 0 {
            self.turns_left -= 1;
            self.remaining_ms = IDLE_TURN_MS;
            self.turn_began = now + PAUSE_MS;
        }
    }
}

/// The usual load: three quarters of what engines can do.
#[test]
fn no_program_is_rejected_at_normal_load() {
    let counts = simulate(NORMAL_PER_S, 20, true);
    assert_eq!(counts.rejected, 0, "{counts:?}");
    assert_eq!(counts.in_time, counts.arrived, "{counts:?}");
}

/// The overload: four times the usual load for ten seconds. Without refusals nearly all end late.
#[test]
fn rejections_under_overload_let_more_programs_finish_in_time() {
    let without = simulate(4.0 * NORMAL_PER_S, 10, false);
    let with = simulate(4.0 * NORMAL_PER_S, 10, true);
    assert!(with.in_time >= 2 * without.in_time, "{with:?}, {without:?}");
    assert!(with.rejected < with.arrived * 9 / 10, "{with:?}");
}

/// A burst that engines digest: what is late then is worth more than what is rejected.
#[test]
fn small_burst_rejects_few_programs() {
    let counts = simulate(1.6 * NORMAL_PER_S, 4, true);
    assert!(10 * counts.rejected <= counts.arrived, "{counts:?}");
}

#[test]
fn all_instances_decide_alike_on_a_program() {
    let service: Arc<str> = "engine".into();
    let controls = [0.0, 0.3, 0.9].map(|draw| {
        let mut control = AdmissionControl::default();
        for index in 0..40 {
            let ms = if index == 0 { 100.0 } else { 380.0 };
            let turn = TurnTiming {
                unread_tokens: 1_000,
                first_event_ms: ms,
                streaming_ms: ms,
                events: 9,
            };
            control.record(&service, turn, Time::ZERO);
        }
        (control, draw)
    });
    let mut rejected = 0;
    for index in 0..200 {
        let id = format!("p{index}");
        let retries = controls
            .each_ref()
            .map(|(control, draw)| control.rejection_delay_ms(&service, &id, *draw, Time::ZERO));
        let is_rejected = retries.map(|retry| retry.is_some());
        assert_eq!(is_rejected, [is_rejected[0]; 3], "{id}");
        rejected += u32::from(is_rejected[0]);
        if let [Some(soon), _, Some(late)] = retries {
            assert!(soon >= 400 && late > soon, "{soon} {late}");
        }
    }
    assert!((40..160).contains(&rejected), "{rejected}");
}

#[test]
fn stale_measurements_reject_no_program() {
    let service: Arc<str> = "engine".into();
    let mut control = AdmissionControl::default();
    let turn = |ms| TurnTiming {
        unread_tokens: 1_000,
        first_event_ms: ms,
        streaming_ms: ms,
        events: 9,
    };
    control.record(&service, turn(50.0), Time::ZERO);
    for _ in 0..60 {
        control.record(&service, turn(1_000.0), Time::ZERO);
    }
    assert!(control.slowdown(&service, Time::ZERO) > 4.0);
    let later = Time::from_ms(2_000);
    assert!(control.slowdown(&service, later) <= 1.0);
}
