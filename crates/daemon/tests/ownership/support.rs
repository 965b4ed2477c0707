//! In-process instances that run only membership and the commit loop, and helpers that read the
//! rows of the fake platform.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use basilramp_core::id::{self, PARTITIONS};
use basilramp_core::partition;
use basilramp_daemon::membership::{self, OwnershipChange};
use basilramp_daemon::{Settings, clock, commit};
use basilramp_fakes::platform::Platform;
use basilramp_platform::table::{Action, Client, Condition, Key, Write};
use basilramp_wire::record;
use serde_json::{Value, json};
use tokio::sync::oneshot;

/// Returns lease timing that keeps tests short and still tolerates a busy machine.
pub(crate) fn short_lease_timing() -> Value {
    json!({"timing": {"lease_ms": 1_600, "lease_margin_ms": 400, "heartbeat_ms": 200}})
}

/// Returns the settings of an instance; each section in `overrides` replaces the default section.
pub(crate) fn instance_settings(platform: &Platform, id: &str, overrides: &Value) -> Settings {
    let mut settings = json!({
        "instance": {"id": id, "failure_domain": "a"},
        "listen": {
            "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        },
        "platform": {
            "table": platform.table_address(),
            "list": platform.list_address(),
        },
        "peers": {"certificate": "unused", "key": "unused", "authority": "unused"},
    });
    for (name, section) in overrides.as_object().into_iter().flatten() {
        settings[name] = section.clone();
    }
    Settings::parse(&settings.to_string()).expect("the settings are valid")
}

/// An instance that runs on the runtime of the test.
pub(crate) struct Instance {
    pub(crate) membership: membership::Handle,
    pub(crate) commit: commit::Handle,
    pub(crate) observed: Arc<Mutex<ObservedOwnership>>,
}

/// The ownership changes that an instance has reported.
#[derive(Debug, Default)]
pub(crate) struct ObservedOwnership {
    pub(crate) owned: BTreeMap<id::Partition, id::Term>,
    pub(crate) fenced: u32,
    /// Handovers that wait for their programs to be unloaded, in order of arrival.
    pub(crate) pending_handovers: Vec<(id::Partition, oneshot::Sender<()>)>,
    /// Leaves handovers pending instead of completing them at once.
    pub(crate) blocks_handover: bool,
}

/// Starts an instance, waits until it has joined and records its ownership changes.
pub(crate) async fn join(platform: &Platform, id: &str, overrides: &Value) -> Instance {
    let settings = instance_settings(platform, id, overrides);
    let table = Client::open(platform.table_address(), "basilramp");
    let address = "127.0.0.1:9".parse().expect("the address parses");
    let clock = clock::Clock::start();
    let (membership, commit, changes) = membership::join(&table, &settings, address, clock).await;
    let observed = Arc::new(Mutex::new(ObservedOwnership::default()));
    tokio::spawn(apply_changes(changes, Arc::clone(&observed)));
    Instance {
        membership,
        commit,
        observed,
    }
}

/// Records ownership changes and completes handovers, unless they are blocked.
async fn apply_changes(
    mut changes: tokio::sync::mpsc::UnboundedReceiver<OwnershipChange>,
    observed: Arc<Mutex<ObservedOwnership>>,
) {
    while let Some(change) = changes.recv().await {
        let mut observed = observed.lock().expect("the mutex is not poisoned");
        match change {
            OwnershipChange::Gained(partition, term) => {
                observed.owned.insert(partition, term);
            }
            OwnershipChange::Losing(partition, done) if observed.blocks_handover => {
                observed.pending_handovers.push((partition, done))
            }
            OwnershipChange::Losing(partition, done) => {
                observed.owned.remove(&partition);
                let _ = done.send(());
            }
            OwnershipChange::HandedOver(..) => {}
            OwnershipChange::Fenced => {
                observed.fenced += 1;
                observed.owned.clear();
            }
        }
    }
}

/// An instance on its own single-threaded runtime, which can be paused or killed like a process.
pub(crate) struct PausableInstance {
    pub(crate) membership: membership::Handle,
    pub(crate) commit: commit::Handle,
    runtime: Option<tokio::runtime::Runtime>,
}

impl PausableInstance {
    pub(crate) async fn start(platform: &Platform, id: &str, overrides: &Value) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("the runtime starts");
        let settings = instance_settings(platform, id, overrides);
        let table = Client::open(platform.table_address(), "basilramp");
        let address = "127.0.0.1:9".parse().expect("the address parses");
        let joining = runtime.spawn(async move {
            membership::join(&table, &settings, address, clock::Clock::start()).await
        });
        let (membership, commit, changes) = joining.await.expect("the join task does not panic");
        runtime.spawn(apply_changes(changes, Arc::default()));
        Self {
            membership,
            commit,
            runtime: Some(runtime),
        }
    }

    /// Blocks the only thread of the instance until the guard is dropped.
    pub(crate) fn pause(&self) -> PauseGuard {
        let (resume, resumed) = mpsc::channel();
        let (paused, stopped) = mpsc::channel();
        let runtime = self.runtime.as_ref().expect("the instance is running");
        runtime.spawn(async move {
            let _ = paused.send(());
            let _ = resumed.recv();
        });
        let _ = stopped.recv();
        PauseGuard { _resume: resume }
    }

    /// Spawns a future on the instance's thread.
    pub(crate) fn spawn<F>(&self, future: F) -> tokio::task::JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.runtime
            .as_ref()
            .expect("the instance is running")
            .spawn(future)
    }

    /// Stops the instance without a shutdown, as a crash does.
    pub(crate) fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for PausableInstance {
    fn drop(&mut self) {
        self.end();
    }
}

