//! A caller: creates a program, makes its calls in order, and insists on each one.

use std::sync::Arc;
use std::time::Duration;

use basilramp_wire::api::{Budget, Call, CreateProgram, Program, Turn};
use basilramp_wire::error::{Executed, Kind};
use basilramp_wire::frame::Settlement;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::world::{Tracked, World, within};
use crate::caller;
use crate::cluster::{ORDER_PATH, REGISTER_PATH, name};
use crate::history::Outcome;
use crate::service;

/// Tokens of an ample budget.
const AMPLE: u64 = 1_000_000;

/// Tokens of a budget that does not cover all calls.
const TIGHT: u64 = 1_500;

/// Every so many callers one has a tight budget.
const TIGHT_EVERY: usize = 4;

/// The share of calls whose caller takes provisional answers.
const PROVISIONAL: f64 = 0.15;

/// Calls of each sub-agent.
const CHILD_TURNS: u32 = 2;

/// Time before a refused request is sent again.
const RETRY_MS: u64 = 150;

/// The longest time between two calls of a program.
const THINK_MS: u64 = 400;

/// Time that an operator waits before looking what became of a call in doubt.
const SETTLE_WAIT_MS: u64 = 1_500;

/// What a step came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The next call is at this position.
    Next(u32),
    /// The program makes no more calls.
    Over,
}

/// A caller's work.
#[derive(Debug)]
pub(crate) struct Script {
    world: Arc<World>,
    random: ChaCha8Rng,
    number: usize,
    account: usize,
    turns: u32,
    limit: u64,
    requests: u64,
}

impl Script {
    pub(crate) fn new(world: Arc<World>, number: usize, seed: u64, turns: u32) -> Self {
        let account = number % world.clients.len();
        let tight = number % TIGHT_EVERY == TIGHT_EVERY - 1;
        Self {
            world,
            random: ChaCha8Rng::seed_from_u64(seed),
            number,
            account,
            turns,
            limit: if tight { TIGHT } else { AMPLE },
            requests: 0,
        }
    }

    /// Does the whole work.
    pub(crate) async fn run(mut self) {
        let budget = caller::program_budget(self.limit);
        let Some(root) = self.create(Some(budget), None).await else {
            return;
        };
        let child_at = self.random.random_range(1..self.turns);
        let mut position = 0;
        while position < self.turns {
            if position == child_at {
                self.spawn(&root).await;
            }
            match self.step(&root, position).await {
                Step::Next(next) => position = next,
                Step::Over => break,
            }
            self.think().await;
        }
    }

    /// Runs a sub-agent to its end.
    async fn spawn(&mut self, root: &str) {
        let Some(child) = self.create(None, Some(root)).await else {
            return;
        };
        let mut position = 0;
        while position < CHILD_TURNS {
            match self.step(&child, position).await {
                Step::Next(next) => position = next,
                Step::Over => break,
            }
        }
    }

    fn request_id(&mut self) -> String {
        self.requests += 1;
        format!("c{}-{}", self.number, self.requests)
    }

