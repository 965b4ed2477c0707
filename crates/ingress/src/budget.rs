//! Budgets of programs, through the store: one row for each program.
//!
//! The row also says where the program's sessions ran last, so that any instance can send the next
//! turn to the upstream that has its prompt.

use std::sync::{Arc, Mutex};

use basilramp_adapter::store::{Change, Client, Error, Place};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::request::{Program, Rejection};
use basilramp_core::dispatch::token_budget::{Grant, GrantedTokens, TokenLedger, decide_grant};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::state::{Backoff, State, StoreCall, lock, partition_key};

/// The table of programs.
const TABLE: &str = "program";

/// How long a turn that runs waits for its grant before it is given up: below the pause after
/// which callers leave a stream.
const GRANT_TIMEOUT_MS: u64 = 1_800;

/// Turns that a program may have begun elsewhere since its row was read some milliseconds ago:
/// about the sub-agents that it starts at once.
const MAX_CONCURRENT_TURNS: u64 = 4;

/// Lines of a program that its row remembers.
const MAX_SESSIONS: usize = 12;

/// A program's row.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Row {
    /// Tokens granted to all turns.
    granted: u64,
    /// Those of them that were granted ahead.
    #[serde(rename = "ahead")]
    advance: u64,
    /// The grant that wrote it; tells its writer that a lost answer was a success.
    grant: u64,
    /// Where its sessions ran, the latest last.
    #[serde(rename = "lines")]
    sessions: Vec<Session>,
}

/// Where a session of turns ran last.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Session {
    /// Hash of the session's id.
    id: u64,
    /// The upstream.
    upstream: Arc<str>,
}

/// Budgets as this instance knows them.
#[derive(Debug, Default)]
pub(crate) struct Budgets {
    ledger: Mutex<TokenLedger>,
}

impl Budgets {
    /// Forgets programs that had no turn for long.
    pub(crate) fn expire(&self, now: Time) {
        lock(&self.ledger).expire(now);
    }
}

/// A turn whose budget was looked up.
#[derive(Debug)]
pub(crate) struct TurnBudget {
    reserved: ReservedTokens,
    /// Tokens that still have to be granted.
    missing: u64,
    /// The max_tokens tokens of the turn.
    max_tokens: u64,
    limit: u64,
    /// Hash of the session's id.
    session: u64,
    /// Where the session ran last, if it ran at this instance.
    previous_upstream: Option<Arc<str>>,
    /// The program's row as it was read; as if there were none where nothing has to be granted.
    row: Row,
    version: u64,
}

/// Why a turn got no tokens.
#[derive(Debug)]
pub(crate) enum GrantError {
    /// Other turns have used up the budget meanwhile.
    Spent,
    /// The store did not take the grant in time.
    Store(Error),
}

/// Tokens of one turn; what it did not hand out goes back when this is dropped.
#[derive(Debug)]
pub(crate) struct ReservedTokens {
    state: Arc<State>,
    program: Arc<str>,
    tokens: u64,
    used: u64,
}

impl ReservedTokens {
    /// Notes tokens that are handed out.
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

/// Looks up a program's budget for a turn of at max_tokens `max_tokens` tokens.
///
/// # Errors
///
/// Refuses the turn if the budget is used, or the store can't say in time.
pub(crate) async fn load(
    state: &Arc<State>,
    program: &Program,
    limit: u64,
    max_tokens: u64,
    deadline: Time,
) -> Result<TurnBudget, Rejection> {
    let session = xxh3_64(program.session.as_bytes());
    let (reserved_tokens, last) = {
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
        previous_upstream: last,
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
            // What is reserved_tokens needs no grant; only the last upstream isn't known.
            Err(_) if budget.missing == 0 => return Ok(budget),
            up => up?,
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
    /// Returns the upstream where the session ran last, or else the program's latest one.
    pub(crate) fn previous_upstream(&self) -> Option<&Arc<str>> {
        let sessions = &self.row.sessions;
        let session_entry = sessions.iter().find(|session| session.id == self.session);
        let stored = session_entry
            .or(sessions.last())
            .map(|session| &session.upstream);
        self.previous_upstream.as_ref().or(stored)
    }

    /// Tells whether the program has had no turn yet, at any instance.
    pub(crate) const fn is_new(&self) -> bool {
        self.version == 0 && self.missing == self.max_tokens
    }

    /// Tells whether other turns under way may use up what is left of the budget.
    pub(crate) const fn is_nearly_spent(&self) -> bool {
        self.missing > 0 && self.row.granted + MAX_CONCURRENT_TURNS * self.max_tokens >= self.limit
    }

    /// Has the turn's tokens granted, and notes where its session runs.
    ///
    /// # Errors
    ///
    /// Fails if the budget is used by now or the store does not take the grant in time.
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
            if error != Error::Conflict {
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

    /// Takes the tokens that the turn may need, and leaves the rest to those after it.
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
    let place = Place {
        table: TABLE,
        part: &partition,
    };
    let value = postcard::to_stdvec(row).map_err(|error| Error::Malformed(error.to_string()))?;
    let change = Change::default()
        .if_version(place, program, version)
        .write(place, program, &value);
    let call = async |store: &Client, limit_ms| store.change(&change, limit_ms).await;
    state
        .call(StoreCall::Write, &partition, deadline, call)
        .await
        .map(|_| ())
}

/// Reads a program's row and its version.
async fn read_row(state: &State, program: &str, deadline: Time) -> Result<(Row, u64), Error> {
    let partition = partition_key(program);
    let place = Place {
        table: TABLE,
        part: &partition,
    };
    let end = format!("{program}\u{1}");
    let call = async |store: &Client, limit_ms| {
        store.read(place, Some(program), Some(&end), limit_ms).await
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
