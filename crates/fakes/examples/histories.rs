//! Runs fault-injection trials against real instances and checks their histories.
//!
//! `cargo run --release --example histories -- --seed 1 --rounds 3`
//!
//! A round runs one trial without faults, one for each fault, one each for `Kill` and `Freeze`
//! injected twice, and several for pairs of faults. `--faults Kill,StoreDown` runs one trial per
//! round with just these faults. Exits with 1 if a guarantee was violated or a fault had no effect.

#[path = "shared/instance.rs"]
mod instance;

use std::process::ExitCode;
use std::str::FromStr;

use basilramp_fakes::trial::{self, Fault, Options, Report};
use eyre::{Result, eyre};

/// Number of trials with a pair of faults in a round.
const PAIRS: usize = 12;

/// Command-line arguments.
struct Arguments {
    seed: u64,
    rounds: u64,
    faults: Option<Vec<Fault>>,
    logs: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("histories: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &[String]) -> Result<bool> {
    if instance::run_if_requested()? {
        return Ok(true);
    }
    let arguments = parse(arguments)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run_rounds(&arguments))
}

fn parse(arguments: &[String]) -> Result<Arguments> {
    let mut parsed = Arguments {
        seed: 1,
        rounds: 1,
        faults: None,
        logs: false,
    };
    let mut arguments = arguments.iter();
    while let Some(name) = arguments.next() {
        let mut value = || {
            arguments
                .next()
                .ok_or_else(|| eyre!("{name} needs a value"))
        };
        match name.as_str() {
            "--seed" => parsed.seed = value()?.parse()?,
            "--rounds" => parsed.rounds = value()?.parse()?,
            "--faults" => parsed.faults = Some(parse_faults(value()?)?),
            "--logs" => parsed.logs = true,
            _ => return Err(eyre!("unknown argument {name}")),
        }
    }
    Ok(parsed)
}

fn parse_faults(names: &str) -> Result<Vec<Fault>> {
    let names = names.split(',').filter(|name| !name.is_empty());
    names.map(|name| Ok(Fault::from_str(name)?)).collect()
}

/// Returns the faults of each trial of a round.
fn plan_trials(round_seed: u64) -> Vec<Vec<Fault>> {
    let all = Fault::ALL;
    let mut trials = vec![Vec::new()];
    trials.extend(all.map(|fault| vec![fault]));
    trials.extend([vec![Fault::Kill; 2], vec![Fault::Freeze; 2]]);
    for pair in 0..PAIRS {
        let number = round_seed as usize * PAIRS + pair;
        let first = all[number * 5 % all.len()];
        let second = all[(number * 11 + 3) % all.len()];
        trials.push(vec![first, second]);
    }
    trials
}

async fn run_rounds(arguments: &Arguments) -> Result<bool> {
    let launcher = instance::launcher()?;
    let mut total = Report::default();
    for round in 0..arguments.rounds {
        let seed = arguments.seed + round;
        let trials = match &arguments.faults {
            Some(faults) => vec![faults.clone()],
            None => plan_trials(seed),
        };
        for faults in trials {
            let options = Options::new(launcher.clone(), seed, faults.clone());
            let report = trial::run(options).await?;
            let verdict = if report.is_success() { "good" } else { "BAD" };
            println!(
                "seed {seed} faults {faults:?}: {verdict}, {} operations",
                report.operations
            );
            for violation in &report.violations {
                println!("  {violation}");
            }
            for fault in report.faults_without_hits() {
                println!("  {fault} never hit");
            }
            if arguments.logs {
                println!("{}", report.logs.join("\n"));
            }
            total.merge(report);
        }
    }
    println!("{total}");
    Ok(total.is_success())
}
