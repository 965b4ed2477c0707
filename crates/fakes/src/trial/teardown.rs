//! Last phase of a trial: reads and ends all programs and waits until engines release their caches.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilramp_wire::api::Program;
use tokio::task::JoinSet;

use super::environment::{Environment, TrackedProgram};
use super::report::Report;
use crate::history::Outcome;

/// Time limit for reading or ending a program after all faults are removed.
const RECOVERY_TIMEOUT_MS: u64 = 10_000;

/// Time limit for engines to release the cache of an ended program.
const RELEASE_TIMEOUT_MS: u64 = 10_000;

/// Delay between two attempts.
const RETRY_DELAY_MS: u64 = 100;

/// Reads every program; a program that can't be read in time is a violation.
pub(crate) async fn read_all(
    environment: &Arc<Environment>,
    report: &mut Report,
) -> BTreeMap<String, Program> {
    let limit = Instant::now() + Duration::from_millis(RECOVERY_TIMEOUT_MS);
    let mut reads = JoinSet::new();
    for tracked in environment.tracked_programs() {
        let environment = Arc::clone(environment);
        reads.spawn(async move {
            let request = |at| {
                let (environment, tracked) = (Arc::clone(&environment), tracked.clone());
                async move {
                    environment
                        .read_program(at, tracked.account, &tracked.id)
                        .await
                }
            };
            let read = retry_until_program(&environment, limit, request).await;
            (tracked.id.clone(), read)
        });
    }
    let mut finals = BTreeMap::new();
    for (id, read) in reads.join_all().await {
        match read {
            Ok(program) => {
                finals.insert(id, program);
            }
            Err(last) => {
                let text =
                    format!("{id} could not be read within {RECOVERY_TIMEOUT_MS} ms: {last}");
                report.violations.push(text);
            }
        }
    }
    finals
}

/// Repeats a request at one instance after another until it returns a program.
///
/// Returns the last outcome if `limit` passes first.
async fn retry_until_program<F>(
    environment: &Environment,
    limit: Instant,
    request: impl Fn(SocketAddr) -> F,
) -> Result<Program, String>
where
    F: Future<Output = Outcome>,
{
    let mut attempt = 0;
    loop {
        let instances = environment.visible_instances();
        let at = instances[attempt % instances.len()].addresses.callers;
        attempt += 1;
        let outcome = request(at).await;
        if let Outcome::Program(program) = outcome {
            return Ok(program);
        }
        if Instant::now() >= limit {
            return Err(format!("{outcome:?}"));
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

/// Ends every root program and waits until no engine caches anything for the trial's programs.
pub(crate) async fn end_all(
    environment: &Arc<Environment>,
    finals: &BTreeMap<String, Program>,
    report: &mut Report,
) {
    let limit = Instant::now() + Duration::from_millis(RECOVERY_TIMEOUT_MS);
    let tracked = environment.tracked_programs();
    let roots = tracked.iter().filter(|tracked| tracked.id == tracked.root);
    let mut ends = JoinSet::new();
    for root in roots.filter(|root| finals.contains_key(&root.id)).cloned() {
        let environment = Arc::clone(environment);
        ends.spawn(async move {
            let request = |at| {
                let (environment, root) = (Arc::clone(&environment), root.clone());
                async move { environment.end_program(at, root.account, &root.id).await }
            };
            let ended = retry_until_program(&environment, limit, request).await;
            ended.map_err(|last| format!("{} could not be ended: {last}", root.id))
        });
    }
    let ends = ends.join_all().await;
    report
        .violations
        .extend(ends.into_iter().filter_map(Result::err));
    let limit = Instant::now() + Duration::from_millis(RELEASE_TIMEOUT_MS);
    while !remaining_holders(environment, &tracked).is_empty() && Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    *report.histories.entry("release").or_default() += tracked.len() as u64;
    for holding in remaining_holders(environment, &tracked) {
        let text =
            format!("cache still held {RELEASE_TIMEOUT_MS} ms after the program ended: {holding}");
        report.violations.push(text);
    }
}

/// Returns the programs that engines still cache prefixes for, each with its engine.
fn remaining_holders(environment: &Environment, tracked: &[TrackedProgram]) -> Vec<String> {
    let ids: BTreeSet<&str> = tracked.iter().map(|tracked| tracked.id.as_str()).collect();
    let mut remaining = Vec::new();
    for (index, engine) in environment.engines.iter().enumerate() {
        for holding in engine.cached_prefixes() {
            if ids.contains(holding.holder.as_str()) {
                remaining.push(format!("{} at e{index}", holding.holder));
            }
        }
    }
    remaining
}
