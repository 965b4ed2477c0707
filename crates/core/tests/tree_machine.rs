//! Model test of a program tree under random sequences of calls, writes and owner changes.
//!
//! The test takes the role of the owner. It queues rows in order, writes some of them, and loses
//! the tree at any point. Only the written rows remain after that. Engines use any part of the
//! tokens allocated to a call.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use basilramp_core::budget::{Allocation, Budget};
use basilramp_core::clock::Time;
use basilramp_core::history::{Digest, Outcome, State, Turn, TurnRequest, Usage};
use basilramp_core::id;
use basilramp_core::tree::{
    CallStart, Key, LoadedProgram, Origin, Phase, ProgramRecord, Rejection, SpawnOutcome, Tree,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const BUDGET: Budget = Budget {
    tokens: 300,
    turns: 30,
    wall_ms: 1_000_000,
    depth: 2,
};

const NOW: Time = Time::from_ms(1);

/// An action of the test.
#[derive(Clone, Debug)]
enum Step {
    /// Requests a call of a member. `skew` selects the next position or one beside it.
    Call {
        member: usize,
        request: u8,
        body: u8,
        skew: u8,
    },
    /// Allocates tokens to the call in progress and sends it. A part of the tokens is used.
    Send {
        member: usize,
        tokens: u64,
        used: u8,
    },
    /// Completes a sent call, or fails it.
    Reply { member: usize, completed: bool },
    /// Creates a sub-agent.
    Spawn { member: usize, request: u8 },
    /// Writes this many queued rows.
    Write { count: usize },
    /// Cancels the last queued write if it only changes the reservation.
    CancelWrite,
    /// Lowers the reservation to the tokens in use.
    ReduceReservation,
    /// Replaces the owner after this many more writes. The new owner loads the tree from its rows.
    Takeover { written: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let member = 0..2usize;
    prop_oneof![
        20 => (member.clone(), 0..3u8, prop_oneof![5 => Just(0), 1 => Just(1)], 0..12u8).prop_map(|(member, request, body, skew)| {
            Step::Call { member, request, body, skew }
        }),
        24 => (member.clone(), 1..100u64, prop_oneof![3 => Just(u8::MAX), 1 => any::<u8>()])
            .prop_map(|(member, tokens, used)| Step::Send { member, tokens, used }),
        16 => (member.clone(), prop::bool::weighted(0.8))
            .prop_map(|(member, completed)| Step::Reply { member, completed }),
        2 => (member, 0..3u8).prop_map(|(member, request)| Step::Spawn { member, request }),
        20 => (1..4usize).prop_map(|count| Step::Write { count }),
        3 => Just(Step::CancelWrite),
        3 => Just(Step::ReduceReservation),
        1 => (0..4usize).prop_map(|written| Step::Takeover { written }),
    ]
}

/// Rows written in one transaction.
#[derive(Clone, Debug)]
struct Rows {
    root: ProgramRecord,
    member: Option<ProgramRecord>,
    turn: Option<(u32, u32, Turn)>,
    reply: Option<(Key, u32, u32)>,
}

/// A call that was sent and has no reply yet.
#[derive(Clone, Copy, Debug)]
struct Sent {
    key: Key,
    allocated: u64,
    used: u64,
}

struct OwnerModel {
    tree: Tree,
    queue: VecDeque<Rows>,
    records: BTreeMap<u32, ProgramRecord>,
    turns: BTreeMap<(u32, u32), Turn>,
    sent: BTreeMap<u32, Sent>,
    /// Replies given to callers, by program and request.
    replies: BTreeMap<(u32, id::Request), (u32, Arc<str>)>,
    /// Tokens used by engines.
    used: u64,
    answers: u64,
    takeovers: u64,
}

impl OwnerModel {
    fn new() -> Self {
        let account = id::Account::new("trust");
        let root = id::Program::root(&account, &id::Request::new("create"));
        let tree = Tree::create(root, account, BUDGET, 100, origin("create"));
        let record = tree.program_record(0, 100).expect("the root exists");
        Self {
            tree,
            queue: VecDeque::new(),
            records: BTreeMap::from([(0, record)]),
            turns: BTreeMap::new(),
            sent: BTreeMap::new(),
            replies: BTreeMap::new(),
            used: 0,
            answers: 0,
            takeovers: 0,
        }
    }

    fn number(&self, member: usize) -> u32 {
        let numbers = self.tree.numbers();
        numbers[member % numbers.len()]
    }

    fn push(&mut self, reserved: u64, member: Option<ProgramRecord>) {
        let root = self
            .tree
            .program_record(0, reserved)
            .expect("the root exists");
        self.queue.push_back(Rows {
            root,
            member,
            turn: None,
            reply: None,
        });
    }

    fn call(&mut self, member: usize, request: u8, body: u8, skew: u8) {
        let number = self.number(member);
        let key = self.tree.key(number).expect("the member exists");
        let history = self.tree.history(key).expect("the member has a history");
        let next = history.next_position();
        let position = match skew {
            0 => next + 1,
            1 => next.saturating_sub(1),
            _ => next,
        };
        let request = turn_request(request, body, position);
        let started = self.tree.begin_call(number, position, request.clone(), NOW);
        match started {
            Ok(CallStart::Started(_)) => {
                assert_eq!(position, next, "a call started out of order");
                assert!(!self.replies.contains_key(&(number, request.id)));
            }
            Ok(CallStart::Recorded(key, found)) => {
                self.check_recorded(number, key, found, &request)
            }
            Err(Rejection::HistoryBehind(_)) => assert!(self.takeovers > 0),
            Err(_) => {}
        }
    }

    fn check_recorded(&self, number: u32, key: Key, found: u32, request: &TurnRequest) {
        let history = self.tree.history(key).expect("the member has a history");
        let turn = &history.turns()[found as usize];
        assert_eq!(
            &turn.request, request,
            "the recorded answer belongs to another request"
        );
        if let Some((position, output)) = self.replies.get(&(number, request.id.clone())) {
            assert_eq!((*position, output), (found, &turn.outcome.output));
        }
    }

    fn send(&mut self, member: usize, tokens: u64, used: u8) {
        let number = self.number(member);
        let Some(key) = self.tree.key(number) else {
            return;
        };
        let calling = self.tree.phase(key) == Some(Phase::Calling);
        if !calling || self.sent.contains_key(&number) {
            return;
        }
        match self.tree.allocate_tokens(tokens) {
            Ok(Allocation::Allocated) => {
                let used = tokens * u64::from(used) / u64::from(u8::MAX);
                self.used += used;
                assert!(self.used <= BUDGET.tokens, "the token budget is exceeded");
                let allocated = tokens;
                self.sent.insert(
                    number,
                    Sent {
                        key,
                        allocated,
                        used,
                    },
                );
            }
            Ok(Allocation::NeedsReservation(_)) => {
                let reserved = self.tree.start_write(tokens);
                self.push(reserved, None);
            }
            Err(_) => {}
        }
    }

    fn reply(&mut self, member: usize, completed: bool) {
        let number = self.number(member);
        let Some(sent) = self.sent.remove(&number) else {
            return;
        };
        if !completed {
            self.tree.settle_tokens(sent.allocated, sent.allocated);
            self.tree.cancel_call(sent.key);
            return;
        }
        self.answers += 1;
        let usage = Usage {
            prompt: sent.used,
            ..Usage::default()
        };
        let outcome = Outcome {
            state: State::Done,
            output: format!("answer {}", self.answers).into(),
            usage,
        };
        self.tree.settle_tokens(sent.allocated, sent.used);
        let finished = self.tree.finish_call(sent.key, outcome);
        let (position, _) = finished.expect("the call is in progress");
        let history = self
            .tree
            .history(sent.key)
            .expect("the member has a history");
        let turn = history.turns()[position as usize].clone();
        let reserved = self.tree.start_write(50);
        self.push(reserved, None);
        let rows = self.queue.back_mut().expect("rows were pushed");
        rows.turn = Some((number, position, turn));
        rows.reply = Some((sent.key, number, position));
    }

    fn spawn(&mut self, member: usize, request: u8) {
        let parent = self.number(member);
        let spawned = self.tree.spawn(parent, origin(&format!("child {request}")));
        if let Ok(SpawnOutcome::New(program)) = spawned {
            let record = self.tree.program_record(program.number(), 0);
            let reserved = self.tree.start_write_keeping_reservation();
            self.push(reserved, record);
        }
    }

    /// Makes the rows durable.
    fn store(&mut self, rows: &Rows) {
        self.records.insert(0, rows.root.clone());
        if let Some(record) = &rows.member {
            self.records.insert(record.number, record.clone());
        }
        if let Some((number, position, turn)) = &rows.turn {
            let old = self.turns.insert((*number, *position), turn.clone());
            assert!(old.is_none(), "a turn was overwritten");
        }
    }

    fn write(&mut self, count: usize) {
        for _ in 0..count {
            let Some(rows) = self.queue.pop_front() else {
                return;
            };
            self.store(&rows);
            self.tree.end_write(rows.root.tree.reserved, true);
            if let Some((key, number, position)) = rows.reply {
                self.tree.mark_durable(key, position + 1);
                let turn = &self.turns[&(number, position)];
                let answer = (position, Arc::clone(&turn.outcome.output));
                let request = turn.request.id.clone();
                self.replies.insert((number, request), answer);
            }
        }
    }

    fn cancel_write(&mut self) {
        let last = self.queue.back();
        let only_reserves = last.is_some_and(|rows| rows.turn.is_none() && rows.member.is_none());
        if only_reserves && let Some(rows) = self.queue.pop_back() {
            self.tree.end_write(rows.root.tree.reserved, false);
        }
    }

    fn take_over(&mut self, written: usize) {
        self.takeovers += 1;
        for _ in 0..written {
            if let Some(rows) = self.queue.pop_front() {
                self.store(&rows);
            }
        }
        self.queue.clear();
        self.sent.clear();
        let programs: Vec<LoadedProgram> = self
            .records
            .values()
            .map(|record| self.load_program(record))
            .collect();
        let tree_record = self.records[&0].tree.clone();
        let tree = Tree::load(tree_record, programs);
        self.tree = tree.expect("the stored history is valid");
        for ((number, request), (position, output)) in &self.replies {
            let turn = &self.turns[&(*number, *position)];
            assert_eq!((&turn.request.id, &turn.outcome.output), (request, output));
        }
    }

    fn load_program(&self, record: &ProgramRecord) -> LoadedProgram {
        let from = (record.number, 0);
        let to = (record.number, u32::MAX);
        let turns = self.turns.range(from..=to);
        LoadedProgram {
            number: record.number,
            origin: record.origin.clone(),
            ended: record.ended,
            turns: turns
                .map(|((_, position), turn)| (*position, turn.clone()))
                .collect(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Call {
                member,
                request,
                body,
                skew,
            } => self.call(member, request, body, skew),
            Step::Send {
                member,
                tokens,
                used,
            } => self.send(member, tokens, used),
            Step::Reply { member, completed } => self.reply(member, completed),
            Step::Spawn { member, request } => self.spawn(member, request),
            Step::Write { count } => self.write(count),
            Step::CancelWrite => self.cancel_write(),
            Step::ReduceReservation => {
                let reserved = self.tree.start_write(0);
                self.push(reserved, None);
            }
            Step::Takeover { written } => self.take_over(written),
        }
        assert!(self.tree.turns() <= BUDGET.turns, "too many turns");
    }
}

fn origin(request: &str) -> Origin {
    Origin {
        request_id: id::Request::new(request),
        body_digest: Digest::from_parts([request.as_bytes()]),
        parent: None,
        depth: 0,
        created_at: Time::ZERO,
    }
}

fn turn_request(request: u8, body: u8, position: u32) -> TurnRequest {
    let input = format!("body {body}");
    TurnRequest {
        id: id::Request::new(format!("r{request} at {position}")),
        body_digest: Digest::from_parts([input.as_bytes()]),
        service: id::Service::new("chat"),
        input: Arc::from(input),
    }
}

/// Counts over all runs of the test.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    answers: u64,
    takeovers: u64,
    replies: usize,
    tokens: u64,
}

#[test]
fn order_history_and_budget_survive_takeovers() {
    let config = ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    };
    let totals = Cell::new(Totals::default());
    let mut runner = TestRunner::new(config);
    let outcome = runner.run(&vec(step(), 1..200), |steps| {
        let mut model = OwnerModel::new();
        for step in steps {
            model.apply(step);
        }
        model.take_over(8);
        let before = totals.get();
        totals.set(Totals {
            answers: before.answers + model.answers,
            takeovers: before.takeovers + model.takeovers,
            replies: before.replies + model.replies.len(),
            tokens: before.tokens + model.used,
        });
        Ok(())
    });
    if let Err(fault) = outcome {
        panic!("{fault}");
    }
    let totals = totals.get();
    println!("1000 histories: {totals:?}");
    assert!(totals.answers > 1_000 && totals.takeovers > 1_000 && totals.replies > 1_000);
}
