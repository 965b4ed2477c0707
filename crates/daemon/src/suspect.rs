//! Detection of requests that crash upstreams.
//!
//! A crash is recorded durably under the request's fingerprint. Afterwards the request may be sent
//! only as a trial, one copy at a time across all instances. A second crash quarantines it.

mod in_flight;
mod peer_crashes;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::history::Digest;
use basilramp_core::id;
use basilramp_core::suspect::{Limits, Suspect, Verdict};
use basilramp_platform::table::{self, Action, Condition, Key, Row, Write};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::record;

use crate::clock::Clock;
use crate::log::{Event, event};
use crate::{commit, log};
use in_flight::{InFlightCopies, InFlightCopy};
pub(crate) use peer_crashes::PeerCrashes;

const PARTITION_KEY: &str = "suspect";

/// Age after which a trial without an outcome is taken to be of an instance that died.
const TRIAL_TIMEOUT_MS: u64 = 120_000;

/// Retry delay for a request that is blocked by a trial.
const RETRY_DELAY_MS: u64 = 1_000;

/// Delay between attempts to record a crash. It is short, as the program's next owner may send the
/// request again until the crash is durable.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Attempts to record a crash while other instances write the same row.
const MAX_RECORD_ATTEMPTS: u32 = 8;

const READ_TIMEOUT_MS: u64 = 500;

/// Attempts to read a row before the store is considered unavailable.
const MAX_READ_ATTEMPTS: u32 = 4;

const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Decides whether a request may be sent to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    table: table::Client,
    /// Writes crashes. They need no lease: the version of a suspect's row decides between instances,
    /// and an instance that has lost its lease must not keep a crash to itself.
    crash_table: table::Client,
    commit: commit::Handle,
    peer_crashes: PeerCrashes,
    clock: Clock,
    write_timeout_ms: u64,
    local: Mutex<LocalState>,
    copies: InFlightCopies,
}

/// State of this instance that is not in the store.
#[derive(Debug, Default)]
struct LocalState {
    /// Requests with a crash that is not durable yet.
    unrecorded_crashes: BTreeSet<Digest>,
    /// Trials of other instances, and when their rows were last seen to change.
    trials: BTreeMap<Digest, ObservedTrial>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedTrial {
    version: u64,
    since: Time,
}

/// The result of recording a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashOutcome {
    /// The request may be sent again: the crash is durable and did not quarantine it, or the
    /// upstream had not crashed.
    MayRetry,
    /// The request must not be sent again: it is quarantined, or the crash is not durable yet.
    Blocked,
}

/// Opens the table of suspects. Its writes time out after `write_timeout_ms` milliseconds.
pub(crate) fn open(
    table: table::Client,
    commit: commit::Handle,
    peer_crashes: PeerCrashes,
    clock: Clock,
    write_timeout_ms: u64,
) -> Handle {
    let shared = Shared {
        table: table.with_timeout(READ_TIMEOUT_MS),
        crash_table: table.with_timeout(write_timeout_ms),
        commit,
        peer_crashes,
        clock,
        write_timeout_ms,
        local: Mutex::default(),
        copies: InFlightCopies::default(),
    };
    Handle {
        shared: Arc::new(shared),
    }
}

/// Permission to send a request to one upstream.
#[derive(Debug)]
pub(crate) struct SendPermit {
    shared: Arc<Shared>,
    fingerprint: Digest,
    upstream: id::Upstream,
    /// Identifies the crash that the request may cause. An engine that restarts has another epoch,
    /// so that its next crash counts as well.
    crash: id::Upstream,
    copy: InFlightCopy,
    /// The row of the suspect, if this is its trial.
    trial: Option<SuspectRow>,
}

#[derive(Clone, Debug)]
struct SuspectRow {
    suspect: Suspect,
    version: u64,
}

impl Handle {
    /// Waits until another copy of a request may be in flight on this instance.
    ///
    /// # Errors
    ///
    /// Returns `Overloaded` after `wait_ms` milliseconds.
    pub(crate) async fn start_copy(
        &self,
        fingerprint: Digest,
        wait_ms: u64,
    ) -> Result<InFlightCopy, Error> {
        let copy = self.shared.copies.start_copy(fingerprint, wait_ms).await;
        copy.ok_or_else(|| {
            let message = "too many copies of the request are in flight and none has completed yet";
            Error::new(Kind::Overloaded, message).retry_after(RETRY_DELAY_MS)
        })
    }

