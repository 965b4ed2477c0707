//! Shows the system at work, with stand-ins for the platform, the engines and the services.
//!
//! `cargo run --release --example demo`
//!
//! Three instances run the programs of two accounts. One instance is killed while it owns
//! programs that are under way. Exits with 1 if a promise broke.

mod course;
#[path = "../shared/instance.rs"]
mod instance;
mod promise;
mod story;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use basilramp_fakes::cluster::{Cluster, Options, plain_service, set_item};
use basilramp_fakes::engine;
use eyre::Result;
use tokio::task::JoinSet;

use course::{Course, Stage};

/// Instances of the daemon.
const INSTANCES: usize = 3;

/// Programs of each account.
const PROGRAMS: usize = 4;

/// Milliseconds from the programs' start until an instance is killed.
const KILL_AFTER_MS: u64 = 400;

/// Time between the starts of two programs, in milliseconds.
const START_PAUSE_MS: u64 = 150;

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
    if instance::run_if_asked()? {
        return Ok(true);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(show())
}

fn deployment() -> Result<Options> {
    let mut options = Options::new(instance::launcher()?, INSTANCES);
    options.engines = vec![
        engine::Options {
            speed: 1.0,
            ..engine::Options::default()
        };
        4
    ];
    let pay = plain_service(story::PAY_PATH, false, None, options.timeout_ms);
    options.edits.push(set_item(story::PAY, pay));
    Ok(options)
}

async fn show() -> Result<bool> {
    println!("starting {INSTANCES} instances, 4 engines, a registry and a storefront");
    let mut cluster = Cluster::start(deployment()?).await?;
    story::first_call(Arc::new(Stage::open(&cluster))).await?;
    let stage = Arc::new(Stage::open(&cluster));
    let mut programs = JoinSet::new();
    for number in 0..PROGRAMS {
        programs.spawn(story::trust(Arc::clone(&stage), number));
        programs.spawn(story::atlas(Arc::clone(&stage), number));
        tokio::time::sleep(Duration::from_millis(START_PAUSE_MS)).await;
    }
    tokio::time::sleep(Duration::from_millis(KILL_AFTER_MS)).await;
    let killed = kill(&mut cluster, &stage)?;
    let mut courses = Vec::new();
    while let Some(course) = programs.join_next().await {
        courses.push(course??);
    }
    courses.sort_by(|one, other| one.name.cmp(&other.name));
    table(&courses);
    let broken = promise::check(&cluster, &stage, &courses, &killed).await;
    for text in &broken {
        println!("BROKEN: {text}");
    }
    if broken.is_empty() {
        println!("every promise was kept");
    }
    Ok(broken.is_empty())
}

/// Kills the instance that owns the most programs under way, and returns the programs.
fn kill(cluster: &mut Cluster, stage: &Stage) -> Result<Vec<String>> {
    let under_way = stage.under_way();
    let owned = |index: usize| -> Vec<String> {
        let id = &cluster.instances[index].id;
        let owned = under_way.iter();
        let owned = owned.filter(|program| promise::owner(cluster, program).as_ref() == Some(id));
        owned.cloned().collect()
    };
    let most = (0..INSTANCES).max_by_key(|index| owned(*index).len());
    let index = most.unwrap_or(0);
    let programs = owned(index);
    stage.hide(index);
    cluster.kill(index)?;
    stage.say(&format!(
        "--- {} killed; it owned {} of {} programs under way",
        cluster.instances[index].id,
        programs.len(),
        under_way.len()
    ));
    Ok(programs)
}

fn table(courses: &[Course]) {
    println!();
    println!(
        "{:<10} {:>5} {:>11} {:>13} {:>16}",
        "program", "calls", "latency", "cached share", "budget"
    );
    for course in courses {
        let share = 100 * course.usage.cached / course.usage.prompt.max(1);
        println!(
            "{:<10} {:>5} {:>8} ms {:>11} % {:>7} of {:>5}",
            course.name, course.calls, course.took_ms, share, course.spent, course.limit
        );
    }
    println!();
}
