//! What tests of whole instances share.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use basilramp_core::{id, partition};
use basilramp_fakes::Launcher;
use basilramp_fakes::caller::{self, CallResponse, Failure};
use basilramp_fakes::cluster::{Cluster, Options};
use basilramp_wire::api::{Budget, Call, Program};
use basilramp_wire::error::{Error, Executed, Kind};
use basilramp_wire::record;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// The longest that a test waits for a condition.
const WAIT: Duration = Duration::from_secs(20);

/// Time between two looks at a condition.
const POLL: Duration = Duration::from_millis(10);

/// Returns the options of a deployment whose takeovers are quick.
pub(crate) fn options(instances: usize) -> Options {
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    let mut options = Options::new(launcher, instances);
    options.settings = json!({"timing": {
        "lease_ms": 800,
        "lease_margin_ms": 200,
        "heartbeat_ms": 200,
        "upstream_poll_ms": 100,
        "store_wait_ms": 500,
    }});
    options
}

/// Starts a deployment whose takeovers are quick.
pub(crate) async fn start(instances: usize) -> Cluster {
    let cluster = Cluster::start(options(instances)).await;
    cluster.expect("the deployment starts")
}

/// Creates a root program of the first account at an instance that runs.
pub(crate) async fn create(cluster: &Cluster, request: &str) -> Program {
    create_with(cluster, request, caller::program_budget(100_000)).await
}

/// Creates a root program with a budget, however often the instance says to try again.
pub(crate) async fn create_with(cluster: &Cluster, request: &str, budget: Budget) -> Program {
    let limit = Instant::now() + WAIT;
    loop {
        let caller = cluster.caller(0);
        match caller.create_root(any(cluster), request, budget).await {
            Ok(program) => return program,
            Err(Failure::Rejected(error)) if passes(error.kind) && Instant::now() < limit => {}
            Err(failure) => panic!("not created: {failure}"),
        }
        sleep(POLL).await;
    }
}

/// Returns the callers' address of an instance that runs.
pub(crate) fn any(cluster: &Cluster) -> SocketAddr {
    let mut running =
        (0..cluster.instances.len()).filter_map(|index| cluster.caller_address(index));
    running.next().expect("an instance runs")
}

/// Returns the callers' address of an instance that runs and is not `index`.
pub(crate) fn other(cluster: &Cluster, index: usize) -> SocketAddr {
    let others = (0..cluster.instances.len()).filter(|other| *other != index);
    let mut running = others.filter_map(|index| cluster.caller_address(index));
    running.next().expect("another instance runs")
}

/// Waits until a program is owned where it belongs, and returns the number of that instance.
pub(crate) async fn owner(cluster: &Cluster, program: &str) -> usize {
    let program: id::Program = program.parse().expect("a program id");
    let instances = cluster.instances.iter();
    let ids: Vec<id::Instance> = instances
        .map(|instance| id::Instance::new(instance.id.as_str()))
        .collect();
    let key = partition::hash_key(program.partition());
    let wanted = partition::preferred_instance(&key, &ids).expect("there are instances");
    let sort = format!("{:04}", program.partition().0);
    until("the owner is settled", || {
        let row = cluster.platform.row("partition", &sort);
        let row = row.and_then(|row| serde_json::from_str(&row.body).ok());
        row.is_some_and(|row: record::Partition| row.owner == wanted.as_str())
    })
    .await;
    let found = ids.iter().position(|id| id == wanted);
    found.expect("the owner is an instance")
}

/// Returns a program's turn as its row has it.
pub(crate) fn turn_row(cluster: &Cluster, program: &str, position: u32) -> Option<record::Turn> {
    let sort = format!("turn/{position:08}");
    let row = cluster.platform.row(&format!("program/{program}"), &sort)?;
    serde_json::from_str(&row.body).ok()
}

/// Waits for a condition.
pub(crate) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let limit = Instant::now() + WAIT;
    while !condition() {
        assert!(Instant::now() < limit, "waited in vain: {what}");
        sleep(POLL).await;
    }
}

/// Calls until the answer is anything but a refusal that says to try again.
pub(crate) async fn call_until_settled(
    cluster: &Cluster,
    at: SocketAddr,
    program: &str,
    call: &Call,
) -> CallResponse {
    let limit = Instant::now() + WAIT;
    loop {
        let answer = cluster.caller(0).call(at, program, call).await;
        let again = matches!(&answer.result, Err(Failure::Rejected(error)) if passes(error.kind));
        if !again || Instant::now() >= limit {
            return answer;
        }
        sleep(POLL).await;
    }
}

/// Starts a call, and sends it again while it is refused without having run.
pub(crate) fn spawn_call(
    cluster: &Cluster,
    at: SocketAddr,
    program: &str,
    call: &Call,
) -> JoinHandle<CallResponse> {
    let (caller, program, call) = (cluster.caller(0), program.to_owned(), call.clone());
    tokio::spawn(async move {
        loop {
            let answer = caller.call(at, &program, &call).await;
            let again = match &answer.result {
                Err(Failure::Rejected(error)) => passes(error.kind) && error.ran == Executed::No,
                _ => false,
            };
            if !again {
                return answer;
            }
            sleep(POLL).await;
        }
    })
}

fn passes(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::OwnerUnavailable
            | Kind::NotReady
            | Kind::StoreUnavailable
            | Kind::InProgress
            | Kind::Interrupted
    )
}

/// Returns the error that a call was refused with.
pub(crate) fn refusal(answer: &CallResponse) -> &Error {
    assert_matches!(&answer.result, Err(Failure::Rejected(error)) => error)
}

/// Checks what a call was refused with.
pub(crate) fn assert_refused(answer: &CallResponse, kind: Kind, ran: Executed) {
    let error = refusal(answer);
    assert_eq!((error.kind, error.ran), (kind, ran), "{error}");
}