    /// Returns whether a crash by a request is not durable yet.
    pub(crate) fn has_unrecorded(&self, fingerprint: Digest) -> bool {
        let local = self.shared.lock();
        local.unrecorded_crashes.contains(&fingerprint)
    }

    /// Checks that a request may be sent to an upstream.
    ///
    /// While the store is unavailable, only this instance's own state is checked. Before a trial,
    /// the other instances are asked for crashes that are not durable yet: an earlier owner of the
    /// program may have seen one that its row does not count.
    ///
    /// # Errors
    ///
    /// Returns `Quarantined` if the request crashed upstreams twice, and `Overloaded` if another
    /// copy is on trial or a crash is not durable yet, here or at another instance. If the trial can't be recorded, returns
    /// `OwnerUnavailable` or `StoreUnavailable`.
    pub(crate) async fn admit(
        &self,
        copy: InFlightCopy,
        upstream: &id::Upstream,
        epoch: Option<u64>,
    ) -> Result<SendPermit, Error> {
        let fingerprint = copy.fingerprint();
        let shared = &self.shared;
        if self.has_unrecorded(fingerprint) {
            return Err(temporarily_blocked());
        }
        let mut permit = SendPermit {
            shared: Arc::clone(shared),
            fingerprint,
            upstream: upstream.clone(),
            crash: crash_id(upstream, epoch),
            copy,
            trial: None,
        };
        let Some(row) = shared.read_row(fingerprint).await else {
            return Ok(permit);
        };
        let known = parse_row(&row);
        match known.suspect.verdict(Limits::OWNED) {
            Verdict::Quarantined => {
                let message = "the request crashed upstreams twice";
                return Err(Error::new(Kind::Quarantined, message));
            }
            Verdict::Busy if !shared.is_trial_stale(fingerprint, known.version) => {
                return Err(temporarily_blocked());
            }
            Verdict::Busy | Verdict::Trial | Verdict::Unrestricted => {}
        }
        // A crash that becomes durable after the answers changes the row, which fails the trial's
        // write.
        if shared.peer_crashes.any_unrecorded(fingerprint).await {
            return Err(temporarily_blocked());
        }
        permit.trial = Some(
            shared
                .start_trial(fingerprint, known, &permit.crash)
                .await?,
        );
        Ok(permit)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, LocalState> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the row of a request. Returns `None` if there is none or the store is unavailable.
    async fn read_row(&self, fingerprint: Digest) -> Option<Row> {
        for _ in 0..MAX_READ_ATTEMPTS {
            if let Ok(row) = self.table.get(&row_key(fingerprint)).await {
                return row;
            }
            tokio::time::sleep(READ_RETRY_DELAY).await;
        }
        None
    }

    /// Returns whether a trial's row has not changed for [`TRIAL_TIMEOUT_MS`].
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
        crash: &id::Upstream,
    ) -> Result<SuspectRow, Error> {
        let next = SuspectRow {
            suspect: known.suspect.with_trial(crash),
            version: known.version + 1,
        };
        let write = put_row(fingerprint, &next, Condition::Version(known.version));
        let result = self
            .commit
            .submit_with_timeout(vec![write], self.write_timeout_ms)
            .await;
        match result {
            Ok(()) => Ok(next),
            Err(commit::Failure::Conflict) => Err(temporarily_blocked()),
            Err(commit::Failure::Fenced) => {
                let message = "this instance no longer owns the program";
                Err(Error::new(Kind::OwnerUnavailable, message))
            }
            Err(failure) => {
                if failure == commit::Failure::Unknown {
                    // The write may still be made. Without an end, the trial would block the request
                    // until it is stale.
                    self.end_trial(fingerprint, next);
                }
                let message = "the trial of a suspect request could not be recorded in the store";
                Err(Error::new(Kind::StoreUnavailable, message).retry_after(RETRY_DELAY_MS))
            }
        }
    }

    /// Ends a trial without an outcome, in the background.
    fn end_trial(&self, fingerprint: Digest, trial: SuspectRow) {
        let next = SuspectRow {
            suspect: trial.suspect.without_trial(),
            version: trial.version + 1,
        };
        let write = put_row(fingerprint, &next, Condition::Version(trial.version));
        let commit = self.commit.clone();
        tokio::spawn(async move { commit.submit(vec![write]).await });
    }

