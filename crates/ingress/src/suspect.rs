//! Requests that may crash upstreams, shared by all instances through the store.
//!
//! The rows of a small table name the suspects. Every instance follows it, so that sound requests
//! cost no calls of their own.

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use basilramp_adapter::store::{self, Client, Error, Page, PartitionKey, Transaction};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::Upstream;
use basilramp_core::dispatch::placement::Placement;
use basilramp_core::dispatch::request::Rejection;
use basilramp_core::history::Digest;
use basilramp_core::id;
use basilramp_core::suspect::{Change, Suspect, Table, Verdict};
use basilramp_process::event;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::active_request::ActiveRequest;
use crate::feed;
use crate::log_event::Event;
use crate::state::{Backoff, State, StoreCall, lock};

/// Table of the suspects; the row key is the fingerprint. It has one partition, as it is mostly
/// empty and read as a whole.
pub(crate) const TABLE: &str = "suspect";

const PARTITION: PartitionKey<'static> = PartitionKey {
    table: TABLE,
    partition: "",
};

/// Time limit for a write, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 800;

/// Maximum number of changes in one transaction. The store accepts one hundred entries, and a change
/// takes two.
const MAX_CHANGES_PER_WRITE: usize = 48;

/// Retry delay sent to a caller whose request is on trial elsewhere, in milliseconds.
const BUSY_RETRY_MS: u64 = 500;

/// How long a request waits for its crash to be stored before it is sent again.
const STORE_WAIT: Duration = Duration::from_millis(300);

/// Age of a crash from which on its upstream's heartbeats prove that it is alive, in milliseconds.
/// A younger heartbeat may have been written before the crash.
const HEARTBEAT_DELAY_MS: u64 = 2_000;

/// Heartbeats that prove it. After an outage of the store, a single one may be an old one.
const REQUIRED_HEARTBEATS: u32 = 2;

/// How long an upstream is observed after its crash, in milliseconds: several of its heartbeats.
const OBSERVATION_MS: u64 = 20_000;

/// The suspects as known to this instance.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    table: Mutex<Table>,
    /// Upstreams whose crashes this instance recorded lately.
    accused: Mutex<BTreeMap<id::Upstream, Accusation>>,
    /// Wakes the writer of changes.
    changed: Notify,
    /// Wakes the requests that wait for their crashes to be stored.
    written: Notify,
}

#[derive(Clone, Copy, Debug)]
struct Accusation {
    since: Time,
    heartbeats: u32,
}

/// Content of a suspect's row.
#[derive(Serialize, Deserialize)]
struct Row {
    upstreams: Vec<String>,
    trial: Option<String>,
    #[serde(default)]
    target: Option<String>,
    #[serde(default)]
    failed_trial: bool,
}

impl From<&Suspect> for Row {
    fn from(suspect: &Suspect) -> Self {
        Self {
            upstreams: suspect.crashed.iter().map(ToString::to_string).collect(),
            trial: suspect.trial.as_ref().map(ToString::to_string),
            target: suspect.target.as_ref().map(ToString::to_string),
            failed_trial: suspect.has_failed_trial,
        }
    }
}

impl From<Row> for Suspect {
    fn from(row: Row) -> Self {
        Self {
            crashed: row.upstreams.into_iter().map(id::Upstream::new).collect(),
            trial: row.trial.map(id::Upstream::new),
            target: row.target.and_then(|target| target.parse().ok()),
            has_failed_trial: row.failed_trial,
        }
    }
}

/// A trial of a suspect. Dropping it ends the trial, without an outcome if none is recorded.
#[derive(Debug)]
pub(crate) struct Trial {
    state: Arc<State>,
    fingerprint: Digest,
    upstream: id::Upstream,
    /// Whether the request goes on at another upstream, whose trial has taken the place of this one.
    is_moved: bool,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let suspects = &self.state.suspects;
        if !self.is_moved && suspects.table().end_trial(self.fingerprint, &self.upstream) {
            suspects.changed.notify_one();
        }
    }
}

