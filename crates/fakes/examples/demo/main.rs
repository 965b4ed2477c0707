//! Demonstrates a deployment with stand-ins for the platform, the engines and the services.
//!
//! `cargo run --release --example demo`
//!
//! Three instances run the programs of two accounts. One instance is killed while it owns
//! running programs. Exits with 1 if a check fails.

mod checks;
#[path = "../shared/instance.rs"]
mod instance;
mod program_run;
mod scenarios;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use basilramp_fakes::cluster::{Cluster, Options, plain_service, set_item};
use basilramp_fakes::engine;
use eyre::Result;
use tokio::task::JoinSet;

use program_run::{Environment, ProgramRun};

/// Number of instances of the daemon.
const INSTANCES: usize = 3;

/// Number of programs of each account.
const PROGRAMS_PER_ACCOUNT: usize = 4;

/// Delay from the start of the last program until an instance is killed.
const KILL_AFTER_MS: u64 = 400;

/// Delay between the starts of two programs of an account.
const START_INTERVAL_MS: u64 = 150;

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("demo: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<bool> {
    if instance::run_if_requested()? {
        return Ok(true);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run_demo())
}

fn deployment_options() -> Result<Options> {
    let mut options = Options::new(instance::launcher()?, INSTANCES);
    options.engines = vec![
        engine::Options {
            speed: 1.0,
            ..engine::Options::default()
        };
        4
    ];
    let pay = plain_service(scenarios::PAYMENT_PATH, false, None, options.timeout_ms);
    options.edits.push(set_item(scenarios::PAYMENT, pay));
    Ok(options)
}

async fn run_demo() -> Result<bool> {
    println!("starting {INSTANCES} instances, 4 engines, a registry and a storefront");
    let mut cluster = Cluster::start(deployment_options()?).await?;
    scenarios::run_warm_up_call(Arc::new(Environment::new(&cluster))).await?;
    let environment = Arc::new(Environment::new(&cluster));
    let mut programs = JoinSet::new();
    for number in 0..PROGRAMS_PER_ACCOUNT {
        programs.spawn(scenarios::run_warranty_registration(
            Arc::clone(&environment),
            number,
        ));
        programs.spawn(scenarios::run_reorder(Arc::clone(&environment), number));
        tokio::time::sleep(Duration::from_millis(START_INTERVAL_MS)).await;
    }
    tokio::time::sleep(Duration::from_millis(KILL_AFTER_MS)).await;
    let killed = kill_busiest_instance(&mut cluster, &environment)?;
    let mut runs = Vec::new();
    while let Some(run) = programs.join_next().await {
        runs.push(run??);
    }
    runs.sort_by(|left, right| left.name.cmp(&right.name));
    print_table(&runs);
    let violations = checks::check(&cluster, &environment, &runs, &killed).await;
    for text in &violations {
        println!("VIOLATION: {text}");
    }
    if violations.is_empty() {
        println!("all checks passed");
    }
    Ok(violations.is_empty())
}

/// Kills the instance that owns the most running programs, and returns their ids.
fn kill_busiest_instance(cluster: &mut Cluster, environment: &Environment) -> Result<Vec<String>> {
    let running_programs = environment.running_programs();
    let owned = |index: usize| -> Vec<String> {
        let id = &cluster.instances[index].id;
        let owned = running_programs.iter();
        let owned =
            owned.filter(|program| checks::program_owner(cluster, program).as_ref() == Some(id));
        owned.cloned().collect()
    };
    let busiest = (0..INSTANCES).max_by_key(|index| owned(*index).len());
    let index = busiest.unwrap_or(0);
    let programs = owned(index);
    environment.remove_instance(index);
    cluster.kill(index)?;
    environment.log(&format!(
        "--- {} killed; it owned {} of {} running programs",
        cluster.instances[index].id,
        programs.len(),
        running_programs.len()
    ));
    Ok(programs)
}

fn print_table(runs: &[ProgramRun]) {
    println!();
    println!(
        "{:<10} {:>5} {:>11} {:>13} {:>16}",
        "program", "calls", "latency", "cached share", "budget"
    );
    for run in runs {
        let share = 100 * run.usage.cached / run.usage.prompt.max(1);
        println!(
            "{:<10} {:>5} {:>8} ms {:>11} % {:>7} of {:>5}",
            run.name, run.calls, run.took_ms, share, run.spent, run.limit
        );
    }
    println!();
}
