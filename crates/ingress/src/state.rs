//! State shared by all requests of an instance.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use basilramp_adapter::store::{self, Page, PartitionKey};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::admission::AdmissionControl;
use basilramp_core::dispatch::fleet::Fleet;
use basilramp_core::dispatch::outage::{
    self, CallLatency, StoreHealth, Transition, Unavailable, Wait,
};
use basilramp_core::dispatch::path::Path;
use basilramp_core::dispatch::relay::Relays;
use basilramp_core::dispatch::request::Rejection;
use basilramp_core::dispatch::route::RouteTable;
use basilramp_core::dispatch::shutdown::Shutdown;
use basilramp_process::clock::{Clock, boot_time};
use basilramp_process::event;
use basilramp_process::log::Handle;
use basilramp_process::log_rate::LogRateLimiter;
use bytes::Bytes;
use eyre::Result;
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::Budgets;
use crate::buffer::Memory;
use crate::config_copy::ConfigCopies;
use crate::crash::Probes;
use crate::log_event::Event;
use crate::membership::Membership;
use crate::metric::Metrics;
use crate::path::Checks;
use crate::peer_connection::Connections;
use crate::peer_tls::Identity;
use crate::pool::Pool;
use crate::quota::Quotas;
use crate::settings::Settings;
use crate::stream_log::StreamLogs;
use crate::stream_version::StreamVersions;
use crate::suspect::Suspects;
use crate::turn_store::TurnStore;
use crate::version_history::VersionHistories;

/// Time for which programs may go on at least after a change of the configuration, in milliseconds: longer
/// than their deadlines.
const MIN_PROGRAM_MS: u64 = 60_000;

/// The configuration in force.
#[derive(Debug)]
struct ConfigInForce {
    table: Arc<RouteTable>,
    /// As it is in the store.
    document: Bytes,
    /// The latest change by which callers need a key, or need none any more. `None` if this instance has
    /// seen none.
    key_change: Option<KeyChange>,
}

/// A change of the configuration by which callers of a route need a key, or need none any more.
#[derive(Clone, Debug)]
struct KeyChange {
    /// The configuration before it.
    earlier: Arc<RouteTable>,
    at: Time,
}

/// State shared by all requests of an instance.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) log: Handle,
    pub(crate) store: store::Client,
    pub(crate) pool: Pool,
    pub(crate) turns: TurnStore,
    pub(crate) stream_versions: StreamVersions,
    pub(crate) version_histories: VersionHistories,
    pub(crate) stream_logs: StreamLogs,
    pub(crate) budgets: Budgets,
    pub(crate) quotas: Quotas,
    pub(crate) suspects: Suspects,
    pub(crate) probes: Probes,
    /// Memory for the buffered bytes of all requests.
    pub(crate) memory: Arc<Memory>,
    fleet: Mutex<Fleet>,
    path: Mutex<Path>,
    pub(crate) checks: Checks,
    /// Time of the latest sign of any upstream, in milliseconds.
    sign_at: AtomicU64,
    /// Certificate for connections between instances.
    pub(crate) identity: Identity,
    /// Address at which other instances reach this one.
    peer_address: OnceLock<SocketAddr>,
    pub(crate) membership: Membership,
    relays: Mutex<Relays>,
    pub(crate) connections: Connections,
    admission: Mutex<AdmissionControl>,
    read_latency: Mutex<CallLatency>,
    write_latency: Mutex<CallLatency>,
    quota: Mutex<LogRateLimiter>,
    pub(crate) metrics: Metrics,
    config: RwLock<Option<ConfigInForce>>,
    pub(crate) config_copies: ConfigCopies,
    /// Time as of which the configuration in force is known to be the newest one, in milliseconds of the
    /// boot clock.
    config_view_at: AtomicU64,
    /// Whether the table of upstreams was read completely at least once.
    is_fleet_loaded: AtomicBool,
    /// Time as of which the upstreams are known, in milliseconds.
    fleet_view_at: AtomicU64,
    /// The shutdown, if a stop was requested.
    shutdown: OnceLock<Shutdown>,
    /// Tells the requests without a response that the process is about to exit.
    exit: watch::Sender<bool>,
    health: Mutex<StoreHealth>,
    /// Wakes the feeds when store calls fail, so that they find out whether the store is down.
    pub(crate) store_suspected: Notify,
}

