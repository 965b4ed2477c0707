//! Requests that crash upstreams: marked durably, tried alone, and then quarantined.

mod flight;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::history::Digest;
use basilramp_core::id;
use basilramp_core::suspect::{Suspect, Verdict};
use basilramp_platform::table::{self, Action, Condition, Key, Row, Write};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::record;

use crate::clock::Clock;
use crate::log::{Event, event};
use crate::{commit, log};
use flight::{Flight, Flights};

const PARTITION_KEY: &str = "suspect";

/// Milliseconds after which a trial without an outcome was that of an instance that died.
const TRIAL_MS: u64 = 120_000;

/// Milliseconds after which a request whose twin is being tried is worth sending again.
const RETRY_MS: u64 = 1_000;

/// Tries to record a crash while other instances write the same row.
const RECORD_TRIES: u32 = 8;

const READ_TIMEOUT_MS: u64 = 500;

/// Tries to read a row before the store is taken to be out of reach.
const READ_TRIES: u32 = 4;

const READ_PAUSE: Duration = Duration::from_millis(20);

/// Decides whether requests may be sent.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    table: table::Client,
    commit: commit::Handle,
    clock: Clock,
    wait_ms: u64,
    local: Mutex<Local>,
    flights: Flights,
}

/// What this instance alone knows.
#[derive(Debug, Default)]
struct Local {
    /// Crashes that are not durable yet.
    unrecorded: BTreeSet<Digest>,
    /// Trials of others, and since when their rows have not changed.
    trials: BTreeMap<Digest, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    since: Time,
}

/// Whether a crash is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Crash {
    /// It is durable, and the request may be tried again.
    Recorded,
    /// The request is not sent again for now.
    Barred,
}

/// Opens the table of suspects. Its writes are given up after `wait_ms` milliseconds.
pub(crate) fn open(
    table: table::Client,
    commit: commit::Handle,
    clock: Clock,
    wait_ms: u64,
) -> Handle {
    let shared = Shared {
        table: table.with_timeout(READ_TIMEOUT_MS),
        commit,
        clock,
        wait_ms,
        local: Mutex::default(),
        flights: Flights::default(),
    };
    Handle {
        shared: Arc::new(shared),
    }
}

/// Leave to send a request to one upstream.
#[derive(Debug)]
pub(crate) struct Pass {
    shared: Arc<Shared>,
    fingerprint: Digest,
    upstream: id::Upstream,
    flight: Flight,
    /// The suspect's row while it is tried alone.
    trial: Option<Known>,
}

#[derive(Clone, Debug)]
struct Known {
    suspect: Suspect,
    version: u64,
}

impl Handle {
    /// Waits until another copy of a request may be under way.
    ///
    /// # Errors
    ///
    /// `Overloaded` after `wait_ms` milliseconds.
    pub(crate) async fn enter(&self, fingerprint: Digest, wait_ms: u64) -> Result<Flight, Error> {
        let entered = self.shared.flights.enter(fingerprint, wait_ms).await;
        entered.ok_or_else(|| {
            let message = "copies of the request are under way and none was answered yet";
            Error::new(Kind::Overloaded, message).retry_after(RETRY_MS)
        })
    }

