//! The configuration in force, and changes to it.

mod check;
mod edit;
mod store;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use basilramp_core::id;
use basilramp_platform::table::Client;
use basilramp_wire::config::{Change, Head, Kind as ItemKind, Limit, Named, Place, Plan};
use basilramp_wire::config::{Service, Snapshot, Value};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::operator::{Log, Logged};
use tokio::sync::{Notify, watch};

use crate::commit::{self, Backoff};
use crate::{clock, settings::Settings};
use store::Store;

/// The configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// The version; zero before the first change.
    pub version: u64,
    /// The services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// The places by name.
    pub places: BTreeMap<Arc<str>, Place>,
    /// The plans by name.
    pub plans: BTreeMap<Arc<str>, Plan>,
    /// The limits by account.
    pub limits: BTreeMap<id::Account, Limit>,
    /// The version that last changed each item.
    versions: BTreeMap<(ItemKind, Arc<str>), u64>,
}

/// Answers questions about the configuration, and changes it.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    commit: commit::Handle,
    store: Store,
    store_wait_ms: u64,
}

#[derive(Debug)]
struct Shared {
    current: Mutex<Arc<Config>>,
    changed: watch::Sender<u64>,
    hinted: watch::Sender<u64>,
    wake: Notify,
}

/// Loads the configuration, however long that takes, and follows its changes from then on.
pub async fn spawn(table: &Client, commit: commit::Handle, settings: &Settings) -> Handle {
    let store = Store::open(table.clone());
    let config = load(&store).await;
    let shared = Shared {
        changed: watch::Sender::new(config.version),
        hinted: watch::Sender::new(0),
        current: Mutex::new(Arc::new(config)),
        wake: Notify::new(),
    };
    let handle = Handle {
        shared: Arc::new(shared),
        commit,
        store,
        store_wait_ms: settings.timing.store_wait_ms,
    };
    let poll = Duration::from_millis(settings.timing.config_poll_ms);
    tokio::spawn(follow(handle.clone(), poll));
    handle
}

impl Handle {
    /// Returns the configuration in force here.
    #[must_use]
    pub fn current(&self) -> Arc<Config> {
        let current = self.shared.current.lock();
        Arc::clone(&current.unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the version in force here, and each later one as it comes into force.
    ///
    /// Peers are told of it by [`basilramp_wire::frame::Body::Config`].
    #[must_use]
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    /// Returns every item in force here.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.current().snapshot()
    }

    /// Notes that `version` is in force somewhere; it is fetched at once.
    pub fn hint(&self, version: u64) {
        let newer = |hinted: &mut u64| {
            let is_newer = version > *hinted;
            *hinted = version.max(*hinted);
            is_newer
        };
        if self.shared.hinted.send_if_modified(newer) && version > self.current().version {
            self.shared.wake.notify_one();
        }
    }

    /// Reads the changes after a version, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn log(&self, after: u64) -> Result<Log, Error> {
        let logged = self.store.changes(after).await.map_err(|_| unavailable())?;
        let changes = logged
            .into_iter()
            .map(|(version, change)| Logged { version, change });
        Ok(Log {
            changes: changes.collect(),
        })
    }

    /// Commits a change and returns the new version.
    ///
    /// # Errors
    ///
    /// `Invalid` with one line for each fault; `StaleVersion` with one line for each change that
    /// this one did not know; `StoreUnavailable` if it was not sent.
    pub async fn apply(&self, operator: &str, change: Change) -> Result<u64, Error> {
        self.refresh_within(self.store_wait_ms).await?;
        self.write_pending().await?;
        let config = self.current();
        if change.base != config.version {
            return Err(self.stale(change.base, config.version).await);
        }
        let faults = check::faults(&config, &change);
        if !faults.is_empty() {
            let message = "the change has faults; nothing was changed";
            return Err(Error::new(Kind::Invalid, message).with_details(faults));
        }
        let change = Change {
            operator: operator.to_owned(),
            at_ms: clock::wall_ms(),
            ..change
        };
        self.commit(change).await
    }