impl Suspects {
    /// Locks the table.
    pub(crate) fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    /// Records a heartbeat of an upstream, which may not have crashed after all.
    pub(crate) fn record_heartbeat(&self, state: &State, upstream: &Upstream, now: Time) {
        let mut accused = lock(&self.accused);
        if accused.is_empty() {
            return;
        }
        accused.retain(|_, accusation| now.since(accusation.since) < OBSERVATION_MS);
        let upstream = upstream.incarnation();
        let Some(accusation) = accused.get_mut(&upstream) else {
            return;
        };
        if now.since(accusation.since) >= HEARTBEAT_DELAY_MS {
            accusation.heartbeats += 1;
        }
        if accusation.heartbeats < REQUIRED_HEARTBEATS {
            return;
        }
        accused.remove(&upstream);
        drop(accused);
        for fingerprint in self.table().retract(&upstream, now) {
            log_cleared(state, fingerprint, "upstream is alive");
        }
        self.changed.notify_one();
    }

    /// Releases a suspect, or a target, for an operator. Returns whether there was one.
    pub(crate) fn release(&self, state: &State, digest: Digest) -> bool {
        self.clear(state, digest, "operator") || self.exonerate(state, digest, "operator")
    }

    fn exonerate(&self, state: &State, target: Digest, cause: &'static str) -> bool {
        let is_known = self.table().exonerate(target);
        if is_known {
            if state.allows_log_line(Event::SuspectCleared) {
                event!(
                    state.log,
                    Event::SuspectCleared,
                    "target" => target.to_string(),
                    "cause" => cause
                );
            }
            self.changed.notify_one();
        }
        is_known
    }

    fn clear(&self, state: &State, fingerprint: Digest, cause: &'static str) -> bool {
        let is_cleared = self.table().clear(fingerprint);
        if is_cleared {
            log_cleared(state, fingerprint, cause);
            self.changed.notify_one();
        }
        is_cleared
    }
}

/// A request whose connection ended.
#[derive(Clone, Debug)]
pub(crate) struct Interrupted {
    attempt_id: Arc<str>,
    fingerprint: Digest,
    target: Digest,
}

impl From<&ActiveRequest> for Interrupted {
    fn from(request: &ActiveRequest) -> Self {
        Self {
            attempt_id: Arc::clone(&request.attempt_id),
            fingerprint: request.fingerprint(),
            target: request.target(),
        }
    }
}

/// Checks that a request is not quarantined and not on trial elsewhere.
///
/// # Errors
///
/// Returns a rejection otherwise.
pub(crate) fn check(request: &ActiveRequest) -> Result<(), Rejection> {
    verdict(request).map(|_| ())
}

/// Checks that a request may be sent, and starts a trial if it needs one.
///
/// # Errors
///
/// Returns a rejection if the request must not be sent now.
pub(crate) async fn admit(
    request: &mut ActiveRequest,
    placement: &Placement,
) -> Result<(), Rejection> {
    // A request that was not run on its trial goes on with it at another upstream.
    let mut earlier = request.trial.take();
    match verdict(request) {
        // The trial that keeps copies waiting is its own.
        Err(Rejection::NotRun(_)) if earlier.is_some() => {}
        Ok(Verdict::Trial) => {}
        Ok(_) => return Ok(()),
        Err(rejection) => return Err(rejection),
    }
    let state = Arc::clone(&request.state);
    let busy = Rejection::NotRun(BUSY_RETRY_MS);
    let fingerprint = request.fingerprint();
    let upstream = {
        let fleet = state.fleet();
        let entry = fleet.get(placement.key).ok_or(busy)?;
        entry.upstream.incarnation()
    };
    let change = {
        let table = state.suspects.table();
        table.target_trial(fingerprint, request.target(), &upstream)
    };
    let change = change.ok_or(busy)?;
    if let Err(error) = write(&state, &[change]).await {
        if !matches!(error, Error::Conflict(_)) {
            log_not_stored(&state, &error);
        }
        return Err(busy);
    }
    if let Some(earlier) = &mut earlier {
        earlier.is_moved = true;
    }
    request.trial = Some(Trial {
        state,
        fingerprint,
        upstream,
        is_moved: false,
    });
    Ok(())
}

