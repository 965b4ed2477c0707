//! Transcripts of turns in the store.
//!
//! The rows of a turn may be in either of two partitions, so that the turn can be stored while one
//! of them is unavailable. A lookup that finds nothing has read both.

use std::sync::{Arc, Mutex};

use basilramp_adapter::store::{Client, Error, MAX_VALUE_BYTES, PartitionKey, Transaction};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::request::Rejection;
use basilramp_core::dispatch::retention::{Retention, StoredRows};
use basilramp_core::dispatch::transcript::TurnCache;
use serde::{Deserialize, Serialize};

use crate::state::{Backoff, State, StoreCall, lock, partition_key};

/// Table of the turns' rows.
const TABLE: &str = "turn";

/// How long the end of a response waits for an unavailable store. When the response is cut off, the
/// caller sends the turn again, usually to an instance that reaches the store.
const COMMIT_TIMEOUT_MS: u64 = 1_500;

/// Header of a stored turn, at the start of its first row.
#[derive(Debug, Serialize, Deserialize)]
struct RowHeader {
    /// Length of the transcript over all rows, in bytes.
    len: u64,
    /// Upstream that ran the turn and has its prompt cached.
    upstream: Arc<str>,
}

/// A turn that can be continued.
#[derive(Clone, Debug)]
pub(crate) struct Turn {
    /// Transcript: what an upstream has to read before the next input.
    pub(crate) transcript: Arc<[u8]>,
    /// Id of the upstream that ran the turn.
    pub(crate) upstream: Arc<str>,
}

/// Cached turns, and the turns whose rows this instance wrote.
#[derive(Debug)]
pub(crate) struct TurnStore {
    cache: Mutex<TurnCache<Turn>>,
    retention: Mutex<Retention>,
}

impl TurnStore {
    /// Creates a store whose cache holds `bytes` bytes of transcripts.
    pub(crate) fn open(bytes: usize) -> Self {
        Self {
            cache: Mutex::new(TurnCache::new(bytes)),
            retention: Mutex::default(),
        }
    }
}

/// Returns the turn of an attempt, from the cache or the store.
///
/// # Errors
///
/// Returns a rejection if there is no such turn or the store does not respond in time.
pub(crate) async fn load(
    state: &State,
    turn: &Arc<str>,
    deadline: Time,
) -> Result<Turn, Rejection> {
    if let Some(known) = lock(&state.turns.cache).get(turn) {
        return Ok(known);
    }
    let began = state.now();
    let partitions = candidate_partitions(turn);
    let mut backoff = Backoff::default();
    loop {
        match find_turn(state, turn, &partitions, deadline).await {
            Some(Some(found)) => {
                cache_turn(state, Arc::clone(turn), found.clone());
                return Ok(found);
            }
            Some(None) => return Err(Rejection::NoTurn),
            None => {
                state
                    .wait_until_available(&partitions[0], began, deadline)
                    .await?
            }
        }
        backoff.wait().await;
    }
}

/// Looks for a turn in both partitions. Returns `None` if it was not found and a partition could
/// not be read.
async fn find_turn(
    state: &State,
    turn: &str,
    partitions: &[String; 2],
    deadline: Time,
) -> Option<Option<Turn>> {
    let mut all_partitions_read = true;
    for partition in partitions {
        if state.is_unavailable(partition) {
            all_partitions_read = false;
            continue;
        }
        // The state records what a failed call means for the store's health.
        match read_turn(state, turn, partition, deadline).await {
            Ok(Some(found)) => return Some(Some(found)),
            Ok(None) => {}
            Err(_) => all_partitions_read = false,
        }
    }
    all_partitions_read.then_some(None)
}

