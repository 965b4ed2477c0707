//! Every checker accepts a good history and refuses each bad one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilramp_fakes::caller;
use basilramp_fakes::check::{check_budget, check_config, check_once, check_program};
use basilramp_fakes::history::{Entry, Operation, Outcome};
use basilramp_wire::api::{FinalEvent, Program, Turn, Usage};
use basilramp_wire::error::{Error, Kind};

/// Makes entries whose times are milliseconds after one origin.
struct Book(Instant);

impl Book {
    fn at(&self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    fn entry(&self, from: u64, to: u64, operation: Operation, outcome: Outcome) -> Entry {
        Entry {
            operation,
            began: self.at(from),
            ended: self.at(to),
            outcome,
            streamed: String::new(),
        }
    }

    fn call(&self, from: u64, to: u64, request: &str, position: u32, outcome: Outcome) -> Entry {
        let operation = Operation::Call {
            program: "p".to_owned(),
            call: caller::call_request(request, position, "s", "input"),
        };
        self.entry(from, to, operation, outcome)
    }

    fn read(&self, from: u64, to: u64, turns: &[(&str, &str, &str)], spent: u64) -> Entry {
        let operation = Operation::Read {
            program: "p".to_owned(),
        };
        self.entry(from, to, operation, Outcome::Program(program(turns, spent)))
    }

    fn apply(&self, from: u64, to: u64, base: u64, outcome: Outcome) -> Entry {
        self.entry(from, to, Operation::Apply { base }, outcome)
    }

    fn version(&self, from: u64, to: u64, instance: usize, version: u64) -> Entry {
        let outcome = Outcome::Version(version);
        self.entry(from, to, Operation::Version { instance }, outcome)
    }
}

fn book() -> Book {
    Book(Instant::now())
}

fn answer(position: u32, output: &str, tokens: u64) -> Outcome {
    Outcome::Final(FinalEvent {
        program: "p".to_owned(),
        position,
        output: output.to_owned(),
        usage: Usage {
            prompt: tokens,
            cached: 0,
            output: 0,
        },
        hash: String::new(),
        provisional: false,
        recorded: false,
    })
}

fn refused(kind: Kind) -> Outcome {
    Outcome::Refused(Error::new(kind, "refused"))
}

fn lost() -> Outcome {
    Outcome::Lost("broken".to_owned())
}

fn program(turns: &[(&str, &str, &str)], spent: u64) -> Program {
    let turn = |(position, (request, state, output)): (usize, &(&str, &str, &str))| Turn {
        position: position as u32,
        request_id: (*request).to_owned(),
        service: "s".to_owned(),
        state: (*state).to_owned(),
        input: "input".to_owned(),
        output: (*output).to_owned(),
        usage: Usage::default(),
        hash: String::new(),
    };
    Program {
        id: "p".to_owned(),
        parent: None,
        state: "running".to_owned(),
        next_position: turns.len() as u32,
        budget: caller::program_budget(100),
        spent,
        turns: turns.iter().enumerate().map(turn).collect(),
    }
}

fn holds(entries: &[Entry], check: impl Fn(&[&Entry]) -> bool) -> bool {
    let entries: Vec<&Entry> = entries.iter().collect();
    check(&entries)
}

#[test]
fn program_history_is_accepted() {
    let b = book();
    let entries = [
        b.call(0, 10, "r0", 0, answer(0, "a", 1)),
        b.call(11, 20, "r1", 1, lost()),
        b.read(12, 13, &[("r0", "done", "a")], 0),
        b.read(21, 22, &[("r0", "done", "a"), ("r1", "in_doubt", "")], 0),
        b.call(23, 24, "r1", 1, refused(Kind::InDoubt)),
        b.read(25, 26, &[("r0", "done", "a"), ("r1", "done", "b")], 0),
        b.call(27, 28, "r1", 1, answer(1, "b", 1)),
        b.call(29, 30, "r2", 2, refused(Kind::Overloaded)),
        b.call(31, 32, "r3", 2, lost()),
        b.call(33, 34, "r4", 2, answer(2, "c", 1)),
    ];
    assert!(holds(&entries, check_program));
}

#[test]
fn program_call_under_way_may_show_in_doubt() {
    let b = book();
    let entries = [
        b.call(0, 10, "r0", 0, answer(0, "a", 1)),
        b.read(2, 3, &[("r0", "in_doubt", "")], 0),
        b.read(11, 12, &[("r0", "done", "a")], 0),
    ];
    assert!(holds(&entries, check_program));
}

#[test]
fn program_call_in_doubt_may_turn_out_not_to_have_run() {
    let b = book();
    let entries = [
        b.call(0, 10, "r0", 0, refused(Kind::StoreUnavailable)),
        b.read(11, 12, &[("r0", "in_doubt", "")], 0),
        b.read(13, 14, &[], 0),
        b.call(15, 16, "r1", 0, answer(0, "a", 1)),
        b.read(17, 18, &[("r1", "done", "a")], 0),
    ];
    assert!(holds(&entries, check_program));
    let answered = [
        b.call(0, 10, "r0", 0, answer(0, "a", 1)),
        b.read(2, 3, &[("r0", "in_doubt", "")], 0),
        b.read(13, 14, &[], 0),
    ];
    assert!(!holds(&answered, check_program), "answered, then gone");
}

#[test]
fn program_bad_histories_are_refused() {
    let b = book();
    let done = || b.call(0, 10, "r0", 0, answer(0, "a", 1));
    let bad: [(&str, Vec<Entry>); 7] = [
        ("lost turn", vec![done(), b.read(11, 12, &[], 0)]),
        (
            "another program's turn",
            vec![done(), b.read(11, 12, &[("x0", "done", "a")], 0)],
        ),
        (
            "changed answer",
            vec![done(), b.read(11, 12, &[("r0", "done", "b")], 0)],
        ),
        (
            "two calls at one position",
            vec![done(), b.call(1, 12, "r9", 0, answer(0, "b", 1))],
        ),
        (
            "second call before the first",
            vec![
                b.call(0, 1, "r1", 1, answer(1, "b", 1)),
                b.call(2, 3, "r0", 0, answer(0, "a", 1)),
            ],
        ),
        (
            "turn of a request that was refused as not run",
            vec![
                b.call(0, 10, "r0", 0, refused(Kind::Overloaded)),
                b.read(11, 12, &[("r0", "done", "a")], 0),
            ],
        ),
        (
            "turn that comes and goes",
            vec![
                b.call(0, 10, "r0", 0, lost()),
                b.read(11, 12, &[("r0", "done", "a")], 0),
                b.read(13, 14, &[], 0),
            ],
        ),
    ];
    for (name, entries) in bad {
        assert!(!holds(&entries, check_program), "accepted: {name}");
    }
}

#[test]
fn unrepeatable_call_is_checked() {
    let b = book();
    let effect = |ms: u64, output: &str| (b.at(ms), Arc::<str>::from(output));
    let once = |entries: &[Entry], effects: &[(Instant, Arc<str>)]| {
        holds(entries, |entries| check_once(entries, effects))
    };
    let answered = [b.call(0, 10, "r", 0, answer(0, "ok", 0))];
    assert!(once(&answered, &[effect(5, "ok")]));
    let unsure = [b.call(0, 10, "r", 0, lost())];
    assert!(once(&unsure, &[]));
    assert!(once(&unsure, &[effect(20, "ok")]));
    let refusal = || b.call(0, 10, "r", 0, refused(Kind::StoreUnavailable));
    assert!(once(&[refusal()], &[]));
    let retried = [refusal(), b.call(11, 20, "r", 0, answer(0, "ok", 0))];
    assert!(once(&retried, &[effect(15, "ok")]));

    assert!(
        !once(&answered, &[effect(5, "ok"), effect(6, "ok")]),
        "ran twice"
    );
    assert!(
        !once(&answered, &[effect(11, "ok")]),
        "answered before it ran"
    );
    assert!(!once(&answered, &[]), "answered and never ran");
    assert!(!once(&answered, &[effect(5, "other")]), "another answer");
    assert!(
        !once(&unsure, &[effect(5, "ok"), effect(50, "ok")]),
        "sent again"
    );
    assert!(
        !once(&[refusal()], &[effect(5, "ok")]),
        "refused as not run, and ran"
    );
}

#[test]
fn budget_is_checked() {
    let b = book();
    let check = |entries: &[Entry]| holds(entries, |entries| check_budget(entries, 100));
    let first = || b.call(0, 10, "r0", 0, answer(0, "a", 60));
    let second = |tokens| b.call(11, 20, "r1", 1, answer(1, "b", tokens));
    assert!(check(&[first(), second(40), b.read(21, 22, &[], 100)]));
    assert!(check(&[first(), first(), b.read(21, 22, &[], 90)]));

    assert!(!check(&[first(), second(41)]), "over the limit");
    assert!(!check(&[b.read(0, 1, &[], 101)]), "reported over the limit");
    assert!(
        !check(&[first(), b.read(11, 12, &[], 59)]),
        "spending forgotten"
    );
}

#[test]
fn configuration_is_checked() {
    let b = book();
    let check = |entries: &[Entry]| holds(entries, check_config);
    assert!(check(&[
        b.version(0, 1, 0, 1),
        b.apply(0, 10, 1, Outcome::Version(2)),
        b.apply(2, 12, 1, refused(Kind::StaleVersion)),
        b.version(13, 14, 1, 1),
        b.version(15, 16, 0, 2),
        b.apply(17, 18, 2, lost()),
        b.version(19, 20, 1, 3),
    ]));
    assert!(check(&[
        b.apply(0, 10, 1, lost()),
        b.apply(11, 20, 1, Outcome::Version(2)),
    ]));

    let both = [
        b.apply(0, 10, 1, Outcome::Version(2)),
        b.apply(1, 9, 1, Outcome::Version(2)),
    ];
    assert!(!check(&both), "two changes from one version");
    assert!(!check(&[b.version(0, 1, 0, 2)]), "never accepted");
    let back = [
        b.apply(0, 1, 1, Outcome::Version(2)),
        b.version(2, 3, 0, 2),
        b.version(4, 5, 0, 1),
    ];
    assert!(!check(&back), "older after newer");
    let lie = [b.apply(0, 1, 1, refused(Kind::StaleVersion))];
    assert!(!check(&lie), "refused as stale without a change");
    let early = [b.version(0, 1, 0, 2), b.apply(2, 3, 1, Outcome::Version(2))];
    assert!(!check(&early), "in force before it was asked for");
    let ran = [
        b.apply(0, 1, 1, refused(Kind::StoreUnavailable)),
        b.version(2, 3, 0, 2),
    ];
    assert!(!check(&ran), "refused as not run, and in force");
}

#[test]
fn provisional_answer_may_be_lost_and_a_durable_one_not() {
    let b = book();
    let check = |provisional: bool| {
        let mut outcome = answer(0, "a", 1);
        if let Outcome::Final(last) = &mut outcome {
            last.provisional = provisional;
        }
        let entries = [b.call(0, 10, "r0", 0, outcome), b.read(11, 12, &[], 0)];
        holds(&entries, check_program)
    };
    assert!(check(true));
    assert!(!check(false));
}
