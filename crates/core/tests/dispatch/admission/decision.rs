//! Admission control under overload, simulated with engines that slow down with load.

use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::admission::{
    AdmissionControl, Cause, Decision, NewProgram, ProgramTurn, TurnTiming,
};

/// Turns per second at which the engines are saturated. Beyond it, turns slow down in proportion to
/// the number of running turns.
const TURNS_PER_S: f64 = 100.0;

/// Duration of a turn on an idle engine, in milliseconds.
const IDLE_TURN_MS: f64 = 200.0;

/// Number of turns per program.
const TURNS: u32 = 5;

/// Time between two turns of a program, in which its tools run.
const PAUSE_MS: u64 = 120;

/// A program finishes in time within this multiple of its duration on idle engines.
const IN_TIME_FACTOR: f64 = 2.8;

const STEP_MS: u64 = 10;

/// Program arrivals per second at normal load: three quarters of the engines' capacity.
const NORMAL_PER_S: f64 = 15.0;

/// Duration of the normal load before the overload, in milliseconds.
const NORMAL_MS: u64 = 5_000;

/// Counts of the programs that arrived during the overload.
#[derive(Debug, Default)]
struct Counts {
    arrived: u32,
    rejected: u32,
    in_time: u32,
}

struct Program {
    began: u64,
    /// Remaining work of the current turn, in milliseconds on an idle engine.
    remaining_ms: f64,
    turns_left: u32,
    turn_began: u64,
}

/// Returns the retry delay if a program is rejected whose caller has no account and states no deadline.
fn rejection_delay_ms(
    control: &mut AdmissionControl,
    service: &Arc<str>,
    program: &str,
    draw: f64,
    now: Time,
) -> Option<u64> {
    let new = NewProgram {
        service,
        route: &"route".into(),
        program: &program.into(),
        account: &"".into(),
        priority: 0,
        remaining_ms: None,
    };
    control.decide(&new, draw, now).retry_ms
}

/// Simulates arrivals of `per_s` programs per second for `seconds`, after five seconds of normal
/// load. All running turns share the engines. Returns how many of the programs arrived, were
/// rejected, and finished in time.
fn simulate(per_s: f64, seconds: u64, has_admission_control: bool) -> Counts {
    let service: Arc<str> = "engine".into();
    let mut control = AdmissionControl::default();
    let mut programs: Vec<Program> = Vec::new();
    let mut counts = Counts::default();
    let mut pending_arrivals = 0.0;
    // Number of running turns at which the engines are saturated but still run at full speed.
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
            let rejection =
                rejection_delay_ms(&mut control, &service, &id, 0.5, Time::from_ms(now));
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
    /// Advances by one step at a fraction of the full speed.
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
        control.record(service, turn, None, None, Time::from_ms(now));
        if self.turns_left > 0 {
            self.turns_left -= 1;
            self.remaining_ms = IDLE_TURN_MS;
            self.turn_began = now + PAUSE_MS;
        }
    }
}

/// At normal load, three quarters of the engines' capacity, every program finishes in time.
#[test]
fn no_program_is_rejected_at_normal_load() {
    let counts = simulate(NORMAL_PER_S, 20, true);
    assert_eq!(counts.rejected, 0, "{counts:?}");
    assert_eq!(counts.in_time, counts.arrived, "{counts:?}");
}

/// Four times the normal load for ten seconds. Without rejections nearly all programs finish late.
#[test]
fn rejections_under_overload_let_more_programs_finish_in_time() {
    let without = simulate(4.0 * NORMAL_PER_S, 10, false);
    let with = simulate(4.0 * NORMAL_PER_S, 10, true);
    assert!(with.in_time >= 2 * without.in_time, "{with:?}, {without:?}");
    assert!(with.rejected < with.arrived * 9 / 10, "{with:?}");
}

/// The engines absorb a small burst, so rejecting programs would cost more than the late ones do.
#[test]
fn small_burst_rejects_few_programs() {
    let counts = simulate(1.6 * NORMAL_PER_S, 4, true);
    assert!(10 * counts.rejected <= counts.arrived, "{counts:?}");
}

