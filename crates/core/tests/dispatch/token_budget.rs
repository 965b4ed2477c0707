//! Token budgets shared by several instances, with crashes and lost responses.

use basilramp_core::clock::Time;
use basilramp_core::dispatch::token_budget::{
    Grant, GrantWrite, GrantedTokens, PendingGrant, TokenLedger, decide_grant,
};
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

/// Maximum number of tokens of a turn in the model of writes.
const MAX_TOKENS: u64 = 40;

/// What happens to a write.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Done,
    /// It is done, and its response is lost.
    Lost,
    /// It has no response, and may be done at any later time.
    Late,
    NotDone,
}

/// A step of two instances that run turns of one program.
#[derive(Clone, Copy, Debug)]
enum WriteStep {
    /// A turn begins, unless one of the instance waits for its grant.
    Begin {
        instance: usize,
        used: u64,
    },
    /// The instance sends its next write.
    Write {
        instance: usize,
        fate: Fate,
    },
    /// The instance reads the row.
    Read {
        instance: usize,
    },
    /// A write without a response is done now, if its condition holds. It may be done again.
    Arrive {
        write: usize,
    },
    /// Turns of other programs end at an instance, which changes its mean.
    Drift {
        instance: usize,
        tokens: u64,
    },
    Kill {
        instance: usize,
    },
}

fn write_step() -> impl Strategy<Value = WriteStep> {
    let instance = || 0..2_usize;
    let fate = prop_oneof![
        3 => Just(Fate::Done),
        2 => Just(Fate::Lost),
        3 => Just(Fate::Late),
        1 => Just(Fate::NotDone),
    ];
    prop_oneof![
        4 => (instance(), 0..=MAX_TOKENS).prop_map(|(instance, used)| WriteStep::Begin { instance, used }),
        6 => (instance(), fate).prop_map(|(instance, fate)| WriteStep::Write { instance, fate }),
        3 => instance().prop_map(|instance| WriteStep::Read { instance }),
        4 => (0..6_usize).prop_map(|write| WriteStep::Arrive { write }),
        2 => (instance(), 0..=60_u64).prop_map(|(instance, tokens)| WriteStep::Drift { instance, tokens }),
        1 => instance().prop_map(|instance| WriteStep::Kill { instance }),
    ]
}

/// The program's row in the store.
#[derive(Clone, Debug, Default)]
struct ModelRow {
    granted: GrantedTokens,
    ids: Vec<u64>,
    version: u64,
}

impl ModelRow {
    fn apply(&mut self, write: &GrantWrite) -> bool {
        if write.base != self.version {
            return false;
        }
        self.granted = write.totals;
        self.ids.push(write.id);
        self.version += 1;
        true
    }
}

/// A turn that waits for its grant.
#[derive(Debug)]
struct Waiting {
    pending: PendingGrant,
    row: ModelRow,
    reserved: u64,
    used: u64,
}

#[derive(Debug, Default)]
struct ModelInstance {
    ledger: TokenLedger,
    waiting: Option<Waiting>,
}

impl ModelInstance {
    /// Runs the waiting turn with the tokens of a write that was done. Returns the tokens used.
    fn run(&mut self, tokens: u64) -> u64 {
        let Some(turn) = self.waiting.take() else {
            return 0;
        };
        let (program, now) = ("p1".into(), Time::ZERO);
        let left = turn.reserved + tokens - turn.used;
        self.ledger.release(&program, left, turn.used, now);
        turn.used
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Writes are lost, late and done twice, instances are killed meanwhile, and what the next grant
    /// would be changes. The tokens that turns have used and instances hold never exceed the row.
    #[test]
    fn instances_hold_no_tokens_that_the_row_does_not_count(
        steps in prop::collection::vec(write_step(), 1..120),
        budget in 60..900_u64,
    ) {
        let program: std::sync::Arc<str> = "p1".into();
        let now = Time::ZERO;
        let mut store = ModelRow::default();
        let mut unanswered: Vec<GrantWrite> = Vec::new();
        let mut instances = [ModelInstance::default(), ModelInstance::default()];
        let (mut used, mut next_id) = (0, 0);
        for step in steps {
            match step {
                WriteStep::Begin { instance, used: uses } => {
                    let instance = &mut instances[instance];
                    if instance.waiting.is_some() {
                        continue;
                    }
                    let reserved = instance.ledger.reserve(&program, MAX_TOKENS, now);
                    instance.waiting = Some(Waiting {
                        pending: PendingGrant::default(),
                        row: store.clone(),
                        reserved,
                        used: uses,
                    });
                    if reserved == MAX_TOKENS {
                        used += instance.run(0);
                    }
                }
                WriteStep::Write { instance, fate } => {
                    let instance = &mut instances[instance];
                    let mean = instance.ledger.mean_turn_tokens();
                    let Some(turn) = &mut instance.waiting else {
                        continue;
                    };
                    next_id += 1;
                    let missing = MAX_TOKENS - turn.reserved;
                    let row = &turn.row;
                    let write = turn.pending.next_write(row.granted, row.version, budget, missing, mean, next_id);
                    let Some(write) = write else {
                        // The budget is spent.
                        let reserved = turn.reserved;
                        instance.waiting = None;
                        instance.ledger.release(&program, reserved, 0, now);
                        continue;
                    };
                    match fate {
                        Fate::Done if store.apply(&write) => used += instance.run(write.tokens),
                        Fate::Done => {
                            // The response to a conflict holds the row.
                            match turn.pending.find_done(&store.ids) {
                                Some(done) => used += instance.run(done.tokens),
                                None => turn.row = store.clone(),
                            }
                        }
                        Fate::Lost => {
                            store.apply(&write);
                        }
                        Fate::Late => unanswered.push(write),
                        Fate::NotDone => {}
                    }
                }
                WriteStep::Read { instance } => {
                    let instance = &mut instances[instance];
                    let Some(turn) = &mut instance.waiting else {
                        continue;
                    };
                    match turn.pending.find_done(&store.ids) {
                        Some(done) => used += instance.run(done.tokens),
                        None => turn.row = store.clone(),
                    }
                }
                WriteStep::Arrive { write } => {
                    if let Some(write) = unanswered.get(write) {
                        store.apply(write);
                    }
                }
                WriteStep::Drift { instance, tokens } => {
                    let other = std::sync::Arc::from("other");
                    instances[instance].ledger.release(&other, 0, tokens, now);
                }
                WriteStep::Kill { instance } => instances[instance] = ModelInstance::default(),
            }
            let held: u64 = instances
                .iter_mut()
                .map(|instance| {
                    let tokens = instance.ledger.reserve(&program, u64::MAX, now);
                    instance.ledger.release(&program, tokens, 0, now);
                    tokens + instance.waiting.as_ref().map_or(0, |turn| turn.reserved)
                })
                .sum();
            prop_assert!(used + held <= store.granted.tokens);
            prop_assert!(used <= budget + MAX_TOKENS);
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