/// Resumes the paused instance on drop.
pub(crate) struct PauseGuard {
    _resume: mpsc::Sender<()>,
}

/// Polls a condition until it is true and panics after a minute.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let bound = Duration::from_secs(60);
    let outcome = tokio::time::timeout(bound, waiting).await;
    assert!(outcome.is_ok(), "timed out waiting for {what}");
}

/// Returns the partition rows by number, or `None` while any row is missing or has no owner.
pub(crate) fn partition_owners(platform: &Platform) -> Option<BTreeMap<u16, record::Partition>> {
    let rows = platform.rows("partition");
    let parse = |body: &str| {
        serde_json::from_str::<record::Partition>(body).expect("the row body is a valid record")
    };
    let owners: BTreeMap<u16, record::Partition> = rows
        .iter()
        .map(|(sort, row)| {
            (
                sort.parse().expect("the sort key is a number"),
                parse(&row.body),
            )
        })
        .filter(|(_, record)| !record.owner.is_empty())
        .collect();
    (owners.len() == usize::from(PARTITIONS)).then_some(owners)
}

/// Returns whether every partition is owned by its preferred instance among `ids`.
pub(crate) fn owned_by_preferred(platform: &Platform, ids: &[&str]) -> bool {
    let instances: Vec<id::Instance> = ids.iter().map(|id| id::Instance::new(*id)).collect();
    let preferred_owner = |partition: u16| {
        let key = partition::hash_key(id::Partition(partition));
        partition::preferred_instance(&key, &instances).map(id::Instance::as_str)
    };
    partition_owners(platform).is_some_and(|owners| {
        let mut owners = owners.iter();
        owners.all(|(partition, row)| preferred_owner(*partition) == Some(row.owner.as_str()))
    })
}

/// Returns the lease row of an instance.
pub(crate) fn lease_row(platform: &Platform, id: &str) -> record::Instance {
    let row = platform.row("instance", id).expect("the lease row exists");
    serde_json::from_str(&row.body).expect("the row body is a valid record")
}

/// Returns a write that puts a row under the partition key `test`, which only the tests use.
pub(crate) fn put_row(sort: &str, condition: Condition) -> Write {
    Write {
        key: Key::new("test", sort),
        condition,
        action: Action::Put {
            version: 1,
            body: "{}".into(),
        },
    }
}

/// Returns a write that only checks a condition on a row under the partition key `test`.
pub(crate) fn check_row(sort: &str, condition: Condition) -> Write {
    Write {
        key: Key::new("test", sort),
        condition,
        action: Action::Check,
    }
}
