//! What the requests of an instance share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use basilramp_adapter::store;
use basilramp_core::clock::Time;
use basilramp_core::dispatch::admission::AdmissionControl;
use basilramp_core::dispatch::fleet::Fleet;
use basilramp_core::dispatch::outage::{
    self, CallLatency, StoreHealth, Transition, Unavailable, Wait,
};
use basilramp_core::dispatch::request::Rejection;
use basilramp_core::dispatch::route::RouteTable;
use basilramp_process::clock::Source;
use basilramp_process::event;
use basilramp_process::log::Handle;
use basilramp_process::quota::Quota;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::Budgets;
use crate::log_event::Event;
use crate::metric::Metrics;
use crate::pool::Pool;
use crate::run::MIN_SHUTDOWN_MS;
use crate::settings::Settings;
use crate::turn_store::TurnStore;

/// What the requests of an instance share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) clock: Source,
    pub(crate) log: Handle,
    pub(crate) store: store::Client,
    pub(crate) pool: Pool,
    pub(crate) turns: TurnStore,
    pub(crate) budgets: Budgets,
    fleet: Mutex<Fleet>,
    admission: Mutex<AdmissionControl>,
    read_pace: Mutex<CallLatency>,
    write_pace: Mutex<CallLatency>,
    quota: Mutex<Quota>,
    pub(crate) metrics: Metrics,
    table: RwLock<Option<Arc<RouteTable>>>,
    /// The entries of upstreams were read whole once.
    is_fleet_loaded: AtomicBool,
    /// When a stop was asked for, in milliseconds plus one; 0 before.
    stop_requested_at: AtomicU64,
    health: Mutex<StoreHealth>,
    /// Calls fail, and the feeds are to find out whether the store is unavailable.
    pub(crate) store_suspected: Notify,
}

impl State {
    /// Opens the state of an instance that knows nothing yet.
    pub(crate) fn open(settings: Settings, log: Handle, metrics: Metrics) -> Arc<Self> {
        let cache_bytes = settings.memory_mb * 1_024 * 1_024 / CACHE_MEMORY_DIVISOR;
        Arc::new(Self {
            clock: Source::open(),
            log,
            store: store::Client::open(settings.store),
            pool: Pool::default(),
            turns: TurnStore::open(cache_bytes),
            budgets: Budgets::default(),
            fleet: Mutex::default(),
            admission: Mutex::default(),
            read_pace: Mutex::default(),
            write_pace: Mutex::default(),
            quota: Mutex::new(Quota::new(MAX_LOG_LINES_PER_SECOND)),
            metrics,
            table: RwLock::default(),
            is_fleet_loaded: AtomicBool::new(false),
            stop_requested_at: AtomicU64::new(0),
            health: Mutex::default(),
            store_suspected: Notify::new(),
            settings,
        })
    }

    /// Returns the time now.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Tells whether a line of an event is written: so many of each in a second. Failures have
    /// their own kinds, so answered requests never crowd them out.
    pub(crate) fn allows_log_line(&self, event: Event) -> bool {
        let verdict = lock(&self.quota).admit(event.code(), self.now());
        if verdict.left_out > 0 {
            event!(
                self.log,
                Event::LinesLeftOut,
                "of" => event.code(),
                "lines" => verdict.left_out
            );
        }
        verdict.is_written
    }

