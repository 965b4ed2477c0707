//! A planned stop of every instance in turn under load must not interrupt any request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_fakes::cluster::{Cluster, Options, name};
use basilramp_fakes::{Launcher, Process, caller, engine};
use tokio::time::{Instant, sleep};

/// The number of concurrent programs.
const PROGRAMS: usize = 6;

/// The maximum time in milliseconds for one instance to stop: the configured stop timeout and the
/// time in which load balancers notice that it is not ready.
const MAX_STOP_MS: u64 = 40_000;

/// The time between two readiness polls of the load balancer.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A load balancer that routes requests to the instances which report that they are ready.
#[derive(Clone, Debug, Default)]
struct LoadBalancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
}

impl LoadBalancer {
    fn select(&self, number: usize) -> SocketAddr {
        let ready = self.ready.lock().unwrap();
        ready[number % ready.len()]
    }

    /// Polls the readiness of every instance once.
    async fn poll_readiness(&self, cluster: &Cluster) {
        let operator = cluster.operator(0);
        let mut ready = Vec::new();
        for index in 0..cluster.instances.len() {
            let Some(addresses) = cluster.instances[index].addresses() else {
                continue;
            };
            if operator.is_ready(addresses.operators).await {
                ready.push(addresses.callers);
            }
        }
        *self.ready.lock().unwrap() = ready;
    }
}

/// Runs the calls of one program in order until `stop` is set, and returns its id and the outputs.
async fn run_program(
    client: caller::Client,
    balancer: LoadBalancer,
    number: usize,
    stop: Arc<AtomicBool>,
) -> (String, Vec<String>) {
    let budget = caller::program_budget(1_000_000);
    let address = balancer.select(number);
    let program = client
        .create_root(address, &format!("r{number}"), budget)
        .await
        .unwrap();
    let mut outputs = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let position = outputs.len() as u32;
        let service = if position % 4 == 3 {
            name::REGISTER
        } else {
            name::MODEL
        };
        let input = format!("question {position} of program {number}");
        let call = caller::call_request(&format!("c{position}"), position, service, &input);
        let address = balancer.select(number + outputs.len());
        let response = client.call(address, &program.id, &call).await;
        let completed = response
            .result
            .unwrap_or_else(|failure| panic!("program {number} position {position}: {failure:?}"));
        outputs.push(completed.output);
    }
    (program.id, outputs)
}

/// Stops one instance with SIGTERM, waits for its exit and starts it again.
async fn restart_instance(cluster: &mut Cluster, index: usize, balancer: &LoadBalancer) {
    process_mut(cluster, index).terminate().unwrap();
    let deadline = Instant::now() + Duration::from_millis(MAX_STOP_MS);
    let status = loop {
        balancer.poll_readiness(cluster).await;
        if let Some(status) = process_mut(cluster, index).exit_status().unwrap() {
            break status;
        }
        assert!(
            Instant::now() < deadline,
            "the instance did not stop in time"
        );
        sleep(POLL_INTERVAL).await;
    };
    let output = process_mut(cluster, index).output();
    assert!(status.success(), "{status}: {output:#?}");
    cluster.start_process(index).await.unwrap();
    cluster.wait_until_ready().await.unwrap();
    balancer.poll_readiness(cluster).await;
}

fn process_mut(cluster: &mut Cluster, index: usize) -> &mut Process {
    cluster.instances[index].process.as_mut().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_every_instance_in_turn_interrupts_no_request() {
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    let mut options = Options::new(launcher, 3);
    let engine = engine::Options {
        speed: 1.0,
        ..engine::Options::default()
    };
    options.engines = vec![engine; 2];
    let mut cluster = Cluster::start(options).await.unwrap();
    let balancer = LoadBalancer::default();
    balancer.poll_readiness(&cluster).await;

    let stop = Arc::new(AtomicBool::new(false));
    let programs = (0..PROGRAMS).map(|number| {
        let client = cluster.caller(0);
        tokio::spawn(run_program(client, balancer.clone(), number, stop.clone()))
    });
    let programs: Vec<_> = programs.collect();
    for index in 0..3 {
        restart_instance(&mut cluster, index, &balancer).await;
    }
    stop.store(true, Ordering::Relaxed);

    let client = cluster.caller(0);
    let mut registrations = 0;
    for program in programs {
        let (id, outputs) = program.await.unwrap();
        let read = client.get_program(balancer.select(0), &id).await.unwrap();
        let recorded: Vec<_> = read.turns.iter().map(|turn| turn.output.clone()).collect();
        assert_eq!(recorded, outputs);
        let registered = read
            .turns
            .iter()
            .filter(|turn| turn.service == name::REGISTER);
        registrations += registered.count();
    }
    assert!(
        registrations > 0,
        "no program called the unrepeatable service"
    );
    assert_eq!(cluster.registry.effects().len(), registrations);
}