impl State {
    /// Creates the initial state, without configuration and upstreams.
    ///
    /// # Errors
    ///
    /// Fails if the certificate of this instance can't be created.
    pub(crate) fn open(settings: Settings, log: Handle, metrics: Metrics) -> Result<Arc<Self>> {
        let memory_bytes = settings.memory_mb * 1_024 * 1_024;
        let cache_bytes = memory_bytes / CACHE_MEMORY_DIVISOR;
        let memory = Memory::new(memory_bytes / BUFFER_MEMORY_DIVISOR);
        metrics.observe_buffers(Arc::clone(&memory));
        Ok(Arc::new(Self {
            clock: Clock::start(),
            log,
            store: store::Client::open(settings.store, boot_time),
            pool: Pool::default(),
            turns: TurnStore::open(cache_bytes),
            stream_versions: StreamVersions::default(),
            version_histories: VersionHistories::default(),
            stream_logs: StreamLogs::default(),
            budgets: Budgets::default(),
            quotas: Quotas::default(),
            suspects: Suspects::default(),
            probes: Probes::default(),
            memory,
            fleet: Mutex::default(),
            path: Mutex::default(),
            checks: Checks::default(),
            sign_at: AtomicU64::new(0),
            identity: Identity::generate()?,
            peer_address: OnceLock::new(),
            membership: Membership::default(),
            relays: Mutex::default(),
            connections: Connections::default(),
            admission: Mutex::default(),
            read_latency: Mutex::default(),
            write_latency: Mutex::default(),
            quota: Mutex::new(LogRateLimiter::new(MAX_LOG_LINES_PER_SECOND)),
            metrics,
            config: RwLock::default(),
            config_copies: ConfigCopies::default(),
            config_view_at: AtomicU64::new(0),
            is_fleet_loaded: AtomicBool::new(false),
            fleet_view_at: AtomicU64::new(0),
            shutdown: OnceLock::new(),
            exit: watch::Sender::new(false),
            health: Mutex::default(),
            store_suspected: Notify::new(),
            settings,
        }))
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns whether a line of an event may be logged under the event's rate limit. Failures have
    /// events of their own, so lines of answered requests never displace them.
    pub(crate) fn allows_log_line(&self, event: Event) -> bool {
        let verdict = lock(&self.quota).admit(event.code(), self.now());
        if verdict.suppressed > 0 {
            event!(
                self.log,
                Event::LinesLeftOut,
                "of" => event.code(),
                "lines" => verdict.suppressed
            );
        }
        verdict.is_written
    }

    /// Locks the fleet.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the state of the path to the upstreams.
    pub(crate) fn path(&self) -> MutexGuard<'_, Path> {
        lock(&self.path)
    }

    /// Records a sign of an upstream, such as a part of a response.
    pub(crate) fn record_sign(&self) {
        self.sign_at.store(self.now().as_ms(), Ordering::Relaxed);
    }

    /// Returns the milliseconds since the latest sign of any upstream.
    pub(crate) fn quiet_ms(&self) -> u64 {
        let sign_at = Time::from_ms(self.sign_at.load(Ordering::Relaxed));
        self.now().since(sign_at)
    }

