//! Compares the scheduling policy with simpler ones under the same load and seeds.
//!
//! The decisions come from `basilramp-core`, called in the same order as in the daemon.
//! Engines are simulated with continuous batching, and time advances in fixed steps. Run it with
//! `cargo run --release -p basilramp-fakes --example policy -- SITUATION SEEDS`.

mod core_scheduler;
mod engine;
mod policy;
mod simulation;
mod workload;

use hdrhistogram::Histogram;

use policy::Policy;
use simulation::{Outcome, Situation};
use workload::Deployment;

const DEPLOYMENTS: [Deployment; 2] = [Deployment::Trust, Deployment::Atlas];

const DEFAULT_SEEDS: u64 = 3;

/// Runs the situation given on the command line, or all of them.
fn main() {
    let mut arguments = std::env::args().skip(1);
    let situation = arguments.next();
    let seeds = arguments.next().and_then(|seeds| seeds.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    for known in Situation::ALL {
        let wanted = situation.as_deref();
        if wanted.is_none_or(|wanted| wanted == "all" || wanted == known.name()) {
            compare(known, seeds);
        }
    }
}

/// Prints one table per deployment, with a row per policy.
fn compare(situation: Situation, seeds: u64) {
    for deployment in DEPLOYMENTS {
        println!(
            "\n### {}, {}, seeds 1 to {seeds}\n",
            situation.name(),
            deployment.name()
        );
        println!(
            "| policy | p50 s | p95 s | p99 s | p95 by seed | re-prefilled Mtok | by seed \
             | finished | refused | given up | busy % |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|");
        for policy in Policy::ALL {
            print_row(policy, deployment, situation, seeds);
        }
    }
}

fn print_row(policy: Policy, deployment: Deployment, situation: Situation, seeds: u64) {
    let runs: Vec<_> = std::thread::scope(|scope| {
        let runs: Vec<_> = (1..=seeds)
            .map(|seed| scope.spawn(move || simulation::run(policy, deployment, situation, seed)))
            .collect();
        let runs = runs.into_iter().map(|run| run.join().expect("a run"));
        runs.collect()
    });
    let mut all = Histogram::<u64>::new(3).expect("a histogram");
    for run in &runs {
        all.add(&run.latency_ms).expect("equal histograms");
    }
    let p95: Vec<_> = runs
        .iter()
        .map(|run| format_seconds(&run.latency_ms, 0.95))
        .collect();
    let tokens: Vec<_> = runs
        .iter()
        .map(|run| format_millions(run.recomputed_tokens))
        .collect();
    let sum = |count: fn(&Outcome) -> u64| runs.iter().map(count).sum::<u64>();
    println!(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        policy.name(),
        format_seconds(&all, 0.5),
        format_seconds(&all, 0.95),
        format_seconds(&all, 0.99),
        p95.join(" "),
        format_millions(sum(|run| run.recomputed_tokens)),
        tokens.join(" "),
        sum(|run| run.finished),
        sum(|run| run.rejected),
        sum(|run| run.abandoned),
        sum(|run| run.busy_percent) / seeds,
    );
}

fn format_seconds(latency_ms: &Histogram<u64>, quantile: f64) -> String {
    let ms = latency_ms.value_at_quantile(quantile);
    format!("{:.1}", ms as f64 / 1_000.0)
}

fn format_millions(tokens: u64) -> String {
    format!("{:.2}", tokens as f64 / 1_000_000.0)
}
