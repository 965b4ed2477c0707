//! Verifies the recorded responses of a trial against the guarantees of the scheduler.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use basilramp_wire::api::{Program, Turn};

use super::environment::Environment;
use super::injector::FaultInjector;
use super::report::Report;
use super::{Options, invariants, teardown};
use crate::check::{check_at_most_once, check_budget, check_config, check_program};
use crate::cluster::name;
use crate::engine;
use crate::history::{Entry, Operation, Outcome};
use crate::service::{self, Effect};

/// Seed of the engine stand-ins' outputs.
const ENGINE_SEED: u64 = 1;

/// Runs all checks and adds their results to the report.
pub(crate) async fn run(
    injector: &FaultInjector,
    environment: &Arc<Environment>,
    options: &Options,
    report: &mut Report,
) {
    let finals = teardown::read_all(environment, report).await;
    teardown::end_all(environment, &finals, report).await;
    report.trials += 1;
    let entries = environment.recorder.entries();
    report.operations += entries.len() as u64;
    for entry in &entries {
        *report.outcomes.entry(entry.outcome.label()).or_default() += 1;
    }
    let verifier = Verifier {
        environment,
        entries: &entries,
        finals: &finals,
    };
    verifier.check_histories(report);
    verifier.check_tree_budgets(report);
    verifier.check_unrepeatable_calls(report);
    verifier.check_config_versions(options, report);
    verifier.check_outputs(report);
    invariants::check_rejections(&entries, environment, report);
    invariants::check_draining(injector, report);
    invariants::count_innocent_quarantines(&entries, report);
    invariants::check_orders(environment, report);
    invariants::check_poison(environment, options, report);
    invariants::check_planned_stops(injector, &entries, options, report);
    if !report.violations.is_empty() {
        report.logs.extend(injector.logs());
    }
}

/// Inputs of the checks.
struct Verifier<'a> {
    environment: &'a Environment,
    entries: &'a [Entry],
    finals: &'a BTreeMap<String, Program>,
}

/// Returns the program that an entry concerns.
fn program_of(entry: &Entry) -> Option<&str> {
    match &entry.operation {
        Operation::Call { program, .. }
        | Operation::Read { program }
        | Operation::End { program } => Some(program),
        Operation::Apply { .. } | Operation::ReadVersion { .. } => None,
    }
}

