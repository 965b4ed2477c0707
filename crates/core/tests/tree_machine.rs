//! A tree under arbitrary interleavings of calls, writes and changes of owner.
//!
//! The test plays the owner: it queues rows in order, has a part of them written, and loses the
//! tree at any point, after which only the written rows count. Engines use any part of what was
//! held for a call.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use basilramp_core::budget::{Allocation, Budget};
use basilramp_core::clock::Time;
use basilramp_core::history::{Digest, Outcome, State, Turn, TurnRequest, Usage};
use basilramp_core::id;
use basilramp_core::tree::{
    Begin, Key, LoadedProgram, Origin, Phase, ProgramRecord, Rejection, Spawn, Tree,
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

/// What the test does next.
#[derive(Clone, Debug)]
enum Step {
    /// A request for a call of a member, with one of a few ids, at the next position or another.
    Call {
        member: usize,
        request: u8,
        body: u8,
        skew: u8,
    },
    /// Holds tokens for a call in progress and sends it; part of them are used.
    Send {
        member: usize,
        tokens: u64,
        used: u8,
    },
    /// The answer of a sent call comes, or the call fails.
    Answer { member: usize, whole: bool },
    /// A sub-agent is created.
    Spawn { member: usize, request: u8 },
    /// So many queued writes are made.
    Write { count: usize },
    /// The last queued write that only reserves is taken back.
    TakeBack,
    /// What is reserved is lowered to what is used.
    GiveBack,
    /// The owner dies after so many more writes; another loads the tree.
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
            .prop_map(|(member, whole)| Step::Answer { member, whole }),
        2 => (member, 0..3u8).prop_map(|(member, request)| Step::Spawn { member, request }),
        20 => (1..4usize).prop_map(|count| Step::Write { count }),
        3 => Just(Step::TakeBack),
        3 => Just(Step::GiveBack),
        1 => (0..4usize).prop_map(|written| Step::Takeover { written }),
    ]
}

/// Rows that are written together.
#[derive(Clone, Debug)]
struct Rows {
    root: ProgramRecord,
    member: Option<ProgramRecord>,
    turn: Option<(u32, u32, Turn)>,
    acked: Option<(Key, u32, u32)>,
}

/// A call that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
struct Sent {
    key: Key,
    held: u64,
    used: u64,
}

struct World {
    tree: Tree,
    queue: VecDeque<Rows>,
    heads: BTreeMap<u32, ProgramRecord>,
    turns: BTreeMap<(u32, u32), Turn>,
    sent: BTreeMap<u32, Sent>,
    /// Answers that callers were given, by program and request.
    told: BTreeMap<(u32, id::Request), (u32, Arc<str>)>,
    /// Tokens that engines have used.
    used: u64,
    answers: u64,
    takeovers: u64,
}

