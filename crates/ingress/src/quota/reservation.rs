//! Reserves permits of an account by conditional writes of its rows.

use std::sync::Arc;

use basilramp_adapter::store::{Client, Error, Page, PartitionKey, Transaction};
use basilramp_core::dispatch::quota::{self, Calendar, RowWrite, StoreTime, Terms};
use basilramp_core::history::Digest;
use basilramp_process::clock::boot_time;
use basilramp_process::event;
use serde::{Deserialize, Serialize};
use tokio::sync::OwnedSemaphorePermit;

use super::AccountQuota;
use crate::log_event::Event;
use crate::metric::QuotaCall;
use crate::state::{State, StoreCall, lock, partition_key};

/// Table of the calendars.
const TABLE: &str = "quota";

/// Time limit for a store call, in milliseconds. A request in progress waits for it.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Maximum number of writes of a reservation. Further conflicts mean that many instances write the row.
const MAX_WRITES: u32 = 3;

/// Maximum number of calls of a reservation.
const MAX_CALLS: u32 = 8;

/// Maximum number of rows that are tried for requests that wait.
const MAX_ROWS_TRIED: u32 = 1;

/// Maximum number of slots in a row: a part of the past, and the time for which permits are reserved.
const MAX_ROW_SLOTS: usize = 64;

/// A row.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    rate: i64,
    burst: i64,
    validity: u64,
    rows: u32,
    /// Version of the configuration that set the terms.
    version: u64,
    first: u64,
    level: i64,
    reserved: Vec<u32>,
}

impl Row {
    fn encode(calendar: &Calendar) -> Result<Vec<u8>, Error> {
        let Terms {
            rate,
            burst,
            validity,
            rows,
            version,
        } = calendar.terms;
        let row = Self {
            rate,
            burst,
            validity,
            rows,
            version,
            first: calendar.first,
            level: calendar.level,
            reserved: calendar.reserved.clone(),
        };
        postcard::to_stdvec(&row).map_err(|error| Error::Malformed(error.to_string()))
    }

    fn decode(bytes: &[u8]) -> Result<Calendar, Error> {
        let row: Self =
            postcard::from_bytes(bytes).map_err(|error| Error::Malformed(error.to_string()))?;
        if row.reserved.len() > MAX_ROW_SLOTS {
            return Err(Error::Malformed("the calendar is too long".into()));
        }
        Ok(Calendar {
            terms: Terms {
                rate: row.rate,
                burst: row.burst,
                validity: row.validity,
                rows: row.rows,
                version: row.version,
            },
            first: row.first,
            level: row.level,
            reserved: row.reserved,
        })
    }
}

/// What permits are reserved for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// What is expected.
    Expected,
    /// A number of requests that wait.
    Requests(u32),
    /// A program of a route that begins.
    Program(Arc<str>),
}

/// Result of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The store has confirmed permits.
    Granted,
    /// Another call has granted permits meanwhile.
    Superseded,
    /// The calendar has room after this many milliseconds.
    Full(u64),
    /// Other instances were faster.
    Contended,
    /// The store did not confirm the reservation.
    Failed,
}

/// Starts a reservation for what is expected, unless a call is in flight.
pub(super) fn start(state: &Arc<State>, account: &Arc<AccountQuota>, terms: Terms, is_home: bool) {
    if let Ok(call) = Arc::clone(&account.call).try_acquire_owned() {
        tokio::spawn(run(
            Arc::clone(state),
            Arc::clone(account),
            terms,
            Purpose::Expected,
            is_home,
            call,
        ));
    }
}

/// Reserves permits. `call` allows the calls.
pub(super) async fn run(
    state: Arc<State>,
    account: Arc<AccountQuota>,
    terms: Terms,
    purpose: Purpose,
    is_home: bool,
    call: OwnedSemaphorePermit,
) -> Outcome {
    let mut calls = Calls {
        state: &state,
        account: &account,
        terms,
        purpose,
        is_home,
        made: 0,
        moves: 0,
    };
    let outcome = calls.reserve().await;
    drop(call);
    outcome.unwrap_or_else(|failure| {
        if let Some((step, error)) = failure {
            log_failure(&state, &account.name, step, &error);
        }
        Outcome::Failed
    })
}

/// Why the store did not confirm a reservation: the step and the error, or that the store is
/// unavailable.
type Failure = Option<(&'static str, Error)>;

/// Next step of a reservation.
enum Step {
    Read,
    Write(Box<(quota::Reservation, RowWrite)>),
    End(Outcome),
}

/// The calls of a reservation.
struct Calls<'a> {
    state: &'a State,
    account: &'a AccountQuota,
    terms: Terms,
    purpose: Purpose,
    /// Whether this instance is the home of the row.
    is_home: bool,
    made: u32,
    /// Number of changes to another row.
    moves: u32,
}