/// Stores a turn for `retention_ms`. Retries until the store accepts it or the time is over.
///
/// Writing a turn twice or to both partitions is harmless: the rows of an attempt always have the
/// same content.
///
/// # Errors
///
/// Returns the store's last error when the time is over.
pub(crate) async fn commit(
    state: &State,
    turn: &Arc<str>,
    content: Turn,
    retention_ms: u64,
    deadline: Time,
) -> Result<(), Error> {
    let commit_deadline = deadline.min(state.now().after(COMMIT_TIMEOUT_MS));
    let partitions = candidate_partitions(turn);
    let mut partition = &partitions[usize::from(state.is_unavailable(&partitions[0]))];
    let mut backoff = Backoff::default();
    // Expired rows are removed only in the first attempt: if a row is already gone, the removal may
    // fail the write.
    let mut expired = lock(&state.turns.retention).take_expired(partition, state.now());
    loop {
        let (change, rows) = encode(turn, partition, &content)?;
        let change = std::mem::take(&mut expired)
            .iter()
            .fold(change, |change, stored| {
                add_removal(change, partition, stored)
            });
        let call = async |store: &Client, limit_ms| store.commit(&change, limit_ms).await;
        match state
            .call(StoreCall::Write, partition, commit_deadline, call)
            .await
        {
            Ok(_) => {
                let mut retention = lock(&state.turns.retention);
                retention.record(partition, Arc::clone(turn), rows, retention_ms, state.now());
                drop(retention);
                cache_turn(state, Arc::clone(turn), content);
                return Ok(());
            }
            Err(error) if state.now() >= commit_deadline => return Err(error),
            Err(_) => backoff.wait().await,
        }
        partition = partitions
            .iter()
            .find(|other| *other != partition)
            .unwrap_or(partition);
    }
}

/// Returns the partition of a turn's rows and the one used while it is unavailable.
fn candidate_partitions(turn: &str) -> [String; 2] {
    let first = partition_key(turn);
    let second = partition_key(&format!("{turn}/second"));
    if first == second {
        return [first, partition_key(&format!("{turn}/third"))];
    }
    [first, second]
}

fn cache_turn(state: &State, turn: Arc<str>, content: Turn) {
    let bytes = content.transcript.len();
    lock(&state.turns.cache).insert(turn, content, bytes);
}

/// Returns the change that writes a turn, and the number of its rows.
fn encode(turn: &str, partition: &str, content: &Turn) -> Result<(Transaction, usize), Error> {
    let header = RowHeader {
        len: content.transcript.len() as u64,
        upstream: Arc::clone(&content.upstream),
    };
    let mut bytes =
        postcard::to_stdvec(&header).map_err(|error| Error::Malformed(error.to_string()))?;
    bytes.extend_from_slice(&content.transcript);
    let place = PartitionKey {
        table: TABLE,
        partition,
    };
    let rows = bytes.chunks(MAX_VALUE_BYTES);
    let count = rows.len();
    let change = rows
        .enumerate()
        .fold(Transaction::default(), |change, (index, chunk)| {
            change.write(place, &row_key(turn, index), chunk)
        });
    Ok((change, count))
}

/// Adds the removal of a turn's rows to a change in the same partition.
fn add_removal(change: Transaction, partition: &str, stored: &StoredRows) -> Transaction {
    let place = PartitionKey {
        table: TABLE,
        partition,
    };
    (0..stored.rows).fold(change, |change, index| {
        change.remove(place, &row_key(&stored.attempt, index))
    })
}

/// Returns the key of a row of a turn. Keys sort by index.
fn row_key(turn: &str, index: usize) -> String {
    format!("{turn}/{index:03}")
}

fn is_row_of(turn: &str, key: &str) -> bool {
    let rest = key.strip_prefix(turn);
    let index = rest.and_then(|rest| rest.strip_prefix('/'));
    index.is_some_and(|index| index.bytes().all(|byte| byte.is_ascii_digit()))
}

async fn read_turn(
    state: &State,
    turn: &str,
    partition: &str,
    deadline: Time,
) -> Result<Option<Turn>, Error> {
    let place = PartitionKey {
        table: TABLE,
        partition,
    };
    let from = row_key(turn, 0);
    let end = format!("{turn}0");
    let call = async |store: &Client, limit_ms| {
        store
            .read_range(place, Some(&from), Some(&end), limit_ms)
            .await
    };
    let page = state
        .call(StoreCall::Read, partition, deadline, call)
        .await?;
    // Rows of other ids, which callers choose, may lie in the range.
    let rows = page
        .rows
        .into_iter()
        .filter(|row| is_row_of(turn, &row.key));
    let rows: Vec<_> = rows.collect();
    if rows.is_empty() {
        return Ok(None);
    }
    let bytes: Vec<u8> = rows
        .into_iter()
        .filter_map(|row| row.value)
        .flatten()
        .collect();
    let (header, transcript): (RowHeader, _) =
        postcard::take_from_bytes(&bytes).map_err(|error| Error::Malformed(error.to_string()))?;
    if header.len != transcript.len() as u64 {
        let text = format!(
            "turn {turn} has {} of {} bytes",
            transcript.len(),
            header.len
        );
        return Err(Error::Malformed(text));
    }
    Ok(Some(Turn {
        transcript: transcript.into(),
        upstream: header.upstream,
    }))
}
