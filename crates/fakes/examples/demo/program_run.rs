//! Runs one program: makes its calls and retries each one until it is answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use basilramp_fakes::caller::{self, Client, Failure};
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_fakes::operator;
use basilramp_fakes::service::{self, Service};
use basilramp_wire::api::{Budget, CreateProgram, FinalEvent, Program, Turn, Usage};
use basilramp_wire::error::{Executed, Kind};
use basilramp_wire::frame::Settlement;
use eyre::{Result, eyre};

use crate::scenarios;

/// Time for which one request is retried.
const REQUEST_TIMEOUT_MS: u64 = 30_000;

/// Delay before a request is retried.
const RETRY_DELAY_MS: u64 = 200;

/// State shared by the programs: the running instances, clients, services and the start time.
pub(crate) struct Environment {
    start: Instant,
    instances: Mutex<Vec<(String, Option<SocketAddr>)>>,
    operators: Vec<SocketAddr>,
    next: AtomicUsize,
    running_programs: Mutex<Vec<String>>,
    pub(crate) clients: Vec<Client>,
    operator: operator::Client,
    pub(crate) registry: Arc<Service>,
    pub(crate) store: Arc<Service>,
}

impl Environment {
    pub(crate) fn new(cluster: &Cluster) -> Self {
        let count = cluster.instances.len();
        let instances = (0..count).map(|index| {
            let id = cluster.instances[index].id.clone();
            (id, cluster.caller_address(index))
        });
        Self {
            start: Instant::now(),
            instances: Mutex::new(instances.collect()),
            operators: (0..count)
                .filter_map(|index| cluster.operator_address(index))
                .collect(),
            next: AtomicUsize::new(0),
            running_programs: Mutex::default(),
            clients: (0..2).map(|account| cluster.caller(account)).collect(),
            operator: cluster.operator(0),
            registry: Arc::clone(&cluster.registry),
            store: Arc::clone(&cluster.store),
        }
    }

    /// Prints a line with the time since the start.
    pub(crate) fn log(&self, text: &str) {
        println!("{:>8.3} s  {text}", self.start.elapsed().as_secs_f64());
    }

    /// Stops sending requests to an instance.
    pub(crate) fn remove_instance(&self, index: usize) {
        let mut instances = self
            .instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        instances[index].1 = None;
    }

    /// Returns the next running instance, round robin.
    pub(crate) fn next_instance(&self) -> Result<(String, SocketAddr)> {
        let instances = self
            .instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let running = instances
            .iter()
            .filter_map(|(id, at)| Some((id.clone(), (*at)?)));
        let running: Vec<_> = running.collect();
        let index = self.next.fetch_add(1, Ordering::Relaxed) % running.len().max(1);
        let chosen = running.get(index).cloned();
        chosen.ok_or_else(|| eyre!("no instance is running"))
    }

    /// Returns the root programs that have not made all their calls.
    pub(crate) fn running_programs(&self) -> Vec<String> {
        let running_programs = self
            .running_programs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        running_programs.clone()
    }

    fn set_running(&self, program: &str, running_programs: bool) {
        let mut programs = self
            .running_programs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        programs.retain(|other| other != program);
        if running_programs {
            programs.push(program.to_owned());
        }
    }

    /// Settles a call in doubt according to the records of its service.
    async fn settle(&self, program: &str, turn: &Turn) {
        let (service, path) = scenarios::service_and_path(self, &turn.service);
        let ran = service
            .effects()
            .iter()
            .any(|effect| effect.body == turn.input);
        let output = match ran {
            true => service::response_text(path, &turn.input),
            false => String::new(),
        };
        self.log(&format!(
            "an operator settles {program}/{}: ran {ran}",
            turn.position
        ));
        let settlement = Settlement {
            position: turn.position,
            ran,
            output,
            reason: "looked at the service".to_owned(),
        };
        for at in &self.operators {
            if self
                .operator
                .settle_call(*at, program, &settlement)
                .await
                .is_ok()
            {
                return;
            }
        }
    }
}

/// A call that returned an output.
pub(crate) struct CompletedCall {
    pub(crate) input: String,
    pub(crate) service: String,
    pub(crate) output: String,
}

/// A program with the results of its calls so far.
pub(crate) struct ProgramRun {
    pub(crate) name: String,
    pub(crate) account: usize,
    pub(crate) program: String,
    pub(crate) calls: u32,
    pub(crate) took_ms: u64,
    pub(crate) usage: Usage,
    pub(crate) spent: u64,
    pub(crate) limit: u64,
    pub(crate) answers: Vec<CompletedCall>,
    /// Longest time between two responses, in milliseconds.
    pub(crate) longest_gap_ms: u64,
    environment: Arc<Environment>,
    start: Instant,
    last: Instant,
    /// Last failure of the current call.
    last_failure: Option<Failure>,
}