    /// Locks the fleet.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks what decides on new programs.
    pub(crate) fn admission(&self) -> MutexGuard<'_, AdmissionControl> {
        lock(&self.admission)
    }

    /// Returns the routes in force.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration in force, if it is newer than the one in force.
    pub(crate) fn apply_config(&self, table: RouteTable) -> bool {
        let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = current
            .as_ref()
            .is_none_or(|known| known.config().version < table.config().version);
        if is_newer {
            *current = Some(Arc::new(table));
        }
        is_newer
    }

    /// Notes that the entries of upstreams were read whole.
    pub(crate) fn mark_fleet_loaded(&self) {
        self.is_fleet_loaded.store(true, Ordering::Relaxed);
    }

    /// Starts the stop.
    pub(crate) fn stop(&self) {
        let stop_time = self.now().as_ms() + 1;
        self.stop_requested_at.store(stop_time, Ordering::Relaxed);
    }

    /// Tells whether a stop was asked for.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_requested_at.load(Ordering::Relaxed) > 0
    }

    /// Tells whether the stop is so far that a new request might be cut off by its end.
    pub(crate) fn rejects_new_requests(&self) -> bool {
        match self.stop_requested_at.load(Ordering::Relaxed) {
            0 => false,
            since => self.now().since(Time::from_ms(since - 1)) >= MIN_SHUTDOWN_MS,
        }
    }

    /// Tells whether new connections of callers are welcome.
    pub(crate) fn is_ready(&self) -> bool {
        let is_loaded = self.table().is_some() && self.is_fleet_loaded.load(Ordering::Relaxed);
        is_loaded && !self.is_stopping() && !self.is_store_down()
    }

    /// Tells whether the store does not answer this instance.
    pub(crate) fn is_store_down(&self) -> bool {
        self.store_outage_ms() > 0
    }

    /// Returns for how many milliseconds the store has not answered; 0 if it does.
    pub(crate) fn store_outage_ms(&self) -> u64 {
        lock(&self.health).outage_ms(self.now())
    }

    /// Makes a call of a partition of the store within the time that it usually takes, and within half
    /// of what is left until `ends`, so that an answer can still follow.
    ///
    /// # Errors
    ///
    /// Returns the call's error.
    pub(crate) async fn call<T>(
        &self,
        kind: StoreCall,
        partition: &str,
        ends: Time,
        call: impl AsyncFnOnce(&store::Client, u64) -> Result<T, store::Error>,
    ) -> Result<T, store::Error> {
        let latency = match kind {
            StoreCall::Read => &self.read_pace,
            StoreCall::Write => &self.write_pace,
        };
        let began = self.now();
        let timeout_ms = lock(latency).timeout_ms();
        let limit_ms = timeout_ms.min((ends.since(began) / 2).max(MIN_CALL_TIMEOUT_MS));
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

    /// Tells whether a call of a partition of the store is not worth its while now.
    pub(crate) fn is_unavailable(&self, partition: &str) -> bool {
        lock(&self.health)
            .check_availability(partition, self.now())
            .is_some()
    }

    /// Waits until a partition of the store answers, for a request that ends at `ends` and has waited
    /// since `began`.
    ///
    /// # Errors
    ///
    /// Refuses the request if it should wait no longer.
    pub(crate) async fn wait_until_available(
        &self,
        partition: &str,
        began: Time,
        ends: Time,
    ) -> Result<(), Rejection> {
        loop {
            let now = self.now();
            let unavailable = lock(&self.health).check_availability(partition, now);
            let unavailable = match unavailable {
                None if now < ends => return Ok(()),
                None => Unavailable::Partition,
                Some(unavailable) => unavailable,
            };
            match outage::decide_wait(unavailable, ends.since(began)) {
                Wait::Reject(retry_ms) => return Err(Rejection::NotRun(retry_ms)),
                Wait::Hold(ms) if now.since(began) >= ms => {
                    return Err(Rejection::NotRun(outage::retry_after_hold_ms()));
                }
                Wait::Hold(_) => tokio::time::sleep(STORE_POLL_INTERVAL).await,
            }
        }
    }

    /// Notes what a call of a partition of the store that began at `began` came to.
    pub(crate) fn record_call<T>(
        &self,
        partition: &str,
        result: &Result<T, store::Error>,
        began: Time,
    ) {
        let now = self.now();
        let transition = match result {
            Err(store::Error::NotDone(_) | store::Error::Unknown(_)) => {
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

/// The shortest limit of a call: several timings what one takes when the store is well.
const MIN_CALL_TIMEOUT_MS: u64 = 50;

/// The first pause after a call of the store that failed: several timings what one takes.
const FIRST_BACKOFF_MS: u64 = 50;

/// The longest pause: a fraction of what a caller of a turn notices.
const MAX_BACKOFF_MS: u64 = 100;

/// Backoff between tries of a call of the store, each twice as long as the one before.
#[derive(Debug)]
pub(crate) struct Backoff(u64);

impl Default for Backoff {
    fn default() -> Self {
        Self(FIRST_BACKOFF_MS)
    }
}

impl Backoff {
    /// Waits for the next pause.
    pub(crate) async fn wait(&mut self) {
        let ms = self.0;
        self.0 = (ms * 2).min(MAX_BACKOFF_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Time between two looks of a request that waits for the store.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// What a call of the store does: a write takes several timings as long as a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCall {
    /// It reads rows.
    Read,
    /// It changes rows.
    Write,
}

impl StoreCall {
    /// Returns its name in metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// Lines of one event in a second: above what an instance writes at its usual load, and some
/// milliseconds of a core at most.
const MAX_LOG_LINES_PER_SECOND: u32 = 100;

/// One partition in so many of the memory holds transcripts: the rest is for connections, bodies and
/// the program itself.
const CACHE_MEMORY_DIVISOR: usize = 6;

/// Tells whether the store did not do what a call asked, or did not say.
const fn is_failure<T>(result: &Result<T, store::Error>) -> bool {
    matches!(
        result,
        Err(store::Error::NotDone(_) | store::Error::Unknown(_))
    )
}

/// Returns the partition of the rows of a program or turn: enough parts that none is near its rate.
pub(crate) fn partition_key(id: &str) -> String {
    format!("p{:02x}", xxh3_64(id.as_bytes()) % 256)
}

/// Locks a mutex; a panic of another holder leaves the value as it was.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
