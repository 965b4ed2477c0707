//! Faulty workloads: requests that crash engines, and programs that never stop calling.

use std::sync::Arc;
use std::time::Duration;

use basilramp_wire::api::Budget;
use basilramp_wire::error::Kind;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::environment::{Environment, TrackedProgram, with_timeout};
use crate::caller;
use crate::cluster::name;
use crate::history::Outcome;

/// Number of times that the poisoned request is sent, over all programs.
const POISONED_REQUESTS: u32 = 8;

/// Number of programs that send the poisoned request.
const POISONED_PROGRAMS: u32 = 2;

/// Budget of the endless program in turns.
const ENDLESS_PROGRAM_TURNS: u32 = 6;

/// Maximum number of attempts; well above what the endless program's budget allows.
const MAX_ATTEMPTS: u32 = 60;

/// Delay between two requests.
const SEND_INTERVAL_MS: u64 = 200;

/// Token budget of each program.
const BUDGET_TOKENS: u64 = 1_000_000;

/// Creates a root program; returns `None` if all attempts fail.
async fn create_program(
    environment: &Environment,
    request: &str,
    turns: u32,
    random: &mut ChaCha8Rng,
) -> Option<String> {
    let budget = Budget {
        turns,
        ..caller::program_budget(BUDGET_TOKENS)
    };
    for _ in 0..MAX_ATTEMPTS {
        if let Some(at) = environment.pick_instance(random) {
            let request = environment.clients[0].create_root(at.addresses.callers, request, budget);
            if let Ok(program) = with_timeout(request).await {
                environment.track_program(TrackedProgram {
                    id: program.id.clone(),
                    root: program.id.clone(),
                    account: 0,
                    token_limit: BUDGET_TOKENS,
                });
                return Some(program.id);
            }
        }
        tokio::time::sleep(Duration::from_millis(SEND_INTERVAL_MS)).await;
    }
    None
}

/// Sends a poisoned request from two programs through random instances.
///
/// Returns the number of engine crashes that it caused.
pub(crate) async fn send_poisoned_requests(environment: Arc<Environment>, seed: u64) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let before = crashes_by_poison(&environment);
    let input = format!("POISON {:016x}", random.random::<u64>());
    for number in 0..POISONED_PROGRAMS {
        let request = format!("poison-{seed}-{number}");
        let Some(program) =
            create_program(&environment, &request, POISONED_REQUESTS * 2, &mut random).await
        else {
            continue;
        };
        for send in 0..POISONED_REQUESTS / POISONED_PROGRAMS {
            let request = format!("poison-{number}-{send}");
            let call = caller::call_request(&request, 0, name::MODEL, &input);
            if let Some(at) = environment.pick_instance(&mut random) {
                environment
                    .send_call(at.addresses.callers, 0, &program, &call)
                    .await;
            }
            tokio::time::sleep(Duration::from_millis(SEND_INTERVAL_MS)).await;
        }
    }
    crashes_by_poison(&environment) - before
}

fn crashes_by_poison(environment: &Environment) -> u64 {
    environment
        .engines
        .iter()
        .map(|engine| engine.poison_crashes())
        .sum()
}

/// Makes calls until the program is rejected; returns 1 if its budget ended it, else 0.
pub(crate) async fn run_endless_program(environment: Arc<Environment>, seed: u64) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let request = format!("loop-{seed}");
    let Some(program) =
        create_program(&environment, &request, ENDLESS_PROGRAM_TURNS, &mut random).await
    else {
        return 0;
    };
    let mut position = 0;
    for number in 0..MAX_ATTEMPTS {
        let request = format!("again-{number}");
        let input = format!("{request} of {program}");
        let call = caller::call_request(&request, position, name::MODEL, &input);
        let Some(at) = environment.pick_instance(&mut random) else {
            tokio::time::sleep(Duration::from_millis(SEND_INTERVAL_MS)).await;
            continue;
        };
        let outcome = environment
            .send_call(at.addresses.callers, 0, &program, &call)
            .await;
        match outcome {
            Outcome::Final(_) => position += 1,
            Outcome::Rejected(error)
                if matches!(error.kind, Kind::BudgetExceeded | Kind::Ended) =>
            {
                return 1;
            }
            _ => tokio::time::sleep(Duration::from_millis(SEND_INTERVAL_MS)).await,
        }
    }
    0
}
