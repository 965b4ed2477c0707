//! Token budgets of programs, stored as one row per program.
//!
//! The row also contains the latest upstream of each session, so that any instance can send the
//! next turn to the upstream that has its prompt cached.

use std::sync::{Arc, Mutex};

use basilramp_adapter::store::{Client, Error, PartitionKey, Transaction};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::request::{Program, Rejection};
use basilramp_core::dispatch::token_budget::{Grant, GrantedTokens, TokenLedger, decide_grant};
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

/// Row of a program.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Row {
    /// Number of tokens granted to all turns.
    granted: u64,
    /// Number of those tokens that were granted in advance.
    #[serde(rename = "ahead")]
    advance: u64,
    /// Random id of the grant that wrote the row. It tells a writer whose response was lost that
    /// its write succeeded.
    grant: u64,
    /// Sessions with their upstreams, the latest last.
    #[serde(rename = "lines")]
    sessions: Vec<Session>,
}

/// Latest upstream of a session.
#[derive(Clone, Debug, Serialize, Deserialize)]
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
    row: Row,
    version: u64,
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
        row: Row::default(),
        version: 0,
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
            Ok((row, version)) => {
                budget.row = row;
                budget.version = version;
                break;
            }
            Err(_) => backoff.wait().await,
        }
    }
    if budget.missing > 0 && budget.next_grant() == Grant::Spent {
        return Err(Rejection::BudgetSpent);
    }
    Ok(budget)
}

impl TurnBudget {
    /// Returns the latest upstream of the session, or else the latest one of the program.
    pub(crate) fn previous_upstream(&self) -> Option<&Arc<str>> {
        let sessions = &self.row.sessions;
        let session_entry = sessions.iter().find(|session| session.id == self.session);
        let stored = session_entry
            .or(sessions.last())
            .map(|session| &session.upstream);
        self.previous_upstream.as_ref().or(stored)
    }

    /// Returns whether the program has had no turn yet at any instance.
    pub(crate) const fn is_new(&self) -> bool {
        self.version == 0 && self.missing == self.max_tokens
    }

    /// Returns whether turns in progress elsewhere may spend the rest of the budget.
    pub(crate) const fn is_nearly_spent(&self) -> bool {
        self.missing > 0 && self.row.granted + MAX_CONCURRENT_TURNS * self.max_tokens >= self.limit
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
        let grant_id = rand::random();
        let mut backoff = Backoff::default();
        loop {
            let Grant::Tokens(tokens, granted) = self.next_grant() else {
                return Err(GrantError::Spent);
            };
            let row = self
                .row
                .clone()
                .with_grant(granted, grant_id, self.session, &upstream);
            let error = match write_row(&state, &program, &row, self.version, deadline).await {
                Ok(()) => return Ok(self.reserve_granted(tokens)),
                Err(error) => error,
            };
            if !matches!(error, Error::Conflict(_)) {
                if state.now() >= deadline {
                    return Err(GrantError::Store(error));
                }
                backoff.wait().await;
            }
            if let Ok((row, version)) = read_row(&state, &program, deadline).await {
                if row.grant == grant_id {
                    return Ok(self.reserve_granted(tokens));
                }
                self.row = row;
                self.version = version;
            }
        }
    }

    fn next_grant(&self) -> Grant {
        let granted = GrantedTokens {
            tokens: self.row.granted,
            advance: self.row.advance,
        };
        let mean_turn_tokens = lock(&self.reserved.state.budgets.ledger).mean_turn_tokens();
        decide_grant(granted, self.limit, self.missing, mean_turn_tokens)
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
    fn with_grant(
        mut self,
        granted: GrantedTokens,
        grant: u64,
        id: u64,
        upstream: &Arc<str>,
    ) -> Self {
        self.sessions.retain(|session| session.id != id);
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions.remove(0);
        }
        self.sessions.push(Session {
            id,
            upstream: Arc::clone(upstream),
        });
        Self {
            granted: granted.tokens,
            advance: granted.advance,
            grant,
            sessions: self.sessions,
        }
    }
}

async fn write_row(
    state: &State,
    program: &str,
    row: &Row,
    version: u64,
    deadline: Time,
) -> Result<(), Error> {
    let partition = partition_key(program);
    let place = PartitionKey {
        table: TABLE,
        partition: &partition,
    };
    let value = postcard::to_stdvec(row).map_err(|error| Error::Malformed(error.to_string()))?;
    let change = Transaction::default()
        .require_version(place, program, version)
        .write(place, program, &value);
    let call = async |store: &Client, limit_ms| store.commit(&change, limit_ms).await;
    state
        .call(StoreCall::Write, &partition, deadline, call)
        .await
        .map(|_| ())
}

/// Reads a program's row and its version. Returns an empty row with version 0 if there is none.
async fn read_row(state: &State, program: &str, deadline: Time) -> Result<(Row, u64), Error> {
    let partition = partition_key(program);
    let place = PartitionKey {
        table: TABLE,
        partition: &partition,
    };
    let end = format!("{program}\u{1}");
    let call = async |store: &Client, limit_ms| {
        store
            .read_range(place, Some(program), Some(&end), limit_ms)
            .await
    };
    let page = state
        .call(StoreCall::Read, &partition, deadline, call)
        .await?;
    let Some(row) = page.rows.into_iter().find(|row| &*row.key == program) else {
        return Ok((Row::default(), 0));
    };
    let value = row.value.unwrap_or_default();
    let content =
        postcard::from_bytes(&value).map_err(|error| Error::Malformed(error.to_string()))?;
    Ok((content, row.version))
}