impl World {
    fn new() -> Self {
        let account = id::Account::new("trust");
        let root = id::Program::root(&account, &id::Request::new("create"));
        let tree = Tree::create(root, account, BUDGET, 100, origin("create"));
        let head = tree.program_record(0, 100).expect("the root has a head");
        Self {
            tree,
            queue: VecDeque::new(),
            heads: BTreeMap::from([(0, head)]),
            turns: BTreeMap::new(),
            sent: BTreeMap::new(),
            told: BTreeMap::new(),
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
            .expect("the root has a head");
        self.queue.push_back(Rows {
            root,
            member,
            turn: None,
            acked: None,
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
        let ask = ask(request, body, position);
        let begun = self.tree.begin_call(number, position, ask.clone(), NOW);
        match begun {
            Ok(Begin::Started(_)) => {
                assert_eq!(position, next, "a call started out of order");
                assert!(!self.told.contains_key(&(number, ask.id)));
            }
            Ok(Begin::Recorded(key, found)) => self.check_recorded(number, key, found, &ask),
            Err(Rejection::HistoryBehind(_)) => assert!(self.takeovers > 0),
            Err(_) => {}
        }
    }

    fn check_recorded(&self, number: u32, key: Key, found: u32, ask: &TurnRequest) {
        let history = self.tree.history(key).expect("the member has a history");
        let turn = &history.turns()[found as usize];
        assert_eq!(&turn.request, ask, "another request's answer");
        if let Some((position, output)) = self.told.get(&(number, ask.id.clone())) {
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
                assert!(self.used <= BUDGET.tokens, "the budget is exceeded");
                let held = tokens;
                self.sent.insert(number, Sent { key, held, used });
            }
            Ok(Allocation::NeedsReservation(_)) => {
                let reserved = self.tree.start_write(tokens);
                self.push(reserved, None);
            }
            Err(_) => {}
        }
    }

    fn answer(&mut self, member: usize, whole: bool) {
        let number = self.number(member);
        let Some(sent) = self.sent.remove(&number) else {
            return;
        };
        if !whole {
            self.tree.settle_tokens(sent.held, sent.held);
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
        self.tree.settle_tokens(sent.held, sent.used);
        let finished = self.tree.finish_call(sent.key, outcome);
        let (position, _) = finished.expect("the call is in progress");
        let history = self.tree.history(sent.key).expect("it has a history");
        let turn = history.turns()[position as usize].clone();
        let reserved = self.tree.start_write(50);
        self.push(reserved, None);
        let rows = self.queue.back_mut().expect("rows were pushed");
        rows.turn = Some((number, position, turn));
        rows.acked = Some((sent.key, number, position));
    }

    fn spawn(&mut self, member: usize, request: u8) {
        let parent = self.number(member);
        let born = self.tree.spawn(parent, origin(&format!("child {request}")));
        if let Ok(Spawn::New(program)) = born {
            let head = self.tree.program_record(program.number(), 0);
            let reserved = self.tree.start_write_keeping_reservation();
            self.push(reserved, head);
        }
    }

    /// Makes the rows durable.
    fn store(&mut self, rows: &Rows) {
        self.heads.insert(0, rows.root.clone());
        if let Some(head) = &rows.member {
            self.heads.insert(head.number, head.clone());
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
            if let Some((key, number, position)) = rows.acked {
                self.tree.mark_durable(key, position + 1);
                let turn = &self.turns[&(number, position)];
                let answer = (position, Arc::clone(&turn.outcome.output));
                let request = turn.request.id.clone();
                self.told.insert((number, request), answer);
            }
        }
    }

    fn take_back(&mut self) {
        let last = self.queue.back();
        let plain = last.is_some_and(|rows| rows.turn.is_none() && rows.member.is_none());
        if plain && let Some(rows) = self.queue.pop_back() {
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
        let programs: Vec<LoadedProgram> =
            self.heads.values().map(|head| self.loaded(head)).collect();
        let shape = self.heads[&0].tree.clone();
        let tree = Tree::load(shape, programs);
        self.tree = tree.expect("the rows are whole");
        for ((number, request), (position, output)) in &self.told {
            let turn = &self.turns[&(*number, *position)];
            assert_eq!((&turn.request.id, &turn.outcome.output), (request, output));
        }
    }

    fn loaded(&self, head: &ProgramRecord) -> LoadedProgram {
        let from = (head.number, 0);
        let to = (head.number, u32::MAX);
        let turns = self.turns.range(from..=to);
        LoadedProgram {
            number: head.number,
            origin: head.origin.clone(),
            ended: head.ended,
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
            Step::Answer { member, whole } => self.answer(member, whole),
            Step::Spawn { member, request } => self.spawn(member, request),
            Step::Write { count } => self.write(count),
            Step::TakeBack => self.take_back(),
            Step::GiveBack => {
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

fn ask(request: u8, body: u8, position: u32) -> TurnRequest {
    let input = format!("body {body}");
    TurnRequest {
        id: id::Request::new(format!("r{request} at {position}")),
        body_digest: Digest::from_parts([input.as_bytes()]),
        service: id::Service::new("chat"),
        input: Arc::from(input),
    }
}

/// What a run of the test came to.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    answers: u64,
    takeovers: u64,
    told: usize,
    tokens: u64,
}

#[test]
fn order_history_and_budget_hold_over_takeovers() {
    let config = ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    };
    let totals = Cell::new(Totals::default());
    let mut runner = TestRunner::new(config);
    let outcome = runner.run(&vec(step(), 1..200), |steps| {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
        }
        world.take_over(8);
        let before = totals.get();
        totals.set(Totals {
            answers: before.answers + world.answers,
            takeovers: before.takeovers + world.takeovers,
            told: before.told + world.told.len(),
            tokens: before.tokens + world.used,
        });
        Ok(())
    });
    if let Err(fault) = outcome {
        panic!("{fault}");
    }
    let totals = totals.get();
    println!("1000 histories: {totals:?}");
    assert!(totals.answers > 1_000 && totals.takeovers > 1_000 && totals.told > 1_000);
}
