//! Token budgets shared by several instances, with crashes and lost responses.

use basilramp_core::clock::Time;
use basilramp_core::dispatch::token_budget::{Grant, GrantedTokens, TokenLedger, decide_grant};
use proptest::prelude::*;

/// One turn at an instance.
#[derive(Clone, Copy, Debug)]
struct Step {
    instance: usize,
    /// Tokens that the turn used_tokens, at most the maximum of a turn.
    used_tokens: u64,
    /// The instance crashes after the turn.
    crashes: bool,
    /// The grant is written but its response is lost, so the instance requests another one.
    loses_response: bool,
}

fn step() -> impl Strategy<Value = Step> {
    (
        0..4_usize,
        0..=135_u64,
        prop::bool::weighted(0.1),
        prop::bool::weighted(0.1),
    )
        .prop_map(|(instance, used_tokens, crashes, loses_response)| Step {
            instance,
            used_tokens,
            crashes,
            loses_response,
        })
}

proptest! {
    #[test]
    fn used_tokens_stay_within_budget_plus_one_turn(
        steps in prop::collection::vec(step(), 1..60),
        budget in 1..2_000_u64,
    ) {
        const MAX_TURN_TOKENS: u64 = 135;
        let program = std::sync::Arc::from("p1");
        let now = Time::ZERO;
        let mut granted = GrantedTokens::default();
        let mut total_used = 0;
        let mut ledgers: Vec<_> = (0..4).map(|_| TokenLedger::default()).collect();
        for step in steps {
            let ledger = &mut ledgers[step.instance];
            let reserved = ledger.reserve(&program, MAX_TURN_TOKENS, now);
            let mut may_run = reserved == MAX_TURN_TOKENS;
            let mut advance = 0;
            for _ in 0..=usize::from(step.loses_response) {
                let missing = MAX_TURN_TOKENS - reserved;
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
                total_used += step.used_tokens;
                ledger.release(&program, MAX_TURN_TOKENS - step.used_tokens, step.used_tokens, now);
            } else {
                ledger.release(&program, reserved, 0, now);
            }
            prop_assert!(granted.advance <= budget / 4, "{granted:?}");
            if step.crashes {
                ledgers[step.instance] = TokenLedger::default();
            }
            prop_assert!(total_used <= budget + MAX_TURN_TOKENS);
        }
    }
}

/// Granted tokens of a program without advance grants.
const fn granted(tokens: u64) -> GrantedTokens {
    GrantedTokens { tokens, advance: 0 }
}

#[test]
fn spent_budget_grants_no_tokens() {
    assert_eq!(decide_grant(granted(100), 100, 1, 30.0), Grant::Spent);
    let last = Grant::Tokens(135, granted(234));
    assert_eq!(decide_grant(granted(99), 100, 135, 30.0), last);
}

/// Turns use a fifth of their maximum, so one grant covers several turns at the same instance.
#[test]
fn consecutive_turns_at_one_instance_share_a_grant() {
    const MAX_TURN_TOKENS: u64 = 136;
    const USED_PER_TURN: u64 = 24;
    let mut ledger = TokenLedger::default();
    let other = std::sync::Arc::from("other");
    for _ in 0..100 {
        ledger.release(&other, 0, USED_PER_TURN, Time::ZERO);
    }
    let program = std::sync::Arc::from("p1");
    let mut row = GrantedTokens::default();
    let mut grants = 0;
    for _ in 0..9 {
        let reserved = ledger.reserve(&program, MAX_TURN_TOKENS, Time::ZERO);
        if reserved < MAX_TURN_TOKENS {
            let next = decide_grant(
                row,
                1_900,
                MAX_TURN_TOKENS - reserved,
                ledger.mean_turn_tokens(),
            );
            let Grant::Tokens(tokens, next) = next else {
                panic!("budget spent at {row:?}");
            };
            row = next;
            grants += 1;
            ledger.release(
                &program,
                tokens - (MAX_TURN_TOKENS - reserved),
                0,
                Time::ZERO,
            );
        }
        ledger.release(
            &program,
            MAX_TURN_TOKENS - USED_PER_TURN,
            USED_PER_TURN,
            Time::ZERO,
        );
    }
    assert!(grants <= 3, "{grants} grants");
}

#[test]
fn advance_is_limited_to_a_quarter_of_the_budget() {
    let Grant::Tokens(tokens, row) = decide_grant(GrantedTokens::default(), 300, 136, 100.0) else {
        panic!("a new program must have its whole budget available");
    };
    assert_eq!((tokens, row.advance), (136 + 75, 75));
}

#[test]
fn ledger_returns_the_latest_upstream_of_each_session() {
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
fn unused_tokens_expire_after_sixty_seconds() {
    let mut ledger = TokenLedger::default();
    ledger.release(&"p1".into(), 50, 0, Time::ZERO);
    ledger.expire(Time::from_ms(59_999));
    assert_eq!(ledger.reserve("p1", 10, Time::from_ms(59_999)), 10);
    ledger.expire(Time::from_ms(200_000));
    assert_eq!(ledger.reserve("p1", 10, Time::from_ms(200_000)), 0);
}
