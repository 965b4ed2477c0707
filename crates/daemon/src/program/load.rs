//! Loads program trees from the store when they are first used.

use std::collections::BTreeMap;
use std::fmt::Display;

use basilramp_core::history::Turn;
use basilramp_core::id;
use basilramp_core::tree::{LoadedProgram, Origin, Tree};
use basilramp_platform::table::Row;
use basilramp_wire::error::{Error, Executed, Kind};
use basilramp_wire::record;
use futures_util::stream::{self, StreamExt, TryStreamExt};
use tokio::sync::{Mutex, MutexGuard};

use super::loaded_trees::{LoadedTree, TreeKey};
use super::{Shared, rejection, row};
use crate::log::{Event, event};

const LOCK_COUNT: usize = 256;

/// Members of one tree that are read concurrently.
const MAX_CONCURRENT_READS: usize = 8;

/// What a request requires of this instance's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseRequirement {
    /// The lease has not expired.
    Valid,
    /// The lease may have expired, as it does while the store is unavailable. Commits fail if the
    /// tree is no longer owned.
    Any,
}

/// Locks that prevent concurrent loads of the same tree.
#[derive(Debug)]
pub(crate) struct LoadLocks {
    locks: Vec<Mutex<()>>,
}

impl Default for LoadLocks {
    fn default() -> Self {
        let locks = (0..LOCK_COUNT).map(|_| Mutex::default());
        Self {
            locks: locks.collect(),
        }
    }
}

impl LoadLocks {
    /// Waits until no other tree of the root's partition is being loaded or created.
    pub(crate) async fn lock(&self, root: id::Program) -> MutexGuard<'_, ()> {
        let index = usize::from(root.partition().0) % LOCK_COUNT;
        self.locks[index].lock().await
    }
}

/// Returns the tree of a program, and loads it if necessary.
pub(crate) async fn get_or_load(
    shared: &Shared,
    program: id::Program,
    lease: LeaseRequirement,
) -> Result<TreeKey, Error> {
    let root = program.tree_root();
    if let Some(key) = find_loaded(shared, root, lease)? {
        return Ok(key);
    }
    let _load_lock = shared.load_locks.lock(root).await;
    find_or_load(shared, root)
        .await?
        .ok_or_else(rejection::not_found)
}

/// Returns the tree of a root and loads it if necessary. Returns `None` if it does not exist.
///
/// The caller must hold the root's load lock.
pub(crate) async fn find_or_load(
    shared: &Shared,
    root: id::Program,
) -> Result<Option<TreeKey>, Error> {
    if let Some(key) = find_loaded(shared, root, LeaseRequirement::Valid)? {
        return Ok(Some(key));
    }
    let term = shared.owned_term(root.partition())?;
    let Some(tree) = read_tree(shared, root).await? else {
        return Ok(None);
    };
    if shared.owned_term(root.partition())? != term {
        return Err(Error::new(
            Kind::OwnerUnavailable,
            "the owner of the program changed",
        ));
    }
    let loaded = LoadedTree {
        tree: tree.tree,
        term,
        commit: shared.dependencies.commit.scoped_to(root.partition(), term),
        pending_ends: 0,
        next_head_version: tree.head_version + 1,
        holding_upstreams: BTreeMap::new(),
    };
    Ok(Some(shared.lock().insert(loaded)))
}

/// Returns the tree of a root if it is loaded in the current term. Unloads it if it is from another
/// term.
fn find_loaded(
    shared: &Shared,
    root: id::Program,
    lease: LeaseRequirement,
) -> Result<Option<TreeKey>, Error> {
    let term = match lease {
        LeaseRequirement::Valid => shared.owned_term(root.partition())?,
        LeaseRequirement::Any => shared.last_known_term(root.partition())?,
    };
    let mut trees = shared.lock();
    if trees.is_partition_closed(root.partition()) {
        let message = "the program is being handed over";
        return Err(Error::new(Kind::OwnerUnavailable, message));
    }
    let Some(key) = trees.find_key(root) else {
        return Ok(None);
    };
    if trees.get(key).is_some_and(|loaded| loaded.term == term) {
        return Ok(Some(key));
    }
    trees.remove(key);
    Ok(None)
}

struct StoredTree {
    tree: Tree,
    head_version: u64,
}

async fn read_tree(shared: &Shared, root: id::Program) -> Result<Option<StoredTree>, Error> {
    let rows = query_rows(shared, root).await?;
    let Some(head) = rows.iter().find(|row| &*row.key.sort == row::HEAD_SORT_KEY) else {
        return Ok(None);
    };
    let head_version = head.version;
    let record: record::Program = parse_row(shared, root, head)?;
    let shape = record
        .tree_record(root)
        .map_err(|fault| history_broken(shared, root, &fault))?;
    let mut programs = vec![parse_member(shared, root, rows)?];
    let numbers = 1..=shape.members;
    let members: Vec<Option<LoadedProgram>> = stream::iter(numbers)
        .map(|number| read_member(shared, root.member(number)))
        .buffered(MAX_CONCURRENT_READS)
        .try_collect()
        .await?;
    programs.extend(members);
    let programs = programs.into_iter().flatten();
    let tree = Tree::load(shape, programs).map_err(|fault| history_broken(shared, root, &fault))?;
    Ok(Some(StoredTree { tree, head_version }))
}

async fn read_member(
    shared: &Shared,
    program: id::Program,
) -> Result<Option<LoadedProgram>, Error> {
    let rows = query_rows(shared, program).await?;
    parse_member(shared, program, rows)
}

/// Parses a program from its rows. Returns `None` if its creation was never written.
fn parse_member(
    shared: &Shared,
    program: id::Program,
    rows: Vec<Row>,
) -> Result<Option<LoadedProgram>, Error> {
    let mut head = None;
    let mut turns = Vec::new();
    for row in &rows {
        if let Some(position) = row::parse_position(&row.key.sort) {
            let record: record::Turn = parse_row(shared, program, row)?;
            let turn =
                Turn::try_from(record).map_err(|fault| history_broken(shared, program, &fault))?;
            turns.push((position, turn));
        } else if &*row.key.sort == row::HEAD_SORT_KEY {
            head = Some(parse_row::<record::Program>(shared, program, row)?);
        }
    }
    let Some(head) = head else {
        return Ok(None);
    };
    let origin =
        Origin::try_from(&head).map_err(|fault| history_broken(shared, program, &fault))?;
    Ok(Some(LoadedProgram {
        number: program.number(),
        origin,
        ended: head.ended,
        turns,
    }))
}

async fn query_rows(shared: &Shared, program: id::Program) -> Result<Vec<Row>, Error> {
    let key = row::partition_key(program);
    let rows = shared.dependencies.table.query_all(&key, "").await;
    rows.map_err(|_| rejection::store_unavailable())
}

fn parse_row<T: serde::de::DeserializeOwned>(
    shared: &Shared,
    program: id::Program,
    row: &Row,
) -> Result<T, Error> {
    serde_json::from_str(&row.body).map_err(|fault| history_broken(shared, program, &fault))
}

/// Logs that a program's rows are inconsistent or can't be parsed, and returns the error for the
/// caller.
fn history_broken(shared: &Shared, program: id::Program, fault: &impl Display) -> Error {
    event!(shared.dependencies.log, Event::HistoryBroken,
        "program" => %program, "fault" => %fault);
    let mut error = Error::new(
        Kind::Internal,
        "the program's stored history is incomplete or invalid",
    );
    error.ran = Executed::No;
    error
}
