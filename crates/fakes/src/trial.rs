//! Fault-injection trials: concurrent callers and operators run against real instances.
//!
//! A trial starts a deployment, runs callers and operators, injects faults, removes them, and
//! waits until every caller has finished. Then it checks the recorded responses against the
//! guarantees of the scheduler and against the records of the stand-ins.

mod environment;
mod fault;
mod injector;
mod invariants;
mod operators;
mod poison;
mod report;
mod script;
mod teardown;
mod verify;

use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::Result;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;

use crate::cluster::{self, Cluster};
use crate::engine;
use crate::launcher::Launcher;

pub use fault::Fault;
pub use report::Report;

use environment::Environment;
use injector::FaultInjector;

/// Time limit for the callers to finish after all faults are removed.
const FINISH_TIMEOUT_MS: u64 = 60_000;

/// Maximum delay from the start of the callers to the first fault.
const MAX_FIRST_FAULT_DELAY_MS: u64 = 800;

/// Maximum delay between two faults.
const MAX_FAULT_INTERVAL_MS: u64 = 1_000;

/// Parameters of a trial.
#[derive(Clone, Debug)]
pub struct Options {
    /// Starts the instances.
    pub launcher: Launcher,
    /// Seed of all random choices of callers, operators and faults. Engines check fencing numbers
    /// if it is even.
    pub seed: u64,
    /// Faults in the order of injection; they may overlap in time.
    pub faults: Vec<Fault>,
    /// Number of instances.
    pub instances: usize,
    /// Number of concurrent callers, each of which runs one program tree.
    pub callers: usize,
    /// Number of calls of each root program.
    pub turns: u32,
}

impl Options {
    /// Returns options with 3 instances, 8 callers and 20 calls per root program.
    #[must_use]
    pub fn new(launcher: Launcher, seed: u64, faults: Vec<Fault>) -> Self {
        Self {
            launcher,
            seed,
            faults,
            instances: 3,
            callers: 8,
            turns: 20,
        }
    }
}

/// Runs a trial.
///
/// # Errors
///
/// Fails if the deployment can't be started or a fault can't be injected.
pub async fn run(options: Options) -> Result<Report> {
    let cluster = Cluster::start(deployment_options(&options)).await?;
    let environment = Arc::new(Environment::new(&cluster));
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let mut callers = JoinSet::new();
    for number in 0..options.callers {
        let seed = random.random();
        let script = script::Script::new(Arc::clone(&environment), number, seed, options.turns);
        callers.spawn(script.run());
    }
    let operators = operators::spawn(&environment, random.random());
    let mut injector = FaultInjector::new(cluster, Arc::clone(&environment));
    let mut report = Report::default();
    inject_faults(&mut injector, &options.faults, &mut random, &mut report).await?;
    injector.heal().await?;
    wait_for_callers(&mut callers, &mut report).await;
    drop(operators);
    verify::run(&injector, &environment, &options, &mut report).await;
    Ok(report)
}

fn deployment_options(options: &Options) -> cluster::Options {
    let mut deployment = cluster::Options::new(options.launcher.clone(), options.instances);
    deployment.relays = true;
    deployment.timeout_ms = 3_000;
    deployment.engines = vec![
        engine::Options {
            restart_ms: 400,
            checks_fencing: options.seed.is_multiple_of(2),
            ..engine::Options::default()
        };
        3
    ];
    deployment.settings = json!({
        "timing": {
            "lease_ms": 1_500,
            "lease_margin_ms": 500,
            "heartbeat_ms": 300,
            "config_poll_ms": 500,
            "upstream_poll_ms": 200,
            "store_wait_ms": 1_000,
            "grant_wait_ms": 5_000,
        },
    });
    deployment
}

/// Injects the faults, waits until they end, and adds their hits to the report.
async fn inject_faults(
    injector: &mut FaultInjector,
    faults: &[Fault],
    random: &mut ChaCha8Rng,
    report: &mut Report,
) -> Result<()> {
    sleep_random(random, MAX_FIRST_FAULT_DELAY_MS).await;
    for fault in faults {
        injector.inject(*fault, random).await?;
        sleep_random(random, MAX_FAULT_INTERVAL_MS).await;
    }
    injector.wait_for_durations().await;
    for (fault, hits) in injector.collect_hits().await? {
        *report.hits.entry(fault).or_default() += hits;
    }
    Ok(())
}

async fn sleep_random(random: &mut ChaCha8Rng, max_ms: u64) {
    let ms = random.random_range(max_ms / 4..max_ms);
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits for the callers; a caller that does not finish in time is a violation.
async fn wait_for_callers(callers: &mut JoinSet<()>, report: &mut Report) {
    let limit = Instant::now() + Duration::from_millis(FINISH_TIMEOUT_MS);
    let all = async {
        while let Some(ended) = callers.join_next().await {
            if let Err(error) = ended {
                report
                    .violations
                    .push(format!("a caller task failed: {error}"));
            }
        }
    };
    if tokio::time::timeout_at(limit.into(), all).await.is_err() {
        let left = callers.len();
        let text = format!("{left} callers did not finish within {FINISH_TIMEOUT_MS} ms");
        report.violations.push(text);
        callers.abort_all();
    }
}
