//! A scripted caller: creates a program, makes its calls in order, and retries each one.

use std::sync::Arc;
use std::time::Duration;

use basilramp_wire::api::{Budget, Call, CreateProgram, Program, Turn};
use basilramp_wire::error::{Executed, Kind};
use basilramp_wire::frame::Settlement;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::environment::{Environment, TrackedProgram, with_timeout};
use crate::caller;
use crate::cluster::{ORDER_PATH, REGISTER_PATH, name};
use crate::history::Outcome;
use crate::service;

/// Budget that covers all calls, in tokens.
const AMPLE_BUDGET_TOKENS: u64 = 1_000_000;

/// Budget that does not cover all calls, in tokens.
const TIGHT_BUDGET_TOKENS: u64 = 1_500;

/// One in this many callers has a tight budget.
const TIGHT_BUDGET_INTERVAL: usize = 4;

/// Share of calls that accept provisional responses.
const PROVISIONAL_SHARE: f64 = 0.15;

/// Number of calls of each sub-agent.
const CHILD_TURNS: u32 = 2;

/// Maximum delay before a failed request is retried.
const MAX_RETRY_DELAY_MS: u64 = 150;

/// Maximum delay between two calls of a program.
const MAX_THINK_TIME_MS: u64 = 400;

/// Time that an operator waits before settling a call in doubt.
const SETTLEMENT_DELAY_MS: u64 = 1_500;

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The next call has this position.
    Next(u32),
    /// The program makes no more calls.
    Finished,
}

/// Workload of one caller.
#[derive(Debug)]
pub(crate) struct Script {
    environment: Arc<Environment>,
    random: ChaCha8Rng,
    number: usize,
    account: usize,
    turns: u32,
    token_limit: u64,
    request_count: u64,
}

impl Script {
    pub(crate) fn new(environment: Arc<Environment>, number: usize, seed: u64, turns: u32) -> Self {
        let account = number % environment.clients.len();
        let tight = number % TIGHT_BUDGET_INTERVAL == TIGHT_BUDGET_INTERVAL - 1;
        Self {
            environment,
            random: ChaCha8Rng::seed_from_u64(seed),
            number,
            account,
            turns,
            token_limit: if tight {
                TIGHT_BUDGET_TOKENS
            } else {
                AMPLE_BUDGET_TOKENS
            },
            request_count: 0,
        }
    }

    /// Runs the root program with all its calls and sub-agents.
    pub(crate) async fn run(mut self) {
        let budget = caller::program_budget(self.token_limit);
        let Some(root) = self.create_program(Some(budget), None).await else {
            return;
        };
        let child_at = self.random.random_range(1..self.turns);
        let mut position = 0;
        while position < self.turns {
            if position == child_at {
                self.run_sub_agent(&root).await;
            }
            match self.complete_call(&root, position).await {
                Step::Next(next) => position = next,
                Step::Finished => break,
            }
            self.wait_between_calls().await;
        }
    }

    /// Creates a sub-agent and makes its calls.
    async fn run_sub_agent(&mut self, root: &str) {
        let Some(child) = self.create_program(None, Some(root)).await else {
            return;
        };
        let mut position = 0;
        while position < CHILD_TURNS {
            match self.complete_call(&child, position).await {
                Step::Next(next) => position = next,
                Step::Finished => break,
            }
        }
    }

    fn next_request_id(&mut self) -> String {
        self.request_count += 1;
        format!("c{}-{}", self.number, self.request_count)
    }

