//! Checks against what the stand-ins recorded, and checks with a time bound.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilramp_wire::error::Kind;

use super::Options;
use super::fault::Fault;
use super::report::Report;
use super::scene::Scene;
use super::world::World;
use crate::history::{Entry, Operation, Outcome};

/// The longest time from the list naming an engine as leaving to its last new request.
const LEAVING_MS: u64 = 3_000;

/// The longest time from a change's acceptance until it is in force everywhere.
const IN_FORCE_MS: u64 = 4_000;

/// The text that crashes an engine.
const POISON: &str = "POISON";

/// The most engines that one poisoned request may crash.
const POISONINGS: u64 = 2;

/// Checks that no request ran while an attempt of it was under way that was refused as not run.
///
/// An attempt is left out if another one overlaps it, or an earlier one may still run.
pub(crate) fn refusals(entries: &[Entry], world: &World, report: &mut Report) {
    let mut attempts: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in entries {
        if let Operation::Call { call, .. } = &entry.operation {
            attempts.entry(&call.input).or_default().push(entry);
        }
    }
    let ran = ran(world);
    for (input, attempts) in attempts {
        let runs = ran.get(input).map_or(&[][..], Vec::as_slice);
        for (index, entry) in attempts.iter().enumerate() {
            let alone = attempts[..index]
                .iter()
                .all(|earlier| earlier.ended < entry.began && !may_run_on(earlier));
            let next = attempts.get(index + 1);
            let alone = alone && next.is_none_or(|later| later.began > entry.ended);
            if !alone || !entry.outcome.is_not_run() {
                continue;
            }
            *report.histories.entry("refusal").or_default() += 1;
            let until = next.map(|later| later.began);
            let lie = runs
                .iter()
                .any(|at| *at >= entry.began && until.is_none_or(|until| *at < until));
            if lie {
                let text = format!(
                    "refused as not run, and ran: {input:?}: {:?}",
                    entry.outcome
                );
                report.violations.push(text);
            }
        }
    }
}

/// Tells whether an attempt may be run after its end.
fn may_run_on(entry: &Entry) -> bool {
    !entry.outcome.is_not_run() && !matches!(entry.outcome, Outcome::Final(_))
}

/// Returns when each input was run or read by an upstream.
fn ran(world: &World) -> BTreeMap<String, Vec<Instant>> {
    let mut ran: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    let runs = world.engines.iter().flat_map(|engine| engine.requests());
    for mut run in runs.filter(|run| run.started) {
        if let Some(input) = run.contents.pop() {
            ran.entry(input).or_default().push(run.received_at);
        }
    }
    for service in [&world.registry, &world.store] {
        for receipt in service.receipts() {
            ran.entry(receipt.body)
                .or_default()
                .push(receipt.occurred_at);
        }
    }
    ran
}

/// Checks that no engine got new work too long after the list named it as leaving.
pub(crate) fn absences(scene: &Scene, report: &mut Report) {
    for absence in &scene.absences {
        let deadline = absence.from + Duration::from_millis(LEAVING_MS);
        let runs = scene.cluster.engines[absence.engine].requests();
        let late = runs
            .iter()
            .filter(|run| run.received_at > deadline && run.received_at < absence.until);
        let late = late.count();
        *report.histories.entry("leaving").or_default() += 1;
        if late > 0 {
            let text = format!(
                "e{} got {late} requests more than {LEAVING_MS} ms after it was listed as leaving",
                absence.engine
            );
            report.violations.push(text);
        }
    }
}

/// Checks that no engine obeyed an order older than one that it had obeyed before.
pub(crate) fn orders(world: &World, report: &mut Report) {
    for (index, engine) in world.engines.iter().enumerate() {
        let orders = engine.received_orders();
        let taken: Vec<u64> = orders
            .iter()
            .filter(|order| order.accepted)
            .map(|order| order.fencing)
            .collect();
        *report.histories.entry("order").or_default() += taken.len() as u64;
        if !taken.is_sorted() || taken.contains(&0) {
            let text = format!("e{index} obeyed orders {taken:?}");
            report.violations.push(text);
        }
    }
}

/// Checks how many engines each poisoned request has crashed.
pub(crate) fn poison(world: &World, options: &Options, report: &mut Report) {
    let requests = options
        .faults
        .iter()
        .filter(|fault| **fault == Fault::Poison);
    let requests = requests.count() as u64;
    let crashed: u64 = world
        .engines
        .iter()
        .map(|engine| engine.poison_crashes())
        .sum();
    *report.histories.entry("poison").or_default() += requests;
    if crashed > requests * POISONINGS {
        let text = format!("{requests} poisoned requests crashed engines {crashed} times");
        report.violations.push(text);
    }
}

/// Counts requests that were quarantined though nothing in them crashes an engine.
///
/// A request in flight at two crashes looks like their cause, so this is no broken promise.
pub(crate) fn quarantines(entries: &[Entry], report: &mut Report) {
    let innocent = entries.iter().filter(|entry| {
        let quarantined = entry.outcome.kind() == Some(Kind::Quarantined);
        let Operation::Call { call, .. } = &entry.operation else {
            return false;
        };
        quarantined && !call.input.contains(POISON)
    });
    let count = innocent.count() as u64;
    *report.outcomes.entry("quarantined, innocent").or_default() += count;
}

/// Checks that planned stops end well, and cut no request if nothing else went wrong.
pub(crate) fn stops(scene: &Scene, entries: &[Entry], options: &Options, report: &mut Report) {
    report.violations.extend(scene.bad_stops.iter().cloned());
    if options.faults.is_empty()
        || options
            .faults
            .iter()
            .any(|fault| *fault != Fault::RollingStop)
    {
        return;
    }
    for entry in entries {
        *report
            .histories
            .entry("request during planned stops")
            .or_default() += 1;
        let cut = match &entry.outcome {
            Outcome::Lost(_) => true,
            Outcome::Refused(error) => matches!(
                error.kind,
                Kind::Interrupted | Kind::Internal | Kind::UpstreamFailed | Kind::TimedOut
            ),
            _ => false,
        };
        if cut {
            let text = format!("cut by a stop: {:?}: {:?}", entry.operation, entry.outcome);
            report.violations.push(text);
        }
    }
}

/// Checks that every accepted change is in force everywhere in time.
pub(crate) fn in_force(entries: &[&Entry], report: &mut Report) {
    let mut accepted: Vec<(Instant, u64)> = Vec::new();
    for entry in entries {
        if let (Operation::Apply { .. }, Outcome::Version(version)) =
            (&entry.operation, &entry.outcome)
        {
            let due = entry.ended + Duration::from_millis(IN_FORCE_MS);
            accepted.push((due, *version));
        }
    }
    for entry in entries {
        let (Operation::Version { instance }, Outcome::Version(version)) =
            (&entry.operation, &entry.outcome)
        else {
            continue;
        };
        let due = accepted.iter().filter(|(due, _)| *due <= entry.began);
        let due = due.map(|(_, version)| *version).max().unwrap_or(0);
        *report
            .histories
            .entry("configuration in force")
            .or_default() += 1;
        if *version < due {
            let text = format!("start {instance} had version {version}, {due} was due");
            report.violations.push(text);
        }
    }
}
