//! Token budgets of programs, stored as one row per program.
//!
//! The row also contains the latest upstream of each session, so that any instance can send the
//! next turn to the upstream that has its prompt cached.

use std::sync::{Arc, Mutex};

use basilramp_adapter::store::{Client, Error, Page, PartitionKey, Transaction};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::request::{Program, Rejection};
use basilramp_core::dispatch::token_budget::{
    Grant, GrantWrite, GrantedTokens, PendingGrant, TokenLedger, decide_grant,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::state::{Backoff, State, StoreCall, lock, partition_key};

/// Table of the programs' rows.
const TABLE: &str = "program";

/// How long a running turn waits for its grant before it fails. It is shorter than the pause after
/// which callers abandon a stream.
const GRANT_TIMEOUT_MS: u64 = 1_800;

/// Maximum number of turns that other instances may have started since the row was read some
/// milliseconds ago: about as many as the sub-agents that a program starts at once.
const MAX_CONCURRENT_TURNS: u64 = 4;

/// Maximum number of sessions in a program's row.
const MAX_SESSIONS: usize = 12;

/// Maximum number of earlier grants in a program's row: more than other instances make while a writer
/// waits for its response.
const MAX_EARLIER_GRANTS: usize = 8;

/// Row of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    /// Number of tokens granted to all turns.
    granted: u64,
    /// Number of those tokens that were granted in advance.
    #[serde(rename = "ahead")]
    advance: u64,
    /// Random id of the write of a grant that wrote the row. It tells a writer whose response was lost
    /// that its write succeeded.
    grant: u64,
    /// Sessions with their upstreams, the latest last.
    #[serde(rename = "lines")]
    sessions: Vec<Session>,
}

/// What follows a [`Row`] in the stored bytes. Builds without it ignore and drop it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct RowTail {
    /// Ids of the writes before that of the row, the latest last.
    earlier_grants: Vec<u64>,
}

/// A program's row as read from the store.
#[derive(Clone, Debug, Default)]
struct StoredRow {
    row: Row,
    tail: RowTail,
    /// Version of the row; 0 if there is none.
    version: u64,
}

/// Latest upstream of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Session {
    /// Hash of the session id.
    id: u64,
    /// Id of the upstream.
    upstream: Arc<str>,
}

/// Token budgets as known to this instance.
#[derive(Debug, Default)]
pub(crate) struct Budgets {
    ledger: Mutex<TokenLedger>,
}

impl Budgets {
    /// Drops programs that had no turn for a while.
    pub(crate) fn expire(&self, now: Time) {
        lock(&self.ledger).expire(now);
    }
}

/// Budget of a turn before its tokens are granted.
#[derive(Debug)]
pub(crate) struct TurnBudget {
    reserved: ReservedTokens,
    /// Number of tokens that still have to be granted.
    missing: u64,
    /// Maximum number of tokens of the turn.
    max_tokens: u64,
    limit: u64,
    /// Hash of the session id.
    session: u64,
    /// Latest upstream of the session, if it ran at this instance.
    previous_upstream: Option<Arc<str>>,
    /// The program's row as last read. Empty if nothing has to be granted.
    stored: StoredRow,
}

/// Why a turn was granted no tokens.
#[derive(Debug)]
pub(crate) enum GrantError {
    /// Other turns have spent the budget in the meantime.
    Spent,
    /// The store did not accept the grant in time.
    Store(Error),
}

/// Tokens reserved for one turn. Dropping it releases the unused ones.
#[derive(Debug)]
pub(crate) struct ReservedTokens {
    state: Arc<State>,
    program: Arc<str>,
    tokens: u64,
    used: u64,
}

impl ReservedTokens {
    /// Records tokens that are sent to the caller.
    pub(crate) fn spend(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_sub(tokens);
        self.used += tokens;
    }
}

impl Drop for ReservedTokens {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut ledger = lock(&self.state.budgets.ledger);
        ledger.release(&self.program, self.tokens, self.used, now);
    }
}

/// Returns the id under which a program has its budget: `usual`, unless there is only one under `earlier`.
///
/// # Errors
///
/// Returns a rejection if the store does not respond in time.
pub(crate) async fn find(
    state: &State,
    usual: Arc<str>,
    earlier: Option<Arc<str>>,
    deadline: Time,
) -> Result<Arc<str>, Rejection> {
    let Some(earlier) = earlier else {
        return Ok(usual);
    };
    for id in [&usual, &earlier] {
        if lock(&state.budgets.ledger).knows(id) || exists(state, id, deadline).await? {
            return Ok(Arc::clone(id));
        }
    }
    Ok(usual)
}

