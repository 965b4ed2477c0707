//! What the requests of an instance share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use basilramp_adapter::store;
use basilramp_core::clock::Time;
use basilramp_core::dispatch::call::Refusal;
use basilramp_core::dispatch::door::Door;
use basilramp_core::dispatch::fleet::Fleet;
use basilramp_core::dispatch::outage::{self, Away, Health, Pace, Shown, Wait};
use basilramp_core::dispatch::route::Table;
use basilramp_process::clock::Clock;
use basilramp_process::event;
use basilramp_process::log::Handle;
use basilramp_process::log_rate::LogRateLimiter;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::Book;
use crate::history::Shelf;
use crate::log_event::Event;
use crate::metric::Metrics;
use crate::pool::Pool;
use crate::run::LEAST_STOP_MS;
use crate::settings::Settings;

/// What the requests of an instance share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) log: Handle,
    pub(crate) store: store::Client,
    pub(crate) pool: Pool,
    pub(crate) shelf: Shelf,
    pub(crate) book: Book,
    fleet: Mutex<Fleet>,
    door: Mutex<Door>,
    read_pace: Mutex<Pace>,
    write_pace: Mutex<Pace>,
    quota: Mutex<LogRateLimiter>,
    pub(crate) metrics: Metrics,
    table: RwLock<Option<Arc<Table>>>,
    /// The entries of upstreams were read whole once.
    knows_fleet: AtomicBool,
    /// When a stop was asked for, in milliseconds plus one; 0 before.
    stopping: AtomicU64,
    health: Mutex<Health>,
    /// Calls fail, and the feeds are to find out whether the store is away.
    pub(crate) doubt: Notify,
}

impl State {
    /// Opens the state of an instance that knows nothing yet.
    pub(crate) fn open(settings: Settings, log: Handle, metrics: Metrics) -> Arc<Self> {
        let cache_bytes = settings.memory_mb * 1_024 * 1_024 / CACHE_SHARE;
        Arc::new(Self {
            clock: Clock::start(),
            log,
            store: store::Client::open(settings.store),
            pool: Pool::default(),
            shelf: Shelf::open(cache_bytes),
            book: Book::default(),
            fleet: Mutex::default(),
            door: Mutex::default(),
            read_pace: Mutex::default(),
            write_pace: Mutex::default(),
            quota: Mutex::new(LogRateLimiter::new(LINES_PER_SECOND)),
            metrics,
            table: RwLock::default(),
            knows_fleet: AtomicBool::new(false),
            stopping: AtomicU64::new(0),
            health: Mutex::default(),
            doubt: Notify::new(),
            settings,
        })
    }

    /// Returns the time now.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Tells whether a line of an event is written: so many of each in a second. Failures have
    /// their own kinds, so answered requests never crowd them out.
    pub(crate) fn admits(&self, event: Event) -> bool {
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

    /// Locks what decides on new programs.
    pub(crate) fn door(&self) -> MutexGuard<'_, Door> {
        lock(&self.door)
    }

    /// Returns the routes in force.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        self.table
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration in force, if it is newer than the one in force.
    pub(crate) fn put_in_force(&self, table: Table) -> bool {
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
    pub(crate) fn fleet_known(&self) {
        self.knows_fleet.store(true, Ordering::Relaxed);
    }

    /// Starts the stop.
    pub(crate) fn stop(&self) {
        let mark = self.now().as_ms() + 1;
        self.stopping.store(mark, Ordering::Relaxed);
    }

    /// Tells whether a stop was asked for.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed) > 0
    }

    /// Tells whether the stop is so far that a new request might be cut off by its end.
    pub(crate) fn is_closing(&self) -> bool {
        match self.stopping.load(Ordering::Relaxed) {
            0 => false,
            since => self.now().since(Time::from_ms(since - 1)) >= LEAST_STOP_MS,
        }
    }

    /// Tells whether new connections of callers are welcome.
    pub(crate) fn is_ready(&self) -> bool {
        let knows_all = self.table().is_some() && self.knows_fleet.load(Ordering::Relaxed);
        knows_all && !self.is_stopping() && !self.is_store_down()
    }

    /// Tells whether the store does not answer this instance.
    pub(crate) fn is_store_down(&self) -> bool {
        self.store_down_ms() > 0
    }

    /// Returns for how many milliseconds the store has not answered; 0 if it does.
    pub(crate) fn store_down_ms(&self) -> u64 {
        lock(&self.health).down_ms(self.now())
    }