fn verdict(request: &ActiveRequest) -> Result<Verdict, Rejection> {
    let state = &request.state;
    if state.suspects.table().is_empty() {
        return Ok(Verdict::Unrestricted);
    }
    let fingerprint = request.fingerprint();
    let now = state.now();
    let (own, of_target) = {
        let table = state.suspects.table();
        let of_target = table.target_verdict(request.target(), now);
        (table.verdict(fingerprint, now), of_target)
    };
    match own.max(of_target) {
        verdict @ (Verdict::Unrestricted | Verdict::Trial) => Ok(verdict),
        Verdict::Busy => Err(Rejection::NotRun(BUSY_RETRY_MS)),
        Verdict::Quarantined => {
            if state.allows_log_line(Event::RequestQuarantined) {
                let crashes = state.suspects.table().crashes(fingerprint);
                event!(
                    state.log,
                    Event::RequestQuarantined,
                    "request" => &*request.attempt_id,
                    "fingerprint" => fingerprint.to_string(),
                    "target" => (of_target > own).then(|| request.target().to_string()),
                    "crashes" => crashes
                );
            }
            Err(Rejection::Quarantined)
        }
    }
}

/// Returns whether a request was in flight when an upstream crashed, or its target is held against it.
pub(crate) fn is_suspect(request: &ActiveRequest) -> bool {
    let table = request.state.suspects.table();
    !table.is_empty()
        && (table.crashes(request.fingerprint()) > 0
            || table.target_verdict(request.target(), request.state.now()) != Verdict::Unrestricted)
}

/// Returns the upstreams at which suspects are on trial, if a request is a suspect itself.
pub(crate) fn trials_to_avoid(request: &ActiveRequest) -> Option<Vec<id::Upstream>> {
    is_suspect(request).then(|| {
        let now = request.state.now();
        request.state.suspects.table().trial_upstreams(now)
    })
}

/// Records that a request completed, so that it does not crash upstreams.
pub(crate) fn complete(request: &ActiveRequest) {
    let suspects = &request.state.suspects;
    if suspects.table().is_empty() {
        return;
    }
    suspects.clear(&request.state, request.fingerprint(), "completed");
    suspects.exonerate(&request.state, request.target(), "completed");
}

/// Records that an upstream crashed with a request in flight, and waits until the crash is stored,
/// but not for long.
pub(crate) async fn record_crash(state: &State, request: &Interrupted, upstream: &id::Upstream) {
    let fingerprint = request.fingerprint;
    let now = state.now();
    let suspects = &state.suspects;
    let accusation = Accusation {
        since: now,
        heartbeats: 0,
    };
    lock(&suspects.accused)
        .entry(upstream.clone())
        .or_insert(accusation);
    let crashes = {
        let mut table = suspects.table();
        let crashes = table.record_crash(fingerprint, upstream, now);
        table.set_target(fingerprint, request.target);
        crashes
    };
    suspects.changed.notify_one();
    if state.allows_log_line(Event::RequestSuspected) {
        event!(
            state.log,
            Event::RequestSuspected,
            "request" => &*request.attempt_id,
            "fingerprint" => fingerprint.to_string(),
            "target" => request.target.to_string(),
            "upstream" => upstream.to_string(),
            "crashes" => crashes
        );
    }
    let stored = async {
        loop {
            let written = suspects.written.notified();
            if suspects.table().is_stored(fingerprint) {
                return;
            }
            written.await;
        }
    };
    // The writer goes on if this takes longer.
    let _ = tokio::time::timeout(STORE_WAIT, stored).await;
}

