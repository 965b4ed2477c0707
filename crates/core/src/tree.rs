//! A program tree: call order, history and shared budget of a program and its sub-agents.
//!
//! A tree has a single owner. Its methods change state in memory; the owner writes the rows and
//! reports back which writes are durable.

mod command;
mod query;

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

use crate::budget::{Budget, Exceeded, Ledger};
use crate::clock::Time;
use crate::history::{Digest, History, IntegrityError, Turn, TurnRequest};
use crate::id;

new_key_type! {
    /// Identifies a program within its tree.
    pub struct Key;
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The tree has no such program.
    NotFound,
    /// The program or one of its ancestors has ended.
    Ended,
    /// The request id was already used with another body.
    Conflict,
    /// The same request is still running.
    InProgress,
    /// The call is not the next one. Holds the next position.
    OutOfOrder(u32),
    /// The caller is ahead of the stored history: turns were lost before they became durable. Holds
    /// the next position.
    HistoryBehind(u32),
    /// The same request was sent and its outcome is unknown.
    InDoubt,
    /// The call at this position is in doubt and must be settled first.
    Blocked(u32),
    /// The intent of a call that was not sent is being deleted.
    Withdrawing,
    /// The budget does not cover the request.
    Exceeded(Exceeded),
}

/// The result of starting a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStart {
    /// The call may run.
    Started(Key),
    /// The call was made before; its answer is recorded at this position.
    Recorded(Key, u32),
}

/// The result of creating a sub-agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpawnOutcome {
    /// A new sub-agent; its row and the root's row must be written.
    New(id::Program),
    /// The sub-agent was created before by the same request.
    Existing(id::Program),
}

/// Phase of the call in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The call is running.
    Calling,
    /// The turn of the call is being written.
    Committing,
    /// The call was not sent and its intent is being deleted.
    Withdrawing,
    /// The outcome of the call is unknown.
    InDoubt,
}

/// How a program was created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Request id of the creation.
    pub request_id: id::Request,
    /// Digest of the body of the creation request.
    pub body_digest: Digest,
    /// Number of the parent program; `None` for the root.
    pub parent: Option<u32>,
    /// Number of levels below the root.
    pub depth: u32,
    /// Wall-clock time of the creation.
    pub created_at: Time,
}

#[derive(Clone, Debug)]
struct Running {
    request: TurnRequest,
    phase: Phase,
}

#[derive(Clone, Debug)]
struct Member {
    origin: Origin,
    ended: bool,
    history: History,
    /// Position after the turns that were loaded from rows.
    loaded: u32,
    /// Position after the last durable turn.
    durable: u32,
    running: Option<Running>,
}

/// A program as loaded from its rows.
#[derive(Clone, Debug)]
pub struct LoadedProgram {
    /// Number of the program within the tree.
    pub number: u32,
    /// How it was created.
    pub origin: Origin,
    /// Whether it has ended.
    pub ended: bool,
    /// Turns with their positions, in order.
    pub turns: Vec<(u32, Turn)>,
}

/// The fields of the root's row that apply to the whole tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreeRecord {
    /// The root program.
    pub root: id::Program,
    /// The account that owns the tree.
    pub account: id::Account,
    /// The tree's budget.
    pub budget: Budget,
    /// Durably reserved tokens.
    pub reserved: u64,
    /// Number of sub-agents created so far.
    pub members: u32,
}

/// The row of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramRecord {
    /// The fields that apply to the whole tree.
    pub tree: TreeRecord,
    /// Number of the program within the tree.
    pub number: u32,
    /// How it was created.
    pub origin: Origin,
    /// Whether it has ended.
    pub ended: bool,
}

/// A program tree at its owner.
#[derive(Clone, Debug)]
pub struct Tree {
    root: id::Program,
    account: id::Account,
    budget: Budget,
    ledger: Ledger,
    arena: SlotMap<Key, Member>,
    numbers: BTreeMap<u32, Key>,
    members: u32,
}

impl Tree {
    /// Creates a tree with only a root program and `reserved` durably reserved tokens.
    #[must_use]
    pub fn create(
        root: id::Program,
        account: id::Account,
        budget: Budget,
        reserved: u64,
        origin: Origin,
    ) -> Self {
        let mut tree = Self {
            root,
            account,
            budget,
            ledger: Ledger::new(budget.tokens, reserved),
            arena: SlotMap::with_key(),
            numbers: BTreeMap::new(),
            members: 0,
        };
        tree.insert(0, origin, false, History::new(root));
        tree
    }

    /// Loads a tree from its rows.
    ///
    /// # Errors
    ///
    /// Fails if a turn is missing from a program's history or does not match its hash.
    pub fn load(
        record: TreeRecord,
        programs: impl IntoIterator<Item = LoadedProgram>,
    ) -> Result<Self, IntegrityError> {
        let mut tree = Self {
            root: record.root,
            account: record.account,
            budget: record.budget,
            ledger: Ledger::load(record.budget.tokens, record.reserved),
            arena: SlotMap::with_key(),
            numbers: BTreeMap::new(),
            members: record.members,
        };
        for program in programs {
            let id = tree.root.member(program.number);
            let history = History::load(id, program.turns)?;
            tree.insert(program.number, program.origin, program.ended, history);
        }
        Ok(tree)
    }

    fn insert(&mut self, number: u32, origin: Origin, ended: bool, history: History) -> Key {
        let in_doubt = history.intent().map(|turn| Running {
            request: turn.request.clone(),
            phase: Phase::InDoubt,
        });
        let next = history.next_position();
        let key = self.arena.insert(Member {
            origin,
            ended,
            history,
            loaded: next,
            durable: next,
            running: in_doubt,
        });
        self.numbers.insert(number, key);
        key
    }
}
