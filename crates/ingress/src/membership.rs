//! Rows by which the instances find each other. Each instance writes its own and reads the others when
//! it needs them, so that a fleet of any size costs little.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_adapter::store::{Client, Error, Page, PartitionKey, Row, Transaction};
use basilramp_core::clock::Time;
use basilramp_core::history::Digest;
use basilramp_process::event;
use basilramp_wire::relay;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::feed;
use crate::log_event::Event;
use crate::state::{Backoff, State, StoreCall, lock};

/// Table of the instances; the row key is the instance's id.
const TABLE: &str = "instance";

const PARTITION: PartitionKey<'static> = PartitionKey {
    table: TABLE,
    partition: "",
};

/// Time limit for a call of the store, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Mean time between two writes of an instance's own row, in milliseconds.
const RENEWAL_MS: u64 = 5 * 60_000;

/// Age of a row from which on its instance is taken to be gone, in milliseconds: several renewals.
const ROW_LIFETIME_MS: u64 = 4 * RENEWAL_MS;

/// Time after the start within which an instance reads the rows of the others first, in
/// milliseconds. Many instances may start at the same time.
const FIRST_READ_MS: u64 = 10_000;

/// Time after the start within which an instance reads the rows for the first time, in milliseconds.
const EARLY_READ_MS: std::ops::Range<u64> = 500..1_500;

/// Time between two reads for each known instance, in milliseconds. The rows that an instance reads are
/// then as many at any size of the fleet.
const READ_INTERVAL_PER_INSTANCE_MS: u64 = 1_000;

/// Minimum of that time, in milliseconds.
const MIN_PERIODIC_READ_MS: u64 = 10_000;

/// Time between two reads while accounts have quotas, in milliseconds.
const QUOTA_READ_MS: std::ops::Range<u64> = 2_000..6_000;

/// Minimum time between two reads, in milliseconds.
const MIN_READ_INTERVAL_MS: u64 = 500;

/// Time for which the withdrawal of the own row may delay a shutdown.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(500);

/// The other instances, as read from the store.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    members: Mutex<BTreeMap<Arc<str>, Member>>,
    /// When the rows were read.
    read: tokio::sync::Mutex<Option<Time>>,
    /// The instances that this one met soon after its start. Empty after the first regular read.
    early: Mutex<BTreeMap<Arc<str>, Member>>,
}

/// Another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    /// Address for other instances.
    pub(crate) address: SocketAddr,
    /// Failure domain.
    pub(crate) failure_domain: Arc<str>,
    /// Fingerprint of its certificate.
    pub(crate) certificate: Digest,
}

impl Membership {
    /// Returns an instance.
    pub(crate) fn get(&self, id: &str) -> Option<Member> {
        let member = lock(&self.members).get(id).cloned();
        member.or_else(|| lock(&self.early).get(id).cloned())
    }

    /// Returns whether other instances are known.
    pub(crate) fn is_known(&self) -> bool {
        !lock(&self.members).is_empty()
    }

    /// Returns the ids of at most `count` other instances, drawn at random.
    pub(crate) fn sample(&self, count: usize) -> Vec<Arc<str>> {
        let mut ids: BTreeSet<_> = lock(&self.members).keys().cloned().collect();
        ids.extend(lock(&self.early).keys().cloned());
        ids.into_iter().choose_multiple(&mut rand::rng(), count)
    }

    /// Returns the time between two reads.
    fn read_interval_ms(&self) -> u64 {
        let known = lock(&self.members).len() as u64;
        (known * READ_INTERVAL_PER_INSTANCE_MS).clamp(MIN_PERIODIC_READ_MS, RENEWAL_MS)
    }

    /// Returns the id of the other instance with the largest weight, among those that are `accepted`.
    pub(crate) fn find_best(
        &self,
        accepted: impl Fn(&str) -> bool,
        weight: impl Fn(&str) -> u64,
    ) -> Option<Arc<str>> {
        let members = lock(&self.members);
        let ids = members.keys().filter(|id| accepted(id));
        ids.max_by_key(|id| weight(id)).cloned()
    }

