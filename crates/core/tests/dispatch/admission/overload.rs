//! Replays of bursts and floods, compared with the earlier decision.

use super::replay::{Counts, Outcome, Policy, Scenario, Surge, replay, seconds_to_recover};

const BURST_MS: u64 = 60_000;
const BURST_END_MS: u64 = 66_000;

/// Number of accounts of the deployments that have accounts.
const ACCOUNTS: usize = 80;

fn burst(factor: f64) -> Option<Surge> {
    Some(Surge {
        from_ms: BURST_MS,
        until_ms: BURST_END_MS,
        factor,
        account: None,
    })
}

fn is_after_burst(outcome: &Outcome) -> bool {
    outcome.arrived >= BURST_MS
}

/// Replays a scenario with the earlier and the present decision. Prints and returns the counts of
/// programs since the burst and the seconds until programs ended in time after it.
fn compare(name: &str, scenario: &Scenario) -> [(Counts, u64); 2] {
    [Policy::Fixed, Policy::Learned].map(|policy| {
        let outcomes = replay(&Scenario {
            policy,
            ..scenario.clone()
        });
        let counts = Counts::of(&outcomes, is_after_burst);
        let seconds = seconds_to_recover(&outcomes, BURST_END_MS);
        println!("{name}, {policy:?}: {counts:?}, in time after {seconds} s");
        (counts, seconds)
    })
}

/// The fixed thresholds admit a burst whole if callers accept less than they assume, so that nearly
/// all programs are late for long after it.
#[test]
fn a_burst_makes_fewer_programs_late() {
    for is_sticky in [true, false] {
        for factor in [1.7, 2.1] {
            let scenario = Scenario {
                surge: burst(factor),
                is_sticky,
                ..Scenario::default()
            };
            let name = format!("burst {factor}, sticky {is_sticky}");
            let [fixed, learned] = compare(&name, &scenario);
            assert!(learned.0.in_time > fixed.0.in_time, "{name}");
            assert!(learned.0.late < fixed.0.late, "{name}");
        }
    }
}

/// The load that remains after a burst must not keep programs late or rejected for longer than the
/// earlier decision did.
#[test]
fn a_service_recovers_quickly_after_a_burst() {
    for is_sticky in [true, false] {
        for factor in [1.7, 2.1] {
            let scenario = Scenario {
                surge: burst(factor),
                is_sticky,
                ..Scenario::default()
            };
            let name = format!("recovery after {factor}, sticky {is_sticky}");
            let [fixed, learned] = compare(&name, &scenario);
            assert!(learned.1 <= fixed.1, "{name}: {} {}", learned.1, fixed.1);
        }
    }
}

/// Programs of different lengths on one route have different deadlines.
#[test]
fn a_route_with_programs_of_different_lengths_is_learned() {
    let scenario = Scenario {
        surge: burst(2.1),
        is_one_route: true,
        ..Scenario::default()
    };
    let [fixed, learned] = compare("one route", &scenario);
    assert!(learned.0.in_time > fixed.0.in_time);
}

/// Rejecting what engines can absorb costs callers programs that would end in time.
#[test]
fn a_burst_that_engines_absorb_is_admitted() {
    for is_sticky in [true, false] {
        let scenario = Scenario {
            rate: 0.85,
            surge: burst(1.3),
            is_sticky,
            ..Scenario::default()
        };
        let outcomes = replay(&scenario);
        let open = replay(&Scenario {
            policy: Policy::Open,
            ..scenario
        });
        let without = Counts::of(&open, |_| true);
        println!(
            "absorbed, sticky {is_sticky}: {:?} {without:?}",
            Counts::of(&outcomes, |_| true)
        );
        assert_eq!(without.late, 0, "the engines absorb it: {without:?}");
        assert!(outcomes.iter().all(|outcome| !outcome.was_rejected));
    }
}

/// Callers that accept 2.8 times the duration on idle engines have the thresholds that they had.
#[test]
fn tolerant_callers_are_served_as_before() {
    for factor in [1.7, 2.1, 3.0] {
        let scenario = Scenario {
            surge: burst(factor),
            deadlines: [2.8, 2.8],
            ..Scenario::default()
        };
        let [fixed, learned] = compare(&format!("tolerant, burst {factor}"), &scenario);
        assert!(learned.0.in_time >= fixed.0.in_time, "{factor}");
    }
}

/// The other accounts must not pay for the flood of one.
#[test]
fn a_flood_of_one_account_leaves_the_others_in_time() {
    for is_sticky in [true, false] {
        for account in [0, 1] {
            let flood = Surge {
                from_ms: BURST_MS,
                until_ms: BURST_MS + 15_000,
                factor: 7.5,
                account: Some(account),
            };
            let share_of_others = |surge| {
                let outcomes = replay(&Scenario {
                    accounts: ACCOUNTS,
                    surge,
                    is_sticky,
                    ..Scenario::default()
                });
                let is_flooding =
                    |outcome: &Outcome| (flood.from_ms..flood.until_ms).contains(&outcome.arrived);
                let of = |is_flooder| {
                    Counts::of(&outcomes, |outcome| {
                        is_flooding(outcome) && (outcome.account == account) == is_flooder
                    })
                };
                println!(
                    "flood of {account}, sticky {is_sticky}: {:?} {:?}",
                    of(false),
                    of(true)
                );
                (of(false).share_in_time(), of(true).in_time)
            };
            let (with, flooder) = share_of_others(Some(flood));
            let (without, flooder_without) = share_of_others(None);
            println!("others {with} {without}; flooder {flooder} {flooder_without}");
            assert!(with >= 0.95 * without, "{with} of {without}");
            assert!(flooder > 0, "the account itself is not starved");
        }
    }
}

/// Under a burst of all, less urgent programs are rejected before urgent ones, and some of every group
/// are admitted.
#[test]
fn urgent_programs_come_first_and_no_group_starves() {
    let outcomes = replay(&Scenario {
        accounts: ACCOUNTS,
        priorities: 3,
        surge: Some(Surge {
            from_ms: BURST_MS,
            until_ms: BURST_MS + 15_000,
            factor: 2.5,
            account: None,
        }),
        ..Scenario::default()
    });
    let span = BURST_MS + 2_000..BURST_MS + 15_000;
    let count = |filter: &dyn Fn(&Outcome) -> bool| {
        Counts::of(&outcomes, |outcome| {
            span.contains(&outcome.arrived) && filter(outcome)
        })
    };
    let by_priority = [0, 1, 2].map(|priority| count(&|outcome| outcome.priority == priority));
    println!("{by_priority:?}");
    let rejected = by_priority.map(|counts| counts.rejected as f64 / counts.programs as f64);
    assert!(
        rejected[0] < rejected[1] && rejected[1] < rejected[2],
        "{rejected:?}"
    );
    for turns in [4, 11] {
        for priority in 0..3 {
            let group = count(&|outcome| outcome.turns == turns && outcome.priority == priority);
            assert!(
                group.rejected < group.programs,
                "{turns} {priority} {group:?}"
            );
        }
    }
    for account in 0..8 {
        let group = count(&|outcome| outcome.account == account);
        println!("account {account}: {group:?}");
        assert!(group.rejected < group.programs, "{account} {group:?}");
    }
}