    async fn commit(&self, change: Change) -> Result<u64, Error> {
        let base = change.base;
        let writes = store::writes(&change);
        match self
            .commit
            .submit_with_queue_timeout(writes, self.store_wait_ms)
            .await
        {
            Ok(()) => {
                // The follower fetches it if this read fails.
                let _ = self.refresh().await;
                self.hint(base + 1);
                // The change stands; what is left is written before the next one.
                let _ = self.write_pending().await;
                Ok(base + 1)
            }
            Err(commit::Failure::Conflict) => {
                let _ = self.refresh().await;
                Err(self.stale(base, self.current().version).await)
            }
            Err(commit::Failure::Withdrawn) => Err(unavailable()),
            Err(commit::Failure::Fenced) => {
                let message = "the instance lost its lease; nothing was changed";
                Err(Error::new(Kind::NotReady, message))
            }
            Err(commit::Failure::Unknown) => {
                let message = "the store did not tell whether the change was made; see the log";
                Err(Error::new(Kind::Internal, message))
            }
        }
    }

    async fn stale(&self, base: u64, version: u64) -> Error {
        let message = format!("the change was made from version {base}, but {version} is in force");
        let changes = self.store.changes(base).await.unwrap_or_default();
        let details = changes
            .iter()
            .flat_map(|(version, change)| edit::describe(*version, change));
        Error::new(Kind::StaleVersion, message).with_details(details.collect())
    }

    async fn refresh_within(&self, wait_ms: u64) -> Result<(), Error> {
        let refreshing = async {
            let mut backoff = Backoff::new();
            while self.refresh().await.is_err() {
                backoff.wait().await;
            }
        };
        let wait = Duration::from_millis(wait_ms);
        let refreshed = tokio::time::timeout(wait, refreshing).await;
        refreshed.map_err(|_| unavailable())
    }

    /// Writes the items of a change that is pending, if there is one.
    async fn write_pending(&self) -> Result<(), Error> {
        let pending = self.store.pending().await.map_err(|_| unavailable())?;
        let Some(version) = pending else {
            return Ok(());
        };
        let change = self.store.change(version).await;
        let change = change.map_err(|_| unavailable())?;
        for writes in store::item_writes(version, &change) {
            let written = self
                .commit
                .submit_with_queue_timeout(writes, self.store_wait_ms)
                .await;
            match written {
                Ok(()) => {}
                // Another instance has written them all.
                Err(commit::Failure::Conflict) => return Ok(()),
                Err(_) => return Err(unavailable()),
            }
        }
        Ok(())
    }

    /// Fetches what is newer than the configuration in force here.
    async fn refresh(&self) -> Result<(), store::Unavailable> {
        let head = self.store.head().await?;
        let before = self.current();
        if head.version <= before.version {
            return Ok(());
        }
        let changes = self.store.changes(before.version).await?;
        let config = match edit::follow(&before, &changes) {
            Some(config) if config.version >= head.version => config,
            _ => self.store.load().await?,
        };
        self.shared.advance(config);
        Ok(())
    }
}

impl Shared {
    /// Puts a configuration in force unless a newer one is.
    fn advance(&self, config: Config) {
        let version = config.version;
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if version <= current.version {
            return;
        }
        *current = Arc::new(config);
        self.changed.send_replace(version);
    }
}

async fn load(store: &Store) -> Config {
    let mut backoff = Backoff::new();
    loop {
        match store.load().await {
            Ok(config) => return config,
            Err(store::Unavailable) => backoff.wait().await,
        }
    }
}

async fn follow(handle: Handle, poll: Duration) {
    loop {
        // An elapsed wait is as good a reason to look as a hint.
        let _ = tokio::time::timeout(poll, handle.shared.wake.notified()).await;
        // A failed read is tried again at the next poll.
        let _ = handle.refresh().await;
    }
}

fn unavailable() -> Error {
    Error::new(
        Kind::StoreUnavailable,
        "the store is out of reach; nothing was changed",
    )
}

impl Config {
    /// Returns the head row's body.
    #[must_use]
    pub fn head(&self) -> Head {
        Head {
            version: self.version,
        }
    }

    fn snapshot(&self) -> Snapshot {
        let items = self.versions.iter().filter_map(|((kind, name), version)| {
            Some(Named {
                name: name.to_string(),
                version: *version,
                value: self.value(*kind, name)?,
            })
        });
        Snapshot {
            version: self.version,
            items: items.collect(),
        }
    }

    fn value(&self, kind: ItemKind, name: &Arc<str>) -> Option<Value> {
        match kind {
            ItemKind::Service => {
                let service = self.services.get(&id::Service::new(Arc::clone(name)));
                service.cloned().map(Value::Service)
            }
            ItemKind::Place => self.places.get(name).cloned().map(Value::Place),
            ItemKind::Plan => self.plans.get(name).cloned().map(Value::Plan),
            ItemKind::Limit => {
                let limit = self.limits.get(&id::Account::new(Arc::clone(name)));
                limit.cloned().map(Value::Limit)
            }
        }
    }
}
