//! Requests that crash upstreams: marked durably, tried alone, and then quarantined.

mod in_flight;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::history::Digest;
use basilramp_core::id;
use basilramp_core::suspect::{Suspect, Verdict};
use basilramp_platform::table::{self, Action, Check, Key, Row, Write};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::record;

use crate::clock::Source;
use crate::log::{Event, event};
use crate::{commit, log};
use in_flight::{InFlightCopies, InFlightCopy};

const PARTITION_KEY: &str = "suspect";

/// Milliseconds after which a trial without an outcome was that of an instance that died.
const TRIAL_TIMEOUT_MS: u64 = 120_000;

/// Milliseconds after which a request whose twin is being tried is worth sending again.
const RETRY_DELAY_MS: u64 = 1_000;

/// Tries to record a crash while other instances write the same row.
const MAX_RECORD_ATTEMPTS: u32 = 8;

const READ_TIMEOUT_MS: u64 = 500;

/// Tries to read a row before the store is taken to be out of reach.
const MAX_READ_ATTEMPTS: u32 = 4;

const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Decides whether requests may be sent.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    table: table::Client,
    commit: commit::Handle,
    clock: Source,
    wait_ms: u64,
    local: Mutex<LocalState>,
    copies: InFlightCopies,
}

/// What this instance alone knows.
#[derive(Debug, Default)]
struct LocalState {
    /// Crashes that are not durable yet.
    unrecorded_crashes: BTreeSet<Digest>,
    /// Trials of others, and since when their rows have not changed.
    trials: BTreeMap<Digest, ObservedTrial>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedTrial {
    version: u64,
    since: Time,
}

/// Whether a crash is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashOutcome {
    /// It is durable, and the request may be tried again.
    Recorded,
    /// The request is not sent again for now.
    Blocked,
}

/// Opens the table of suspects. Its writes are given up after `wait_ms` milliseconds.
pub(crate) fn open(
    table: table::Client,
    commit: commit::Handle,
    clock: Source,
    wait_ms: u64,
) -> Handle {
    let shared = Shared {
        table: table.with_timeout(READ_TIMEOUT_MS),
        commit,
        clock,
        wait_ms,
        local: Mutex::default(),
        copies: InFlightCopies::default(),
    };
    Handle {
        shared: Arc::new(shared),
    }
}

/// Leave to send a request to one upstream.
#[derive(Debug)]
pub(crate) struct SendPermit {
    shared: Arc<Shared>,
    fingerprint: Digest,
    upstream: id::Upstream,
    copy: InFlightCopy,
    /// The suspect's row while it is tried alone.
    trial: Option<SuspectRow>,
}

#[derive(Clone, Debug)]
struct SuspectRow {
    suspect: Suspect,
    version: u64,
}