impl Verifier<'_> {
    fn entries_of(&self, ids: &BTreeSet<&str>) -> Vec<&Entry> {
        let entries = self.entries.iter();
        entries
            .filter(|entry| program_of(entry).is_some_and(|id| ids.contains(id)))
            .collect()
    }

    fn check_histories(&self, report: &mut Report) {
        for tracked in self.environment.tracked_programs() {
            let entries = self.entries_of(&BTreeSet::from([tracked.id.as_str()]));
            *report.histories.entry("program history").or_default() += 1;
            if !check_program(&entries) {
                let text = format!("history of {}: {}", tracked.id, format_entries(&entries));
                report.violations.push(text);
            }
        }
    }

    fn check_tree_budgets(&self, report: &mut Report) {
        let programs = self.environment.tracked_programs();
        for root in programs.iter().filter(|program| program.id == program.root) {
            let tree = programs.iter().filter(|program| program.root == root.id);
            let ids: BTreeSet<&str> = tree.map(|program| program.id.as_str()).collect();
            let entries = self.entries_of(&ids);
            *report.histories.entry("budget").or_default() += 1;
            if !check_budget(&entries, root.token_limit) {
                let text = format!(
                    "budget {} of {}: {}",
                    root.token_limit,
                    root.id,
                    format_entries(&entries)
                );
                report.violations.push(text);
            }
            let used: u64 = self.tokens_used(&ids);
            if used > root.token_limit {
                let text = format!("{} used {used} of {} tokens", root.id, root.token_limit);
                report.violations.push(text);
            }
        }
    }

    /// Returns the number of tokens that engines processed for the programs.
    fn tokens_used(&self, ids: &BTreeSet<&str>) -> u64 {
        let engines = self.environment.engines.iter();
        let runs = engines.flat_map(|engine| engine.requests());
        let started = runs.filter(|run| run.started && ids.contains(run.holder.as_str()));
        started
            .map(|run| run.prompt_tokens + run.output_tokens)
            .sum()
    }

    fn check_unrepeatable_calls(&self, report: &mut Report) {
        let mut calls: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
        for entry in self.entries {
            if let Operation::Call { call, .. } = &entry.operation
                && [name::REGISTER, name::ORDER].contains(&call.service.as_str())
            {
                calls.entry(&call.input).or_default().push(entry);
            }
        }
        let services = [&self.environment.registry, &self.environment.store];
        let effects: Vec<Effect> = services
            .iter()
            .flat_map(|service| service.effects())
            .collect();
        let receipts: Vec<Effect> = services
            .iter()
            .flat_map(|service| service.receipts())
            .collect();
        for (input, entries) in calls {
            let own = effects.iter().filter(|effect| effect.body == input);
            let own: Vec<(Instant, Arc<str>)> = own
                .map(|effect| {
                    (
                        effect.occurred_at,
                        service::response_text(&effect.path, input).into(),
                    )
                })
                .collect();
            *report.histories.entry("unrepeatable call").or_default() += 1;
            if !check_at_most_once(&entries, &own) {
                let text = format!("unrepeatable {input:?} with {} effects: ", own.len());
                report.violations.push(text + &format_entries(&entries));
            }
            if !own.is_empty() && !self.is_in_final_history(&entries) {
                let text =
                    format!("unrepeatable {input:?} took effect but is in no program history");
                report.violations.push(text);
            }
            let sent = receipts.iter().filter(|receipt| receipt.body == input);
            let sent = sent.count();
            if sent > 1 {
                let text = format!("unrepeatable {input:?} was sent {sent} times");
                report.violations.push(text);
            }
        }
    }

    /// Returns whether the call of these entries is in the final history of its program.
    fn is_in_final_history(&self, entries: &[&Entry]) -> bool {
        entries.iter().any(|entry| {
            let Operation::Call { program, call } = &entry.operation else {
                return false;
            };
            let Some(program) = self.finals.get(program) else {
                return true;
            };
            let mut turns = program.turns.iter();
            turns.any(|turn| turn.request_id == call.request_id && turn.input == call.input)
        })
    }

    fn check_config_versions(&self, options: &Options, report: &mut Report) {
        let entries: Vec<&Entry> = self.entries.iter().collect();
        *report.histories.entry("configuration").or_default() += 1;
        if !check_config(&entries) {
            report
                .violations
                .push("configuration: not monotonic".to_owned());
        }
        if !options
            .faults
            .iter()
            .any(|fault| fault.delays_configuration())
        {
            invariants::check_config_propagation(&entries, report);
        }
    }

    /// Compares every output with the one that the program's history and input determine.
    fn check_outputs(&self, report: &mut Report) {
        for entry in self.entries {
            let (Operation::Call { program, call }, Outcome::Final(response)) =
                (&entry.operation, &entry.outcome)
            else {
                continue;
            };
            if !entry.streamed.is_empty() && entry.streamed != response.output {
                let text = format!(
                    "{program}/{}: streamed {:?}, but the final output is {:?}",
                    call.position, entry.streamed, response.output
                );
                report.violations.push(text);
            }
            let Some(program) = self.finals.get(program) else {
                continue;
            };
            let turn = program.turns.get(call.position as usize);
            let recorded = turn.is_some_and(|turn| turn.request_id == call.request_id);
            if response.provisional && !recorded {
                continue;
            }
            if turn.is_some_and(|turn| turn.hash != response.hash) {
                let text = format!(
                    "{}/{}: the hash differs from the final history",
                    program.id, call.position
                );
                report.violations.push(text);
            }
            *report.histories.entry("answer").or_default() += 1;
            let expected = expected_output(program, call.position, &call.service, call.max_tokens);
            if expected.as_ref() != Some(&response.output) {
                let text = format!(
                    "{}/{} {}: output {:?}, expected {expected:?}",
                    program.id, call.position, call.service, response.output
                );
                report.violations.push(text);
            }
        }
    }
}

/// Returns the output that a turn must have.
fn expected_output(
    program: &Program,
    position: u32,
    service: &str,
    max_tokens: u32,
) -> Option<String> {
    let turn = program.turns.get(position as usize)?;
    let path = match service {
        name::MODEL => {
            let before = &program.turns[..position as usize];
            let contents = prompt_contents(before, &turn.input);
            return Some(engine::completion_text(ENGINE_SEED, &contents, max_tokens));
        }
        name::LOOKUP => "/registry/lookup",
        name::STOCK => "/store/stock",
        name::REGISTER => "/registry/register",
        _ => "/store/order",
    };
    Some(service::response_text(path, &turn.input))
}

/// Returns the message contents of the prompt for `input`.
fn prompt_contents<'a>(before: &'a [Turn], input: &'a str) -> Vec<&'a str> {
    let mut contents = Vec::new();
    for turn in before {
        if turn.service == name::MODEL {
            contents.push(turn.input.as_str());
        }
        contents.push(turn.output.as_str());
    }
    contents.push(input);
    contents
}

/// Formats entries for a violation, with times in milliseconds since the first.
fn format_entries(entries: &[&Entry]) -> String {
    let Some(first) = entries.first().map(|entry| entry.started_at) else {
        return String::new();
    };
    let line = |entry: &&Entry| {
        let from = entry.started_at.duration_since(first).as_millis();
        let to = entry.completed_at.duration_since(first).as_millis();
        format!(
            "\n    {from}..{to} {:?} -> {:?}",
            entry.operation, entry.outcome
        )
    };
    entries.iter().map(line).collect()
}