    /// Checks that a request may be sent to an upstream.
    ///
    /// While the store is out of reach, only what this instance knows counts.
    ///
    /// # Errors
    ///
    /// `Quarantined` if it crashed upstreams twice; `Overloaded` if it is being tried alone.
    pub(crate) async fn admit(
        &self,
        flight: Flight,
        upstream: &id::Upstream,
    ) -> Result<Pass, Error> {
        let fingerprint = flight.fingerprint();
        let shared = &self.shared;
        if shared.lock().unrecorded.contains(&fingerprint) {
            return Err(busy());
        }
        let mut pass = Pass {
            shared: Arc::clone(shared),
            fingerprint,
            upstream: upstream.clone(),
            flight,
            trial: None,
        };
        let Some(row) = shared.read(fingerprint).await else {
            return Ok(pass);
        };
        let known = known(&row);
        match known.suspect.verdict() {
            Verdict::Quarantined => {
                let message = "the request crashed upstreams twice";
                return Err(Error::new(Kind::Quarantined, message));
            }
            Verdict::Busy if !shared.is_stale(fingerprint, known.version) => return Err(busy()),
            Verdict::Busy | Verdict::Trial => {}
        }
        pass.trial = Some(shared.start_trial(fingerprint, known, upstream).await?);
        Ok(pass)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Local> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the row of a request; a store that answers no try is taken to be out of reach.
    async fn read(&self, fingerprint: Digest) -> Option<Row> {
        for _ in 0..READ_TRIES {
            if let Ok(row) = self.table.get(&key(fingerprint)).await {
                return row;
            }
            tokio::time::sleep(READ_PAUSE).await;
        }
        None
    }

    /// Tells whether a trial's row has not changed for longer than any trial takes.
    fn is_stale(&self, fingerprint: Digest, version: u64) -> bool {
        let now = self.clock.now();
        let mut local = self.lock();
        let seen = local.trials.entry(fingerprint);
        let seen = seen.or_insert(Seen {
            version,
            since: now,
        });
        if seen.version != version {
            *seen = Seen {
                version,
                since: now,
            };
        }
        now.since(seen.since) >= TRIAL_MS
    }

    async fn start_trial(
        &self,
        fingerprint: Digest,
        known: Known,
        upstream: &id::Upstream,
    ) -> Result<Known, Error> {
        let next = Known {
            suspect: known.suspect.with_trial(upstream),
            version: known.version + 1,
        };
        let write = put(fingerprint, &next, Condition::Version(known.version));
        let written = self.commit.submit_within(vec![write], self.wait_ms).await;
        match written {
            Ok(()) => Ok(next),
            Err(commit::Failure::Conflict) => Err(busy()),
            Err(commit::Failure::Fenced) => {
                let message = "this instance lost the program";
                Err(Error::new(Kind::OwnerUnavailable, message))
            }
            Err(_) => {
                let message = "a suspect request needs the store first";
                Err(Error::new(Kind::StoreUnavailable, message).retry_after(RETRY_MS))
            }
        }
    }

    /// Records a crash durably, and returns what is known then.
    async fn record(&self, fingerprint: Digest, upstream: &id::Upstream) -> Option<Suspect> {
        for _ in 0..RECORD_TRIES {
            let row = self.table.get(&key(fingerprint)).await.ok()?;
            let known = row.as_ref().map(known);
            let version = known.as_ref().map_or(0, |known| known.version);
            let check = match known {
                None => Condition::Absent,
                Some(_) => Condition::Version(version),
            };
            let suspect = Suspect::with_crash(known.map(|known| known.suspect), upstream);
            let next = Known {
                suspect,
                version: version + 1,
            };
            let write = put(fingerprint, &next, check);
            match self.commit.submit_within(vec![write], self.wait_ms).await {
                Ok(()) => return Some(next.suspect),
                Err(commit::Failure::Conflict) => {}
                Err(_) => return None,
            }
        }
        None
    }
}

impl Pass {
    /// Notes that the request was answered whole; a suspect is cleared.
    pub(crate) fn completed(self) {
        self.flight.answered();
        let Some(trial) = self.trial else {
            return;
        };
        let write = Write {
            key: key(self.fingerprint),
            condition: Condition::Version(trial.version),
            action: Action::Delete,
        };
        let shared = self.shared;
        tokio::spawn(async move { shared.commit.submit(vec![write]).await });
    }

    /// Notes that the request was not sent, or was given up without a crash.
    pub(crate) fn abandoned(self) {
        let Some(trial) = self.trial else {
            return;
        };
        let next = Known {
            suspect: trial.suspect.without_trial(),
            version: trial.version + 1,
        };
        let write = put(self.fingerprint, &next, Condition::Version(trial.version));
        let shared = self.shared;
        tokio::spawn(async move { shared.commit.submit(vec![write]).await });
    }

    /// Notes that the upstream crashed with the request in flight.
    ///
    /// Unless the crash is durable this instance does not send the request again; it goes on
    /// trying to record the crash.
    pub(crate) async fn crashed(self, log: &log::Handle) -> Crash {
        let shared = Arc::clone(&self.shared);
        let fingerprint = self.fingerprint;
        event!(log, Event::RequestSuspected,
            "upstream" => %self.upstream, "fingerprint" => %fingerprint);
        self.flight.crashed();
        shared.lock().unrecorded.insert(fingerprint);
        if let Some(suspect) = shared.record(fingerprint, &self.upstream).await {
            shared.lock().unrecorded.remove(&fingerprint);
            return match suspect.verdict() {
                Verdict::Quarantined => {
                    event!(log, Event::RequestQuarantined, "fingerprint" => %fingerprint);
                    Crash::Barred
                }
                Verdict::Trial | Verdict::Busy => Crash::Recorded,
            };
        }
        tokio::spawn(async move {
            while shared.record(fingerprint, &self.upstream).await.is_none() {
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
            shared.lock().unrecorded.remove(&fingerprint);
        });
        Crash::Barred
    }
}

fn busy() -> Error {
    let message = "the request crashed an upstream and is tried alone now";
    Error::new(Kind::Overloaded, message).retry_after(RETRY_MS)
}

fn key(fingerprint: Digest) -> Key {
    Key::new(PARTITION_KEY, fingerprint.to_string())
}

fn known(row: &Row) -> Known {
    let record = serde_json::from_str::<record::Suspect>(&row.body).ok();
    // A row that can't be read bars the request.
    let suspect = record.map_or_else(barred, Suspect::from);
    Known {
        suspect,
        version: row.version,
    }
}

fn barred() -> Suspect {
    Suspect {
        crashes: basilramp_core::suspect::QUARANTINE_CRASHES,
        upstream: id::Upstream::new(""),
        trial: None,
    }
}

fn put(fingerprint: Digest, known: &Known, check: Condition) -> Write {
    let record = record::Suspect::from(&known.suspect);
    let body = serde_json::to_string(&record).unwrap_or_default();
    Write {
        key: key(fingerprint),
        condition: check,
        action: Action::Put {
            version: known.version,
            body: Arc::from(body),
        },
    }
}