    async fn pause(&mut self) {
        let ms = self.random.random_range(RETRY_MS / 2..RETRY_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    async fn think(&mut self) {
        let ms = self.random.random_range(0..THINK_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    /// Creates a program; nothing if its budget does not allow it.
    async fn create(&mut self, budget: Option<Budget>, parent: Option<&str>) -> Option<String> {
        let create = CreateProgram {
            request_id: self.request_id(),
            budget,
            parent: parent.map(str::to_owned),
        };
        loop {
            if let Some(at) = self.world.any(&mut self.random) {
                let client = &self.world.clients[self.account];
                match within(client.create_program(at.addresses.callers, &create)).await {
                    Ok(program) => return Some(self.track(&program, parent)),
                    Err(caller::Failure::Rejected(error)) if is_last(error.kind) => return None,
                    Err(_) => {}
                }
            }
            self.pause().await;
        }
    }

    fn track(&self, program: &Program, parent: Option<&str>) -> String {
        self.world.track(Tracked {
            id: program.id.clone(),
            root: parent.unwrap_or(&program.id).to_owned(),
            account: self.account,
            limit: self.limit,
        });
        program.id.clone()
    }

    /// Insists on one call until it is answered or can't be.
    async fn step(&mut self, program: &str, position: u32) -> Step {
        let call = self.choose(program, position);
        loop {
            let outcome = self.send(program, &call).await;
            match &outcome {
                Outcome::Final(_) => return Step::Next(position + 1),
                Outcome::Refused(error) if is_last(error.kind) => return Step::Over,
                _ => self.pause().await,
            }
            if is_unsure(&outcome)
                && let Some(read) = self.settle(program).await
                && read.next_position != position
            {
                return Step::Next(read.next_position);
            }
        }
    }

    /// Chooses what to call.
    fn choose(&mut self, program: &str, position: u32) -> Call {
        let service = match self.random.random_range(0..100) {
            0..50 => name::MODEL,
            50..58 => name::LOOKUP,
            58..64 => name::STOCK,
            64..82 => name::REGISTER,
            _ => name::ORDER,
        };
        let request = self.request_id();
        let input = format!("{request} of {program} at {position} asks {service}");
        let mut call = caller::call_request(&request, position, service, &input);
        call.provisional = self.random.random_bool(PROVISIONAL);
        call
    }

    /// Sends a call: mostly once, sometimes through two instances, sometimes against a rival.
    async fn send(&mut self, program: &str, call: &Call) -> Outcome {
        let (Some(first), Some(second)) = (
            self.world.any(&mut self.random),
            self.world.any(&mut self.random),
        ) else {
            return Outcome::Unreached;
        };
        let (first, second) = (first.addresses.callers, second.addresses.callers);
        let chance = self.random.random_range(0..100);
        let world = Arc::clone(&self.world);
        if chance >= 20 {
            return world.call(first, self.account, program, call).await;
        }
        let mut other = call.clone();
        if chance < 8 {
            other.request_id = self.request_id();
            other.input = format!("{} as a rival of {}", other.request_id, call.input);
        }
        let one = world.call(first, self.account, program, call);
        let two = world.call(second, self.account, program, &other);
        tokio::join!(one, two).0
    }

    /// Reads a program, if that works now.
    async fn read(&mut self, program: &str) -> Option<Program> {
        let at = self.world.any(&mut self.random)?;
        let read = self.world.read(at.addresses.callers, self.account, program);
        match read.await {
            Outcome::Program(program) => Some(program),
            _ => None,
        }
    }

    /// Reads a program; has an operator settle a call that stays in doubt, and reads it again.
    async fn settle(&mut self, program: &str) -> Option<Program> {
        let before = self.read(program).await?;
        let doubt = before.turns.iter().find(|turn| turn.state == "in_doubt");
        let Some(doubt) = doubt else {
            return Some(before);
        };
        tokio::time::sleep(Duration::from_millis(SETTLE_WAIT_MS)).await;
        let settlement = self.look(doubt);
        if let Some(at) = self.world.any(&mut self.random) {
            let operator = &self.world.operators[0];
            let settled = operator.settle_call(at.addresses.operators, program, &settlement);
            // It may be settled already, or be settled by the next try.
            let _ = within(settled).await;
        }
        self.read(program).await
    }

    /// Returns an operator's word on a call in doubt: what its service really did.
    fn look(&self, turn: &Turn) -> Settlement {
        let (service, path) = match turn.service.as_str() {
            name::REGISTER => (&self.world.registry, REGISTER_PATH),
            _ => (&self.world.store, ORDER_PATH),
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

/// Tells whether a call with this outcome may stand elsewhere than its caller thinks.
fn is_unsure(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Refused(error) => {
            error.ran != Executed::No
                || matches!(error.kind, Kind::OutOfOrder | Kind::HistoryBehind)
        }
        Outcome::Lost(_) => true,
        _ => false,
    }
}

/// Tells whether a refusal of this kind ends a program's calls.
const fn is_last(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::BudgetExceeded | Kind::Ended | Kind::Quarantined | Kind::NotFound
    )
}
