//! Every checker accepts valid histories and rejects invalid ones.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilramp_fakes::caller;
use basilramp_fakes::check::{check_at_most_once, check_budget, check_config, check_program};
use basilramp_fakes::history::{Entry, Operation, Outcome};
use basilramp_wire::api::{FinalEvent, Program, Turn, Usage};
use basilramp_wire::error::{Error, Kind};

/// Builds history entries with times in milliseconds after a common origin.
struct EntryBuilder(Instant);

impl EntryBuilder {
    fn at(&self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    fn entry(&self, from: u64, to: u64, operation: Operation, outcome: Outcome) -> Entry {
        Entry {
            operation,
            started_at: self.at(from),
            completed_at: self.at(to),
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
        self.entry(from, to, Operation::ReadVersion { instance }, outcome)
    }
}

fn entry_builder() -> EntryBuilder {
    EntryBuilder(Instant::now())
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

fn rejected(kind: Kind) -> Outcome {
    Outcome::Rejected(Error::new(kind, "rejected"))
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

fn accepts(entries: &[Entry], check: impl Fn(&[&Entry]) -> bool) -> bool {
    let entries: Vec<&Entry> = entries.iter().collect();
    check(&entries)
}

#[test]
fn valid_program_history_is_accepted() {
    let builder = entry_builder();
    let entries = [
        builder.call(0, 10, "r0", 0, answer(0, "a", 1)),
        builder.call(11, 20, "r1", 1, lost()),
        builder.read(12, 13, &[("r0", "done", "a")], 0),
        builder.read(21, 22, &[("r0", "done", "a"), ("r1", "in_doubt", "")], 0),
        builder.call(23, 24, "r1", 1, rejected(Kind::InDoubt)),
        builder.read(25, 26, &[("r0", "done", "a"), ("r1", "done", "b")], 0),
        builder.call(27, 28, "r1", 1, answer(1, "b", 1)),
        builder.call(29, 30, "r2", 2, rejected(Kind::Overloaded)),
        builder.call(31, 32, "r3", 2, lost()),
        builder.call(33, 34, "r4", 2, answer(2, "c", 1)),
    ];
    assert!(accepts(&entries, check_program));
}

#[test]
fn running_call_may_be_read_in_doubt() {
    let builder = entry_builder();
    let entries = [
        builder.call(0, 10, "r0", 0, answer(0, "a", 1)),
        builder.read(2, 3, &[("r0", "in_doubt", "")], 0),
        builder.read(11, 12, &[("r0", "done", "a")], 0),
    ];
    assert!(accepts(&entries, check_program));
}

#[test]
fn call_in_doubt_may_be_removed_as_not_run() {
    let builder = entry_builder();
    let entries = [
        builder.call(0, 10, "r0", 0, rejected(Kind::StoreUnavailable)),
        builder.read(11, 12, &[("r0", "in_doubt", "")], 0),
        builder.read(13, 14, &[], 0),
        builder.call(15, 16, "r1", 0, answer(0, "a", 1)),
        builder.read(17, 18, &[("r1", "done", "a")], 0),
    ];
    assert!(accepts(&entries, check_program));
    let answered = [
        builder.call(0, 10, "r0", 0, answer(0, "a", 1)),
        builder.read(2, 3, &[("r0", "in_doubt", "")], 0),
        builder.read(13, 14, &[], 0),
    ];
    assert!(
        !accepts(&answered, check_program),
        "completed turn disappeared"
    );
}

#[test]
fn invalid_program_histories_are_rejected() {
    let builder = entry_builder();
    let done = || builder.call(0, 10, "r0", 0, answer(0, "a", 1));
    let bad: [(&str, Vec<Entry>); 7] = [
        ("lost turn", vec![done(), builder.read(11, 12, &[], 0)]),
        (
            "turn of another program",
            vec![done(), builder.read(11, 12, &[("x0", "done", "a")], 0)],
        ),
        (
            "changed output",
            vec![done(), builder.read(11, 12, &[("r0", "done", "b")], 0)],
        ),
        (
            "two calls at one position",
            vec![done(), builder.call(1, 12, "r9", 0, answer(0, "b", 1))],
        ),
        (
            "second call before the first",
            vec![
                builder.call(0, 1, "r1", 1, answer(1, "b", 1)),
                builder.call(2, 3, "r0", 0, answer(0, "a", 1)),
            ],
        ),
        (
            "turn of a request that was rejected as not run",
            vec![
                builder.call(0, 10, "r0", 0, rejected(Kind::Overloaded)),
                builder.read(11, 12, &[("r0", "done", "a")], 0),
            ],
        ),
        (
            "completed turn that disappears",
            vec![
                builder.call(0, 10, "r0", 0, lost()),
                builder.read(11, 12, &[("r0", "done", "a")], 0),
                builder.read(13, 14, &[], 0),
            ],
        ),
    ];
    for (name, entries) in bad {
        assert!(!accepts(&entries, check_program), "accepted: {name}");
    }
}

#[test]
fn non_repeatable_call_takes_effect_at_most_once() {
    let builder = entry_builder();
    let effect = |ms: u64, output: &str| (builder.at(ms), Arc::<str>::from(output));
    let check = |entries: &[Entry], effects: &[(Instant, Arc<str>)]| {
        accepts(entries, |entries| check_at_most_once(entries, effects))
    };
    let answered = [builder.call(0, 10, "r", 0, answer(0, "ok", 0))];
    assert!(check(&answered, &[effect(5, "ok")]));
    let unsure = [builder.call(0, 10, "r", 0, lost())];
    assert!(check(&unsure, &[]));
    assert!(check(&unsure, &[effect(20, "ok")]));
    let refusal = || builder.call(0, 10, "r", 0, rejected(Kind::StoreUnavailable));
    assert!(check(&[refusal()], &[]));
    let retried = [refusal(), builder.call(11, 20, "r", 0, answer(0, "ok", 0))];
    assert!(check(&retried, &[effect(15, "ok")]));

    assert!(
        !check(&answered, &[effect(5, "ok"), effect(6, "ok")]),
        "ran twice"
    );
    assert!(
        !check(&answered, &[effect(11, "ok")]),
        "response before the effect"
    );
    assert!(!check(&answered, &[]), "response without an effect");
    assert!(
        !check(&answered, &[effect(5, "other")]),
        "response with another output"
    );
    assert!(
        !check(&unsure, &[effect(5, "ok"), effect(50, "ok")]),
        "a retry took effect again"
    );
    assert!(
        !check(&[refusal()], &[effect(5, "ok")]),
        "rejected as not run, but ran"
    );
}

#[test]
fn usage_stays_within_the_budget() {
    let builder = entry_builder();
    let check = |entries: &[Entry]| accepts(entries, |entries| check_budget(entries, 100));
    let first = || builder.call(0, 10, "r0", 0, answer(0, "a", 60));
    let second = |tokens| builder.call(11, 20, "r1", 1, answer(1, "b", tokens));
    assert!(check(&[
        first(),
        second(40),
        builder.read(21, 22, &[], 100)
    ]));
    assert!(check(&[first(), first(), builder.read(21, 22, &[], 90)]));

    assert!(!check(&[first(), second(41)]), "over the limit");
    assert!(
        !check(&[builder.read(0, 1, &[], 101)]),
        "reported over the limit"
    );
    assert!(
        !check(&[first(), builder.read(11, 12, &[], 59)]),
        "reported usage below the charged tokens"
    );
}

#[test]
fn configuration_versions_only_increase() {
    let builder = entry_builder();
    let check = |entries: &[Entry]| accepts(entries, check_config);
    assert!(check(&[
        builder.version(0, 1, 0, 1),
        builder.apply(0, 10, 1, Outcome::Version(2)),
        builder.apply(2, 12, 1, rejected(Kind::StaleVersion)),
        builder.version(13, 14, 1, 1),
        builder.version(15, 16, 0, 2),
        builder.apply(17, 18, 2, lost()),
        builder.version(19, 20, 1, 3),
    ]));
    assert!(check(&[
        builder.apply(0, 10, 1, lost()),
        builder.apply(11, 20, 1, Outcome::Version(2)),
    ]));

    let both = [
        builder.apply(0, 10, 1, Outcome::Version(2)),
        builder.apply(1, 9, 1, Outcome::Version(2)),
    ];
    assert!(!check(&both), "two changes from one version");
    assert!(
        !check(&[builder.version(0, 1, 0, 2)]),
        "read of a version that was never accepted"
    );
    let decreasing = [
        builder.apply(0, 1, 1, Outcome::Version(2)),
        builder.version(2, 3, 0, 2),
        builder.version(4, 5, 0, 1),
    ];
    assert!(
        !check(&decreasing),
        "read of an older version after a newer one"
    );
    let stale = [builder.apply(0, 1, 1, rejected(Kind::StaleVersion))];
    assert!(!check(&stale), "rejected as stale without another change");
    let early = [
        builder.version(0, 1, 0, 2),
        builder.apply(2, 3, 1, Outcome::Version(2)),
    ];
    assert!(
        !check(&early),
        "read of a version before its change was sent"
    );
    let ran = [
        builder.apply(0, 1, 1, rejected(Kind::StoreUnavailable)),
        builder.version(2, 3, 0, 2),
    ];
    assert!(!check(&ran), "rejected as not run, but active");
}

#[test]
fn only_provisional_output_may_be_lost() {
    let builder = entry_builder();
    let check = |provisional: bool| {
        let mut outcome = answer(0, "a", 1);
        if let Outcome::Final(last) = &mut outcome {
            last.provisional = provisional;
        }
        let entries = [
            builder.call(0, 10, "r0", 0, outcome),
            builder.read(11, 12, &[], 0),
        ];
        accepts(&entries, check_program)
    };
    assert!(check(true));
    assert!(!check(false));
}
