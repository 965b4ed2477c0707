//! A planned stop of every instance in turn, under load: no request is cut off.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_fakes::cluster::{Cluster, Options, name};
use basilramp_fakes::{Launcher, Process, caller, engine};
use tokio::time::{Instant, sleep};

/// Programs that run at once.
const PROGRAMS: usize = 6;

/// The longest that one instance may take to stop: its settings' bound and the notice.
const STOP_MS: u64 = 40_000;

/// Time between two looks of the balancer.
const BALANCER_POLL: Duration = Duration::from_millis(100);

/// What the platform's balancer does: sends to instances that say they are ready.
#[derive(Clone, Debug, Default)]
struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    fn pick(&self, number: usize) -> SocketAddr {
        let ready = self.ready.lock().unwrap();
        ready[number % ready.len()]
    }

    /// Looks once at every instance.
    async fn look(&self, cluster: &Cluster) {
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

/// Runs one program's calls in order until told to stop, and returns the answers.
async fn run_program(
    trust: caller::Client,
    balancer: Balancer,
    number: usize,
    stop: Arc<AtomicBool>,
) -> (String, Vec<String>) {
    let budget = caller::program_budget(1_000_000);
    let at = balancer.pick(number);
    let program = trust
        .create_root(at, &format!("r{number}"), budget)
        .await
        .unwrap();
    let mut answers = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let position = answers.len() as u32;
        let service = if position % 4 == 3 {
            name::REGISTER
        } else {
            name::MODEL
        };
        let input = format!("question {position} of program {number}");
        let call = caller::call_request(&format!("c{position}"), position, service, &input);
        let at = balancer.pick(number + answers.len());
        let answer = trust.call(at, &program.id, &call).await;
        let done = answer
            .result
            .unwrap_or_else(|failure| panic!("program {number} position {position}: {failure:?}"));
        answers.push(done.output);
    }
    (program.id, answers)
}

/// Stops one instance as planned and starts it again.
async fn roll(cluster: &mut Cluster, index: usize, balancer: &Balancer) {
    process(cluster, index).terminate().unwrap();
    let limit = Instant::now() + Duration::from_millis(STOP_MS);
    let status = loop {
        balancer.look(cluster).await;
        if let Some(status) = process(cluster, index).exit_status().unwrap() {
            break status;
        }
        assert!(Instant::now() < limit, "the stop is overdue");
        sleep(BALANCER_POLL).await;
    };
    let output = process(cluster, index).output();
    assert!(status.success(), "{status}: {output:#?}");
    cluster.start_process(index).await.unwrap();
    cluster.wait_until_ready().await.unwrap();
    balancer.look(cluster).await;
}

fn process(cluster: &mut Cluster, index: usize) -> &mut Process {
    cluster.instances[index].process.as_mut().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_every_instance_in_turn_cuts_off_no_request() {
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
    let balancer = Balancer::default();
    balancer.look(&cluster).await;

    let stop = Arc::new(AtomicBool::new(false));
    let programs = (0..PROGRAMS).map(|number| {
        let trust = cluster.caller(0);
        tokio::spawn(run_program(trust, balancer.clone(), number, stop.clone()))
    });
    let programs: Vec<_> = programs.collect();
    for index in 0..3 {
        roll(&mut cluster, index, &balancer).await;
    }
    stop.store(true, Ordering::Relaxed);

    let trust = cluster.caller(0);
    let mut registrations = 0;
    for program in programs {
        let (id, answers) = program.await.unwrap();
        let read = trust.get_program(balancer.pick(0), &id).await.unwrap();
        let outputs: Vec<_> = read.turns.iter().map(|turn| turn.output.clone()).collect();
        assert_eq!(outputs, answers);
        let registered = read
            .turns
            .iter()
            .filter(|turn| turn.service == name::REGISTER);
        registrations += registered.count();
    }
    assert!(registrations > 0, "no unrepeatable call was tried");
    assert_eq!(cluster.registry.effects().len(), registrations);
}