/// Returns whether a program has a row.
async fn exists(state: &State, program: &str, deadline: Time) -> Result<bool, Rejection> {
    let began = state.now();
    let partition = partition_key(program);
    let mut backoff = Backoff::default();
    loop {
        state
            .wait_until_available(&partition, began, deadline)
            .await?;
        match read_row(state, program, deadline).await {
            Ok(stored) => return Ok(stored.version > 0),
            Err(_) => backoff.wait().await,
        }
    }
}

/// Loads a program's budget for a turn of at most `max_tokens` tokens.
///
/// # Errors
///
/// Returns a rejection if the budget is spent or the store does not respond in time.
pub(crate) async fn load(
    state: &Arc<State>,
    program: &Program,
    limit: u64,
    max_tokens: u64,
    deadline: Time,
) -> Result<TurnBudget, Rejection> {
    let session = xxh3_64(program.session.as_bytes());
    let (reserved_tokens, previous_upstream) = {
        let mut ledger = lock(&state.budgets.ledger);
        let reserved_tokens = ledger.reserve(&program.id, max_tokens, state.now());
        (
            reserved_tokens,
            ledger.session_upstream(&program.id, session).cloned(),
        )
    };
    let mut budget = TurnBudget {
        reserved: ReservedTokens {
            state: Arc::clone(state),
            program: Arc::clone(&program.id),
            tokens: reserved_tokens,
            used: 0,
        },
        missing: max_tokens - reserved_tokens,
        max_tokens,
        limit,
        session,
        previous_upstream,
        stored: StoredRow::default(),
    };
    if budget.missing == 0 && budget.previous_upstream.is_some() {
        return Ok(budget);
    }
    let began = state.now();
    let partition = partition_key(&program.id);
    let mut backoff = Backoff::default();
    loop {
        match state
            .wait_until_available(&partition, began, deadline)
            .await
        {
            // The reserved tokens suffice; only the previous upstream stays unknown.
            Err(_) if budget.missing == 0 => return Ok(budget),
            result => result?,
        }
        match read_row(state, &program.id, deadline).await {
            Ok(stored) => {
                budget.stored = stored;
                break;
            }
            Err(_) => backoff.wait().await,
        }
    }
    if budget.missing > 0 && budget.is_spent() {
        return Err(Rejection::BudgetSpent);
    }
    Ok(budget)
}

impl TurnBudget {
    /// Returns the latest upstream of the session, or else the latest one of the program.
    pub(crate) fn previous_upstream(&self) -> Option<&Arc<str>> {
        let sessions = &self.stored.row.sessions;
        let session_entry = sessions.iter().find(|session| session.id == self.session);
        let stored = session_entry
            .or(sessions.last())
            .map(|session| &session.upstream);
        self.previous_upstream.as_ref().or(stored)
    }

    /// Returns whether the program has had no turn yet at any instance.
    pub(crate) const fn is_new(&self) -> bool {
        self.stored.version == 0 && self.missing == self.max_tokens
    }

    /// Returns whether turns in progress elsewhere may spend the rest of the budget.
    pub(crate) const fn is_nearly_spent(&self) -> bool {
        let granted = self.stored.row.granted;
        self.missing > 0 && granted + MAX_CONCURRENT_TURNS * self.max_tokens >= self.limit
    }

    /// Grants the missing tokens in the store and records the session's upstream.
    ///
    /// # Errors
    ///
    /// Fails if the budget is spent by now or the store does not accept the grant in time.
    pub(crate) async fn grant(mut self, upstream: Arc<str>) -> Result<ReservedTokens, GrantError> {
        let state = Arc::clone(&self.reserved.state);
        let program = Arc::clone(&self.reserved.program);
        lock(&state.budgets.ledger).record_session(&program, self.session, &upstream, state.now());
        if self.missing == 0 {
            return Ok(self.reserved);
        }
        let deadline = state.now().after(GRANT_TIMEOUT_MS);
        let mut pending = PendingGrant::default();
        let mut backoff = Backoff::default();
        loop {
            let mean_turn_tokens = lock(&state.budgets.ledger).mean_turn_tokens();
            let write = pending.next_write(
                self.stored.row.granted_tokens(),
                self.stored.version,
                self.limit,
                self.missing,
                mean_turn_tokens,
                rand::random(),
            );
            let write = write.ok_or(GrantError::Spent)?;
            let next = self
                .stored
                .clone()
                .with_grant(&write, self.session, &upstream);
            let read = match write_row(&state, &program, &next, deadline).await {
                Ok(()) => return Ok(self.reserve_granted(write.tokens)),
                Err(Error::Conflict(page)) => find_row(page, &program),
                Err(error) if state.now() >= deadline => Err(error),
                Err(_) => {
                    backoff.wait().await;
                    read_row(&state, &program, deadline).await
                }
            };
            let stored = match read {
                Ok(stored) => stored,
                Err(error) if state.now() >= deadline => return Err(GrantError::Store(error)),
                Err(_) => {
                    backoff.wait().await;
                    continue;
                }
            };
            if let Some(done) = pending.find_done(&stored.grant_ids()) {
                return Ok(self.reserve_granted(done.tokens));
            }
            self.stored = stored;
        }
    }