impl Handle {
    /// Waits until another copy of a request may be under way.
    ///
    /// # Errors
    ///
    /// `Overloaded` after `wait_ms` milliseconds.
    pub(crate) async fn start_copy(
        &self,
        fingerprint: Digest,
        wait_ms: u64,
    ) -> Result<InFlightCopy, Error> {
        let copy = self.shared.copies.start_copy(fingerprint, wait_ms).await;
        copy.ok_or_else(|| {
            let message = "copies of the request are under way and none was answered yet";
            Error::new(Kind::Overloaded, message).retry_after(RETRY_DELAY_MS)
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
        copy: InFlightCopy,
        upstream: &id::Upstream,
    ) -> Result<SendPermit, Error> {
        let fingerprint = copy.fingerprint();
        let shared = &self.shared;
        if shared.lock().unrecorded_crashes.contains(&fingerprint) {
            return Err(trial_in_progress());
        }
        let mut permit = SendPermit {
            shared: Arc::clone(shared),
            fingerprint,
            upstream: upstream.clone(),
            copy,
            trial: None,
        };
        let Some(row) = shared.read_row(fingerprint).await else {
            return Ok(permit);
        };
        let known = parse_row(&row);
        match known.suspect.verdict() {
            Verdict::Quarantined => {
                let message = "the request crashed upstreams twice";
                return Err(Error::new(Kind::Quarantined, message));
            }
            Verdict::Busy if !shared.is_trial_stale(fingerprint, known.version) => {
                return Err(trial_in_progress());
            }
            Verdict::Busy | Verdict::Trial => {}
        }
        permit.trial = Some(shared.start_trial(fingerprint, known, upstream).await?);
        Ok(permit)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, LocalState> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the row of a request; a store that answers no try is taken to be out of reach.
    async fn read_row(&self, fingerprint: Digest) -> Option<Row> {
        for _ in 0..MAX_READ_ATTEMPTS {
            if let Ok(row) = self.table.get(&row_key(fingerprint)).await {
                return row;
            }
            tokio::time::sleep(READ_RETRY_DELAY).await;
        }
        None
    }

    /// Tells whether a trial's row has not changed for longer than any trial takes.
    fn is_trial_stale(&self, fingerprint: Digest, version: u64) -> bool {
        let now = self.clock.now();
        let mut local = self.lock();
        let observed = local.trials.entry(fingerprint);
        let observed = observed.or_insert(ObservedTrial {
            version,
            since: now,
        });
        if observed.version != version {
            *observed = ObservedTrial {
                version,
                since: now,
            };
        }
        now.since(observed.since) >= TRIAL_TIMEOUT_MS
    }

    async fn start_trial(
        &self,
        fingerprint: Digest,
        known: SuspectRow,
        upstream: &id::Upstream,
    ) -> Result<SuspectRow, Error> {
        let next = SuspectRow {
            suspect: known.suspect.tried(upstream),
            version: known.version + 1,
        };
        let write = put_row(fingerprint, &next, Check::Version(known.version));
        let result = self
            .commit
            .submit_with_timeout(vec![write], self.wait_ms)
            .await;
        match result {
            Ok(()) => Ok(next),
            Err(commit::Failure::Conflict) => Err(trial_in_progress()),
            Err(commit::Failure::Fenced) => {
                let message = "this instance lost the program";
                Err(Error::new(Kind::OwnerUnavailable, message))
            }
            Err(_) => {
                let message = "a suspect request needs the store first";
                Err(Error::new(Kind::StoreUnavailable, message).retry_after(RETRY_DELAY_MS))
            }
        }
    }

    /// Records a crash durably, and returns what is known then.
    async fn write_crash(&self, fingerprint: Digest, upstream: &id::Upstream) -> Option<Suspect> {
        for _ in 0..MAX_RECORD_ATTEMPTS {
            let row = self.table.get(&row_key(fingerprint)).await.ok()?;
            let known = row.as_ref().map(parse_row);
            let version = known.as_ref().map_or(0, |known| known.version);
            let check = match known {
                None => Check::Absent,
                Some(_) => Check::Version(version),
            };
            let suspect = Suspect::crashed(known.map(|known| known.suspect), upstream);
            let next = SuspectRow {
                suspect,
                version: version + 1,
            };
            let write = put_row(fingerprint, &next, check);
            match self
                .commit
                .submit_with_timeout(vec![write], self.wait_ms)
                .await
            {
                Ok(()) => return Some(next.suspect),
                Err(commit::Failure::Conflict) => {}
                Err(_) => return None,
            }
        }
        None
    }
}

impl SendPermit {
    /// Notes that the request was answered whole; a suspect is cleared.
    pub(crate) fn complete(self) {
        self.copy.record_response();
        let Some(trial) = self.trial else {
            return;
        };
        let write = Write {
            key: row_key(self.fingerprint),
            check: Check::Version(trial.version),
            action: Action::Delete,
        };
        let shared = self.shared;
        tokio::spawn(async move { shared.commit.submit(vec![write]).await });
    }

    /// Notes that the request was not sent, or was given up without a crash.
    pub(crate) fn abandon(self) {
        let Some(trial) = self.trial else {
            return;
        };
        let next = SuspectRow {
            suspect: trial.suspect.untried(),
            version: trial.version + 1,
        };
        let write = put_row(self.fingerprint, &next, Check::Version(trial.version));
        let shared = self.shared;
        tokio::spawn(async move { shared.commit.submit(vec![write]).await });
    }

    /// Notes that the upstream crashed with the request in copy.
    ///
    /// Unless the crash is durable this instance does not send the request again; it goes on
    /// trying to record the crash.
    pub(crate) async fn record_crash(self, log: &log::Handle) -> CrashOutcome {
        let shared = Arc::clone(&self.shared);
        let fingerprint = self.fingerprint;
        event!(log, Event::RequestSuspected,
            "upstream" => %self.upstream, "fingerprint" => %fingerprint);
        self.copy.record_crash();
        shared.lock().unrecorded_crashes.insert(fingerprint);
        if let Some(suspect) = shared.write_crash(fingerprint, &self.upstream).await {
            shared.lock().unrecorded_crashes.remove(&fingerprint);
            return match suspect.verdict() {
                Verdict::Quarantined => {
                    event!(log, Event::RequestQuarantined, "fingerprint" => %fingerprint);
                    CrashOutcome::Blocked
                }
                Verdict::Trial | Verdict::Busy => CrashOutcome::Recorded,
            };
        }
        tokio::spawn(async move {
            while shared
                .write_crash(fingerprint, &self.upstream)
                .await
                .is_none()
            {
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
            shared.lock().unrecorded_crashes.remove(&fingerprint);
        });
        CrashOutcome::Blocked
    }
}

fn trial_in_progress() -> Error {
    let message = "the request crashed an upstream and is tried alone now";
    Error::new(Kind::Overloaded, message).retry_after(RETRY_DELAY_MS)
}

fn row_key(fingerprint: Digest) -> Key {
    Key::new(PARTITION_KEY, fingerprint.to_string())
}

fn parse_row(row: &Row) -> SuspectRow {
    let record = serde_json::from_str::<record::Suspect>(&row.body).ok();
    // A row that can't be read bars the request.
    let suspect = record.map_or_else(quarantined_suspect, Suspect::from);
    SuspectRow {
        suspect,
        version: row.version,
    }
}

fn quarantined_suspect() -> Suspect {
    Suspect {
        crashes: basilramp_core::suspect::CRASHES,
        upstream: id::Upstream::new(""),
        trial: None,
    }
}

fn put_row(fingerprint: Digest, known: &SuspectRow, check: Check) -> Write {
    let record = record::Suspect::from(&known.suspect);
    let body = serde_json::to_string(&record).unwrap_or_default();
    Write {
        key: row_key(fingerprint),
        check,
        action: Action::Put {
            version: known.version,
            body: Arc::from(body),
        },
    }
}