#[test]
fn all_instances_decide_alike_on_a_program() {
    let service: Arc<str> = "engine".into();
    let mut controls = [0.0, 0.3, 0.9].map(|draw| {
        let mut control = AdmissionControl::default();
        for index in 0..40 {
            let ms = if index == 0 { 100.0 } else { 380.0 };
            let turn = TurnTiming {
                unread_tokens: 1_000,
                first_event_ms: ms,
                streaming_ms: ms,
                events: 9,
            };
            control.record(&service, turn, None, None, Time::ZERO);
        }
        (control, draw)
    });
    let mut rejected = 0;
    for index in 0..200 {
        let id = format!("p{index}");
        let retries = controls
            .each_mut()
            .map(|(control, draw)| rejection_delay_ms(control, &service, &id, *draw, Time::ZERO));
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
    control.record(&service, turn(50.0), None, None, Time::ZERO);
    for _ in 0..60 {
        control.record(&service, turn(1_000.0), None, None, Time::ZERO);
    }
    assert!(control.slowdown(&service, Time::ZERO) > 4.0);
    let later = Time::from_ms(2_000);
    assert!(control.slowdown(&service, later) <= 1.0);
}

/// Records programs of four turns of 200 ms with pauses of 100 ms, a deadline of 1.6 times their
/// duration, and then turns with the given slowdown. Returns the time after them.
fn learn(control: &mut AdmissionControl, service: &Arc<str>, slowdown: f64) -> Time {
    let route: Arc<str> = "route".into();
    let mut now = 0;
    let turn = |slowdown: f64| TurnTiming {
        unread_tokens: 1_000,
        first_event_ms: 100.0 * slowdown,
        streaming_ms: 100.0 * slowdown,
        events: 11,
    };
    for _ in 0..40 {
        for index in 0..4 {
            let program = ProgramTurn {
                route: &route,
                is_first: index == 0,
                remaining_ms: 1_760 - index * 300,
            };
            now += 200;
            control.record(service, turn(1.0), None, Some(program), Time::from_ms(now));
            now += 100;
        }
    }
    for _ in 0..80 {
        now += 5;
        control.record(service, turn(slowdown), None, None, Time::from_ms(now));
    }
    Time::from_ms(now)
}

fn decide(
    control: &mut AdmissionControl,
    service: &Arc<str>,
    program: &str,
    remaining_ms: u64,
    now: Time,
) -> Decision {
    let new = NewProgram {
        service,
        route: &"route".into(),
        program: &program.into(),
        account: &"".into(),
        priority: 0,
        remaining_ms: Some(remaining_ms),
    };
    control.decide(&new, 0.5, now)
}

/// A program of 4 turns of 200 ms and 3 pauses of 100 ms with 1,760 ms tolerates a slowdown of 1.8.
#[test]
fn rejection_starts_below_the_slowdown_that_programs_tolerate() {
    let service: Arc<str> = "engine".into();
    let mut control = AdmissionControl::default();
    let now = learn(&mut control, &service, 2.2);
    let decision = decide(&mut control, &service, "p", 1_760, now);
    assert!((1.1..1.8).contains(&decision.threshold), "{decision:?}");
    assert!(decision.slowdown > 1.9, "{decision:?}");
    let ids = (0..400).map(|index| format!("q{index}"));
    let rejected = ids.filter(|id| {
        let decision = decide(&mut control, &service, id, 1_760, now);
        decision.retry_ms.is_some()
    });
    // A tenth is admitted however large the slowdown is.
    let rejected = rejected.count();
    assert!((330..=380).contains(&rejected), "{rejected}");
}

/// The hash alone would reject a program again that waited as it was told.
#[test]
fn a_program_that_returns_in_time_is_admitted() {
    let service: Arc<str> = "engine".into();
    let mut control = AdmissionControl::default();
    let now = learn(&mut control, &service, 1.6);
    let ids: Vec<String> = (0..60).map(|index| format!("r{index}")).collect();
    let rejected: Vec<_> = ids
        .iter()
        .filter_map(|id| {
            let decision = decide(&mut control, &service, id, 5_000, now);
            Some((id, decision.retry_ms?))
        })
        .collect();
    assert!(rejected.len() > 10, "{}", rejected.len());
    for (id, retry_ms) in rejected {
        assert!((400..=1_000).contains(&retry_ms), "{retry_ms}");
        let back = now.after(retry_ms);
        let decision = decide(&mut control, &service, id, 5_000 - retry_ms, back);
        assert_eq!(decision.retry_ms, None, "{id} {decision:?}");
    }
}

/// A caller honours a retry delay only up to a third of the time that its program has left.
#[test]
fn retry_delays_are_within_a_third_of_the_time_left() {
    let service: Arc<str> = "engine".into();
    for remaining_ms in [900, 1_760, 5_000, 60_000] {
        let mut control = AdmissionControl::default();
        let now = learn(&mut control, &service, 3.0);
        for index in 0..50 {
            let id = format!("s{index}");
            let decision = decide(&mut control, &service, &id, remaining_ms, now);
            let retry_ms = decision.retry_ms.unwrap_or_default();
            assert!(retry_ms <= remaining_ms / 3, "{retry_ms} of {remaining_ms}");
        }
    }
}

/// Less time than a single turn takes is of no use to a program.
#[test]
fn a_program_that_cannot_end_in_time_is_rejected_as_late() {
    let service: Arc<str> = "engine".into();
    let mut control = AdmissionControl::default();
    let now = learn(&mut control, &service, 1.6);
    let causes: Vec<_> = (0..50)
        .map(|index| decide(&mut control, &service, &format!("t{index}"), 150, now).cause)
        .collect();
    let late = causes.iter().filter(|cause| **cause == Cause::Late).count();
    assert!(late >= 40, "{late}: {causes:?}");
}