    /// Returns the id of the instance with a certificate.
    pub(crate) fn find_by_certificate(&self, certificate: Digest) -> Option<Arc<str>> {
        let members = lock(&self.members);
        let mut members = members.iter();
        let found = members.find(|(_, member)| member.certificate == certificate);
        found.map(|(id, _)| Arc::clone(id))
    }
}

/// Writes the row of this instance from time to time. Never returns.
pub(crate) async fn announce(state: Arc<State>) {
    let Some(address) = state.peer_address() else {
        return std::future::pending().await;
    };
    let newcomer = Arc::clone(&state);
    tokio::spawn(async move { meet_others(&newcomer).await });
    let mut backoff = Backoff::default();
    let mut interval_ms = FIRST_READ_MS;
    loop {
        if state.is_stopping() {
            return std::future::pending().await;
        }
        if let Err(error) = write_own_row(&state, address).await {
            log_failure(&state, "announce", &error);
            backoff.wait().await;
            continue;
        }
        backoff = Backoff::default();
        let ms = rand::rng().random_range(interval_ms / 2..=interval_ms + interval_ms / 2);
        let renewal = state.now().after(ms);
        interval_ms = RENEWAL_MS;
        let mut next_read = state.now().after(state.membership.read_interval_ms());
        while state.now() < renewal {
            let left_ms = renewal.since(state.now());
            let spread = rand::rng().random_range(QUOTA_READ_MS);
            tokio::time::sleep(Duration::from_millis(spread.min(left_ms))).await;
            // The homes of quotas follow from the instances that exist now.
            if has_quotas(&state) || state.now() >= next_read {
                refresh(&state).await;
                next_read = state.now().after(state.membership.read_interval_ms());
            }
        }
        refresh(&state).await;
    }
}

/// Reads the rows of the others soon after the start, for an outage that begins before the first regular
/// read. Quotas and relays don't follow from it, as instances that start at the same time see each other
/// in part.
async fn meet_others(state: &State) {
    let ms = rand::rng().random_range(EARLY_READ_MS);
    tokio::time::sleep(Duration::from_millis(ms)).await;
    match read_rows(state).await {
        Ok(rows) => {
            let (members, _) = parse_rows(state, &rows);
            // A regular read may have been faster.
            if !state.membership.is_known() {
                *lock(&state.membership.early) = members;
            }
        }
        Err(error) => log_failure(state, "read", &error),
    }
}

fn has_quotas(state: &State) -> bool {
    let table = state.table();
    let accounts = table
        .as_ref()
        .and_then(|table| table.config().accounts.as_ref());
    accounts.is_some_and(|accounts| accounts.iter().any(|(account, _)| account.quota.is_some()))
}

/// Removes the row of this instance, so that no further requests are relayed to it.
pub(crate) async fn withdraw(state: &State) {
    if state.peer_address().is_none() {
        return;
    }
    let change = Transaction::default().remove(PARTITION, &state.settings.instance);
    let removal = commit(state, &change);
    if let Ok(Err(error)) = tokio::time::timeout(WITHDRAWAL_TIMEOUT, removal).await {
        log_failure(state, "withdraw", &error);
    }
}

/// Reads the rows of the other instances, unless they were read just before.
pub(crate) async fn refresh(state: &State) {
    let mut read_at = state.membership.read.lock().await;
    let now = state.now();
    if read_at.is_some_and(|at| now.since(at) < MIN_READ_INTERVAL_MS) {
        return;
    }
    *read_at = Some(now);
    match read_rows(state).await {
        Ok(rows) => apply_rows(state, &rows).await,
        Err(error) => log_failure(state, "read", &error),
    }
}

/// Returns the id of the instance with a certificate. Rows that are not known yet are read.
pub(crate) async fn find_by_certificate(state: &State, certificate: Digest) -> Option<Arc<str>> {
    for _ in 0..2 {
        let found = state.membership.find_by_certificate(certificate);
        if found.is_some() {
            return found;
        }
        refresh(state).await;
        let found = state.membership.find_by_certificate(certificate);
        if found.is_some() {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(MIN_READ_INTERVAL_MS)).await;
    }
    None
}