    /// Writes a crash to the store and returns the updated suspect. Returns `None` on failure.
    async fn write_crash(&self, fingerprint: Digest, crash: &id::Upstream) -> Option<Suspect> {
        for _ in 0..MAX_RECORD_ATTEMPTS {
            let row = self.table.get(&row_key(fingerprint)).await.ok()?;
            let known = row.as_ref().map(parse_row);
            let version = known.as_ref().map_or(0, |known| known.version);
            let check = match known {
                None => Condition::Absent,
                Some(_) => Condition::Version(version),
            };
            let suspect = Suspect::with_crash(known.map(|known| known.suspect), crash);
            let next = SuspectRow {
                suspect,
                version: version + 1,
            };
            let write = put_row(fingerprint, &next, check);
            // A write with an unknown outcome is repeated: the same crash counts once.
            match self
                .crash_table
                .transact(&commit::new_token(), &[write])
                .await
            {
                Ok(()) => return Some(next.suspect),
                Err(table::Failure::ConditionsFailed(_)) => {}
                Err(_) => return None,
            }
        }
        None
    }
}

impl SendPermit {
    /// Records that the request completed. Deletes the suspect's row if this was its trial.
    pub(crate) fn complete(self) {
        self.copy.record_completion();
        let Some(trial) = self.trial else {
            return;
        };
        let write = Write {
            key: row_key(self.fingerprint),
            condition: Condition::Version(trial.version),
            action: Action::Delete,
        };
        let shared = self.shared;
        tokio::spawn(async move { shared.commit.submit(vec![write]).await });
    }

    /// Records that the request was not sent, or was cancelled or failed without a crash. Ends the
    /// trial without an outcome.
    pub(crate) fn abandon(self) {
        if let Some(trial) = self.trial {
            self.shared.end_trial(self.fingerprint, trial);
        }
    }

    /// Records that the upstream crashed while the request was in flight.
    ///
    /// If the crash can't be written now, this instance blocks the request and retries the write in
    /// the background until the crash is durable.
    pub(crate) async fn record_crash(self, log: &log::Handle) -> CrashOutcome {
        let shared = Arc::clone(&self.shared);
        let fingerprint = self.fingerprint;
        event!(log, Event::RequestSuspected,
            "upstream" => %self.upstream, "fingerprint" => %fingerprint);
        self.copy.record_crash();
        shared.lock().unrecorded_crashes.insert(fingerprint);
        if let Some(suspect) = shared.write_crash(fingerprint, &self.crash).await {
            shared.lock().unrecorded_crashes.remove(&fingerprint);
            return match suspect.verdict(Limits::OWNED) {
                Verdict::Quarantined => {
                    event!(log, Event::RequestQuarantined, "fingerprint" => %fingerprint);
                    CrashOutcome::Blocked
                }
                Verdict::Unrestricted | Verdict::Trial | Verdict::Busy => CrashOutcome::MayRetry,
            };
        }
        event!(log, Event::CrashUnrecorded, "fingerprint" => %fingerprint);
        tokio::spawn(async move {
            while shared.write_crash(fingerprint, &self.crash).await.is_none() {
                tokio::time::sleep(RECORD_RETRY_DELAY).await;
            }
            shared.lock().unrecorded_crashes.remove(&fingerprint);
        });
        CrashOutcome::Blocked
    }
}

/// Returns the name under which a crash of an upstream in an epoch is counted.
fn crash_id(upstream: &id::Upstream, epoch: Option<u64>) -> id::Upstream {
    match epoch {
        Some(epoch) => id::Upstream::new(format!("{upstream}@{epoch}")),
        None => upstream.clone(),
    }
}

fn temporarily_blocked() -> Error {
    let message = "the request crashed an upstream and must not be sent now";
    Error::new(Kind::Overloaded, message).retry_after(RETRY_DELAY_MS)
}

fn row_key(fingerprint: Digest) -> Key {
    Key::new(PARTITION_KEY, fingerprint.to_string())
}

fn parse_row(row: &Row) -> SuspectRow {
    let record = serde_json::from_str::<record::Suspect>(&row.body).ok();
    // A row that can't be parsed quarantines the request.
    let suspect = record.map_or_else(quarantined_suspect, Suspect::from);
    SuspectRow {
        suspect,
        version: row.version,
    }
}

fn quarantined_suspect() -> Suspect {
    Suspect {
        crashed: vec![id::Upstream::new(""); Limits::OWNED.quarantine],
        ..Suspect::default()
    }
}

fn put_row(fingerprint: Digest, known: &SuspectRow, check: Condition) -> Write {
    let record = record::Suspect::from(&known.suspect);
    let body = serde_json::to_string(&record).unwrap_or_default();
    Write {
        key: row_key(fingerprint),
        condition: check,
        action: Action::Put {
            version: known.version,
            body: Arc::from(body),
        },
    }
}
