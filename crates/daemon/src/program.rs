//! Programs: creates, runs, ends and reads the programs of the partitions that this instance owns.

mod activity;
mod attempt;
mod call;
mod create;
mod end;
mod intent;
mod live;
mod load;
mod loaded_trees;
mod model;
mod plain;
mod prompt;
mod rejection;
mod reservation;
mod row;
mod settle;
mod turn;
mod view;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use basilramp_core::id;
use basilramp_core::retry;
use basilramp_platform::table;
use basilramp_wire::api;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::Settlement;
use tokio::sync::{Semaphore, mpsc};

use crate::clock::Clock;
use crate::log::{Event, event};
use crate::settings::{Limits, Timing};
use crate::{
    admission, commit, config, engine, engine_control, grant, home, log, membership, peer_client,
    service, suspect,
};
use activity::ActivityTracker;
use load::LeaseRequirement;
use loaded_trees::{LoadedTree, LoadedTrees, TreeKey};

/// Handles of the other components that programs use.
#[derive(Debug)]
pub(crate) struct Dependencies {
    pub(crate) table: table::Client,
    pub(crate) commit: commit::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) config: config::Handle,
    pub(crate) grants: grant::Handle,
    pub(crate) admission: admission::Handle,
    pub(crate) homes: home::Handle,
    pub(crate) peers: peer_client::Client,
    pub(crate) clock: Clock,
    pub(crate) log: log::Handle,
    pub(crate) timing: Timing,
    pub(crate) limits: Limits,
}

#[derive(Debug)]
struct Shared {
    dependencies: Dependencies,
    engines: engine::Client,
    control: engine_control::Client,
    services: service::Client,
    suspects: suspect::Handle,
    trees: Mutex<LoadedTrees>,
    load_locks: load::LoadLocks,
    activity: ActivityTracker,
    retry_budget: Mutex<retry::Budget>,
    /// Allows one partition at a time to load its running programs.
    preload_permits: Semaphore,
}

/// Runs requests on the programs that this instance owns.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

/// Creates the handle and starts the background sweep of expired programs.
pub(crate) fn spawn(dependencies: Dependencies) -> Handle {
    let suspects = suspect::open(
        dependencies.table.clone(),
        dependencies.commit.clone(),
        suspect::PeerCrashes::new(dependencies.membership.clone(), dependencies.peers.clone()),
        dependencies.clock,
        dependencies.timing.store_wait_ms,
    );
    let shared = Arc::new(Shared {
        dependencies,
        engines: engine::Client::new(),
        control: engine_control::Client::new(),
        services: service::Client::new(),
        suspects,
        trees: Mutex::default(),
        load_locks: load::LoadLocks::default(),
        activity: ActivityTracker::default(),
        retry_budget: Mutex::default(),
        preload_permits: Semaphore::new(1),
    });
    end::spawn_expiry_sweep(&shared);
    Handle { shared }
}

impl Handle {
    /// Creates a program.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` means that it was not created, `Interrupted` that it may have been.
    pub(crate) async fn create(
        &self,
        account: &id::Account,
        create: api::CreateProgram,
    ) -> Result<api::Program, Error> {
        create::run(&self.shared, account, create).await
    }

    /// Runs a call and sends its events. The last one is `Final` or `Error`.
    ///
    /// A call of a model or an idempotent service is cancelled once `events` is closed. Any other
    /// call continues until its outcome is known.
    pub(crate) async fn call(
        &self,
        account: &id::Account,
        program: id::Program,
        call: api::Call,
        events: mpsc::Sender<api::Event>,
    ) {
        let shared = Arc::clone(&self.shared);
        let account = account.clone();
        let run = async move { call::run(shared, account, program, call, events).await };
        let task = tokio::spawn(crate::trace::in_current_span(run));
        let _ = task.await;
    }

    /// Reads a program. With `None` as account, as operators do, reads a program of any account.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the account has no such program.
    pub(crate) async fn read(
        &self,
        account: Option<&id::Account>,
        program: id::Program,
    ) -> Result<api::Program, Error> {
        let shared = &self.shared;
        let tree = load::get_or_load(shared, program, LeaseRequirement::Valid).await?;
        let view = shared.with_tree(tree, |loaded| view::program(&loaded.tree, account, program));
        view.unwrap_or_else(|| Err(rejection::program_lost()))
    }

