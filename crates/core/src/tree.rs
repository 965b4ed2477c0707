//! A program and its sub-agents: order, history and budget under one owner.

mod command;
mod query;

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

use crate::budget::{Budget, Exceeded, Ledger};
use crate::clock::Time;
use crate::history::{Digest, History, IntegrityError, Turn, TurnRequest};
use crate::id;

new_key_type! {
    /// Names a program within its tree's arena.
    pub struct Key;
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The tree has no such program.
    NotFound,
    /// The program, or one that it belongs to, has ended.
    Ended,
    /// The request id was used with another body.
    Conflict,
    /// The same request is being run.
    InProgress,
    /// Another call is due, at this position.
    OutOfOrder(u32),
    /// Turns that the caller knows were not kept; the next position is this one.
    HistoryBehind(u32),
    /// The same request was sent and its outcome is not known.
    InDoubt,
    /// The call at this position is in doubt and has to be settled first.
    Blocked(u32),
    /// The record of a call that was never sent is being taken back.
    Withdrawing,
    /// A budget does not cover it.
    Exceeded(Exceeded),
}

/// How a request starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    /// It runs now, for this program.
    Started(Key),
    /// Its answer is recorded at this position.
    Recorded(Key, u32),
}

/// How a sub-agent's creation starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spawn {
    /// It is new: its head and the root's have to be written.
    New(id::Program),
    /// It exists.
    Existing(id::Program),
}

/// How far the call in progress has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is being run.
    Calling,
    /// Its turn is being written.
    Committing,
    /// Its intent was never sent and is being deleted.
    Withdrawing,
    /// Its outcome is not known.
    InDoubt,
}

/// How a program was created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The creation's request id.
    pub request_id: id::Request,
    /// The digest of the creation's body.
    pub body_digest: Digest,
    /// The parent's number, for a sub-agent.
    pub parent: Option<u32>,
    /// Levels below the root.
    pub depth: u32,
    /// Wall-clock time of creation.
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
    loaded: u32,
    durable: u32,
    running: Option<Running>,
}

/// A program as it is loaded from its rows.
#[derive(Clone, Debug)]
pub struct LoadedProgram {
    /// Its number in the tree.
    pub number: u32,
    /// How it was created.
    pub origin: Origin,
    /// Whether it has ended.
    pub ended: bool,
    /// Its turns with their positions, in order.
    pub turns: Vec<(u32, Turn)>,
}

/// What the root's row says of the whole tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreeRecord {
    /// The root program.
    pub root: id::Program,
    /// The account.
    pub account: id::Account,
    /// The tree's budget.
    pub budget: Budget,
    /// Tokens reserved durably.
    pub reserved: u64,
    /// How many sub-agents the tree has had.
    pub members: u32,
}

/// What a program's row says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramRecord {
    /// The whole tree.
    pub tree: TreeRecord,
    /// The program's number.
    pub number: u32,
    /// How it was created.
    pub origin: Origin,
    /// Whether it has ended.
    pub ended: bool,
}

/// A program and its sub-agents.
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
    /// Creates a tree of one program, of whose budget `reserved` tokens are written with it.
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
    /// Fails if a program's history is not whole.
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
        let doubt = history.intent().map(|turn| Running {
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
            running: doubt,
        });
        self.numbers.insert(number, key);
        key
    }
}
