//! Budgets of programs, through the store: one row for each program.
//!
//! The row also says where the program's lines ran last, so that any instance can send the next
//! turn to the upstream that has its prompt.

use std::sync::{Arc, Mutex};

use basilramp_adapter::store::{Client, Error, PartitionKey, Transaction};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::allowance::{Grant, Granted, Ledger, grant};
use basilramp_core::dispatch::call::{Program, Refusal};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::state::{Call, Pauses, State, lock, part};

/// The table of programs.
const TABLE: &str = "program";

/// How long a turn that runs waits for its grant before it is given up: below the pause after
/// which callers leave a stream.
const GRANT_PATIENCE_MS: u64 = 1_800;

/// Turns that a program may have begun elsewhere since its row was read some milliseconds ago:
/// about the sub-agents that it starts at once.
const NEAR_END_TURNS: u64 = 4;

/// Lines of a program that its row remembers.
const MAX_LINES: usize = 12;

/// A program's row.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Row {
    /// Tokens granted to all turns.
    granted: u64,
    /// Those of them that were granted ahead.
    ahead: u64,
    /// The grant that wrote it; tells its writer that a lost answer was a success.
    grant: u64,
    /// Where its lines ran, the latest last.
    lines: Vec<Line>,
}

/// Where a line of turns ran last.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Line {
    /// Hash of the line's id.
    id: u64,
    /// The upstream.
    upstream: Arc<str>,
}

/// Budgets as this instance knows them.
#[derive(Debug, Default)]
pub(crate) struct Book {
    ledger: Mutex<Ledger>,
}

impl Book {
    /// Forgets programs that had no turn for long.
    pub(crate) fn expire(&self, now: Time) {
        lock(&self.ledger).expire(now);
    }
}

/// A turn whose budget was looked up.
#[derive(Debug)]
pub(crate) struct Account {
    taken: Taken,
    /// Tokens that still have to be granted.
    missing: u64,
    /// The most tokens of the turn.
    most: u64,
    budget: u64,
    /// Hash of the line's id.
    line: u64,
    /// Where the line ran last, if it ran at this instance.
    last: Option<Arc<str>>,
    /// The program's row as it was read; as if there were none where nothing has to be granted.
    row: Row,
    version: u64,
}

/// Why a turn got no tokens.
#[derive(Debug)]
pub(crate) enum Denied {
    /// Other turns have used up the budget meanwhile.
    Spent,
    /// The store did not take the grant in time.
    Store(Error),
}

/// Tokens of one turn; what it did not hand out goes back when this is dropped.
#[derive(Debug)]
pub(crate) struct Taken {
    state: Arc<State>,
    program: Arc<str>,
    tokens: u64,
    spent: u64,
}

impl Taken {
    /// Notes tokens that are handed out.
    pub(crate) fn spend(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_sub(tokens);
        self.spent += tokens;
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut ledger = lock(&self.state.book.ledger);
        ledger.put(&self.program, self.tokens, self.spent, now);
    }
}

/// Looks up a program's budget for a turn of at most `most` tokens.
///
/// # Errors
///
/// Refuses the turn if the budget is spent, or the store can't say in time.
pub(crate) async fn look_up(
    state: &Arc<State>,
    program: &Program,
    budget: u64,
    most: u64,
    ends: Time,
) -> Result<Account, Refusal> {
    let line = xxh3_64(program.line.as_bytes());
    let (held, last) = {
        let mut ledger = lock(&state.book.ledger);
        let held = ledger.take(&program.id, most, state.now());
        (held, ledger.line(&program.id, line).cloned())
    };
    let mut account = Account {
        taken: Taken {
            state: Arc::clone(state),
            program: Arc::clone(&program.id),
            tokens: held,
            spent: 0,
        },
        missing: most - held,
        most,
        budget,
        line,
        last,
        row: Row::default(),
        version: 0,
    };
    if account.missing == 0 && account.last.is_some() {
        return Ok(account);
    }
    let began = state.now();
    let part = part(&program.id);
    let mut pauses = Pauses::default();
    loop {
        match state.part_up(&part, began, ends).await {
            // What is held needs no grant; only the last upstream isn't known.
            Err(_) if account.missing == 0 => return Ok(account),
            up => up?,
        }
        match read(state, &program.id, ends).await {
            Ok((row, version)) => {
                account.row = row;
                account.version = version;
                break;
            }
            Err(_) => pauses.wait().await,
        }
    }
    if account.missing > 0 && account.next_grant() == Grant::Spent {
        return Err(Refusal::BudgetSpent);
    }
    Ok(account)
}