    /// Makes a call of a part of the store within the time that it usually takes, and within half
    /// of what is left until `ends`, so that an answer can still follow.
    ///
    /// # Errors
    ///
    /// Returns the call's error.
    pub(crate) async fn call<T>(
        &self,
        kind: Call,
        part: &str,
        ends: Time,
        call: impl AsyncFnOnce(&store::Client, u64) -> Result<T, store::Error>,
    ) -> Result<T, store::Error> {
        let pace = match kind {
            Call::Read => &self.read_pace,
            Call::Write => &self.write_pace,
        };
        let began = self.now();
        let usual_ms = lock(pace).limit_ms();
        let limit_ms = usual_ms.min((ends.since(began) / 2).max(LEAST_CALL_MS));
        let result = call(&self.store, limit_ms).await;
        let ms = self.now().since(began);
        if ms >= usual_ms {
            lock(pace).give_up(ms);
        } else if !is_failure(&result) {
            lock(pace).note(ms);
        }
        self.metrics.store_call(kind, !is_failure(&result), ms);
        self.note_call(part, &result, began);
        result
    }

    /// Tells whether a call of a part of the store is not worth its while now.
    pub(crate) fn is_away(&self, part: &str) -> bool {
        lock(&self.health).away(part, self.now()).is_some()
    }

    /// Waits until a part of the store answers, for a request that ends at `ends` and has waited
    /// since `began`.
    ///
    /// # Errors
    ///
    /// Refuses the request if it should wait no longer.
    pub(crate) async fn part_up(&self, part: &str, began: Time, ends: Time) -> Result<(), Refusal> {
        loop {
            let now = self.now();
            let away = lock(&self.health).away(part, now);
            let away = match away {
                None if now < ends => return Ok(()),
                None => Away::Part,
                Some(away) => away,
            };
            match outage::wait(away, ends.since(began)) {
                Wait::Refuse(retry_ms) => return Err(Refusal::NotRun(retry_ms)),
                Wait::Hold(ms) if now.since(began) >= ms => {
                    return Err(Refusal::NotRun(outage::retry_after_hold_ms()));
                }
                Wait::Hold(_) => tokio::time::sleep(STORE_PAUSE).await,
            }
        }
    }

    /// Notes what a call of a part of the store that began at `began` came to.
    pub(crate) fn note_call<T>(&self, part: &str, result: &Result<T, store::Error>, began: Time) {
        let now = self.now();
        let shown = match result {
            Err(store::Error::NotDone(_) | store::Error::Unknown(_)) => {
                lock(&self.health).failed(part, now)
            }
            _ => lock(&self.health).answered(part, began, now),
        };
        match shown {
            Shown::Nothing => {}
            Shown::Doubt => self.doubt.notify_one(),
            Shown::Down => {
                let error = result.as_ref().err().map(|error| format!("{error:?}"));
                event!(self.log, Event::StoreDown, "part" => part.to_owned(), "error" => error);
            }
            Shown::Up(ms) => {
                event!(self.log, Event::StoreUp, "ms" => ms);
                self.fleet().store_returned(now);
            }
        }
        if let Err(store::Error::Malformed(error)) = result
            && self.admits(Event::RowUnreadable)
        {
            event!(self.log, Event::RowUnreadable, "part" => part.to_owned(), "error" => error.clone());
        }
    }
}

/// The shortest limit of a call: several times what one takes when the store is well.
const LEAST_CALL_MS: u64 = 50;

/// The first pause after a call of the store that failed: several times what one takes.
const FIRST_PAUSE_MS: u64 = 50;

/// The longest pause: a fraction of what a caller of a turn notices.
const MOST_PAUSE_MS: u64 = 100;

/// Pauses between tries of a call of the store, each twice as long as the one before.
#[derive(Debug)]
pub(crate) struct Pauses(u64);

impl Default for Pauses {
    fn default() -> Self {
        Self(FIRST_PAUSE_MS)
    }
}

impl Pauses {
    /// Waits for the next pause.
    pub(crate) async fn wait(&mut self) {
        let ms = self.0;
        self.0 = (ms * 2).min(MOST_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Time between two looks of a request that waits for the store.
const STORE_PAUSE: Duration = Duration::from_millis(30);

/// What a call of the store does: a write takes several times as long as a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    /// It reads rows.
    Read,
    /// It changes rows.
    Write,
}

impl Call {
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
const LINES_PER_SECOND: u32 = 100;

/// One part in so many of the memory holds transcripts: the rest is for connections, bodies and
/// the program itself.
const CACHE_SHARE: usize = 6;

/// Tells whether the store did not do what a call asked, or did not say.
const fn is_failure<T>(result: &Result<T, store::Error>) -> bool {
    matches!(
        result,
        Err(store::Error::NotDone(_) | store::Error::Unknown(_))
    )
}

/// Returns the part of the rows of a program or turn: enough parts that none is near its rate.
pub(crate) fn part(id: &str) -> String {
    format!("p{:02x}", xxh3_64(id.as_bytes()) % 256)
}

/// Locks a mutex; a panic of another holder leaves the value as it was.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