    async fn wait_before_retry(&mut self) {
        let ms = self
            .random
            .random_range(MAX_RETRY_DELAY_MS / 2..MAX_RETRY_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    async fn wait_between_calls(&mut self) {
        let ms = self.random.random_range(0..MAX_THINK_TIME_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    /// Creates a program; returns `None` if an error is permanent, such as an exhausted budget.
    async fn create_program(
        &mut self,
        budget: Option<Budget>,
        parent: Option<&str>,
    ) -> Option<String> {
        let create = CreateProgram {
            request_id: self.next_request_id(),
            budget,
            parent: parent.map(str::to_owned),
        };
        loop {
            if let Some(at) = self.environment.pick_instance(&mut self.random) {
                let client = &self.environment.clients[self.account];
                match with_timeout(client.create_program(at.addresses.callers, &create)).await {
                    Ok(program) => return Some(self.track_program(&program, parent)),
                    Err(caller::Failure::Rejected(error)) if ends_program(error.kind) => {
                        return None;
                    }
                    Err(_) => {}
                }
            }
            self.wait_before_retry().await;
        }
    }

    fn track_program(&self, program: &Program, parent: Option<&str>) -> String {
        self.environment.track_program(TrackedProgram {
            id: program.id.clone(),
            root: parent.unwrap_or(&program.id).to_owned(),
            account: self.account,
            token_limit: self.token_limit,
        });
        program.id.clone()
    }

    /// Retries one call until it succeeds or fails permanently.
    async fn complete_call(&mut self, program: &str, position: u32) -> Step {
        let call = self.choose_call(program, position);
        loop {
            let outcome = self.send_call(program, &call).await;
            match &outcome {
                Outcome::Final(_) => return Step::Next(position + 1),
                Outcome::Rejected(error) if ends_program(error.kind) => return Step::Finished,
                _ => self.wait_before_retry().await,
            }
            if is_position_uncertain(&outcome)
                && let Some(read) = self.read_after_settlement(program).await
                && read.next_position != position
            {
                return Step::Next(read.next_position);
            }
        }
    }

    /// Chooses a random service and builds the call.
    fn choose_call(&mut self, program: &str, position: u32) -> Call {
        let service = match self.random.random_range(0..100) {
            0..50 => name::MODEL,
            50..58 => name::LOOKUP,
            58..64 => name::STOCK,
            64..82 => name::REGISTER,
            _ => name::ORDER,
        };
        let request = self.next_request_id();
        let input = format!("{request} of {program} at {position} asks {service}");
        let mut call = caller::call_request(&request, position, service, &input);
        call.provisional = self.random.random_bool(PROVISIONAL_SHARE);
        call
    }

    /// Sends a call. In 12 % of cases, sends it twice, through random instances; in 8 %, sends a
    /// competing call for the same position at the same time.
    async fn send_call(&mut self, program: &str, call: &Call) -> Outcome {
        let (Some(first), Some(second)) = (
            self.environment.pick_instance(&mut self.random),
            self.environment.pick_instance(&mut self.random),
        ) else {
            return Outcome::NotSent;
        };
        let (first, second) = (first.addresses.callers, second.addresses.callers);
        let chance = self.random.random_range(0..100);
        let environment = Arc::clone(&self.environment);
        if chance >= 20 {
            return environment
                .send_call(first, self.account, program, call)
                .await;
        }
        let mut other = call.clone();
        if chance < 8 {
            other.request_id = self.next_request_id();
            other.input = format!("{} as a rival of {}", other.request_id, call.input);
        }
        let first_call = environment.send_call(first, self.account, program, call);
        let second_call = environment.send_call(second, self.account, program, &other);
        tokio::join!(first_call, second_call).0
    }

    /// Reads a program through a random instance; `None` if that fails.
    async fn read_program(&mut self, program: &str) -> Option<Program> {
        let at = self.environment.pick_instance(&mut self.random)?;
        let read = self
            .environment
            .read_program(at.addresses.callers, self.account, program);
        match read.await {
            Outcome::Program(program) => Some(program),
            _ => None,
        }
    }

    /// Reads a program. If a call is in doubt, settles it as an operator and reads again.
    async fn read_after_settlement(&mut self, program: &str) -> Option<Program> {
        let before = self.read_program(program).await?;
        let in_doubt = before.turns.iter().find(|turn| turn.state == "in_doubt");
        let Some(in_doubt) = in_doubt else {
            return Some(before);
        };
        tokio::time::sleep(Duration::from_millis(SETTLEMENT_DELAY_MS)).await;
        let settlement = self.decide_settlement(in_doubt);
        if let Some(at) = self.environment.pick_instance(&mut self.random) {
            let operator = &self.environment.operators[0];
            let settled = operator.settle_call(at.addresses.operators, program, &settlement);
            // The call may be settled already, or the next attempt settles it.
            let _ = with_timeout(settled).await;
        }
        self.read_program(program).await
    }

    /// Returns the settlement of a call in doubt, according to the records of its service.
    fn decide_settlement(&self, turn: &Turn) -> Settlement {
        let (service, path) = match turn.service.as_str() {
            name::REGISTER => (&self.environment.registry, REGISTER_PATH),
            _ => (&self.environment.store, ORDER_PATH),
        };
        let mut effects = service.effects().into_iter();
        let ran = effects.any(|effect| effect.body == turn.input);
        let output = if ran {
            service::response_text(path, &turn.input)
        } else {
            String::new()
        };
        Settlement {
            position: turn.position,
            ran,
            output,
            reason: "looked at the service".to_owned(),
        }
    }
}

/// Returns whether the program may be at another position than its caller expects.
fn is_position_uncertain(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Rejected(error) => {
            error.ran != Executed::No
                || matches!(error.kind, Kind::OutOfOrder | Kind::HistoryBehind)
        }
        Outcome::Lost(_) => true,
        _ => false,
    }
}

/// Returns whether an error of this kind ends the calls of a program.
const fn ends_program(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::BudgetExceeded | Kind::Ended | Kind::Quarantined | Kind::NotFound
    )
}
