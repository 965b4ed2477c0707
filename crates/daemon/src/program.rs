//! The programs owned here.

mod attempt;
mod busy;
mod call;
mod create;
mod end;
mod intent;
mod live;
mod load;
mod model;
mod plain;
mod prompt;
mod refusal;
mod reserve;
mod row;
mod settle;
mod shelf;
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
use crate::settings::{Limits, Timing};
use crate::{
    admission, commit, config, control, engine, grant, home, log, membership, peer, service,
    suspect,
};
use busy::Busy;
use load::Lease;
use shelf::{Entry, Shelf, TreeKey};

/// What the programs need of the rest of the instance.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) table: table::Client,
    pub(crate) commit: commit::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) config: config::Handle,
    pub(crate) grants: grant::Handle,
    pub(crate) admission: admission::Handle,
    pub(crate) homes: home::Handle,
    pub(crate) peers: peer::Client,
    pub(crate) clock: Clock,
    pub(crate) log: log::Handle,
    pub(crate) timing: Timing,
    pub(crate) limits: Limits,
}

#[derive(Debug)]
struct Shared {
    parts: Parts,
    engines: engine::Client,
    control: control::Client,
    services: service::Client,
    suspects: suspect::Handle,
    shelf: Mutex<Shelf>,
    loads: load::Locks,
    busy: Busy,
    retries: Mutex<retry::Budget>,
    watches: Semaphore,
}

/// Runs commands on the programs owned here, and reads them.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

/// Starts to run programs.
pub(crate) fn spawn(parts: Parts) -> Handle {
    let suspects = suspect::open(
        parts.table.clone(),
        parts.commit.clone(),
        parts.clock,
        parts.timing.store_wait_ms,
    );
    let shared = Arc::new(Shared {
        parts,
        engines: engine::Client::open(),
        control: control::Client::open(),
        services: service::Client::open(),
        suspects,
        shelf: Mutex::default(),
        loads: load::Locks::default(),
        busy: Busy::default(),
        retries: Mutex::default(),
        watches: Semaphore::new(1),
    });
    end::spawn_sweep(&shared);
    Handle { shared }
}

impl Handle {
    /// Creates a program.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` says that it was not created; `Interrupted`, that it may have been.
    pub(crate) async fn create(
        &self,
        account: &id::Account,
        create: api::CreateProgram,
    ) -> Result<api::Program, Error> {
        create::run(&self.shared, account, create).await
    }

    /// Runs a call and sends its events; the last is `Final` or `Error`.
    ///
    /// A call that may be repeated is cancelled once `events` is closed. Any other goes on to its
    /// outcome.
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
        let task = tokio::spawn(crate::trace::inherit(run));
        let _ = task.await;
    }

    /// Reads a program; an operator reads any.
    ///
    /// # Errors
    ///
    /// `NotFound` if the account has no such program.
    pub(crate) async fn read(
        &self,
        account: Option<&id::Account>,
        program: id::Program,
    ) -> Result<api::Program, Error> {
        let shared = &self.shared;
        let tree = load::touch(shared, program, Lease::Valid).await?;
        let view = shared.with(tree, |entry| view::read(&entry.tree, account, program));
        view.unwrap_or_else(|| Err(refusal::lost()))
    }

    /// Ends a program and has everything that upstreams hold for it released.
    ///
    /// # Errors
    ///
    /// `Interrupted` says that it may not be durable yet.
    pub(crate) async fn end(
        &self,
        account: &id::Account,
        program: id::Program,
    ) -> Result<api::Program, Error> {
        self.read(Some(account), program).await?;
        end::run(&self.shared, program).await?;
        self.read(Some(account), program).await
    }

    /// Settles a call in doubt by an operator's word.
    ///
    /// # Errors
    ///
    /// `Invalid` if the call at the position is not in doubt.
    pub(crate) async fn settle(
        &self,
        operator: &str,
        program: id::Program,
        settlement: Settlement,
    ) -> Result<api::Program, Error> {
        settle::by_operator(&self.shared, operator, program, settlement).await?;
        self.read(None, program).await
    }

    /// Waits until no call of a partition is under way, then forgets its programs.
    ///
    /// New requests are refused from now on until the partition is owned again.
    pub(crate) async fn let_go(&self, partition: id::Partition) {
        self.shared.lock().close(partition);
        self.shared.busy.idle(partition).await;
        reserve::give_back(&self.shared, partition).await;
        self.shared.lock().forget(partition);
    }

    /// Takes up the programs of a partition that is owned from now on.
    pub(crate) fn gained(&self, partition: id::Partition) {
        self.shared.lock().open(partition);
        end::watch(&self.shared, partition);
    }

    /// Returns how many program trees are held here.
    pub(crate) fn count(&self) -> usize {
        self.shared.lock().all().len()
    }

    /// Forgets all programs at once; their calls in flight are given up.
    pub(crate) fn fenced(&self) {
        self.shared.lock().clear();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Shelf> {
        self.shelf.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retries(&self) -> MutexGuard<'_, retry::Budget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Works on a tree, if it is still held here.
    fn with<R>(&self, tree: TreeKey, work: impl FnOnce(&mut Entry) -> R) -> Option<R> {
        let mut shelf = self.lock();
        shelf.get_mut(tree).map(work)
    }

    /// Returns the term under which a partition is owned here.
    fn term(&self, partition: id::Partition) -> Result<id::Term, Error> {
        let term = self.parts.membership.owned_term(partition);
        term.ok_or_else(|| not_owned(partition))
    }

    /// Returns the term under which a partition was last known to be owned here.
    fn held_term(&self, partition: id::Partition) -> Result<id::Term, Error> {
        let term = self.parts.membership.last_known_term(partition);
        term.ok_or_else(|| not_owned(partition))
    }
}

fn not_owned(partition: id::Partition) -> Error {
    let message = format!("partition {} is not owned here", partition.0);
    Error::new(Kind::OwnerUnavailable, message)
}