    /// Ends a program and releases the state that upstreams hold for it.
    ///
    /// # Errors
    ///
    /// `Interrupted` means that the end may not be durable yet.
    pub(crate) async fn end(
        &self,
        account: &id::Account,
        program: id::Program,
    ) -> Result<api::Program, Error> {
        self.read(Some(account), program).await?;
        end::run(&self.shared, program).await?;
        self.read(Some(account), program).await
    }

    /// Records the outcome of a call in doubt as an operator states it.
    ///
    /// # Errors
    ///
    /// Returns `Invalid` if the call at the position is not in doubt.
    pub(crate) async fn settle(
        &self,
        operator: &str,
        program: id::Program,
        settlement: Settlement,
    ) -> Result<api::Program, Error> {
        settle::resolve_by_operator(&self.shared, operator, program, settlement).await?;
        self.read(None, program).await
    }

    /// Waits until no request of a partition is in progress, then unloads its programs.
    ///
    /// From the start, new requests are rejected until the partition is acquired again.
    pub(crate) async fn release_partition(&self, partition: id::Partition) {
        self.shared.lock().close_partition(partition);
        self.shared.activity.wait_idle(partition).await;
        reservation::release_unused(&self.shared, partition).await;
        self.shared.lock().remove_partition(partition);
    }

    /// Accepts requests for a partition that is newly owned, and loads its running programs in the
    /// background.
    pub(crate) fn acquire_partition(&self, partition: id::Partition) {
        self.shared.lock().open_partition(partition);
        end::preload_running(&self.shared, partition);
    }

    /// Returns whether this instance has seen a request crash an upstream and has not stored the
    /// crash yet. A malformed fingerprint is that of no request.
    pub(crate) fn has_unrecorded_crash(&self, fingerprint: &str) -> bool {
        let fingerprint = fingerprint.parse().ok();
        fingerprint.is_some_and(|fingerprint| self.shared.suspects.has_unrecorded(fingerprint))
    }

    /// Returns the number of loaded program trees.
    pub(crate) fn count_trees(&self) -> usize {
        self.shared.lock().all_keys().len()
    }

    /// Unloads all programs immediately, which fails their calls in flight.
    pub(crate) fn unload_all(&self) {
        self.shared.lock().clear();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, LoadedTrees> {
        self.trees.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_retry_budget(&self) -> MutexGuard<'_, retry::Budget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `f` with a tree, or returns `None` if it is no longer loaded.
    fn with_tree<R>(&self, tree: TreeKey, f: impl FnOnce(&mut LoadedTree) -> R) -> Option<R> {
        let mut trees = self.lock();
        trees.get_mut(tree).map(f)
    }

    /// Logs that a request in progress lost its program, and returns the error for the caller.
    fn program_lost(&self, program: id::Program, cause: &str) -> Error {
        let membership = &self.dependencies.membership;
        let term = membership.last_known_term(program.partition());
        event!(self.dependencies.log, Event::ProgramLost,
            "program" => %program, "partition" => program.partition().0,
            "term" => term.map(|term| term.0), "lease_valid" => membership.is_valid(),
            "cause" => cause);
        rejection::program_lost()
    }

    /// Returns the term in which this instance owns a partition under a valid lease.
    fn owned_term(&self, partition: id::Partition) -> Result<id::Term, Error> {
        let term = self.dependencies.membership.owned_term(partition);
        term.ok_or_else(|| not_owned(partition))
    }

    /// Returns the term in which this instance last owned a partition, even if the lease has
    /// expired.
    fn last_known_term(&self, partition: id::Partition) -> Result<id::Term, Error> {
        let term = self.dependencies.membership.last_known_term(partition);
        term.ok_or_else(|| not_owned(partition))
    }
}

fn not_owned(partition: id::Partition) -> Error {
    let message = format!("this instance does not own partition {}", partition.0);
    Error::new(Kind::OwnerUnavailable, message)
}
