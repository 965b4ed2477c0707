//! What the tasks of a trial share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use basilramp_wire::api::{Call, Program};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::caller::{self, CallResponse, Failure};
use crate::cluster::Cluster;
use crate::engine::Engine;
use crate::history::{Entry, Operation, Outcome, Recorder};
use crate::launcher::Addresses;
use crate::operator;
use crate::service::Service;

/// The longest that a caller waits for an answer.
const REQUEST_TIMEOUT_MS: u64 = 15_000;

/// A running instance, as callers see it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen {
    /// Numbers the starts of all instances.
    pub(crate) start: usize,
    pub(crate) addresses: Addresses,
}

/// A program that a caller created.
#[derive(Clone, Debug)]
pub(crate) struct Tracked {
    pub(crate) id: String,
    pub(crate) root: String,
    pub(crate) account: usize,
    /// The tree's budget in tokens.
    pub(crate) limit: u64,
}

/// What the tasks of a trial share.
#[derive(Debug)]
pub(crate) struct World {
    seen: Mutex<Vec<Option<Seen>>>,
    programs: Mutex<Vec<Tracked>>,
    starts: AtomicUsize,
    pub(crate) recorder: Recorder,
    pub(crate) clients: Vec<caller::Client>,
    pub(crate) operators: Vec<operator::Client>,
    pub(crate) engines: Vec<Arc<Engine>>,
    pub(crate) registry: Arc<Service>,
    pub(crate) store: Arc<Service>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    pub(crate) fn open(cluster: &Cluster) -> Self {
        let world = Self {
            seen: Mutex::new(vec![None; cluster.instances.len()]),
            programs: Mutex::default(),
            starts: AtomicUsize::new(0),
            recorder: Recorder::default(),
            clients: (0..2).map(|account| cluster.caller(account)).collect(),
            operators: (0..2).map(|number| cluster.operator(number)).collect(),
            engines: cluster.engines.clone(),
            registry: Arc::clone(&cluster.registry),
            store: Arc::clone(&cluster.store),
        };
        for (index, instance) in cluster.instances.iter().enumerate() {
            world.show(index, instance.addresses());
        }
        world
    }

    /// Shows callers a new start of an instance, or hides it from them.
    pub(crate) fn show(&self, index: usize, addresses: Option<Addresses>) {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let seen = addresses.map(|addresses| Seen { start, addresses });
        lock(&self.seen)[index] = seen;
    }

    /// Returns the instances that callers see.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        lock(&self.seen).iter().flatten().copied().collect()
    }

    /// Returns an instance that callers see, by chance.
    pub(crate) fn any(&self, random: &mut ChaCha8Rng) -> Option<Seen> {
        let seen = self.seen();
        if seen.is_empty() {
            return None;
        }
        let index = random.random_range(0..seen.len());
        seen.get(index).copied()
    }

    pub(crate) fn track(&self, program: Tracked) {
        lock(&self.programs).push(program);
    }

    pub(crate) fn programs(&self) -> Vec<Tracked> {
        lock(&self.programs).clone()
    }

    fn record(&self, operation: Operation, began: Instant, outcome: Outcome, streamed: String) {
        self.recorder.record(Entry {
            operation,
            began,
            ended: Instant::now(),
            outcome,
            streamed,
        });
    }

    /// Runs a call and records it.
    pub(crate) async fn call(
        &self,
        at: SocketAddr,
        account: usize,
        program: &str,
        call: &Call,
    ) -> Outcome {
        let began = Instant::now();
        let request = self.clients[account].call(at, program, call);
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let answer = tokio::time::timeout(limit, request).await;
        let answer = answer.unwrap_or_else(|_| CallResponse {
            events: Vec::new(),
            result: Err(Failure::Broken("the caller waited no longer".into())),
            duration_ms: REQUEST_TIMEOUT_MS,
        });
        let streamed = answer.token_text();
        let outcome = match answer.result {
            Ok(last) => Outcome::Final(last),
            Err(failure) => Outcome::failed(failure),
        };
        let operation = Operation::Call {
            program: program.to_owned(),
            call: call.clone(),
        };
        self.record(operation, began, outcome.clone(), streamed);
        outcome
    }

    /// Reads a program and records it.
    pub(crate) async fn read(&self, at: SocketAddr, account: usize, program: &str) -> Outcome {
        let operation = Operation::Read {
            program: program.to_owned(),
        };
        let request = self.clients[account].get_program(at, program);
        self.program(operation, request).await
    }

    /// Ends a program and records it.
    pub(crate) async fn end(&self, at: SocketAddr, account: usize, program: &str) -> Outcome {
        let operation = Operation::End {
            program: program.to_owned(),
        };
        let request = self.clients[account].end_program(at, program);
        self.program(operation, request).await
    }

    async fn program(
        &self,
        operation: Operation,
        request: impl Future<Output = Result<Program, Failure>>,
    ) -> Outcome {
        let began = Instant::now();
        let outcome = match within(request).await {
            Ok(program) => Outcome::Program(program),
            Err(failure) => Outcome::failed(failure),
        };
        self.record(operation, began, outcome.clone(), String::new());
        outcome
    }

    /// Runs an operator's request that yields a version, and records it.
    pub(crate) async fn version(
        &self,
        operation: Operation,
        request: impl Future<Output = Result<u64, Failure>>,
    ) -> Outcome {
        let began = Instant::now();
        let outcome = match within(request).await {
            Ok(version) => Outcome::Version(version),
            Err(failure) => Outcome::failed(failure),
        };
        self.record(operation, began, outcome.clone(), String::new());
        outcome
    }
}

/// Gives a request up after the callers' time-out.
pub(crate) async fn within<T>(
    request: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
    let answer = tokio::time::timeout(limit, request).await;
    answer.unwrap_or_else(|_| Err(Failure::Broken("the caller waited no longer".into())))
}
