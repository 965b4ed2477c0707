//! Compares the responses that programs received with the records of the stand-ins.

use std::time::{Duration, Instant};

use basilramp_core::id;
use basilramp_fakes::cluster::Cluster;
use basilramp_wire::record::Partition;

use crate::program_run::{Environment, ProgramRun, is_unrepeatable};
use crate::scenarios;

/// Time limit for a program to continue after its owner was killed.
const TAKEOVER_TIMEOUT_MS: u64 = 10_000;

/// Time limit for engines to release the cache of ended programs.
const RELEASE_TIMEOUT_MS: u64 = 10_000;

/// Returns the owner of a program according to the platform's table.
pub(crate) fn program_owner(cluster: &Cluster, program: &str) -> Option<String> {
    let program: id::Program = program.parse().ok()?;
    let sort = format!("{:04}", program.partition().0);
    let row = cluster.platform.row("partition", &sort)?;
    let partition: Partition = serde_json::from_str(&row.body).ok()?;
    Some(partition.owner)
}

/// Runs all checks, prints measurements, and returns the violations.
pub(crate) async fn check(
    cluster: &Cluster,
    environment: &Environment,
    runs: &[ProgramRun],
    killed: &[String],
) -> Vec<String> {
    let mut violations = Vec::new();
    for run in runs {
        check_history(run, &mut violations).await;
        check_at_most_once(environment, run, &mut violations);
        if run.spent > run.limit {
            violations.push(format!("{} spent {} tokens", run.name, run.spent));
        }
    }
    check_takeover(cluster, runs, killed, &mut violations);
    check_release(cluster, runs, &mut violations).await;
    violations
}

/// Checks that a program's stored history equals the responses that its caller received.
async fn check_history(run: &ProgramRun, violations: &mut Vec<String>) {
    let Ok(read) = run.read().await else {
        violations.push(format!("{} could not be read", run.name));
        return;
    };
    let same = read.turns.len() == run.answers.len()
        && read
            .turns
            .iter()
            .zip(&run.answers)
            .all(|(turn, call)| turn.input == call.input && turn.output == call.output);
    if !same {
        violations.push(format!(
            "the history of {} differs from its responses",
            run.name
        ));
    }
}

/// Checks that every non-repeatable call took effect exactly once.
fn check_at_most_once(environment: &Environment, run: &ProgramRun, violations: &mut Vec<String>) {
    let calls = run.answers.iter();
    for call in calls.filter(|call| is_unrepeatable(&call.service)) {
        let (service, _) = scenarios::service_and_path(environment, &call.service);
        let effects = service.effects();
        let count = effects
            .iter()
            .filter(|effect| effect.body == call.input)
            .count();
        if count != 1 {
            violations.push(format!("{:?} took effect {count} times", call.input));
        }
    }
}

/// Checks that programs of the killed instance continued on another instance in time.
fn check_takeover(
    cluster: &Cluster,
    runs: &[ProgramRun],
    killed: &[String],
    violations: &mut Vec<String>,
) {
    if killed.is_empty() {
        violations.push("the killed instance owned no running program".to_owned());
    }
    for run in runs.iter().filter(|run| killed.contains(&run.program)) {
        let owner = program_owner(cluster, &run.program).unwrap_or_default();
        println!(
            "{:<10} taken over by {owner}; its longest gap between two responses was {} ms",
            run.name, run.longest_gap_ms
        );
        if run.longest_gap_ms > TAKEOVER_TIMEOUT_MS {
            violations.push(format!("{} continued too late", run.name));
        }
    }
}

/// Ends every program and checks that engines release its cached prefixes.
async fn check_release(cluster: &Cluster, runs: &[ProgramRun], violations: &mut Vec<String>) {
    for run in runs {
        if let Err(error) = run.end().await {
            violations.push(format!("{} could not be ended: {error}", run.name));
        }
    }
    let start = Instant::now();
    let cached_prefixes = || -> usize {
        let engines = cluster.engines.iter();
        engines.map(|engine| engine.cached_prefixes().len()).sum()
    };
    while cached_prefixes() > 0 && start.elapsed() < Duration::from_millis(RELEASE_TIMEOUT_MS) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let ms = start.elapsed().as_millis();
    println!(
        "engines cache {} prefixes {ms} ms after the programs ended",
        cached_prefixes()
    );
    if cached_prefixes() > 0 {
        violations.push("engines still cache prefixes of ended programs".to_owned());
    }
}