impl ProgramRun {
    /// Creates a program, or a sub-agent of a parent.
    pub(crate) async fn start(
        environment: Arc<Environment>,
        account: usize,
        name: String,
        budget: Option<Budget>,
        parent: Option<&str>,
    ) -> Result<Self> {
        let create = CreateProgram {
            request_id: format!("create-{name}"),
            budget,
            parent: parent.map(str::to_owned),
        };
        let client = environment.clients[account].clone();
        let request = |at| {
            let (client, create) = (client.clone(), create.clone());
            async move { client.create_program(at, &create).await }
        };
        let program = retry_until_ok(&environment, request).await?;
        if parent.is_none() {
            environment.set_running(&program.id, true);
        }
        Ok(Self {
            name,
            account,
            program: program.id,
            calls: 0,
            took_ms: 0,
            usage: Usage::default(),
            spent: 0,
            limit: program.budget.tokens,
            answers: Vec::new(),
            longest_gap_ms: 0,
            start: Instant::now(),
            last: Instant::now(),
            last_failure: None,
            environment,
        })
    }

    /// Makes the next call and retries it until it returns an output.
    pub(crate) async fn call(&mut self, service: &str, input: String) -> Result<String> {
        let position = self.calls;
        let call = caller::call_request(
            &format!("{}-{position}", self.name),
            position,
            service,
            &input,
        );
        let began = Instant::now();
        let limit = began + Duration::from_millis(REQUEST_TIMEOUT_MS);
        loop {
            let (id, at) = self.environment.next_instance()?;
            let client = &self.environment.clients[self.account];
            let answer = client.call(at, &self.program, &call).await;
            match answer.result {
                Ok(last) => {
                    self.record_response(&id, service, input, &last, began);
                    return Ok(last.output);
                }
                Err(failure) if Instant::now() >= limit => {
                    return Err(eyre!("{}/{position}: {failure}", self.name));
                }
                Err(failure) => self.handle_failure(&id, position, &failure).await,
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }

    fn record_response(
        &mut self,
        id: &str,
        service: &str,
        input: String,
        last: &FinalEvent,
        began: Instant,
    ) {
        let ms = began.elapsed().as_millis();
        let recorded = if last.recorded {
            " (recorded before)"
        } else {
            ""
        };
        let line = format!(
            "{:<10} {service:<17} via {id} {ms:>5} ms{recorded}",
            self.name
        );
        self.environment.log(&line);
        self.longest_gap_ms = self
            .longest_gap_ms
            .max(self.last.elapsed().as_millis() as u64);
        self.last = Instant::now();
        self.last_failure = None;
        self.calls += 1;
        self.usage.prompt += last.usage.prompt;
        self.usage.cached += last.usage.cached;
        self.usage.output += last.usage.output;
        self.answers.push(CompletedCall {
            input,
            service: service.to_owned(),
            output: last.output.clone(),
        });
    }

    /// Logs why a call is retried, and settles the call first if it is in doubt.
    async fn handle_failure(&mut self, id: &str, position: u32, failure: &Failure) {
        let ran = match failure {
            Failure::Rejected(error) => error.ran,
            Failure::NotSent => Executed::No,
            Failure::Broken(_) | Failure::Malformed(_) => Executed::Unknown,
        };
        let line = format!(
            "{:<10} retried after {id}: {failure} (ran: {ran:?})",
            self.name
        );
        self.environment.log(&line);
        let in_doubt = matches!(failure, Failure::Rejected(error) if error.kind == Kind::InDoubt);
        if in_doubt
            && let Ok(read) = self.read().await
            && let Some(turn) = read.turns.get(position as usize)
        {
            self.environment.settle(&self.program, turn).await;
        }
    }

    /// Reads the program through any instance.
    pub(crate) async fn read(&self) -> Result<Program> {
        let request = |at| {
            let client = self.environment.clients[self.account].clone();
            let program = self.program.clone();
            async move { client.get_program(at, &program).await }
        };
        retry_until_ok(&self.environment, request).await
    }

    /// Ends the program.
    pub(crate) async fn end(&self) -> Result<Program> {
        let request = |at| {
            let client = self.environment.clients[self.account].clone();
            let program = self.program.clone();
            async move { client.end_program(at, &program).await }
        };
        retry_until_ok(&self.environment, request).await
    }

    /// Records the duration and the usage after the last call.
    pub(crate) async fn finish(mut self) -> Result<Self> {
        self.took_ms = self.start.elapsed().as_millis() as u64;
        self.environment.set_running(&self.program, false);
        self.spent = self.read().await?.spent;
        Ok(self)
    }
}

/// Sends a request to one instance after another until it succeeds.
async fn retry_until_ok<F>(
    environment: &Environment,
    request: impl Fn(SocketAddr) -> F,
) -> Result<Program>
where
    F: Future<Output = Result<Program, Failure>>,
{
    let limit = Instant::now() + Duration::from_millis(REQUEST_TIMEOUT_MS);
    loop {
        let (_, at) = environment.next_instance()?;
        match request(at).await {
            Ok(program) => return Ok(program),
            Err(failure) if Instant::now() >= limit => return Err(eyre!("{failure}")),
            Err(_) => tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await,
        }
    }
}

/// Returns whether calls of a service must not be repeated.
pub(crate) fn is_unrepeatable(service: &str) -> bool {
    [name::REGISTER, name::ORDER, scenarios::PAYMENT].contains(&service)
}
