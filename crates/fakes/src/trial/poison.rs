//! Requests that crash every engine, and programs that never end by themselves.

use std::sync::Arc;
use std::time::Duration;

use basilramp_wire::api::Budget;
use basilramp_wire::error::Kind;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::world::{Tracked, World, within};
use crate::caller;
use crate::cluster::name;
use crate::history::Outcome;

/// How often the poisoned request is sent, over all programs.
const SENDS: u32 = 8;

/// Programs that send it.
const PROGRAMS: u32 = 2;

/// Calls that the endless program may make.
const LOOP_TURNS: u32 = 6;

/// Calls after which the endless program should long have been ended.
const LOOP_LIMIT: u32 = 60;

/// Time between two sends.
const PAUSE_MS: u64 = 200;

/// Tokens of each program's budget.
const TOKENS: u64 = 1_000_000;

/// Creates a program; nothing if that fails for long.
async fn create(
    world: &World,
    request: &str,
    turns: u32,
    random: &mut ChaCha8Rng,
) -> Option<String> {
    let budget = Budget {
        turns,
        ..caller::program_budget(TOKENS)
    };
    for _ in 0..LOOP_LIMIT {
        if let Some(at) = world.any(random) {
            let request = world.clients[0].create_root(at.addresses.callers, request, budget);
            if let Ok(program) = within(request).await {
                world.track(Tracked {
                    id: program.id.clone(),
                    root: program.id.clone(),
                    account: 0,
                    limit: TOKENS,
                });
                return Some(program.id);
            }
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    None
}

/// Sends a poisoned request through all instances and as two programs.
///
/// Returns how often it crashed an engine.
pub(crate) async fn poison(world: Arc<World>, seed: u64) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let before = poisonings(&world);
    let input = format!("POISON {:016x}", random.random::<u64>());
    for number in 0..PROGRAMS {
        let request = format!("poison-{seed}-{number}");
        let Some(program) = create(&world, &request, SENDS * 2, &mut random).await else {
            continue;
        };
        for send in 0..SENDS / PROGRAMS {
            let request = format!("poison-{number}-{send}");
            let call = caller::call_request(&request, 0, name::MODEL, &input);
            if let Some(at) = world.any(&mut random) {
                world.call(at.addresses.callers, 0, &program, &call).await;
            }
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }
    poisonings(&world) - before
}

fn poisonings(world: &World) -> u64 {
    world
        .engines
        .iter()
        .map(|engine| engine.poison_crashes())
        .sum()
}

/// Makes calls without end; returns 1 once the program's budget has ended it.
pub(crate) async fn endless(world: Arc<World>, seed: u64) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let request = format!("loop-{seed}");
    let Some(program) = create(&world, &request, LOOP_TURNS, &mut random).await else {
        return 0;
    };
    let mut position = 0;
    for number in 0..LOOP_LIMIT {
        let request = format!("again-{number}");
        let input = format!("{request} of {program}");
        let call = caller::call_request(&request, position, name::MODEL, &input);
        let Some(at) = world.any(&mut random) else {
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
            continue;
        };
        let outcome = world.call(at.addresses.callers, 0, &program, &call).await;
        match outcome {
            Outcome::Final(_) => position += 1,
            Outcome::Refused(error) if matches!(error.kind, Kind::BudgetExceeded | Kind::Ended) => {
                return 1;
            }
            _ => tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await,
        }
    }
    0
}