impl Calls<'_> {
    async fn reserve(&mut self) -> Result<Outcome, Failure> {
        let mut writes = 0;
        let mut must_read = lock(&self.account.permits).start_call(self.terms, boot_time());
        while self.made < MAX_CALLS {
            let step = match self.state.store.store_time() {
                Some(store_now) if !must_read => self.plan(store_now),
                _ => Step::Read,
            };
            must_read = false;
            match step {
                Step::Read => self.read().await?,
                Step::End(outcome) => return Ok(outcome),
                Step::Write(step) => {
                    let (reservation, write) = *step;
                    if self.write(&reservation, write).await? {
                        return Ok(Outcome::Granted);
                    }
                    writes += 1;
                    if writes == MAX_WRITES {
                        return Ok(Outcome::Contended);
                    }
                }
            }
        }
        Ok(Outcome::Contended)
    }

    /// Decides what to write.
    fn plan(&mut self, store_now: StoreTime) -> Step {
        let now = boot_time();
        let mut permits = lock(&self.account.permits);
        let mut shapes = lock(&self.state.quotas.shapes);
        let purpose = match &self.purpose {
            Purpose::Expected => quota::Purpose {
                is_home: self.is_home,
                ..quota::Purpose::default()
            },
            Purpose::Requests(waiting) => quota::Purpose {
                waiting: *waiting,
                program: None,
                is_home: self.is_home,
            },
            Purpose::Program(route) => quota::Purpose {
                waiting: 1,
                program: Some(shapes.get(route)),
                is_home: self.is_home,
            },
        };
        let reservation = permits.plan(purpose, self.terms, &mut shapes, store_now, now);
        let full = match permits.write(&reservation, now) {
            Ok(write) => return Step::Write(Box::new((reservation, write))),
            Err(full) => full,
        };
        permits.abandon(&reservation);
        if !full.is_certain {
            return Step::Read;
        }
        permits.change_row(self.terms, rand::random());
        self.moves += 1;
        let is_last = self.moves >= self.terms.rows.min(MAX_ROWS_TRIED);
        if is_last || purpose.waiting == 0 {
            return Step::End(Outcome::Full(full.wait_ms));
        }
        if permits.start_call(self.terms, now) {
            return Step::Read;
        }
        drop((permits, shapes));
        self.plan(store_now)
    }

    async fn read(&mut self) -> Result<(), Failure> {
        self.made += 1;
        let row = lock(&self.account.permits).row();
        let place = RowPlace::new(&self.account.name, row);
        if self.state.is_unavailable(&place.partition) {
            return Err(None);
        }
        let deadline = self.state.now().after(2 * CALL_TIMEOUT_MS);
        let page = self.state.read_row(place.key(), &place.row, deadline).await;
        let stored = page.and_then(|page| place.find(&page)).map_err(|error| {
            self.state.metrics.quota_call(QuotaCall::Failed);
            Some(("read", error))
        })?;
        self.state.metrics.quota_call(QuotaCall::Read);
        lock(&self.account.permits).record_row(row, stored, boot_time());
        Ok(())
    }

    /// Writes a row. Returns whether it was written; otherwise another instance had changed it.
    async fn write(
        &mut self,
        reservation: &quota::Reservation,
        write: RowWrite,
    ) -> Result<bool, Failure> {
        self.made += 1;
        let metrics = &self.state.metrics;
        let place = RowPlace::new(&self.account.name, write.row);
        let abandon = || lock(&self.account.permits).abandon(reservation);
        if self.state.is_unavailable(&place.partition) {
            abandon();
            return Err(None);
        }
        let value = Row::encode(&write.calendar).map_err(|error| Some(("write", error)))?;
        let change = Transaction::default()
            .require_version(place.key(), &place.row, write.version)
            .write(place.key(), &place.row, &value);
        let deadline = self.state.now().after(2 * CALL_TIMEOUT_MS);
        let call = async |store: &Client, limit_ms| store.commit(&change, limit_ms).await;
        let result = self
            .state
            .call(StoreCall::Write, &place.partition, deadline, call)
            .await;
        match result {
            Ok(version) => {
                metrics.quota_call(QuotaCall::Written);
                let reserved = write.granted.iter().map(|one| u64::from(one.count));
                metrics.quota_reserved(reserved.sum());
                lock(&self.account.permits).confirm(write, version, boot_time());
                Ok(true)
            }
            Err(Error::Conflict(page)) => {
                metrics.quota_call(QuotaCall::Conflict);
                abandon();
                let stored = place.find(&page).map_err(|error| Some(("write", error)))?;
                let mut permits = lock(&self.account.permits);
                permits.record_row(write.row, stored, boot_time());
                permits.record_conflict(rand::random(), boot_time());
                Ok(false)
            }
            Err(error) => {
                metrics.quota_call(QuotaCall::Failed);
                lock(&self.account.permits).record_failure(boot_time());
                // After an unknown outcome, neither the new permits nor those given up are used.
                if let Error::NotDone(_) | Error::Throttled = error {
                    abandon();
                }
                Err(Some(("write", error)))
            }
        }
    }
}

/// Where a row is stored.
struct RowPlace {
    partition: String,
    row: String,
}

impl RowPlace {
    fn new(account: &str, number: u32) -> Self {
        let digest = Digest::from_parts([account.as_bytes()]);
        let row = format!("{digest}.{number}");
        Self {
            partition: partition_key(&row),
            row,
        }
    }

    fn key(&self) -> PartitionKey<'_> {
        PartitionKey {
            table: TABLE,
            partition: &self.partition,
        }
    }

    /// Returns the row in a response, with its version; `None` if it does not exist.
    fn find(&self, page: &Page) -> Result<Option<(Calendar, u64)>, Error> {
        let row = page.rows.iter().find(|row| *row.key == *self.row);
        let stored = row.and_then(|row| Some((row.value.as_ref()?, row.version)));
        stored
            .map(|(value, version)| Ok((Row::decode(value)?, version)))
            .transpose()
    }
}

fn log_failure(state: &State, account: &str, step: &'static str, error: &Error) {
    if state.allows_log_line(Event::QuotaFailed) {
        event!(
            state.log,
            Event::QuotaFailed,
            "account" => account.to_owned(),
            "step" => step,
            "error" => format!("{error:?}")
        );
    }
}
