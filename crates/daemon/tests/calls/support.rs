//! Helpers shared by the tests that run whole instances.

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

/// Timeout of a wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the options of a deployment with short leases, so that takeovers are quick.
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

/// Starts a deployment with short leases, so that takeovers are quick.
pub(crate) async fn start(instances: usize) -> Cluster {
    let cluster = Cluster::start(options(instances)).await;
    cluster.expect("the deployment starts")
}

/// Creates a root program of the first account at a running instance.
pub(crate) async fn create(cluster: &Cluster, request: &str) -> Program {
    create_with(cluster, request, caller::program_budget(100_000)).await
}

/// Creates a root program with a budget. Retries while the instance rejects the request with a
/// retryable error.
pub(crate) async fn create_with(cluster: &Cluster, request: &str, budget: Budget) -> Program {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let caller = cluster.caller(0);
        match caller
            .create_root(any_address(cluster), request, budget)
            .await
        {
            Ok(program) => return program,
            Err(Failure::Rejected(error))
                if is_retryable(error.kind) && Instant::now() < deadline => {}
            Err(failure) => panic!("the program was not created: {failure}"),
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the caller API address of a running instance.
pub(crate) fn any_address(cluster: &Cluster) -> SocketAddr {
    let mut running =
        (0..cluster.instances.len()).filter_map(|index| cluster.caller_address(index));
    running.next().expect("an instance is running")
}

/// Returns the caller API address of a running instance other than `index`.
pub(crate) fn other_address(cluster: &Cluster, index: usize) -> SocketAddr {
    let others = (0..cluster.instances.len()).filter(|other| *other != index);
    let mut running = others.filter_map(|index| cluster.caller_address(index));
    running.next().expect("another instance is running")
}

/// Waits until the preferred instance of a program's partition owns it. Returns the index of that
/// instance.
pub(crate) async fn wait_for_owner(cluster: &Cluster, program: &str) -> usize {
    let program: id::Program = program.parse().expect("the program id is valid");
    let instances = cluster.instances.iter();
    let ids: Vec<id::Instance> = instances
        .map(|instance| id::Instance::new(instance.id.as_str()))
        .collect();
    let key = partition::hash_key(program.partition());
    let preferred =
        partition::preferred_instance(&key, &ids).expect("the deployment has instances");
    let sort = format!("{:04}", program.partition().0);
    wait_until("the preferred instance owns the partition", || {
        let row = cluster.platform.row("partition", &sort);
        let row = row.and_then(|row| serde_json::from_str(&row.body).ok());
        row.is_some_and(|row: record::Partition| row.owner == preferred.as_str())
    })
    .await;
    let found = ids.iter().position(|id| id == preferred);
    found.expect("the owner is an instance of the deployment")
}

/// Returns the index of the instance that owns a program's partition now.
pub(crate) fn current_owner(cluster: &Cluster, program: &str) -> usize {
    let program: id::Program = program.parse().expect("the program id is valid");
    let sort = format!("{:04}", program.partition().0);
    let row = cluster.platform.row("partition", &sort);
    let row = row.expect("the partition has a row");
    let row: record::Partition = serde_json::from_str(&row.body).expect("the row is valid");
    let mut instances = cluster.instances.iter();
    let found = instances.position(|instance| instance.id == row.owner);
    found.expect("the owner is an instance of the deployment")
}

/// Reads the row of a program's turn; `None` if there is none.
pub(crate) fn turn_row(cluster: &Cluster, program: &str, position: u32) -> Option<record::Turn> {
    let sort = format!("turn/{position:08}");
    let row = cluster.platform.row(&format!("program/{program}"), &sort)?;
    serde_json::from_str(&row.body).ok()
}

/// Polls a condition until it holds.
pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends a call until the response is not a retryable error, or until the timeout.
pub(crate) async fn call_until_settled(
    cluster: &Cluster,
    address: SocketAddr,
    program: &str,
    call: &Call,
) -> CallResponse {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let response = cluster.caller(0).call(address, program, call).await;
        let retry =
            matches!(&response.result, Err(Failure::Rejected(error)) if is_retryable(error.kind));
        if !retry || Instant::now() >= deadline {
            return response;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends a call in a task. Retries while it is rejected with a retryable error and did not run.
pub(crate) fn spawn_call(
    cluster: &Cluster,
    address: SocketAddr,
    program: &str,
    call: &Call,
) -> JoinHandle<CallResponse> {
    let (caller, program, call) = (cluster.caller(0), program.to_owned(), call.clone());
    tokio::spawn(async move {
        loop {
            let response = caller.call(address, &program, &call).await;
            let retry = match &response.result {
                Err(Failure::Rejected(error)) => {
                    is_retryable(error.kind) && error.ran == Executed::No
                }
                _ => false,
            };
            if !retry {
                return response;
            }
            sleep(POLL_INTERVAL).await;
        }
    })
}

/// Returns whether an error is temporary, such as during a takeover or an outage.
fn is_retryable(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::OwnerUnavailable
            | Kind::NotReady
            | Kind::StoreUnavailable
            | Kind::InProgress
            | Kind::Interrupted
    )
}

/// Returns the error of a rejected call.
pub(crate) fn rejection(response: &CallResponse) -> &Error {
    assert_matches!(&response.result, Err(Failure::Rejected(error)) => error)
}

/// Asserts the error kind of a rejected call, and whether the call ran.
pub(crate) fn assert_rejected(response: &CallResponse, kind: Kind, ran: Executed) {
    let error = rejection(response);
    assert_eq!((error.kind, error.ran), (kind, ran), "{error}");
}
