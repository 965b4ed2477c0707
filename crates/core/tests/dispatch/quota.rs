//! Quotas over all instances: the bound on an account's requests, and how much of it is used.

mod site;

use basilramp_core::dispatch::account::Quota;
use basilramp_core::dispatch::quota::{Calendar, Class, Rule, SLOT_MS, Terms, Wanted};
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
    from_ms: u64,
    until_ms: u64,
    rng: &mut StdRng,
) {
    let mean_requests = f64::from(PROGRAMS.requests.0 + PROGRAMS.requests.1) / 2.0;
    let mut at_ms = from_ms as f64;
    loop {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        at_ms += -uniform.ln() * 1_000.0 * mean_requests / per_s;
        if at_ms >= until_ms as f64 {
            return;
        }
        let instance =
            (rng.random::<f64>() * rng.random::<f64>().sqrt() * instances as f64) as usize;
        site.add_program(instance, PROGRAMS, at_ms as u64);
    }
}

fn report(name: &str, site: &Site, offered: f64) {
    let counts = &site.counts;
    let mut waits = counts.waited_ms.clone();
    waits.sort_unstable();
    let at = |share: f64| {
        waits
            .get((waits.len() as f64 * share) as usize)
            .copied()
            .unwrap_or_default()
    };
    println!("{:?}", counts.kinds);
    let expired = site.expired() as f64;
    println!(
        "{name}: offered {offered:.1}/s sent {} begun {} finished {} rejected {} broken {} waste {:.3} calls/request {:.3} (writes {:.3} conflicts {:.3}) wait p50 {} p95 {} p99 {}",
        counts.sent,
        counts.begun_programs,
        counts.finished_programs,
        counts.rejected_programs,
        counts.broken_programs,
        expired / (expired + counts.sent as f64),
        counts.calls as f64 / counts.sent as f64,
        counts.writes as f64 / counts.sent as f64,
        counts.conflicts as f64 / counts.sent as f64,
        at(0.5),
        at(0.95),
        at(0.99)
    );
}

fn simulate(instances: usize, quota: Quota, load: f64, seconds: u64, seed: u64) -> Site {
    let terms = Terms::new(quota, &RULE, 1);
    let mut site = Site::new(instances, terms, seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let until_ms = site.now_ms + seconds * 1_000;
    let from_ms = site.now_ms;
    add_programs(
        &mut site,
        instances,
        quota.rate.per_s() * load,
        from_ms,
        until_ms,
        &mut rng,
    );
    site.run_until(until_ms);
    report(
        &format!("{instances} instances load {load}"),
        &site,
        quota.rate.per_s() * load,
    );
    let busiest = busiest_window(&site.sent_at, RULE.window_ms);
    assert!(busiest as f64 <= accepted(quota, &RULE), "{busiest}");
    site
}

#[test]
fn trial() {
    for (instances, rate, burst) in [
        (1, 50.0, 50),
        (86, 400.0, 400),
        (86, 60.0, 60),
        (86, 4.0, 4),
    ] {
        for load in [0.5, 0.9, 5.0] {
            simulate(instances, quota(rate, burst), load, 120, 7);
        }
    }
}
