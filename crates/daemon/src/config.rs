//! The active configuration: loading, change notification, and operators' changes.

mod check;
mod edit;
mod store;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use basilramp_core::id;
use basilramp_platform::table::Client;
use basilramp_wire::config::{Change, ConfigVersion, ItemKind, Limit, NamedItem, Place, Plan};
use basilramp_wire::config::{Service, Snapshot, Value};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::operator::{ChangeLog, ChangeLogEntry};
use tokio::sync::{Notify, watch};

use crate::commit::{self, Backoff};
use crate::{clock, settings::Settings};
use store::Store;

/// The configuration as of one version.
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
    /// The version in which each item last changed.
    item_versions: BTreeMap<(ItemKind, Arc<str>), u64>,
}

/// Reads and changes the configuration.
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
    version: watch::Sender<u64>,
    notified_version: watch::Sender<u64>,
    wake: Notify,
}

/// Loads the configuration, retrying without limit, and starts to poll for changes.
pub async fn spawn(table: &Client, commit: commit::Handle, settings: &Settings) -> Handle {
    let store = Store::new(table.clone());
    let config = load_with_retries(&store).await;
    let shared = Shared {
        version: watch::Sender::new(config.version),
        notified_version: watch::Sender::new(0),
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
    tokio::spawn(poll_changes(handle.clone(), poll));
    handle
}

impl Handle {
    /// Returns the configuration that is active at this instance.
    #[must_use]
    pub fn current(&self) -> Arc<Config> {
        let current = self.shared.current.lock();
        Arc::clone(&current.unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a receiver of the active version, which changes with each newer version.
    ///
    /// Peers are notified of it with [`basilramp_wire::frame::Body::Config`].
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.version.subscribe()
    }

    /// Returns every item of the active configuration.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.current().snapshot()
    }

    /// Records that `version` is active at another instance. If it is newer than the version here,
    /// it is fetched immediately.
    pub fn notify_version(&self, version: u64) {
        let newer = |notified_version: &mut u64| {
            let is_newer = version > *notified_version;
            *notified_version = version.max(*notified_version);
            is_newer
        };
        if self.shared.notified_version.send_if_modified(newer) && version > self.current().version
        {
            self.shared.wake.notify_one();
        }
    }

    /// Reads the changes after a version, oldest first.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` if the changes could not be read.
    pub async fn changes_after(&self, after: u64) -> Result<ChangeLog, Error> {
        let logged = self
            .store
            .read_changes(after)
            .await
            .map_err(|_| store_unavailable())?;
        let changes = logged
            .into_iter()
            .map(|(version, change)| ChangeLogEntry { version, change });
        Ok(ChangeLog {
            changes: changes.collect(),
        })
    }

    /// Validates and commits a change, and returns the new version.
    ///
    /// # Errors
    ///
    /// - `Invalid`, with one line for each validation error.
    /// - `StaleVersion` if the change is not based on the current version, with one line for each
    ///   edit made since its base.
    /// - `StoreUnavailable` if the change was not sent.
    /// - `NotReady` if the instance has lost its lease.
    /// - `Internal` if the outcome is unknown.
    pub async fn apply(&self, operator: &str, change: Change) -> Result<u64, Error> {
        self.refresh_with_timeout(self.store_wait_ms).await?;
        self.write_pending_items().await?;
        let config = self.current();
        if change.base != config.version {
            return Err(self.stale_version_error(change.base, config.version).await);
        }
        let errors = check::find_errors(&config, &change);
        if !errors.is_empty() {
            let message = "the change is invalid; nothing was changed";
            return Err(Error::new(Kind::Invalid, message).with_details(errors));
        }
        let change = Change {
            operator: operator.to_owned(),
            at_ms: clock::unix_time_ms(),
            ..change
        };
        self.commit(change).await
    }

    async fn commit(&self, change: Change) -> Result<u64, Error> {
        let base = change.base;
        let writes = store::commit_writes(&change);
        match self
            .commit
            .submit_with_queue_timeout(writes, self.store_wait_ms)
            .await
        {
            Ok(()) => {
                // If this read fails, the polling task fetches the new version.
                let _ = self.refresh().await;
                self.notify_version(base + 1);
                // The change is committed. Items that are not written now are written before the
                // next change.
                let _ = self.write_pending_items().await;
                Ok(base + 1)
            }
            Err(commit::Failure::Conflict) => {
                let _ = self.refresh().await;
                Err(self.stale_version_error(base, self.current().version).await)
            }
            Err(commit::Failure::Withdrawn) => Err(store_unavailable()),
            Err(commit::Failure::Fenced) => {
                let message = "the instance lost its lease; nothing was changed";
                Err(Error::new(Kind::NotReady, message))
            }
            Err(commit::Failure::Unknown) => {
                let message = "it is unknown whether the change was made; see the log";
                Err(Error::new(Kind::Internal, message))
            }
        }
    }

    async fn stale_version_error(&self, base: u64, version: u64) -> Error {
        let message = format!(
            "the change was made from version {base}, but the current version is {version}"
        );
        let changes = self.store.read_changes(base).await.unwrap_or_default();
        let details = changes
            .iter()
            .flat_map(|(version, change)| edit::describe_edits(*version, change));
        Error::new(Kind::StaleVersion, message).with_details(details.collect())
    }

    async fn refresh_with_timeout(&self, wait_ms: u64) -> Result<(), Error> {
        let refreshing = async {
            let mut backoff = Backoff::new();
            while self.refresh().await.is_err() {
                backoff.wait().await;
            }
        };
        let wait = Duration::from_millis(wait_ms);
        let refreshed = tokio::time::timeout(wait, refreshing).await;
        refreshed.map_err(|_| store_unavailable())
    }

    /// Writes the items of a committed change whose items are not all written, if there is one.
    async fn write_pending_items(&self) -> Result<(), Error> {
        let pending = self
            .store
            .read_pending_version()
            .await
            .map_err(|_| store_unavailable())?;
        let Some(version) = pending else {
            return Ok(());
        };
        let change = self.store.read_change(version).await;
        let change = change.map_err(|_| store_unavailable())?;
        for writes in store::item_writes(version, &change) {
            let written = self
                .commit
                .submit_with_queue_timeout(writes, self.store_wait_ms)
                .await;
            match written {
                Ok(()) => {}
                // Another instance has written all of them.
                Err(commit::Failure::Conflict) => return Ok(()),
                Err(_) => return Err(store_unavailable()),
            }
        }
        Ok(())
    }

    /// Fetches and activates a newer configuration, if there is one.
    ///
    /// The changes since the active version are applied if the log has them without a gap;
    /// otherwise the whole configuration is loaded.
    async fn refresh(&self) -> Result<(), store::Unavailable> {
        let head = self.store.read_head().await?;
        let before = self.current();
        if head.version <= before.version {
            return Ok(());
        }
        let changes = self.store.read_changes(before.version).await?;
        let config = match edit::apply_changes(&before, &changes) {
            Some(config) if config.version >= head.version => config,
            _ => self.store.load_config().await?,
        };
        self.shared.replace_if_newer(config);
        Ok(())
    }
}

impl Shared {
    /// Activates a configuration if it is newer than the active one.
    fn replace_if_newer(&self, config: Config) {
        let version = config.version;
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if version <= current.version {
            return;
        }
        *current = Arc::new(config);
        self.version.send_replace(version);
    }
}

async fn load_with_retries(store: &Store) -> Config {
    let mut backoff = Backoff::new();
    loop {
        match store.load_config().await {
            Ok(config) => return config,
            Err(store::Unavailable) => backoff.wait().await,
        }
    }
}

async fn poll_changes(handle: Handle, poll: Duration) {
    loop {
        // Refreshes on a notification and on a timeout alike.
        let _ = tokio::time::timeout(poll, handle.shared.wake.notified()).await;
        // A failed refresh is retried at the next poll.
        let _ = handle.refresh().await;
    }
}

fn store_unavailable() -> Error {
    Error::new(
        Kind::StoreUnavailable,
        "the store is unavailable; nothing was changed",
    )
}

impl Config {
    /// Returns the body of the head row, which names the version.
    #[must_use]
    pub fn head(&self) -> ConfigVersion {
        ConfigVersion {
            version: self.version,
        }
    }

    fn snapshot(&self) -> Snapshot {
        let items = self
            .item_versions
            .iter()
            .filter_map(|((kind, name), version)| {
                Some(NamedItem {
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
