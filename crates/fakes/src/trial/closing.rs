//! The end of a trial: every program is read whole, ended, and let go of by the engines.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilramp_wire::api::Program;
use tokio::task::JoinSet;

use super::report::Report;
use super::world::{Tracked, World};
use crate::history::Outcome;

/// The longest that a program may be out of reach once everything was healed.
const RECOVERY_MS: u64 = 10_000;

/// The longest that an ended program may be held at an engine.
const RELEASE_MS: u64 = 10_000;

/// Time between two tries.
const PAUSE_MS: u64 = 100;

/// Reads every program; one that can't be read in time is a violation.
pub(crate) async fn read_all(world: &Arc<World>, report: &mut Report) -> BTreeMap<String, Program> {
    let limit = Instant::now() + Duration::from_millis(RECOVERY_MS);
    let mut reads = JoinSet::new();
    for tracked in world.programs() {
        let world = Arc::clone(world);
        reads.spawn(async move {
            let request = |at| {
                let (world, tracked) = (Arc::clone(&world), tracked.clone());
                async move { world.read(at, tracked.account, &tracked.id).await }
            };
            let read = insist(&world, limit, request).await;
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
                let text = format!("{id} could not be read within {RECOVERY_MS} ms: {last}");
                report.violations.push(text);
            }
        }
    }
    finals
}

/// Repeats a request until it yields a program, or returns the last outcome.
async fn insist<F>(
    world: &World,
    limit: Instant,
    request: impl Fn(SocketAddr) -> F,
) -> Result<Program, String>
where
    F: Future<Output = Outcome>,
{
    let mut number = 0;
    loop {
        let seen = world.seen();
        let at = seen[number % seen.len()].addresses.callers;
        number += 1;
        let outcome = request(at).await;
        if let Outcome::Program(program) = outcome {
            return Ok(program);
        }
        if Instant::now() >= limit {
            return Err(format!("{outcome:?}"));
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

/// Ends every root program, and waits until no engine holds anything for them.
pub(crate) async fn end_all(
    world: &Arc<World>,
    finals: &BTreeMap<String, Program>,
    report: &mut Report,
) {
    let limit = Instant::now() + Duration::from_millis(RECOVERY_MS);
    let tracked = world.programs();
    let roots = tracked.iter().filter(|tracked| tracked.id == tracked.root);
    let mut ends = JoinSet::new();
    for root in roots.filter(|root| finals.contains_key(&root.id)).cloned() {
        let world = Arc::clone(world);
        ends.spawn(async move {
            let request = |at| {
                let (world, root) = (Arc::clone(&world), root.clone());
                async move { world.end(at, root.account, &root.id).await }
            };
            let ended = insist(&world, limit, request).await;
            ended.map_err(|last| format!("{} could not be ended: {last}", root.id))
        });
    }
    let ends = ends.join_all().await;
    report
        .violations
        .extend(ends.into_iter().filter_map(Result::err));
    let limit = Instant::now() + Duration::from_millis(RELEASE_MS);
    while !held(world, &tracked).is_empty() && Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    *report.histories.entry("release").or_default() += tracked.len() as u64;
    for holding in held(world, &tracked) {
        let text = format!("held {RELEASE_MS} ms after its end: {holding}");
        report.violations.push(text);
    }
}

/// Returns what engines hold for programs.
fn held(world: &World, tracked: &[Tracked]) -> Vec<String> {
    let ids: BTreeSet<&str> = tracked.iter().map(|tracked| tracked.id.as_str()).collect();
    let mut held = Vec::new();
    for (index, engine) in world.engines.iter().enumerate() {
        for holding in engine.cached_prefixes() {
            if ids.contains(holding.holder.as_str()) {
                held.push(format!("{} at e{index}", holding.holder));
            }
        }
    }
    held
}
