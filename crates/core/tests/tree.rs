//! Tests of single rules of a program tree: order, intents, budgets and integrity of the history.

use std::sync::Arc;

use assert_matches::assert_matches;
use basilramp_core::budget::{Allocation, Budget, Exceeded, Ledger};
use basilramp_core::clock::Time;
use basilramp_core::history::{
    Digest, History, IntegrityError, Outcome, State, Turn, TurnRequest, Usage,
};
use basilramp_core::id;
use basilramp_core::tree::{CallStart, Origin, Phase, Rejection, SpawnOutcome, Tree};

const NOW: Time = Time::from_ms(1_000);

fn root() -> id::Program {
    id::Program::root(&id::Account::new("trust"), &id::Request::new("create"))
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

fn tree(budget: Budget) -> Tree {
    let account = id::Account::new("trust");
    Tree::create(root(), account, budget, 0, origin("create"))
}

const fn budget() -> Budget {
    Budget {
        tokens: 1_000,
        turns: 10,
        wall_ms: 60_000,
        depth: 1,
    }
}

fn turn_request(request: &str, input: &str) -> TurnRequest {
    TurnRequest {
        id: id::Request::new(request),
        body_digest: Digest::from_parts([input.as_bytes()]),
        service: id::Service::new("chat"),
        input: Arc::from(input),
    }
}

fn completed(output: &str) -> Outcome {
    Outcome {
        state: State::Done,
        output: Arc::from(output),
        usage: Usage {
            prompt: 3,
            cached: 0,
            output: 4,
        },
    }
}

/// Runs a complete turn of the root.
fn run_turn(tree: &mut Tree, position: u32, request: &str, input: &str) {
    let started = tree.begin_call(0, position, turn_request(request, input), NOW);
    let key = assert_matches!(started, Ok(CallStart::Started(key)) => key);
    tree.finish_call(key, completed("answer"));
    tree.mark_durable(key, position + 1);
}

#[test]
fn a_repeated_request_gets_the_recorded_answer() {
    let mut tree = tree(budget());
    run_turn(&mut tree, 0, "a", "hello");
    run_turn(&mut tree, 1, "b", "more");
    let again = tree.begin_call(0, 0, turn_request("a", "hello"), NOW);
    assert_matches!(again, Ok(CallStart::Recorded(_, 0)));
}

#[test]
fn reused_request_id_with_another_body_conflicts() {
    let mut tree = tree(budget());
    run_turn(&mut tree, 0, "a", "hello");
    let other = tree.begin_call(0, 0, turn_request("a", "goodbye"), NOW);
    assert_eq!(other, Err(Rejection::Conflict));
    let elsewhere = tree.begin_call(0, 1, turn_request("a", "hello"), NOW);
    assert_eq!(elsewhere, Err(Rejection::Conflict));
}

#[test]
fn calls_run_one_at_a_time_and_in_order() {
    let mut tree = tree(budget());
    let early = tree.begin_call(0, 1, turn_request("b", "two"), NOW);
    assert_eq!(early, Err(Rejection::OutOfOrder(0)));
    let first = tree.begin_call(0, 0, turn_request("a", "one"), NOW);
    assert_matches!(first, Ok(CallStart::Started(_)));
    let same = tree.begin_call(0, 0, turn_request("a", "one"), NOW);
    assert_eq!(same, Err(Rejection::InProgress));
    let rival = tree.begin_call(0, 0, turn_request("c", "other"), NOW);
    assert_eq!(rival, Err(Rejection::OutOfOrder(0)));
}

#[test]
fn a_call_in_doubt_blocks_until_it_is_settled() {
    let mut tree = tree(budget());
    let started = tree.begin_call(0, 0, turn_request("a", "pay"), NOW);
    let key = assert_matches!(started, Ok(CallStart::Started(key)) => key);
    assert_eq!(tree.record_intent(key), Some(0));
    tree.mark_in_doubt(key);
    let same = tree.begin_call(0, 0, turn_request("a", "pay"), NOW);
    assert_eq!(same, Err(Rejection::InDoubt));
    let next = tree.begin_call(0, 1, turn_request("b", "next"), NOW);
    assert_eq!(next, Err(Rejection::Blocked(0)));
    tree.finish_call(key, completed("paid"));
    tree.mark_durable(key, 1);
    let next = tree.begin_call(0, 1, turn_request("b", "next"), NOW);
    assert_matches!(next, Ok(CallStart::Started(_)));
}

#[test]
fn withdrawn_intent_frees_its_position_only_after_its_row_is_deleted() {
    let mut tree = tree(budget());
    let started = tree.begin_call(0, 0, turn_request("a", "pay"), NOW);
    let key = assert_matches!(started, Ok(CallStart::Started(key)) => key);
    tree.record_intent(key);
    tree.start_withdrawal(key);
    let same = tree.begin_call(0, 0, turn_request("a", "pay"), NOW);
    assert_eq!(same, Err(Rejection::Withdrawing));
    let rival = tree.begin_call(0, 0, turn_request("b", "other"), NOW);
    assert_eq!(rival, Err(Rejection::Withdrawing));
    tree.finish_withdrawal(key);
    let again = tree.begin_call(0, 0, turn_request("a", "pay"), NOW);
    assert_matches!(again, Ok(CallStart::Started(_)));
    assert_eq!(tree.phase(key), Some(Phase::Calling));
}

#[test]
fn sub_agents_share_the_root_budget_and_end_with_the_root() {
    let mut tree = tree(budget());
    let spawned = tree.spawn(0, origin("child"));
    let child = assert_matches!(spawned, Ok(SpawnOutcome::New(child)) => child);
    let again = tree.spawn(0, origin("child"));
    assert_eq!(again, Ok(SpawnOutcome::Existing(child)));
    let deeper = tree.spawn(child.number(), origin("grandchild"));
    assert_eq!(deeper, Err(Rejection::Exceeded(Exceeded::Depth)));
    let reserved = tree.start_write(900);
    tree.end_write(reserved, true);
    assert_eq!(tree.allocate_tokens(600), Ok(Allocation::Allocated));
    assert_eq!(
        tree.allocate_tokens(600),
        Err(Rejection::Exceeded(Exceeded::Tokens))
    );
    let ended = tree.end(0);
    assert_eq!(ended, [root(), child]);
    let late = tree.begin_call(child.number(), 0, turn_request("a", "hello"), NOW);
    assert_eq!(late, Err(Rejection::Ended));
}

#[test]
fn turn_and_time_budgets_stop_a_program() {
    let mut tree = tree(Budget {
        turns: 2,
        ..budget()
    });
    run_turn(&mut tree, 0, "a", "one");
    run_turn(&mut tree, 1, "b", "two");
    let third = tree.begin_call(0, 2, turn_request("c", "three"), NOW);
    assert_eq!(third, Err(Rejection::Exceeded(Exceeded::Turns)));
    assert!(tree.is_exhausted(NOW));

    let mut tree = self::tree(budget());
    let late = Time::from_ms(60_000);
    let call = tree.begin_call(0, 0, turn_request("a", "one"), late);
    assert_eq!(call, Err(Rejection::Exceeded(Exceeded::Wall)));
}

#[test]
fn a_reservation_is_not_lowered_during_another_write() {
    let mut ledger = Ledger::new(1_000, 0);
    let raised = ledger.start_write(500);
    let later = ledger.start_write(100);
    assert_eq!(later, 500);
    ledger.end_write(raised, true);
    ledger.end_write(later, true);
    assert_eq!(ledger.allocate(500), Ok(Allocation::Allocated));
    ledger.settle(500, 10);
    let lowered = ledger.start_write(100);
    assert_eq!(lowered, 100);
    assert_eq!(ledger.allocate(91), Ok(Allocation::NeedsReservation(101)));
}

#[test]
fn a_reservation_counts_only_once_it_is_durable() {
    let mut ledger = Ledger::new(1_000, 0);
    let lost = ledger.start_write(500);
    assert_eq!(ledger.allocate(500), Ok(Allocation::NeedsReservation(500)));
    ledger.end_write(lost, false);
    assert_eq!(ledger.allocate(500), Ok(Allocation::NeedsReservation(500)));
    let durable = ledger.start_write(500);
    ledger.end_write(durable, true);
    assert_eq!(ledger.allocate(500), Ok(Allocation::Allocated));
}

fn recorded_turns(program: id::Program, count: u32) -> Vec<(u32, Turn)> {
    let mut history = History::new(program);
    for position in 0..count {
        let request = format!("r{position}");
        history.append(turn_request(&request, "input"), completed("answer"));
    }
    let turns = history.turns().iter().cloned();
    (0..).zip(turns).collect()
}

#[test]
fn missing_turn_is_detected() {
    let mut rows = recorded_turns(root(), 4);
    rows.remove(1);
    let loaded = History::load(root(), rows);
    assert_matches!(loaded, Err(IntegrityError::MissingTurn(1)));
}

#[test]
fn turn_of_another_program_is_detected() {
    let mut rows = recorded_turns(root(), 4);
    rows[2] = recorded_turns(root().member(1), 4).remove(2);
    let loaded = History::load(root(), rows);
    assert_matches!(loaded, Err(IntegrityError::HashMismatch(2)));
}

#[test]
fn changed_turn_is_detected() {
    let mut rows = recorded_turns(root(), 4);
    rows[3].1.outcome.output = Arc::from("another answer");
    let loaded = History::load(root(), rows);
    assert_matches!(loaded, Err(IntegrityError::HashMismatch(3)));
}