/// Writes the changes of suspects to their rows. Never returns.
pub(crate) async fn write_changes(state: Arc<State>) {
    let suspects = &state.suspects;
    let mut backoff = Backoff::default();
    loop {
        let changes = suspects.table().changes(MAX_CHANGES_PER_WRITE);
        if changes.is_empty() {
            suspects.changed.notified().await;
            continue;
        }
        match write(&state, &changes).await {
            Ok(()) => backoff = Backoff::default(),
            // The rows are known now, so that the next write takes them into account.
            Err(Error::Conflict(_)) => {}
            Err(error) => {
                log_not_stored(&state, &error);
                backoff.wait().await;
            }
        }
        suspects.written.notify_waiters();
    }
}

/// Writes changes and applies them, or the rows that conflict with them.
async fn write(state: &State, changes: &[Change]) -> Result<(), Error> {
    let mut transaction = Transaction::default();
    for change in changes {
        let key = change.fingerprint.to_string();
        if change.version > 0 || change.suspect.is_some() {
            transaction = transaction.require_version(PARTITION, &key, change.version);
        }
        transaction = match &change.suspect {
            Some(suspect) => transaction.write(PARTITION, &key, &encode(suspect)),
            None => transaction.remove(PARTITION, &key),
        };
    }
    let deadline = state.now().after(WRITE_TIMEOUT_MS);
    let call = async |store: &Client, limit_ms| store.commit(&transaction, limit_ms).await;
    // The partition has the name of the watched tables' one, whose health is another matter.
    let result = state.call(StoreCall::Write, TABLE, deadline, call).await;
    let now = state.now();
    match result {
        Ok(version) => {
            let mut table = state.suspects.table();
            for change in changes {
                table.record_written(change, version, now);
            }
            Ok(())
        }
        Err(Error::Conflict(page)) => {
            for row in &page.rows {
                apply_row(state, row);
            }
            let found: BTreeSet<_> = page.rows.iter().map(|row| &*row.key).collect();
            let missing = changes
                .iter()
                .filter(|change| !found.contains(&*change.fingerprint.to_string()));
            for change in missing {
                let mut table = state.suspects.table();
                table.apply_removal(change.fingerprint, page.version);
            }
            Err(Error::Conflict(page))
        }
        Err(error) => Err(error),
    }
}

/// Applies a row of the table.
pub(crate) fn apply_row(state: &State, row: &store::Row) {
    let Ok(fingerprint) = Digest::from_str(&row.key) else {
        let error = "the key is not a fingerprint";
        return feed::log_unreadable(state, TABLE, row, error);
    };
    let Some(value) = &row.value else {
        let mut table = state.suspects.table();
        return table.apply_removal(fingerprint, row.version);
    };
    match serde_json::from_slice::<Row>(value) {
        Ok(content) => {
            let now = state.now();
            let mut table = state.suspects.table();
            table.apply_row(fingerprint, content.into(), row.version, now);
        }
        Err(error) => feed::log_unreadable(state, TABLE, row, &error.to_string()),
    }
}

/// Applies the absence of rows from the whole table.
pub(crate) fn apply_missing_rows(state: &State, page: &Page) {
    let rows = page.rows.iter();
    let rows = rows.filter_map(|row| Digest::from_str(&row.key).ok());
    let rows: BTreeSet<_> = rows.collect();
    let mut table = state.suspects.table();
    for fingerprint in table.missing_rows(&rows, page.version) {
        table.apply_removal(fingerprint, page.version);
    }
}

/// Forgets old suspects, with their rows.
pub(crate) fn expire(state: &State) {
    let now = state.now();
    state.suspects.table().expire(rand::random(), now);
    state.suspects.changed.notify_one();
}

fn encode(suspect: &Suspect) -> Vec<u8> {
    serde_json::to_vec(&Row::from(suspect)).unwrap_or_default()
}

fn log_cleared(state: &State, fingerprint: Digest, cause: &'static str) {
    if state.allows_log_line(Event::SuspectCleared) {
        event!(
            state.log,
            Event::SuspectCleared,
            "fingerprint" => fingerprint.to_string(),
            "cause" => cause
        );
    }
}

fn log_not_stored(state: &State, error: &Error) {
    if state.allows_log_line(Event::SuspectNotStored) {
        event!(
            state.log,
            Event::SuspectNotStored,
            "error" => format!("{error:?}")
        );
    }
}
