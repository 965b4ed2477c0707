//! Quotas over all instances: the bound on an account's requests, and how much of it is used.

mod site;

use std::ops::Range;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::account::Quota;
use basilramp_core::dispatch::quota::{
    Calendar, Class, Granted, HORIZON_SLOTS, PERMIT_PARTS, Rule, SLOT_MS, StoreClock, Terms, Wanted,
};
use basilramp_core::dispatch::rate_limit::Rate;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::site::{Faults, Programs, Site};

const RULE: Rule = Rule {
    window_ms: 5_000,
    excess: 0.1,
    tolerance: 20,
};

const PROGRAMS: Programs = Programs {
    requests: (5, 40),
    interval_ms: (100, 200),
};

/// Numbers of instances, and the rate and burst of the account.
const ACCOUNTS: [(usize, f64, u32); 3] = [(1, 50.0, 50), (86, 400.0, 400), (86, 60.0, 60)];

/// Seeds of the simulations.
const SEEDS: Range<u64> = 7..10;

/// Simulated time.
const SIMULATED_MS: u64 = 120_000;

fn quota(per_s: f64, burst: u32) -> Quota {
    Quota {
        rate: Rate::from_milli_per_s((per_s * 1_000.0) as u64),
        burst,
    }
}

/// Returns the number of requests that the rule accepts in a window, without its tolerance.
fn accepted(quota: Quota, rule: &Rule) -> f64 {
    let rate = quota.rate.per_s() * rule.window_ms as f64 / 1_000.0;
    (rate + f64::from(quota.burst)) * (1.0 + rule.excess)
}