    /// Locks the instances that may handle requests of this one.
    pub(crate) fn relays(&self) -> MutexGuard<'_, Relays> {
        lock(&self.relays)
    }

    /// Sets the address at which other instances reach this one.
    pub(crate) fn set_peer_address(&self, address: SocketAddr) {
        // It is set once, when the listener is bound.
        let _ = self.peer_address.set(address);
    }

    /// Returns the address at which other instances reach this one, if there is one.
    pub(crate) fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address.get().copied()
    }

    /// Locks the admission control.
    pub(crate) fn admission(&self) -> MutexGuard<'_, AdmissionControl> {
        lock(&self.admission)
    }

    /// Returns the routes in force, or `None` before the first configuration.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        config.as_ref().map(|config| Arc::clone(&config.table))
    }

    /// Returns the version of the configuration in force; 0 before the first one.
    pub(crate) fn config_version(&self) -> u64 {
        self.table().map_or(0, |table| table.config().version)
    }

    /// Returns the document of the configuration in force, or `None` before the first one.
    pub(crate) fn config_document(&self) -> Option<Bytes> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        config.as_ref().map(|config| config.document.clone())
    }

    /// Applies a configuration if it is newer than the one in force. Returns whether it was
    /// applied.
    pub(crate) fn apply_config(&self, table: RouteTable, document: Bytes) -> bool {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let known = current.take();
        let known_version = known
            .as_ref()
            .map_or(0, |known| known.table.config().version);
        if known.is_some() && known_version >= table.config().version {
            *current = known;
            return false;
        }
        let key_change = known.and_then(|known| {
            let is_changed = table.changes_need_of_keys(&known.table);
            let change = is_changed.then_some(KeyChange {
                earlier: known.table,
                at: self.now(),
            });
            change.or(known.key_change)
        });
        *current = Some(ConfigInForce {
            table: Arc::new(table),
            document,
            key_change,
        });
        true
    }

    /// Returns the configuration before the latest change by which callers need a key or need none any more,
    /// if programs that began before it may go on.
    pub(crate) fn table_before_key_change(&self) -> Option<Arc<RouteTable>> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        let config = config.as_ref()?;
        let change = config.key_change.as_ref()?;
        let retention_ms = config.table.longest_retention_ms();
        let retention_ms = retention_ms.max(change.earlier.longest_retention_ms());
        let lasts_ms = retention_ms.max(MIN_PROGRAM_MS);
        (self.now().since(change.at) < lasts_ms).then(|| Arc::clone(&change.earlier))
    }

    /// Records that the configuration in force was the newest one at a time of the boot clock.
    pub(crate) fn record_config_view(&self, as_of: Time) {
        self.config_view_at
            .fetch_max(as_of.as_ms(), Ordering::Relaxed);
    }

    /// Returns the age of the knowledge that the configuration in force is the newest one, in milliseconds.
    /// It grows also while the process or the machine is suspended.
    pub(crate) fn config_view_age_ms(&self) -> u64 {
        let as_of = Time::from_ms(self.config_view_at.load(Ordering::Relaxed));
        boot_time().since(as_of)
    }

    /// Records that the table of upstreams was read completely.
    pub(crate) fn mark_fleet_loaded(&self) {
        self.is_fleet_loaded.store(true, Ordering::Relaxed);
    }

    /// Records that the upstreams are known as of a time.
    pub(crate) fn record_fleet_view(&self, as_of: Time) {
        self.fleet_view_at.store(as_of.as_ms(), Ordering::Relaxed);
    }

    /// Returns the age of what this instance knows of the upstreams, in milliseconds.
    pub(crate) fn fleet_view_age_ms(&self) -> u64 {
        let as_of = Time::from_ms(self.fleet_view_at.load(Ordering::Relaxed));
        self.now().since(as_of)
    }

    /// Starts the shutdown, unless it has begun.
    pub(crate) fn stop(&self) -> Shutdown {
        let now = self.now();
        *self
            .shutdown
            .get_or_init(|| Shutdown::begin(self.settings.stop_ms, now))
    }

    /// Returns the shutdown, if a stop was requested.
    pub(crate) fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown.get().copied()
    }

    /// Returns whether a stop was requested.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown().is_some()
    }

    /// Ends all requests that have no response yet.
    pub(crate) fn end_requests(&self) {
        self.exit.send_replace(true);
    }

    /// Returns whether the process is about to exit.
    pub(crate) fn is_exiting(&self) -> bool {
        *self.exit.borrow()
    }

    /// Waits until the process is about to exit.
    pub(crate) async fn wait_for_exit(&self) {
        let mut exit = self.exit.subscribe();
        // The sender lives as long as the state.
        let _ = exit.wait_for(|is_exiting| *is_exiting).await;
    }

    /// Returns whether the instance is ready for new connections of callers.
    pub(crate) fn is_ready(&self) -> bool {
        let is_loaded = self.table().is_some() && self.is_fleet_loaded.load(Ordering::Relaxed);
        is_loaded && !self.is_stopping() && !self.is_store_down()
    }

    /// Returns whether the store is unavailable to this instance.
    pub(crate) fn is_store_down(&self) -> bool {
        self.store_outage_ms() > 0
    }

    /// Returns whether calls of the store have failed since the latest one that succeeded.
    pub(crate) fn is_store_failing(&self) -> bool {
        lock(&self.health).is_failing()
    }

    /// Returns for how many milliseconds the store has been unavailable; 0 if it is available.
    pub(crate) fn store_outage_ms(&self) -> u64 {
        lock(&self.health).outage_ms(self.now())
    }

    /// Calls a partition of the store. The timeout follows from the latency of recent calls and is
    /// at most half of the time until `deadline`, so that a response can still be sent.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub(crate) async fn call<T>(
        &self,
        kind: StoreCall,
        partition: &str,
        deadline: Time,
        call: impl AsyncFnOnce(&store::Client, u64) -> Result<T, store::Error>,
    ) -> Result<T, store::Error> {
        let latency = match kind {
            StoreCall::Read => &self.read_latency,
            StoreCall::Write => &self.write_latency,
        };
        let began = self.now();
        let timeout_ms = lock(latency).timeout_ms();
        let limit_ms = timeout_ms.min((deadline.since(began) / 2).max(MIN_CALL_TIMEOUT_MS));
        let result = call(&self.store, limit_ms).await;
        let ms = self.now().since(began);
        if ms >= timeout_ms {
            lock(latency).record_timeout(ms);
        } else if !is_failure(&result) {
            lock(latency).record(ms);
        }
        self.metrics.store_call(kind, !is_failure(&result), ms);
        self.record_call(partition, &result, began);
        result
    }

    /// Reads the row with a key. The page holds that row, or none if there is none.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub(crate) async fn read_row(
        &self,
        partition: PartitionKey<'_>,
        key: &str,
        deadline: Time,
    ) -> Result<Page, store::Error> {
        let end = format!("{key}\u{1}");
        let call = async |store: &store::Client, limit_ms| {
            store
                .read_range(partition, Some(key), Some(&end), limit_ms)
                .await
        };
        self.call(StoreCall::Read, partition.partition, deadline, call)
            .await
    }

    /// Returns whether a partition is unavailable, so that calls to it should be skipped.
    pub(crate) fn is_unavailable(&self, partition: &str) -> bool {
        lock(&self.health)
            .check_availability(partition, self.now())
            .is_some()
    }

    /// Waits until a partition of the store is available, for a request that ends at `deadline` and
    /// has waited since `began`.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the request should not wait any longer.
    pub(crate) async fn wait_until_available(
        &self,
        partition: &str,
        began: Time,
        deadline: Time,
    ) -> Result<(), Rejection> {
        loop {
            let now = self.now();
            let unavailable = lock(&self.health).check_availability(partition, now);
            let unavailable = match unavailable {
                None if now < deadline => return Ok(()),
                None => Unavailable::Partition,
                Some(unavailable) => unavailable,
            };
            match outage::decide_wait(unavailable, deadline.since(began)) {
                Wait::Reject(retry_ms) => return Err(Rejection::NotRun(retry_ms)),
                Wait::Hold(ms) if now.since(began) >= ms => {
                    return Err(Rejection::NotRun(outage::retry_after_hold_ms()));
                }
                Wait::Hold(_) => tokio::time::sleep(STORE_POLL_INTERVAL).await,
            }
        }
    }

    /// Records the result of a store call that started at `began`, and reports changes in the
    /// store's health.
    pub(crate) fn record_call<T>(
        &self,
        partition: &str,
        result: &Result<T, store::Error>,
        began: Time,
    ) {
        let now = self.now();
        let transition = match result {
            Err(store::Error::NotDone(_) | store::Error::Throttled | store::Error::Unknown(_)) => {
                lock(&self.health).record_failure(partition, now)
            }
            _ => lock(&self.health).record_success(partition, began, now),
        };
        match transition {
            Transition::None => {}
            Transition::Suspected => self.store_suspected.notify_one(),
            Transition::Down => {
                let error = result.as_ref().err().map(|error| format!("{error:?}"));
                event!(self.log, Event::StoreDown, "part" => partition.to_owned(), "error" => error);
            }
            Transition::Recovered(ms) => {
                event!(self.log, Event::StoreUp, "ms" => ms);
                self.fleet().record_store_recovery(now);
            }
        }
        if let Err(store::Error::Malformed(error)) = result
            && self.allows_log_line(Event::RowUnreadable)
        {
            event!(self.log, Event::RowUnreadable, "part" => partition.to_owned(), "error" => error.clone());
        }
    }
}

