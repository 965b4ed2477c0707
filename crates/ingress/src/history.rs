//! Transcripts of turns, through the store.
//!
//! A turn has two parts of the store where its rows may lie, so that it can be stored while one
//! of them is away. Whoever looks for it and does not find it has read both.

use std::sync::{Arc, Mutex};

use basilramp_adapter::store::{Client, Error, MAX_VALUE_BYTES, PartitionKey, Transaction};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::call::Refusal;
use basilramp_core::dispatch::retention::{Kept, Retention};
use basilramp_core::dispatch::transcript::Cache;
use serde::{Deserialize, Serialize};

use crate::state::{Call, Pauses, State, lock, part};

/// The table of turns.
const TABLE: &str = "turn";

/// How long the end of an answer waits for a store that is away. A caller whose answer is cut
/// then sends the turn again, which mostly meets an instance that reaches the store.
const COMMIT_PATIENCE_MS: u64 = 1_500;

/// A turn as it is stored: this head in its first row, before the first bytes.
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    /// Bytes of the transcript, over all rows.
    len: u64,
    /// The upstream that ran the turn, whose cache has its prompt.
    upstream: Arc<str>,
}

/// A turn that can be continued.
#[derive(Clone, Debug)]
pub(crate) struct Turn {
    /// What an upstream has to read before the next input.
    pub(crate) transcript: Arc<[u8]>,
    /// The upstream that ran it.
    pub(crate) upstream: Arc<str>,
}

/// Turns that are kept in memory, and those whose rows this instance wrote.
#[derive(Debug)]
pub(crate) struct Shelf {
    cache: Mutex<Cache<Turn>>,
    retention: Mutex<Retention>,
}

impl Shelf {
    /// Opens a shelf that holds `bytes` bytes of transcripts.
    pub(crate) fn open(bytes: usize) -> Self {
        Self {
            cache: Mutex::new(Cache::new(bytes)),
            retention: Mutex::default(),
        }
    }
}

/// Returns the turn of an attempt.
///
/// # Errors
///
/// Refuses if there is no such turn, or the store can't say in time.
pub(crate) async fn load(state: &State, turn: &Arc<str>, ends: Time) -> Result<Turn, Refusal> {
    if let Some(known) = lock(&state.shelf.cache).get(turn) {
        return Ok(known);
    }
    let began = state.now();
    let parts = parts(turn);
    let mut pauses = Pauses::default();
    loop {
        match find(state, turn, &parts, ends).await {
            Some(Some(found)) => {
                keep(state, Arc::clone(turn), found.clone());
                return Ok(found);
            }
            Some(None) => return Err(Refusal::NoTurn),
            None => state.part_up(&parts[0], began, ends).await?,
        }
        pauses.wait().await;
    }
}

/// Looks for a turn in both its parts. Returns nothing if neither has it and one can't say.
async fn find(state: &State, turn: &str, parts: &[String; 2], ends: Time) -> Option<Option<Turn>> {
    let mut is_sure = true;
    for part in parts {
        if state.is_away(part) {
            is_sure = false;
            continue;
        }
        // The state logs what a failed call says of the store.
        match read(state, turn, part, ends).await {
            Ok(Some(found)) => return Some(Some(found)),
            Ok(None) => {}
            Err(_) => is_sure = false,
        }
    }
    is_sure.then_some(None)
}

/// Stores a turn for `retention_ms`; tries until the store has it or the time is over.
///
/// Writing it twice, or in both its parts, does no harm: the rows of an attempt never hold
/// anything else.
///
/// # Errors
///
/// Returns the store's last error at the end of the time.
pub(crate) async fn commit(
    state: &State,
    turn: &Arc<str>,
    content: Turn,
    retention_ms: u64,
    ends: Time,
) -> Result<(), Error> {
    let gives_up = ends.min(state.now().after(COMMIT_PATIENCE_MS));
    let parts = parts(turn);
    let mut part = &parts[usize::from(state.is_away(&parts[0]))];
    let mut pauses = Pauses::default();
    // What is removed goes with the first try alone: a row that is gone may be in the way of it.
    let mut expired = lock(&state.shelf.retention).take_expired(part, state.now());
    loop {
        let (change, rows) = encode(turn, part, &content)?;
        let change = std::mem::take(&mut expired)
            .iter()
            .fold(change, |change, kept| remove(change, part, kept));
        let call = async |store: &Client, limit_ms| store.commit(&change, limit_ms).await;
        match state.call(Call::Write, part, gives_up, call).await {
            Ok(_) => {
                let mut retention = lock(&state.shelf.retention);
                retention.keep(part, Arc::clone(turn), rows, retention_ms, state.now());
                drop(retention);
                keep(state, Arc::clone(turn), content);
                return Ok(());
            }
            Err(error) if state.now() >= gives_up => return Err(error),
            Err(_) => pauses.wait().await,
        }
        part = parts.iter().find(|other| *other != part).unwrap_or(part);
    }
}

/// Returns the part of a turn's rows, and the one that takes them while that part is away.
fn parts(turn: &str) -> [String; 2] {
    let first = part(turn);
    let second = part(&format!("{turn}/second"));
    if first == second {
        return [first, part(&format!("{turn}/third"))];
    }
    [first, second]
}

fn keep(state: &State, turn: Arc<str>, content: Turn) {
    let bytes = content.transcript.len();
    lock(&state.shelf.cache).insert(turn, content, bytes);
}

/// Returns the change that writes a turn, and how many rows that makes.
fn encode(turn: &str, part: &str, content: &Turn) -> Result<(Transaction, usize), Error> {
    let head = Head {
        len: content.transcript.len() as u64,
        upstream: Arc::clone(&content.upstream),
    };
    let mut bytes =
        postcard::to_stdvec(&head).map_err(|error| Error::Malformed(error.to_string()))?;
    bytes.extend_from_slice(&content.transcript);
    let place = PartitionKey {
        table: TABLE,
        partition: part,
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

/// Adds the removal of a turn's rows to a change of their part.
fn remove(change: Transaction, part: &str, kept: &Kept) -> Transaction {
    let place = PartitionKey {
        table: TABLE,
        partition: part,
    };
    (0..kept.rows).fold(change, |change, index| {
        change.remove(place, &row_key(&kept.turn, index))
    })
}

/// Returns the key of one of a turn's rows; they sort by their index.
fn row_key(turn: &str, index: usize) -> String {
    format!("{turn}/{index:03}")
}

async fn read(state: &State, turn: &str, part: &str, ends: Time) -> Result<Option<Turn>, Error> {
    let place = PartitionKey {
        table: TABLE,
        partition: part,
    };
    let from = row_key(turn, 0);
    let end = format!("{turn}0");
    let call = async |store: &Client, limit_ms| {
        store
            .read_range(place, Some(&from), Some(&end), limit_ms)
            .await
    };
    let page = state.call(Call::Read, part, ends, call).await?;
    if page.rows.is_empty() {
        return Ok(None);
    }
    let bytes: Vec<u8> = page
        .rows
        .into_iter()
        .filter_map(|row| row.value)
        .flatten()
        .collect();
    let (head, transcript): (Head, _) =
        postcard::take_from_bytes(&bytes).map_err(|error| Error::Malformed(error.to_string()))?;
    if head.len != transcript.len() as u64 {
        let text = format!("turn {turn} has {} of {} bytes", transcript.len(), head.len);
        return Err(Error::Malformed(text));
    }
    Ok(Some(Turn {
        transcript: transcript.into(),
        upstream: head.upstream,
    }))
}
