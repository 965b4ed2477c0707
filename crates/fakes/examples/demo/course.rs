//! The course of one program: its calls, and what it takes to get each one answered.

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

use crate::story;

/// The longest that one request is insisted on.
const PATIENCE_MS: u64 = 30_000;

/// Time before a request is sent again.
const RETRY_MS: u64 = 200;

/// What the programs share: the instances that run, and a clock.
pub(crate) struct Stage {
    start: Instant,
    instances: Mutex<Vec<(String, Option<SocketAddr>)>>,
    operators: Vec<SocketAddr>,
    next: AtomicUsize,
    under_way: Mutex<Vec<String>>,
    pub(crate) clients: Vec<Client>,
    operator: operator::Client,
    pub(crate) registry: Arc<Service>,
    pub(crate) store: Arc<Service>,
}

impl Stage {
    pub(crate) fn open(cluster: &Cluster) -> Self {
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
            under_way: Mutex::default(),
            clients: (0..2).map(|account| cluster.caller(account)).collect(),
            operator: cluster.operator(0),
            registry: Arc::clone(&cluster.registry),
            store: Arc::clone(&cluster.store),
        }
    }

    /// Prints a line with the time since the start.
    pub(crate) fn say(&self, text: &str) {
        println!("{:>8.3} s  {text}", self.start.elapsed().as_secs_f64());
    }

    /// Takes an instance from those that requests go to.
    pub(crate) fn hide(&self, index: usize) {
        let mut instances = self
            .instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        instances[index].1 = None;
    }

    /// Returns the next running instance, in turn.
    pub(crate) fn any(&self) -> Result<(String, SocketAddr)> {
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
        chosen.ok_or_else(|| eyre!("no instance runs"))
    }

    /// Returns the root programs that have not made all their calls.
    pub(crate) fn under_way(&self) -> Vec<String> {
        let under_way = self
            .under_way
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        under_way.clone()
    }

    fn mark(&self, program: &str, under_way: bool) {
        let mut programs = self
            .under_way
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        programs.retain(|other| other != program);
        if under_way {
            programs.push(program.to_owned());
        }
    }

    /// Settles a call in doubt by what its service really did.
    async fn settle(&self, program: &str, turn: &Turn) {
        let (service, path) = story::tool(self, &turn.service);
        let ran = service
            .effects()
            .iter()
            .any(|effect| effect.body == turn.input);
        let output = match ran {
            true => service::response_text(path, &turn.input),
            false => String::new(),
        };
        self.say(&format!(
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

/// A call that was answered.
pub(crate) struct Answered {
    pub(crate) input: String,
    pub(crate) service: String,
    pub(crate) output: String,
}

/// A program and what it has done so far.
pub(crate) struct Course {
    pub(crate) name: String,
    pub(crate) account: usize,
    pub(crate) program: String,
    pub(crate) calls: u32,
    pub(crate) took_ms: u64,
    pub(crate) usage: Usage,
    pub(crate) spent: u64,
    pub(crate) limit: u64,
    pub(crate) answers: Vec<Answered>,
    /// The longest time between two answers, in milliseconds.
    pub(crate) longest_gap_ms: u64,
    stage: Arc<Stage>,
    start: Instant,
    last: Instant,
    /// Why the present call was sent again last, to say so once.
    said: Option<Failure>,
}

impl Course {
    /// Creates a program, or a sub-agent of a parent.
    pub(crate) async fn start(
        stage: Arc<Stage>,
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
        let client = stage.clients[account].clone();
        let request = |at| {
            let (client, create) = (client.clone(), create.clone());
            async move { client.create_program(at, &create).await }
        };
        let program = insist(&stage, request).await?;
        if parent.is_none() {
            stage.mark(&program.id, true);
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
            said: None,
            stage,
        })
    }

    /// Makes the next call and insists on its answer.
    pub(crate) async fn call(&mut self, service: &str, input: String) -> Result<String> {
        let position = self.calls;
        let call = caller::call_request(
            &format!("{}-{position}", self.name),
            position,
            service,
            &input,
        );
        let began = Instant::now();
        let limit = began + Duration::from_millis(PATIENCE_MS);
        loop {
            let (id, at) = self.stage.any()?;
            let client = &self.stage.clients[self.account];
            let answer = client.call(at, &self.program, &call).await;
            match answer.result {
                Ok(last) => {
                    self.answered(&id, service, input, &last, began);
                    return Ok(last.output);
                }
                Err(failure) if Instant::now() >= limit => {
                    return Err(eyre!("{}/{position}: {failure}", self.name));
                }
                Err(failure) => self.again(&id, position, &failure).await,
            }
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }

    fn answered(
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
        self.stage.say(&line);
        self.longest_gap_ms = self
            .longest_gap_ms
            .max(self.last.elapsed().as_millis() as u64);
        self.last = Instant::now();
        self.said = None;
        self.calls += 1;
        self.usage.prompt += last.usage.prompt;
        self.usage.cached += last.usage.cached;
        self.usage.output += last.usage.output;
        self.answers.push(Answered {
            input,
            service: service.to_owned(),
            output: last.output.clone(),
        });
    }

    /// Says why a call is sent again; has it settled first if it is in doubt.
    async fn again(&mut self, id: &str, position: u32, failure: &Failure) {
        let ran = match failure {
            Failure::Rejected(error) => error.ran,
            Failure::NotSent => Executed::No,
            Failure::Broken(_) | Failure::Malformed(_) => Executed::Unknown,
        };
        let line = format!(
            "{:<10} sent again after {id}: {failure} (ran: {ran:?})",
            self.name
        );
        self.stage.say(&line);
        let in_doubt = matches!(failure, Failure::Rejected(error) if error.kind == Kind::InDoubt);
        if in_doubt
            && let Ok(read) = self.read().await
            && let Some(turn) = read.turns.get(position as usize)
        {
            self.stage.settle(&self.program, turn).await;
        }
    }

    /// Reads the program through any instance.
    pub(crate) async fn read(&self) -> Result<Program> {
        let request = |at| {
            let client = self.stage.clients[self.account].clone();
            let program = self.program.clone();
            async move { client.get_program(at, &program).await }
        };
        insist(&self.stage, request).await
    }

    /// Ends the program.
    pub(crate) async fn end(&self) -> Result<Program> {
        let request = |at| {
            let client = self.stage.clients[self.account].clone();
            let program = self.program.clone();
            async move { client.end_program(at, &program).await }
        };
        insist(&self.stage, request).await
    }

    /// Closes the course once all calls are answered.
    pub(crate) async fn close(mut self) -> Result<Self> {
        self.took_ms = self.start.elapsed().as_millis() as u64;
        self.stage.mark(&self.program, false);
        self.spent = self.read().await?.spent;
        Ok(self)
    }
}

/// Sends a request to one instance after another until it is answered.
async fn insist<F>(stage: &Stage, request: impl Fn(SocketAddr) -> F) -> Result<Program>
where
    F: Future<Output = Result<Program, Failure>>,
{
    let limit = Instant::now() + Duration::from_millis(PATIENCE_MS);
    loop {
        let (_, at) = stage.any()?;
        match request(at).await {
            Ok(program) => return Ok(program),
            Err(failure) if Instant::now() >= limit => return Err(eyre!("{failure}")),
            Err(_) => tokio::time::sleep(Duration::from_millis(RETRY_MS)).await,
        }
    }
}

/// Tells whether a service is one whose calls must not be repeated.
pub(crate) fn is_unrepeatable(service: &str) -> bool {
    [name::REGISTER, name::ORDER, story::PAY].contains(&service)
}
