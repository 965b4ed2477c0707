//! The policy side by side with simpler ones, under the same load from the same seeds.
//!
//! The decisions are those of `basilramp-core`, asked in the order in which the
//! daemon asks them. The engines are small stand-ins that batch continuously.
//! Time is stepped, not waited for. Run it with
//! `cargo run --release -p basilramp-fakes --example policy -- SITUATION SEEDS`.

mod core_policy;
mod engine;
mod policy;
mod run;
mod shape;

use hdrhistogram::Histogram;

use policy::Policy;
use run::{Outcome, Situation};
use shape::Deployment;

const DEPLOYMENTS: [Deployment; 2] = [Deployment::Trust, Deployment::Atlas];

const DEFAULT_SEEDS: u64 = 3;

/// Runs the situation that the command line names, or all of them.
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

/// Prints one table for each deployment, with the seeds' results side by side.
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
            .map(|seed| scope.spawn(move || run::run(policy, deployment, situation, seed)))
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
        .map(|run| seconds(&run.latency_ms, 0.95))
        .collect();
    let tokens: Vec<_> = runs.iter().map(|run| mega(run.refilled_tokens)).collect();
    let sum = |count: fn(&Outcome) -> u64| runs.iter().map(count).sum::<u64>();
    println!(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        policy.name(),
        seconds(&all, 0.5),
        seconds(&all, 0.95),
        seconds(&all, 0.99),
        p95.join(" "),
        mega(sum(|run| run.refilled_tokens)),
        tokens.join(" "),
        sum(|run| run.finished),
        sum(|run| run.refused),
        sum(|run| run.given_up),
        sum(|run| run.busy_percent) / seeds,
    );
}

fn seconds(latency_ms: &Histogram<u64>, quantile: f64) -> String {
    let ms = latency_ms.value_at_quantile(quantile);
    format!("{:.1}", ms as f64 / 1_000.0)
}

fn mega(tokens: u64) -> String {
    format!("{:.2}", tokens as f64 / 1_000_000.0)
}