async fn write_own_row(state: &State, address: SocketAddr) -> Result<u64, Error> {
    let row = relay::Instance {
        address,
        failure_domain: state.settings.failure_domain.as_str().into(),
        certificate: state.identity.fingerprint().to_string(),
        renewed_ms: state.store.now_ms().unwrap_or_default(),
    };
    let value = serde_json::to_vec(&row).map_err(|error| Error::Malformed(error.to_string()))?;
    let change = Transaction::default().write(PARTITION, &state.settings.instance, &value);
    commit(state, &change).await
}

async fn read_rows(state: &State) -> Result<Vec<Row>, Error> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let from = rows.last().map(|row| format!("{}\u{1}", row.key));
        let deadline = state.now().after(2 * CALL_TIMEOUT_MS);
        let call = async |store: &Client, limit_ms| {
            store
                .read_range(PARTITION, from.as_deref(), None, limit_ms)
                .await
        };
        let page: Page = state.call(StoreCall::Read, TABLE, deadline, call).await?;
        let is_last = !page.has_more || page.rows.is_empty();
        rows.extend(page.rows);
        if is_last {
            return Ok(rows);
        }
    }
}

async fn apply_rows(state: &State, rows: &[Row]) {
    let (members, stale) = parse_rows(state, rows);
    let relays = members.iter();
    let relays = relays.map(|(id, member)| (Arc::clone(id), Arc::clone(&member.failure_domain)));
    state.relays().replace_all(relays);
    *lock(&state.membership.members) = members;
    lock(&state.membership.early).clear();

    // One at a time: others may remove it at the same time.
    let Some(row) = stale.first() else {
        return;
    };
    let removal = Transaction::default()
        .require_version(PARTITION, &row.key, row.version)
        .remove(PARTITION, &row.key);
    if let Err(error) = commit(state, &removal).await
        && !matches!(error, Error::Conflict(_))
    {
        log_failure(state, "remove", &error);
    }
}

/// Returns the other instances, and the rows of those that are gone.
fn parse_rows<'a>(state: &State, rows: &'a [Row]) -> (BTreeMap<Arc<str>, Member>, Vec<&'a Row>) {
    let now_ms = state.store.now_ms().unwrap_or_default();
    let mut members = BTreeMap::new();
    let mut stale = Vec::new();
    let others = rows.iter();
    for row in others.filter(|row| *row.key != *state.settings.instance) {
        match parse(row) {
            Ok((member, renewed_ms)) if now_ms < renewed_ms.saturating_add(ROW_LIFETIME_MS) => {
                members.insert(Arc::clone(&row.key), member);
            }
            Ok(_) => stale.push(row),
            Err(error) => feed::log_unreadable(state, TABLE, row, &error),
        }
    }
    (members, stale)
}

fn parse(row: &Row) -> Result<(Member, u64), String> {
    let value = row.value.as_deref().unwrap_or_default();
    let instance: relay::Instance =
        serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let certificate = Digest::from_str(&instance.certificate).map_err(|error| error.to_string())?;
    let member = Member {
        address: instance.address,
        failure_domain: instance.failure_domain,
        certificate,
    };
    Ok((member, instance.renewed_ms))
}

async fn commit(state: &State, change: &Transaction) -> Result<u64, Error> {
    let deadline = state.now().after(2 * CALL_TIMEOUT_MS);
    let call = async |store: &Client, limit_ms| store.commit(change, limit_ms).await;
    // The partition has the name of the watched tables' one, whose health is another matter.
    state.call(StoreCall::Write, TABLE, deadline, call).await
}

fn log_failure(state: &State, step: &'static str, error: &Error) {
    if state.allows_log_line(Event::MembershipFailed) {
        event!(
            state.log,
            Event::MembershipFailed,
            "step" => step,
            "error" => format!("{error:?}")
        );
    }
}
