//! Checks a trial: what callers were told, against the promises and the stand-ins' records.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use basilramp_wire::api::{Program, Turn};

use super::report::Report;
use super::scene::Scene;
use super::world::World;
use super::{Options, closing, records};
use crate::check::{check_budget, check_config, check_once, check_program};
use crate::cluster::name;
use crate::engine;
use crate::history::{Entry, Operation, Outcome};
use crate::service::{self, Effect};

/// Seed of the engines' answers.
const SEED: u64 = 1;

/// Runs all checks and fills the report.
pub(crate) async fn run(scene: &Scene, world: &Arc<World>, options: &Options, report: &mut Report) {
    let finals = closing::read_all(world, report).await;
    closing::end_all(world, &finals, report).await;
    report.trials += 1;
    let entries = world.recorder.entries();
    report.operations += entries.len() as u64;
    for entry in &entries {
        *report.outcomes.entry(entry.outcome.label()).or_default() += 1;
    }
    let check = Check {
        world,
        entries: &entries,
        finals: &finals,
    };
    check.programs(report);
    check.budgets(report);
    check.unrepeatable(report);
    check.configuration(options, report);
    check.answers(report);
    records::refusals(&entries, world, report);
    records::absences(scene, report);
    records::quarantines(&entries, report);
    records::orders(world, report);
    records::poison(world, options, report);
    records::stops(scene, &entries, options, report);
    if !report.violations.is_empty() {
        report.logs.extend(scene.logs());
    }
}

/// What the checks look at.
struct Check<'a> {
    world: &'a World,
    entries: &'a [Entry],
    finals: &'a BTreeMap<String, Program>,
}

/// Returns the program that an entry concerns.
fn program_of(entry: &Entry) -> Option<&str> {
    match &entry.operation {
        Operation::Call { program, .. }
        | Operation::Read { program }
        | Operation::End { program } => Some(program),
        Operation::Apply { .. } | Operation::Version { .. } => None,
    }
}

impl Check<'_> {
    fn of_programs(&self, ids: &BTreeSet<&str>) -> Vec<&Entry> {
        let entries = self.entries.iter();
        entries
            .filter(|entry| program_of(entry).is_some_and(|id| ids.contains(id)))
            .collect()
    }

    fn programs(&self, report: &mut Report) {
        for tracked in self.world.programs() {
            let entries = self.of_programs(&BTreeSet::from([tracked.id.as_str()]));
            *report.histories.entry("program history").or_default() += 1;
            if !check_program(&entries) {
                let text = format!("history of {}: {}", tracked.id, trace(&entries));
                report.violations.push(text);
            }
        }
    }

    fn budgets(&self, report: &mut Report) {
        let programs = self.world.programs();
        for root in programs.iter().filter(|program| program.id == program.root) {
            let tree = programs.iter().filter(|program| program.root == root.id);
            let ids: BTreeSet<&str> = tree.map(|program| program.id.as_str()).collect();
            let entries = self.of_programs(&ids);
            *report.histories.entry("budget").or_default() += 1;
            if !check_budget(&entries, root.limit) {
                let text = format!("budget {} of {}: {}", root.limit, root.id, trace(&entries));
                report.violations.push(text);
            }
            let used: u64 = self.used(&ids);
            if used > root.limit {
                let text = format!("{} used {used} of {} tokens", root.id, root.limit);
                report.violations.push(text);
            }
        }
    }

    /// Returns the tokens that engines really spent on programs.
    fn used(&self, ids: &BTreeSet<&str>) -> u64 {
        let engines = self.world.engines.iter();
        let runs = engines.flat_map(|engine| engine.requests());
        let started = runs.filter(|run| run.started && ids.contains(run.holder.as_str()));
        started
            .map(|run| run.prompt_tokens + run.output_tokens)
            .sum()
    }

    fn unrepeatable(&self, report: &mut Report) {
        let mut calls: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
        for entry in self.entries {
            if let Operation::Call { call, .. } = &entry.operation
                && [name::REGISTER, name::ORDER].contains(&call.service.as_str())
            {
                calls.entry(&call.input).or_default().push(entry);
            }
        }
        let services = [&self.world.registry, &self.world.store];
        let effects: Vec<Effect> = services.iter().flat_map(|one| one.effects()).collect();
        let receipts: Vec<Effect> = services.iter().flat_map(|one| one.receipts()).collect();
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
            if !check_once(&entries, &own) {
                let text = format!("unrepeatable {input:?} with {} effects: ", own.len());
                report.violations.push(text + &trace(&entries));
            }
            if !own.is_empty() && !self.is_kept(&entries) {
                let text = format!("unrepeatable {input:?} took effect and is in no history");
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

    /// Tells whether the call of these entries stands in the final history of its program.
    fn is_kept(&self, entries: &[&Entry]) -> bool {
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

    fn configuration(&self, options: &Options, report: &mut Report) {
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
            .any(|fault| fault.hides_configuration())
        {
            records::in_force(&entries, report);
        }
    }

    /// Compares every answer of a model with what its own history and prompt must give.
    fn answers(&self, report: &mut Report) {
        for entry in self.entries {
            let (Operation::Call { program, call }, Outcome::Final(last)) =
                (&entry.operation, &entry.outcome)
            else {
                continue;
            };
            if !entry.streamed.is_empty() && entry.streamed != last.output {
                let text = format!(
                    "{program}/{}: streamed {:?}, answered {:?}",
                    call.position, entry.streamed, last.output
                );
                report.violations.push(text);
            }
            let Some(program) = self.finals.get(program) else {
                continue;
            };
            let turn = program.turns.get(call.position as usize);
            let kept = turn.is_some_and(|turn| turn.request_id == call.request_id);
            if last.provisional && !kept {
                continue;
            }
            if turn.is_some_and(|turn| turn.hash != last.hash) {
                let text = format!("{}/{}: another hash", program.id, call.position);
                report.violations.push(text);
            }
            *report.histories.entry("answer").or_default() += 1;
            let want = expected(program, call.position, &call.service, call.max_tokens);
            if want.as_ref() != Some(&last.output) {
                let text = format!(
                    "{}/{} {}: answered {:?}, expected {want:?}",
                    program.id, call.position, call.service, last.output
                );
                report.violations.push(text);
            }
        }
    }
}

/// Returns the answer that a turn must have.
fn expected(program: &Program, position: u32, called: &str, max_tokens: u32) -> Option<String> {
    let turn = program.turns.get(position as usize)?;
    let path = match called {
        name::MODEL => {
            let before = &program.turns[..position as usize];
            let contents = contents(before, &turn.input);
            return Some(engine::completion_text(SEED, &contents, max_tokens));
        }
        name::LOOKUP => "/registry/lookup",
        name::STOCK => "/store/stock",
        name::REGISTER => "/registry/register",
        _ => "/store/order",
    };
    Some(service::response_text(path, &turn.input))
}

/// Returns the contents of the messages of a prompt.
fn contents<'a>(before: &'a [Turn], input: &'a str) -> Vec<&'a str> {
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

/// Returns a short text of entries, for a person to read.
fn trace(entries: &[&Entry]) -> String {
    let Some(first) = entries.first().map(|entry| entry.began) else {
        return String::new();
    };
    let line = |entry: &&Entry| {
        let from = entry.began.duration_since(first).as_millis();
        let to = entry.ended.duration_since(first).as_millis();
        format!(
            "\n    {from}..{to} {:?} -> {:?}",
            entry.operation, entry.outcome
        )
    };
    entries.iter().map(line).collect()
}
