//! State shared by the tasks of a trial: instances, programs, clients and the recorder.

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

/// Time limit for a request of a caller or operator.
const REQUEST_TIMEOUT_MS: u64 = 15_000;

/// A running instance that callers send requests to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VisibleInstance {
    /// Distinguishes starts; each start of any instance gets a new number.
    pub(crate) start_number: usize,
    pub(crate) addresses: Addresses,
}

/// A program that a caller created.
#[derive(Clone, Debug)]
pub(crate) struct TrackedProgram {
    pub(crate) id: String,
    pub(crate) root: String,
    pub(crate) account: usize,
    /// The tree's budget in tokens.
    pub(crate) token_limit: u64,
}

/// State shared by the tasks of a trial.
#[derive(Debug)]
pub(crate) struct Environment {
    instances: Mutex<Vec<Option<VisibleInstance>>>,
    programs: Mutex<Vec<TrackedProgram>>,
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

impl Environment {
    pub(crate) fn new(cluster: &Cluster) -> Self {
        let environment = Self {
            instances: Mutex::new(vec![None; cluster.instances.len()]),
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
            environment.set_visible(index, instance.addresses());
        }
        environment
    }

    /// Lets callers use a new start of an instance, or stops them from using it.
    pub(crate) fn set_visible(&self, index: usize, addresses: Option<Addresses>) {
        let start_number = self.starts.fetch_add(1, Ordering::Relaxed);
        let instance = addresses.map(|addresses| VisibleInstance {
            start_number,
            addresses,
        });
        lock(&self.instances)[index] = instance;
    }

    /// Returns the instances that callers may use.
    pub(crate) fn visible_instances(&self) -> Vec<VisibleInstance> {
        lock(&self.instances).iter().flatten().copied().collect()
    }

    /// Returns a random instance that callers may use.
    pub(crate) fn pick_instance(&self, random: &mut ChaCha8Rng) -> Option<VisibleInstance> {
        let instances = self.visible_instances();
        if instances.is_empty() {
            return None;
        }
        let index = random.random_range(0..instances.len());
        instances.get(index).copied()
    }

    pub(crate) fn track_program(&self, program: TrackedProgram) {
        lock(&self.programs).push(program);
    }

    pub(crate) fn tracked_programs(&self) -> Vec<TrackedProgram> {
        lock(&self.programs).clone()
    }

    fn record(
        &self,
        operation: Operation,
        started_at: Instant,
        outcome: Outcome,
        streamed: String,
    ) {
        self.recorder.record(Entry {
            operation,
            started_at,
            completed_at: Instant::now(),
            outcome,
            streamed,
        });
    }

    /// Sends a call and records it.
    pub(crate) async fn send_call(
        &self,
        at: SocketAddr,
        account: usize,
        program: &str,
        call: &Call,
    ) -> Outcome {
        let started_at = Instant::now();
        let request = self.clients[account].call(at, program, call);
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let answer = tokio::time::timeout(limit, request).await;
        let answer = answer.unwrap_or_else(|_| CallResponse {
            events: Vec::new(),
            result: Err(Failure::Broken("the request timed out".into())),
            duration_ms: REQUEST_TIMEOUT_MS,
        });
        let streamed = answer.token_text();
        let outcome = match answer.result {
            Ok(response) => Outcome::Final(response),
            Err(failure) => Outcome::from_failure(failure),
        };
        let operation = Operation::Call {
            program: program.to_owned(),
            call: call.clone(),
        };
        self.record(operation, started_at, outcome.clone(), streamed);
        outcome
    }

    /// Reads a program and records it.
    pub(crate) async fn read_program(
        &self,
        at: SocketAddr,
        account: usize,
        program: &str,
    ) -> Outcome {
        let operation = Operation::Read {
            program: program.to_owned(),
        };
        let request = self.clients[account].get_program(at, program);
        self.request_program(operation, request).await
    }

    /// Ends a program and records it.
    pub(crate) async fn end_program(
        &self,
        at: SocketAddr,
        account: usize,
        program: &str,
    ) -> Outcome {
        let operation = Operation::End {
            program: program.to_owned(),
        };
        let request = self.clients[account].end_program(at, program);
        self.request_program(operation, request).await
    }

    async fn request_program(
        &self,
        operation: Operation,
        request: impl Future<Output = Result<Program, Failure>>,
    ) -> Outcome {
        let started_at = Instant::now();
        let outcome = match with_timeout(request).await {
            Ok(program) => Outcome::Program(program),
            Err(failure) => Outcome::from_failure(failure),
        };
        self.record(operation, started_at, outcome.clone(), String::new());
        outcome
    }

    /// Runs an operator's request that returns a configuration version, and records it.
    pub(crate) async fn request_version(
        &self,
        operation: Operation,
        request: impl Future<Output = Result<u64, Failure>>,
    ) -> Outcome {
        let started_at = Instant::now();
        let outcome = match with_timeout(request).await {
            Ok(version) => Outcome::Version(version),
            Err(failure) => Outcome::from_failure(failure),
        };
        self.record(operation, started_at, outcome.clone(), String::new());
        outcome
    }
}

/// Cancels a request after `REQUEST_TIMEOUT_MS`.
pub(crate) async fn with_timeout<T>(
    request: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
    let answer = tokio::time::timeout(limit, request).await;
    answer.unwrap_or_else(|_| Err(Failure::Broken("the request timed out".into())))
}
