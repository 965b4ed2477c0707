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
const AIM: f64 = 2.8;

const STEP_MS: u64 = 10;

/// Programs that arrive in a second at the usual load.
const USUAL_PER_S: f64 = 15.0;

/// How long the usual load lasts before the flood, in milliseconds.
const USUAL_MS: u64 = 5_000;

/// What became of the programs that arrived in a flood.
#[derive(Debug, Default)]
struct Ends {
    arrived: u32,
    refused: u32,
    in_time: u32,
}

struct Program {
    began: u64,
    /// What is left of its turns, in milliseconds on an idle engine.
    left: f64,
    turns_left: u32,
    turn_began: u64,
}

/// Plays arrivals of `per_s` programs a second for `seconds`, after five seconds of the usual
/// load; returns how many of them arrived, were refused, and ended in time. Engines are shared by
/// all turns under way.
fn play(per_s: f64, seconds: u64, has_admission_control: bool) -> Ends {
    let service: Arc<str> = "engine".into();
    let mut control = AdmissionControl::default();
    let mut programs: Vec<Program> = Vec::new();
    let mut ends = Ends::default();
    let mut due = 0.0;
    // With this many turns under way, engines are as busy as they can be at their full pace.
    let places = TURNS_PER_S * IDLE_TURN_MS / 1_000.0;
    let flood = USUAL_MS..USUAL_MS + seconds * 1_000;
    for now in (0..flood.end + 30_000).step_by(STEP_MS as usize) {
        let is_flood = flood.contains(&now);
        let rate = if is_flood { per_s } else { USUAL_PER_S };
        if now < flood.end {
            due += rate * STEP_MS as f64 / 1_000.0;
        }
        while due >= 1.0 {
            due -= 1.0;
            ends.arrived += u32::from(is_flood);
            let id = format!("program at {now} and {due}");
            let rejection = control.rejection_delay_ms(&service, &id, 0.5, Time::from_ms(now));
            if has_admission_control && rejection.is_some() {
                ends.refused += u32::from(is_flood);
                continue;
            }
            programs.push(Program {
                began: now,
                left: IDLE_TURN_MS,
                turns_left: TURNS - 1,
                turn_began: now,
            });
        }
        let running = programs.iter().filter(|program| program.turn_began <= now);
        let pace = (places / running.count() as f64).min(1.0);
        for program in &mut programs {
            program.step(pace, now, &mut control, &service);
        }
        let aim = AIM * (IDLE_TURN_MS + PAUSE_MS as f64) * f64::from(TURNS);
        programs.retain(|program| {
            let is_in_time = (now - program.began) as f64 <= aim;
            if program.left <= 0.0 && is_in_time && flood.contains(&program.began) {
                ends.in_time += 1;
            }
            program.left > 0.0
        });
    }
    ends
}

impl Program {
    /// Goes on for a step at a share of the full pace.
    fn step(&mut self, pace: f64, now: u64, control: &mut AdmissionControl, service: &Arc<str>) {
        if self.turn_began > now {
            return;
        }
        self.left -= STEP_MS as f64 * pace;
        if self.left > 0.0 {
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
            self.left = IDLE_TURN_MS;
            self.turn_began = now + PAUSE_MS;
        }
    }
}

/// The usual load: three quarters of what engines can do.
#[test]
fn nobody_is_refused_at_the_usual_load() {
    let ends = play(USUAL_PER_S, 20, true);
    assert_eq!(ends.refused, 0, "{ends:?}");
    assert_eq!(ends.in_time, ends.arrived, "{ends:?}");
}

/// The flood: four times the usual load for ten seconds. Without refusals nearly all end late.
#[test]
fn in_a_flood_refusals_let_others_end_in_time() {
    let without = play(4.0 * USUAL_PER_S, 10, false);
    let with = play(4.0 * USUAL_PER_S, 10, true);
    assert!(with.in_time >= 2 * without.in_time, "{with:?}, {without:?}");
    assert!(with.refused < with.arrived * 9 / 10, "{with:?}");
}

/// A burst that engines digest: what is late then is worth more than what is refused.
#[test]
fn a_small_burst_turns_few_away() {
    let ends = play(1.6 * USUAL_PER_S, 4, true);
    assert!(10 * ends.refused <= ends.arrived, "{ends:?}");
}

#[test]
fn the_same_program_is_let_in_or_refused_everywhere() {
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
    let mut refused = 0;
    for index in 0..200 {
        let id = format!("p{index}");
        let retries = controls
            .each_ref()
            .map(|(control, draw)| control.rejection_delay_ms(&service, &id, *draw, Time::ZERO));
        let is_refused = retries.map(|retry| retry.is_some());
        assert_eq!(is_refused, [is_refused[0]; 3], "{id}");
        refused += u32::from(is_refused[0]);
        if let [Some(soon), _, Some(late)] = retries {
            assert!(soon >= 400 && late > soon, "{soon} {late}");
        }
    }
    assert!((40..160).contains(&refused), "{refused}");
}

#[test]
fn what_was_seen_long_ago_refuses_nobody() {
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