    /// Returns whether the budget has no tokens left for the turn.
    fn is_spent(&self) -> bool {
        let granted = self.stored.row.granted_tokens();
        decide_grant(granted, self.limit, self.missing, 0.0) == Grant::Spent
    }

    /// Reserves the tokens that the turn needs and releases the advance for later turns.
    fn reserve_granted(mut self, tokens: u64) -> ReservedTokens {
        self.reserved.tokens += self.missing;
        let rest = tokens - self.missing;
        let state = &self.reserved.state;
        lock(&state.budgets.ledger).release(&self.reserved.program, rest, 0, state.now());
        self.reserved
    }
}

impl Row {
    const fn granted_tokens(&self) -> GrantedTokens {
        GrantedTokens {
            tokens: self.granted,
            advance: self.advance,
        }
    }
}

impl StoredRow {
    /// Returns the row that a write of a grant replaces this one with.
    fn with_grant(mut self, write: &GrantWrite, session: u64, upstream: &Arc<str>) -> Self {
        let sessions = &mut self.row.sessions;
        sessions.retain(|known| known.id != session);
        if sessions.len() >= MAX_SESSIONS {
            sessions.remove(0);
        }
        sessions.push(Session {
            id: session,
            upstream: Arc::clone(upstream),
        });
        if self.version > 0 {
            let earlier_grants = &mut self.tail.earlier_grants;
            earlier_grants.push(self.row.grant);
            let excess = earlier_grants.len().saturating_sub(MAX_EARLIER_GRANTS);
            earlier_grants.drain(..excess);
        }
        self.row.granted = write.totals.tokens;
        self.row.advance = write.totals.advance;
        self.row.grant = write.id;
        self
    }

    /// Returns the ids of the latest writes of grants.
    fn grant_ids(&self) -> Vec<u64> {
        let mut ids = self.tail.earlier_grants.clone();
        ids.push(self.row.grant);
        ids
    }

    fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(&(&self.row, &self.tail))
            .map_err(|error| Error::Malformed(error.to_string()))
    }

    fn decode(bytes: &[u8], version: u64) -> Result<Self, Error> {
        let (row, rest) = postcard::take_from_bytes(bytes)
            .map_err(|error| Error::Malformed(error.to_string()))?;
        // A build that does not know the tail leaves it out.
        let tail = postcard::from_bytes(rest).unwrap_or_default();
        Ok(Self { row, tail, version })
    }
}

/// Writes a row on the condition that it has the version that it was read with.
async fn write_row(
    state: &State,
    program: &str,
    stored: &StoredRow,
    deadline: Time,
) -> Result<(), Error> {
    let partition = partition_key(program);
    let place = PartitionKey {
        table: TABLE,
        partition: &partition,
    };
    let change = Transaction::default()
        .require_version(place, program, stored.version)
        .write(place, program, &stored.encode()?);
    let call = async |store: &Client, limit_ms| store.commit(&change, limit_ms).await;
    state
        .call(StoreCall::Write, &partition, deadline, call)
        .await
        .map(|_| ())
}

/// Reads a program's row.
async fn read_row(state: &State, program: &str, deadline: Time) -> Result<StoredRow, Error> {
    let partition = partition_key(program);
    let place = PartitionKey {
        table: TABLE,
        partition: &partition,
    };
    let page = state.read_row(place, program, deadline).await?;
    find_row(page, program)
}

/// Returns a program's row in a response; an empty one with version 0 if there is none.
fn find_row(page: Page, program: &str) -> Result<StoredRow, Error> {
    match page.rows.into_iter().find(|row| &*row.key == program) {
        Some(row) => StoredRow::decode(&row.value.unwrap_or_default(), row.version),
        None => Ok(StoredRow::default()),
    }
}
