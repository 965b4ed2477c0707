//! Checks of responses against the records of the stand-ins, and checks with a time limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilramp_wire::error::Kind;

use super::Options;
use super::environment::Environment;
use super::fault::Fault;
use super::injector::FaultInjector;
use super::report::Report;
use crate::history::{Entry, Operation, Outcome};

/// Time after the endpoint list shows an engine as draining until it gets no new requests.
const DRAIN_TIMEOUT_MS: u64 = 3_000;

/// Time limit from the acceptance of a configuration change until every instance uses it.
const PROPAGATION_TIMEOUT_MS: u64 = 4_000;

/// Text in a prompt that crashes the engine stand-in.
const POISON_MARKER: &str = "POISON";

/// Maximum number of engine crashes per poisoned request before it must be quarantined.
const MAX_CRASHES_PER_REQUEST: u64 = 2;

/// Checks that a request did not run if its attempt was rejected as not run.
///
/// Skips attempts that overlap another attempt or follow one that may still run.
pub(crate) fn check_rejections(entries: &[Entry], environment: &Environment, report: &mut Report) {
    let mut attempts: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in entries {
        if let Operation::Call { call, .. } = &entry.operation {
            attempts.entry(&call.input).or_default().push(entry);
        }
    }
    let run_times = run_times(environment);
    for (input, attempts) in attempts {
        let runs = run_times.get(input).map_or(&[][..], Vec::as_slice);
        for (index, entry) in attempts.iter().enumerate() {
            let alone = attempts[..index]
                .iter()
                .all(|earlier| earlier.completed_at < entry.started_at && !may_still_run(earlier));
            let next = attempts.get(index + 1);
            let alone = alone && next.is_none_or(|later| later.started_at > entry.completed_at);
            if !alone || !entry.outcome.is_not_run() {
                continue;
            }
            *report.histories.entry("refusal").or_default() += 1;
            let until = next.map(|later| later.started_at);
            let ran_after_rejection = runs
                .iter()
                .any(|at| *at >= entry.started_at && until.is_none_or(|until| *at < until));
            if ran_after_rejection {
                let text = format!(
                    "rejected as not run, but ran: {input:?}: {:?}",
                    entry.outcome
                );
                report.violations.push(text);
            }
        }
    }
}

/// Returns whether an attempt may still run after its response or failure.
fn may_still_run(entry: &Entry) -> bool {
    !entry.outcome.is_not_run() && !matches!(entry.outcome, Outcome::Final(_))
}

/// Returns the times at which upstreams started or received each input.
fn run_times(environment: &Environment) -> BTreeMap<String, Vec<Instant>> {
    let mut ran: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    let runs = environment
        .engines
        .iter()
        .flat_map(|engine| engine.requests());
    for mut run in runs.filter(|run| run.started) {
        if let Some(input) = run.contents.pop() {
            ran.entry(input).or_default().push(run.received_at);
        }
    }
    for service in [&environment.registry, &environment.store] {
        for receipt in service.receipts() {
            ran.entry(receipt.body)
                .or_default()
                .push(receipt.occurred_at);
        }
    }
    ran
}

/// Checks that draining engines get no new requests after `DRAIN_TIMEOUT_MS`.
pub(crate) fn check_draining(injector: &FaultInjector, report: &mut Report) {
    for period in &injector.drain_periods {
        let deadline = period.from + Duration::from_millis(DRAIN_TIMEOUT_MS);
        let runs = injector.cluster.engines[period.engine].requests();
        let late = runs
            .iter()
            .filter(|run| run.received_at > deadline && run.received_at < period.until);
        let late = late.count();
        *report.histories.entry("leaving").or_default() += 1;
        if late > 0 {
            let text = format!(
                "e{} got {late} requests more than {DRAIN_TIMEOUT_MS} ms after it was listed as draining",
                period.engine
            );
            report.violations.push(text);
        }
    }
}

/// Checks that each engine executed orders in the order of their fencing numbers.
pub(crate) fn check_orders(environment: &Environment, report: &mut Report) {
    for (index, engine) in environment.engines.iter().enumerate() {
        let orders = engine.received_orders();
        let taken: Vec<u64> = orders
            .iter()
            .filter(|order| order.accepted)
            .map(|order| order.fencing)
            .collect();
        *report.histories.entry("order").or_default() += taken.len() as u64;
        if !taken.is_sorted() || taken.contains(&0) {
            let text = format!("e{index} executed orders with fencing numbers {taken:?}");
            report.violations.push(text);
        }
    }
}

/// Checks the number of engine crashes caused by poisoned requests.
pub(crate) fn check_poison(environment: &Environment, options: &Options, report: &mut Report) {
    let requests = options
        .faults
        .iter()
        .filter(|fault| **fault == Fault::Poison);
    let requests = requests.count() as u64;
    let crashed: u64 = environment
        .engines
        .iter()
        .map(|engine| engine.poison_crashes())
        .sum();
    *report.histories.entry("poison").or_default() += requests;
    if crashed > requests * MAX_CRASHES_PER_REQUEST {
        let text = format!("{requests} poisoned requests crashed engines {crashed} times");
        report.violations.push(text);
    }
}

/// Counts requests that were quarantined although they don't crash engines.
///
/// A request in flight at two crashes can't be told from their cause, so this is no violation.
pub(crate) fn count_innocent_quarantines(entries: &[Entry], report: &mut Report) {
    let innocent = entries.iter().filter(|entry| {
        let quarantined = entry.outcome.error_kind() == Some(Kind::Quarantined);
        let Operation::Call { call, .. } = &entry.operation else {
            return false;
        };
        quarantined && !call.input.contains(POISON_MARKER)
    });
    let count = innocent.count() as u64;
    *report.outcomes.entry("quarantined, innocent").or_default() += count;
}

/// Checks that graceful shutdowns succeed, and that they interrupt no request if no other
/// fault was injected.
pub(crate) fn check_planned_stops(
    injector: &FaultInjector,
    entries: &[Entry],
    options: &Options,
    report: &mut Report,
) {
    report
        .violations
        .extend(injector.failed_stops.iter().cloned());
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
        let interrupted = match &entry.outcome {
            Outcome::Lost(_) => true,
            Outcome::Rejected(error) => matches!(
                error.kind,
                Kind::Interrupted | Kind::Internal | Kind::UpstreamFailed | Kind::TimedOut
            ),
            _ => false,
        };
        if interrupted {
            let text = format!(
                "interrupted by a graceful shutdown: {:?}: {:?}",
                entry.operation, entry.outcome
            );
            report.violations.push(text);
        }
    }
}

/// Checks that every instance uses an accepted configuration change in time.
pub(crate) fn check_config_propagation(entries: &[&Entry], report: &mut Report) {
    let mut accepted: Vec<(Instant, u64)> = Vec::new();
    for entry in entries {
        if let (Operation::Apply { .. }, Outcome::Version(version)) =
            (&entry.operation, &entry.outcome)
        {
            let due = entry.completed_at + Duration::from_millis(PROPAGATION_TIMEOUT_MS);
            accepted.push((due, *version));
        }
    }
    for entry in entries {
        let (Operation::ReadVersion { instance }, Outcome::Version(version)) =
            (&entry.operation, &entry.outcome)
        else {
            continue;
        };
        let due = accepted.iter().filter(|(due, _)| *due <= entry.started_at);
        let due = due.map(|(_, version)| *version).max().unwrap_or(0);
        *report
            .histories
            .entry("configuration in force")
            .or_default() += 1;
        if *version < due {
            let text =
                format!("instance start {instance} had version {version}, expected at least {due}");
            report.violations.push(text);
        }
    }
}