/// Minimum timeout of a call: several times the response time of a healthy store.
const MIN_CALL_TIMEOUT_MS: u64 = 50;

/// First backoff after a failed store call: several times the duration of a call.
const FIRST_BACKOFF_MS: u64 = 50;

/// Maximum backoff: a fraction of a delay that the caller of a turn would notice.
const MAX_BACKOFF_MS: u64 = 100;

/// Exponential backoff between attempts of a store call.
#[derive(Debug)]
pub(crate) struct Backoff(u64);

impl Default for Backoff {
    fn default() -> Self {
        Self(FIRST_BACKOFF_MS)
    }
}

impl Backoff {
    /// Waits for the current backoff and doubles it.
    pub(crate) async fn wait(&mut self) {
        let ms = self.0;
        self.0 = (ms * 2).min(MAX_BACKOFF_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Interval at which a waiting request checks whether the store is available.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Kind of a store call. A write takes several times as long as a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCall {
    /// Reads rows.
    Read,
    /// Changes rows.
    Write,
}

impl StoreCall {
    /// Returns the label of the kind in metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// Maximum number of log lines per event and second: above the rate at normal load, and at most
/// some milliseconds of CPU time.
const MAX_LOG_LINES_PER_SECOND: u32 = 100;

/// Fraction of the memory limit used for cached transcripts (one sixth). The rest is for
/// connections, bodies and the process itself.
const CACHE_MEMORY_DIVISOR: usize = 6;

/// Fraction of the memory limit for buffered bytes (one fifth). Bytes may exist twice for a moment,
/// while they are copied.
const BUFFER_MEMORY_DIVISOR: usize = 5;

/// Returns whether the store failed to execute a call or its outcome is unknown.
const fn is_failure<T>(result: &Result<T, store::Error>) -> bool {
    matches!(
        result,
        Err(store::Error::NotDone(_) | store::Error::Throttled | store::Error::Unknown(_))
    )
}

/// Returns the partition key for the rows of a program or turn. There are enough partitions to keep
/// each one well below its rate limit.
pub(crate) fn partition_key(id: &str) -> String {
    format!("p{:02x}", xxh3_64(id.as_bytes()) % 256)
}

/// Locks a mutex and ignores poisoning: the value stays as a panicking holder left it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