impl Account {
    /// Returns the upstream where the line ran last, or else the program's latest one.
    pub(crate) fn last(&self) -> Option<&Arc<str>> {
        let lines = &self.row.lines;
        let noted = lines.iter().find(|line| line.id == self.line);
        let told = noted.or(lines.last()).map(|line| &line.upstream);
        self.last.as_ref().or(told)
    }

    /// Tells whether the program has had no turn yet, at any instance.
    pub(crate) const fn is_new(&self) -> bool {
        self.version == 0 && self.missing == self.most
    }

    /// Tells whether other turns under way may use up what is left of the budget.
    pub(crate) const fn is_near_end(&self) -> bool {
        self.missing > 0 && self.row.granted + NEAR_END_TURNS * self.most >= self.budget
    }

    /// Has the turn's tokens granted, and notes where its line runs.
    ///
    /// # Errors
    ///
    /// Fails if the budget is spent by now or the store does not take the grant in time.
    pub(crate) async fn grant(mut self, upstream: Arc<str>) -> Result<Taken, Denied> {
        let state = Arc::clone(&self.taken.state);
        let program = Arc::clone(&self.taken.program);
        lock(&state.book.ledger).note_line(&program, self.line, &upstream, state.now());
        if self.missing == 0 {
            return Ok(self.taken);
        }
        let gives_up = state.now().after(GRANT_PATIENCE_MS);
        let nonce = rand::random();
        let mut pauses = Pauses::default();
        loop {
            let Grant::Tokens(tokens, granted) = self.next_grant() else {
                return Err(Denied::Spent);
            };
            let row = self.row.clone().next(granted, nonce, self.line, &upstream);
            let error = match write(&state, &program, &row, self.version, gives_up).await {
                Ok(()) => return Ok(self.granted(tokens)),
                Err(error) => error,
            };
            if error != Error::Conflict {
                if state.now() >= gives_up {
                    return Err(Denied::Store(error));
                }
                pauses.wait().await;
            }
            if let Ok((row, version)) = read(&state, &program, gives_up).await {
                if row.grant == nonce {
                    return Ok(self.granted(tokens));
                }
                self.row = row;
                self.version = version;
            }
        }
    }

    fn next_grant(&self) -> Grant {
        let granted = Granted {
            tokens: self.row.granted,
            ahead: self.row.ahead,
        };
        let usual = lock(&self.taken.state.book.ledger).usual();
        grant(granted, self.budget, self.missing, usual)
    }

    /// Takes the tokens that the turn may need, and leaves the rest to those after it.
    fn granted(mut self, tokens: u64) -> Taken {
        self.taken.tokens += self.missing;
        let rest = tokens - self.missing;
        let state = &self.taken.state;
        lock(&state.book.ledger).put(&self.taken.program, rest, 0, state.now());
        self.taken
    }
}

impl Row {
    fn next(mut self, granted: Granted, grant: u64, id: u64, upstream: &Arc<str>) -> Self {
        self.lines.retain(|line| line.id != id);
        if self.lines.len() >= MAX_LINES {
            self.lines.remove(0);
        }
        self.lines.push(Line {
            id,
            upstream: Arc::clone(upstream),
        });
        Self {
            granted: granted.tokens,
            ahead: granted.ahead,
            grant,
            lines: self.lines,
        }
    }
}

async fn write(
    state: &State,
    program: &str,
    row: &Row,
    version: u64,
    ends: Time,
) -> Result<(), Error> {
    let part = part(program);
    let place = PartitionKey {
        table: TABLE,
        partition: &part,
    };
    let value = postcard::to_stdvec(row).map_err(|error| Error::Malformed(error.to_string()))?;
    let change = Transaction::default()
        .require_version(place, program, version)
        .write(place, program, &value);
    let call = async |store: &Client, limit_ms| store.commit(&change, limit_ms).await;
    state.call(Call::Write, &part, ends, call).await.map(|_| ())
}

/// Reads a program's row and its version.
async fn read(state: &State, program: &str, ends: Time) -> Result<(Row, u64), Error> {
    let part = part(program);
    let place = PartitionKey {
        table: TABLE,
        partition: &part,
    };
    let end = format!("{program}\u{1}");
    let call = async |store: &Client, limit_ms| {
        store
            .read_range(place, Some(program), Some(&end), limit_ms)
            .await
    };
    let page = state.call(Call::Read, &part, ends, call).await?;
    let Some(row) = page.rows.into_iter().find(|row| &*row.key == program) else {
        return Ok((Row::default(), 0));
    };
    let value = row.value.unwrap_or_default();
    let content =
        postcard::from_bytes(&value).map_err(|error| Error::Malformed(error.to_string()))?;
    Ok((content, row.version))
}