/// Returns the largest number of times in a window.
fn busiest_window(times: &[u64], window_ms: u64) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (index, time) in times.iter().enumerate() {
        while times[first] + window_ms <= *time {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

/// Starts programs at random instances so that their requests come at a rate on average. Instances
/// with a low number get more.
fn add_programs(
    site: &mut Site,
    instances: usize,
    per_s: f64,
    span_ms: Range<u64>,
    rng: &mut StdRng,
) {
    let mean_requests = f64::from(PROGRAMS.requests.0 + PROGRAMS.requests.1) / 2.0;
    let mut at_ms = span_ms.start as f64;
    loop {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        at_ms += -uniform.ln() * 1_000.0 * mean_requests / per_s;
        if at_ms >= span_ms.end as f64 {
            return;
        }
        let instance =
            (rng.random::<f64>() * rng.random::<f64>().sqrt() * instances as f64) as usize;
        site.add_program(instance, PROGRAMS, at_ms as u64);
    }
}

/// Prints what a simulation came to.
fn report(name: &str, site: &Site) {
    let counts = &site.counts;
    let sent = counts.sent as f64;
    let expired = site.expired() as f64;
    let mut waits = counts.waited_ms.clone();
    waits.sort_unstable();
    let wait_ms = |share: f64| waits.get((waits.len() as f64 * share) as usize);
    println!(
        "{name}: sent {}, programs begun {} finished {} rejected {} broken {}; expired {:.3} of the permits; \
         store calls per request {:.3}, conflicts {:.3}; wait in ms p95 {:?} p99 {:?}",
        counts.sent,
        counts.begun_programs,
        counts.finished_programs,
        counts.rejected_programs,
        counts.broken_programs,
        expired / (expired + sent),
        counts.calls as f64 / sent,
        counts.conflicts as f64 / sent,
        wait_ms(0.95).copied(),
        wait_ms(0.99).copied(),
    );
}

/// Simulates an account whose programs come to `load` times its quota.
fn simulate(instances: usize, quota: Quota, load: f64, seed: u64) -> Site {
    let mut site = Site::new(instances, Terms::new(quota, &RULE, 1), seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let from_ms = site.now_ms;
    let until_ms = from_ms + SIMULATED_MS;
    let per_s = quota.rate.per_s() * load;
    add_programs(&mut site, instances, per_s, from_ms..until_ms, &mut rng);
    site.run_until(until_ms);
    let per_s = quota.rate.per_s();
    report(
        &format!("{instances} instances, {load} of {per_s}/s"),
        &site,
    );
    let busiest = busiest_window(&site.sent_at, RULE.window_ms);
    assert!(busiest as f64 <= accepted(quota, &RULE), "{busiest}");
    site
}

/// Returns the rejected fraction of the requests.
fn rejected_share(site: &Site) -> f64 {
    let counts = &site.counts;
    counts.rejected_requests as f64 / (counts.sent + counts.rejected_requests) as f64
}

/// Permits that expire unused, or that one instance holds while another one needs them, would show as
/// rejections within the quota.
#[test]
fn requests_within_the_quota_are_served() {
    for (instances, per_s, burst) in ACCOUNTS {
        for seed in SEEDS {
            let site = simulate(instances, quota(per_s, burst), 0.9, seed);
            let share = rejected_share(&site);
            assert!(share < 0.01, "{instances} instances, {per_s}/s: {share}");
        }
    }
}

/// Under overload, conflicting writes could keep all instances from the rows, and programs that begin
/// could take the permits of those in progress.
#[test]
fn the_quota_is_used_under_overload_and_programs_are_finished() {
    for (instances, per_s, burst) in ACCOUNTS {
        for seed in SEEDS {
            let site = simulate(instances, quota(per_s, burst), 5.0, seed);
            let used = site.counts.sent as f64 * 1_000.0 / (per_s * SIMULATED_MS as f64);
            assert!(used >= 0.9, "{instances} instances, {per_s}/s: {used}");
            let counts = &site.counts;
            let ended = (counts.finished_programs + counts.broken_programs) as f64;
            let finished = counts.finished_programs as f64 / ended;
            assert!(
                finished >= 0.9,
                "{instances} instances, {per_s}/s: {finished}"
            );
        }
    }
}

/// A lowered quota that instances learn of at different times.
#[derive(Clone, Debug)]
struct Change {
    at_ms: u64,
    spread_ms: u64,
    factor: f64,
}

/// What happens in a run of the property test.
#[derive(Clone, Debug)]
struct Scenario {
    instances: usize,
    per_s: f64,
    burst_s: f64,
    excess: f64,
    window_ms: u64,
    load: f64,
    faults: Faults,
    change: Change,
    seed: u64,
}

prop_compose! {
    fn scenario()(
        instances in 1..9_usize,
        per_s in 0.5..150.0_f64,
        burst_s in 0.0..3.0_f64,
        excess in prop_oneof![Just(0.0), Just(0.1), Just(0.5)],
        window_ms in prop_oneof![Just(5_000_u64), Just(1_000), Just(2_300), Just(10_000)],
        load in 0.3..6.0_f64,
        lost in 0..200_u32,
        late in 0..100_u32,
        duplicated in 0..200_u32,
        at_ms in 8_000..15_000_u64,
        spread_ms in 1..3_000_u64,
        factor in 0.1..1.0_f64,
        seed in any::<u32>(),
    ) -> Scenario {
        Scenario {
            instances, per_s, burst_s, excess, window_ms, load,
            faults: Faults { lost, late, duplicated },
            change: Change { at_ms, spread_ms, factor },
            seed: u64::from(seed),
        }
    }
}

/// Runs a scenario for 40 s. Returns the times of the requests from the first one on.
fn run(scenario: &Scenario, before: Terms, after: Terms) -> Vec<u64> {
    let Scenario {
        instances, change, ..
    } = scenario;
    let mut site = Site::new(*instances, before, scenario.seed);
    site.faults = scenario.faults;
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let from_ms = site.now_ms;
    let until_ms = from_ms + 40_000;
    let per_s = scenario.per_s * scenario.load;
    add_programs(&mut site, *instances, per_s, from_ms..until_ms, &mut rng);
    let mut learned: Vec<_> = (0..*instances)
        .map(|instance| {
            (
                from_ms + change.at_ms + rng.random_range(0..change.spread_ms),
                instance,
            )
        })
        .collect();
    learned.sort_unstable();
    while site.now_ms < until_ms {
        let next_ms = site.now_ms + rng.random_range(1..1_500);
        while let Some((at_ms, instance)) =
            learned.first().copied().filter(|next| next.0 <= next_ms)
        {
            site.run_until(at_ms);
            site.set_terms(instance, after);
            learned.remove(0);
        }
        site.run_until(next_ms);
        let instance = rng.random_range(0..*instances);
        match rng.random_range(0..6) {
            0 => site.kill(instance),
            1 => site.suspend(instance, rng.random_range(100..8_000)),
            _ => {}
        }
    }
    site.sent_at.iter().map(|at| at - from_ms).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// A permit that is used too late, or twice, or that was never stored would let the requests of a
    /// window exceed the bound.
    #[test]
    fn no_window_has_more_requests_than_the_rule_accepts(scenario in scenario()) {
        let rule = Rule { window_ms: scenario.window_ms, excess: scenario.excess, tolerance: 0 };
        let before = quota(scenario.per_s, (scenario.per_s * scenario.burst_s) as u32 + 1);
        let lower = scenario.per_s * scenario.change.factor;
        let after = quota(lower, (lower * scenario.burst_s) as u32 + 1);
        let terms = Terms::new(before, &rule, 1);
        let times = run(&scenario, terms, Terms::new(after, &rule, 2));
        let change = &scenario.change;
        let until_change: Vec<_> = times.iter().copied().filter(|at| *at < change.at_ms).collect();
        let busiest = busiest_window(&until_change, rule.window_ms) as f64;
        prop_assert!(busiest <= accepted(before, &rule), "{busiest} before");
        // Permits of before the change are reserved for at most 6 s, and valid for a while after that.
        let valid_ms = (HORIZON_SLOTS + 1 + terms.validity) * SLOT_MS;
        let settled_ms = change.at_ms + change.spread_ms + valid_ms;
        let settled: Vec<_> = times.iter().copied().filter(|at| *at >= settled_ms).collect();
        let busiest = busiest_window(&settled, rule.window_ms) as f64;
        prop_assert!(busiest <= accepted(after, &rule), "{busiest} after");
        let busiest = busiest_window(&times, rule.window_ms) as f64;
        prop_assert!(busiest <= accepted(before, &rule) + accepted(after, &rule), "{busiest}");
    }

    /// Instances may hold all permits of a calendar and use each as early or as late as it is valid.
    #[test]
    fn all_permits_that_are_valid_in_a_window_keep_the_rule(
        per_s in 0.1..5_000.0_f64,
        burst in 0..10_000_u32,
        excess in 0.0..1.0_f64,
        window_ms in 500..12_000_u64,
    ) {
        let rule = Rule { window_ms, excess, tolerance: 0 };
        let terms = Terms::new(quota(per_s, burst), &rule, 1);
        let mut calendar = Calendar::new(terms, 0);
        let wanted = Wanted { first: 0, last: 70, count: u32::MAX, class: Class::Progress };
        let granted = calendar.reserve(&[wanted], 0);
        let accepted = accepted(quota(per_s, burst), &rule).max(1.0);
        for from_ms in (0..17_500).step_by(50) {
            let is_valid = |one: &&Granted| {
                one.slot * SLOT_MS < from_ms + window_ms && one.until * SLOT_MS > from_ms
            };
            let valid = granted.iter().filter(is_valid).map(|one| u64::from(one.count));
            let permits = valid.sum::<u64>() * u64::from(terms.rows);
            prop_assert!(permits as f64 <= accepted + 0.001, "{permits} {accepted} {terms:?}");
        }
    }

    /// Permits that are reserved in any order must not exceed the bound of any span of slots.
    #[test]
    fn no_span_of_slots_has_more_permits_than_the_terms_allow(
        per_s in 0.5..200.0_f64,
        burst in 0..200_u32,
        steps in prop::collection::vec((0..40_u64, 0..30_u64, 1..60_u32, any::<bool>()), 1..60),
    ) {
        let terms = Terms::new(quota(per_s, burst), &RULE, 1);
        let mut calendar = Calendar::new(terms, 0);
        let mut reserved = [0_i64; 80];
        for (advanced, ahead, count, is_return) in steps {
            calendar.advance(advanced);
            let first = calendar.first + ahead;
            let wanted = Wanted { first, last: first + 2, count, class: Class::Progress };
            let granted = calendar.reserve(&[wanted], 0);
            for one in &granted {
                reserved[one.slot as usize] += i64::from(one.count);
            }
            if is_return {
                calendar.release(&granted);
                for one in &granted {
                    reserved[one.slot as usize] -= i64::from(one.count);
                }
            }
        }
        for first in 0..reserved.len() {
            let mut permits = 0;
            for (slots, count) in reserved[first..].iter().enumerate() {
                permits += count;
                let allowed = terms.rate * (slots as i64 + 1) + terms.burst;
                prop_assert!(permits * PERMIT_PARTS <= allowed, "{first} {slots}");
            }
        }
    }
}

/// The bounds must hold after a suspension, when a response is late, and for any difference of rates.
#[test]
fn the_store_time_is_known_within_the_duration_of_a_call() {
    let mut clock = StoreClock::default();
    assert_eq!(clock.now(Time::from_ms(5)), None);
    clock.record(Time::from_ms(100), Time::from_ms(108), 5_004);
    let now = clock.now(Time::from_ms(108)).unwrap();
    assert!(now.lower_ms <= 5_004 && now.upper_ms >= 5_012, "{now:?}");
    assert!(now.upper_ms - now.lower_ms <= 12, "{now:?}");
    // A response that took long does not replace a better estimate.
    clock.record(Time::from_ms(200), Time::from_ms(5_200), 5_104);
    let later = clock.now(Time::from_ms(5_200)).unwrap();
    assert!(later.upper_ms - later.lower_ms <= 24, "{later:?}");
    assert!(
        later.lower_ms <= 10_096 && later.upper_ms >= 10_104,
        "{later:?}"
    );
}
