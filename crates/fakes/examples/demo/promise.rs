//! Compares what the programs were told with what the stand-ins recorded.

use std::time::{Duration, Instant};

use basilramp_core::id;
use basilramp_fakes::cluster::Cluster;
use basilramp_wire::record::Partition;

use crate::course::{Course, Stage, is_unrepeatable};
use crate::story;

/// The longest that a program whose owner was killed may take to go on, in milliseconds.
const TAKEOVER_MS: u64 = 10_000;

/// The longest that an engine may hold anything for an ended program, in milliseconds.
const RELEASE_MS: u64 = 10_000;

/// Returns the instance that owns a program, by the platform's table.
pub(crate) fn owner(cluster: &Cluster, program: &str) -> Option<String> {
    let program: id::Program = program.parse().ok()?;
    let sort = format!("{:04}", program.partition().0);
    let row = cluster.platform.row("partition", &sort)?;
    let partition: Partition = serde_json::from_str(&row.body).ok()?;
    Some(partition.owner)
}

/// Checks every promise, says what was found, and returns what was broken.
pub(crate) async fn check(
    cluster: &Cluster,
    stage: &Stage,
    courses: &[Course],
    killed: &[String],
) -> Vec<String> {
    let mut broken = Vec::new();
    for course in courses {
        histories(course, &mut broken).await;
        once(stage, course, &mut broken);
        if course.spent > course.limit {
            broken.push(format!("{} spent {} tokens", course.name, course.spent));
        }
    }
    takeover(cluster, courses, killed, &mut broken);
    release(cluster, courses, &mut broken).await;
    broken
}

/// Checks that a program's history, read through any instance, is what it was told.
async fn histories(course: &Course, broken: &mut Vec<String>) {
    let Ok(read) = course.read().await else {
        broken.push(format!("{} could not be read", course.name));
        return;
    };
    let same = read.turns.len() == course.answers.len()
        && read
            .turns
            .iter()
            .zip(&course.answers)
            .all(|(turn, told)| turn.input == told.input && turn.output == told.output);
    if !same {
        broken.push(format!(
            "the history of {} is not what it was told",
            course.name
        ));
    }
}

/// Checks that every unrepeatable call took effect exactly once.
fn once(stage: &Stage, course: &Course, broken: &mut Vec<String>) {
    let calls = course.answers.iter();
    for call in calls.filter(|call| is_unrepeatable(&call.service)) {
        let (service, _) = story::tool(stage, &call.service);
        let effects = service.effects();
        let count = effects
            .iter()
            .filter(|effect| effect.body == call.input)
            .count();
        if count != 1 {
            broken.push(format!("{:?} took effect {count} times", call.input));
        }
    }
}

/// Checks that the killed instance's programs went on elsewhere, and in time.
fn takeover(cluster: &Cluster, courses: &[Course], killed: &[String], broken: &mut Vec<String>) {
    if killed.is_empty() {
        broken.push("the killed instance owned no program under way".to_owned());
    }
    for course in courses
        .iter()
        .filter(|course| killed.contains(&course.program))
    {
        let owner = owner(cluster, &course.program).unwrap_or_default();
        println!(
            "{:<10} taken over by {owner}; its longest wait between two answers was {} ms",
            course.name, course.longest_gap_ms
        );
        if course.longest_gap_ms > TAKEOVER_MS {
            broken.push(format!("{} went on too late", course.name));
        }
    }
}

/// Ends every program, and checks that engines let go of what they hold for it.
async fn release(cluster: &Cluster, courses: &[Course], broken: &mut Vec<String>) {
    for course in courses {
        if let Err(error) = course.end().await {
            broken.push(format!("{} could not be ended: {error}", course.name));
        }
    }
    let start = Instant::now();
    let held = || -> usize {
        let engines = cluster.engines.iter();
        engines.map(|engine| engine.cached_prefixes().len()).sum()
    };
    while held() > 0 && start.elapsed() < Duration::from_millis(RELEASE_MS) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let ms = start.elapsed().as_millis();
    println!(
        "engines hold {} prefixes {ms} ms after the programs' ends",
        held()
    );
    if held() > 0 {
        broken.push("engines hold memory for ended programs".to_owned());
    }
}
