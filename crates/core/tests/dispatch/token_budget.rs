//! Budgets over many instances, with every kind of loss between them.

use basilramp_core::clock::Time;
use basilramp_core::dispatch::token_budget::{Grant, GrantedTokens, TokenLedger, decide_grant};
use proptest::prelude::*;

/// What an instance does with a turn.
#[derive(Clone, Copy, Debug)]
struct Step {
    instance: usize,
    /// Tokens that the turn hands out, at max its max.
    spends: u64,
    /// The instance is lost after it.
    dies: bool,
    /// Its grant is written, and its answer lost: it gets another one.
    loses_answer: bool,
}

fn step() -> impl Strategy<Value = Step> {
    (
        0..4_usize,
        0..=135_u64,
        prop::bool::weighted(0.1),
        prop::bool::weighted(0.1),
    )
        .prop_map(|(instance, spends, dies, loses_answer)| Step {
            instance,
            spends,
            dies,
            loses_answer,
        })
}

proptest! {
    #[test]
    fn tokens_handed_out_stay_within_the_budget_and_one_turn(
        steps in prop::collection::vec(step(), 1..60),
        budget in 1..2_000_u64,
    ) {
        const MOST: u64 = 135;
        let program = std::sync::Arc::from("p1");
        let now = Time::ZERO;
        let mut granted = GrantedTokens::default();
        let mut handed_out = 0;
        let mut ledgers: Vec<_> = (0..4).map(|_| TokenLedger::default()).collect();
        for step in steps {
            let ledger = &mut ledgers[step.instance];
            let held = ledger.reserve(&program, MOST, now);
            let mut may_run = held == MOST;
            let mut advance = 0;
            for _ in 0..=usize::from(step.loses_answer) {
                let missing = MOST - held;
                if missing > 0
                    && let Grant::Tokens(tokens, row) = decide_grant(granted, budget, missing, ledger.mean_turn_tokens())
                {
                    granted = row;
                    may_run = true;
                    advance = tokens - missing;
                }
            }
            ledger.release(&program, advance, 0, now);
            if may_run {
                handed_out += step.spends;
                ledger.release(&program, MOST - step.spends, step.spends, now);
            } else {
                ledger.release(&program, held, 0, now);
            }
            prop_assert!(granted.advance <= budget / 4, "{granted:?}");
            if step.dies {
                ledgers[step.instance] = TokenLedger::default();
            }
            prop_assert!(handed_out <= budget + MOST);
        }
    }
}

/// What a program was granted when no turn was granted anything advance.
const fn granted(tokens: u64) -> GrantedTokens {
    GrantedTokens { tokens, advance: 0 }
}

#[test]
fn a_spent_budget_grants_nothing() {
    assert_eq!(decide_grant(granted(100), 100, 1, 30.0), Grant::Spent);
    let last = Grant::Tokens(135, granted(234));
    assert_eq!(decide_grant(granted(99), 100, 135, 30.0), last);
}

/// Turns hand out a fifth of what they may: one grant serves those that follow at the instance.
#[test]
fn turns_that_follow_at_an_instance_need_no_grant() {
    const MOST: u64 = 136;
    const SPENT: u64 = 24;
    let mut ledger = TokenLedger::default();
    let other = std::sync::Arc::from("other");
    for _ in 0..100 {
        ledger.release(&other, 0, SPENT, Time::ZERO);
    }
    let program = std::sync::Arc::from("p1");
    let mut row = GrantedTokens::default();
    let mut grants = 0;
    for _ in 0..9 {
        let held = ledger.reserve(&program, MOST, Time::ZERO);
        if held < MOST {
            let next = decide_grant(row, 1_900, MOST - held, ledger.mean_turn_tokens());
            let Grant::Tokens(tokens, next) = next else {
                panic!("spent at {row:?}");
            };
            row = next;
            grants += 1;
            ledger.release(&program, tokens - (MOST - held), 0, Time::ZERO);
        }
        ledger.release(&program, MOST - SPENT, SPENT, Time::ZERO);
    }
    assert!(grants <= 3, "{grants} grants");
}

#[test]
fn a_program_of_one_turn_keeps_most_of_its_budget() {
    let Grant::Tokens(tokens, row) = decide_grant(GrantedTokens::default(), 300, 136, 100.0) else {
        panic!("a new program has its whole budget");
    };
    assert_eq!((tokens, row.advance), (136 + 75, 75));
}

#[test]
fn an_instance_knows_where_the_lines_that_ran_there_ran() {
    let mut ledger = TokenLedger::default();
    let program = std::sync::Arc::from("p1");
    ledger.record_session(&program, 7, &"i-1".into(), Time::ZERO);
    ledger.record_session(&program, 7, &"i-2".into(), Time::ZERO);
    assert_eq!(
        ledger.session_upstream("p1", 7).map(|id| &**id),
        Some("i-2")
    );
    assert_eq!(ledger.session_upstream("p1", 8), None);
    assert_eq!(ledger.session_upstream("p2", 7), None);
}

#[test]
fn what_is_left_over_is_forgotten_after_a_while() {
    let mut ledger = TokenLedger::default();
    ledger.release(&"p1".into(), 50, 0, Time::ZERO);
    ledger.expire(Time::from_ms(59_999));
    assert_eq!(ledger.reserve("p1", 10, Time::from_ms(59_999)), 10);
    ledger.expire(Time::from_ms(200_000));
    assert_eq!(ledger.reserve("p1", 10, Time::from_ms(200_000)), 0);
}
