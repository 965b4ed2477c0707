//! Loads trees from their rows when they are first touched.

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

use super::shelf::{Entry, TreeKey};
use super::{Shared, refusal, row};
use crate::log::{Event, event};

const LOCKS: usize = 256;

/// Members of one tree that are read at once.
const READS_AT_ONCE: usize = 8;

/// What must hold of this instance's lease for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lease {
    /// It has not run out.
    Valid,
    /// It may have run out, as it does while the store is out of reach; commits tell whether the
    /// tree is still owned.
    Any,
}

/// Keeps a tree from being loaded twice at once.
#[derive(Debug)]
pub(crate) struct Locks {
    locks: Vec<Mutex<()>>,
}

impl Default for Locks {
    fn default() -> Self {
        let locks = (0..LOCKS).map(|_| Mutex::default());
        Self {
            locks: locks.collect(),
        }
    }
}

impl Locks {
    /// Waits until no tree of the root's partition is being loaded or created.
    pub(crate) async fn lock(&self, root: id::Program) -> MutexGuard<'_, ()> {
        let index = usize::from(root.partition().0) % LOCKS;
        self.locks[index].lock().await
    }
}

/// Returns the tree of a program, loaded if need be.
pub(crate) async fn touch(
    shared: &Shared,
    program: id::Program,
    lease: Lease,
) -> Result<TreeKey, Error> {
    let root = program.tree_root();
    if let Some(key) = held(shared, root, lease)? {
        return Ok(key);
    }
    let _alone = shared.loads.lock(root).await;
    find(shared, root).await?.ok_or_else(refusal::missing)
}

/// Returns the tree of a root, loaded if need be, or nothing if it does not exist.
///
/// The caller holds the root's load lock.
pub(crate) async fn find(shared: &Shared, root: id::Program) -> Result<Option<TreeKey>, Error> {
    if let Some(key) = held(shared, root, Lease::Valid)? {
        return Ok(Some(key));
    }
    let term = shared.term(root.partition())?;
    let Some(tree) = read(shared, root).await? else {
        return Ok(None);
    };
    if shared.term(root.partition())? != term {
        return Err(Error::new(Kind::OwnerUnavailable, "the owner changed"));
    }
    let entry = Entry {
        tree: tree.tree,
        term,
        commit: shared.parts.commit.under(root.partition(), term),
        ends: 0,
        version: tree.version + 1,
        holders: BTreeMap::new(),
    };
    Ok(Some(shared.lock().insert(entry)))
}

/// Returns the tree of a root if it is held under the term in force.
fn held(shared: &Shared, root: id::Program, lease: Lease) -> Result<Option<TreeKey>, Error> {
    let term = match lease {
        Lease::Valid => shared.term(root.partition())?,
        Lease::Any => shared.held_term(root.partition())?,
    };
    let mut shelf = shared.lock();
    if shelf.is_closed(root.partition()) {
        let message = "the program is being handed over";
        return Err(Error::new(Kind::OwnerUnavailable, message));
    }
    let Some(key) = shelf.find(root) else {
        return Ok(None);
    };
    if shelf.get(key).is_some_and(|entry| entry.term == term) {
        return Ok(Some(key));
    }
    shelf.remove(key);
    Ok(None)
}

struct Read {
    tree: Tree,
    version: u64,
}

async fn read(shared: &Shared, root: id::Program) -> Result<Option<Read>, Error> {
    let rows = rows(shared, root).await?;
    let Some(head) = rows.iter().find(|row| &*row.key.sort == row::HEAD) else {
        return Ok(None);
    };
    let version = head.version;
    let record: record::Program = parse(shared, root, head)?;
    let shape = record
        .tree_record(root)
        .map_err(|fault| broken(shared, root, &fault))?;
    let mut programs = vec![member(shared, root, rows)?];
    let numbers = 1..=shape.members;
    let others: Vec<Option<LoadedProgram>> = stream::iter(numbers)
        .map(|number| other(shared, root.member(number)))
        .buffered(READS_AT_ONCE)
        .try_collect()
        .await?;
    programs.extend(others);
    let programs = programs.into_iter().flatten();
    let tree = Tree::load(shape, programs).map_err(|fault| broken(shared, root, &fault))?;
    Ok(Some(Read { tree, version }))
}

async fn other(shared: &Shared, program: id::Program) -> Result<Option<LoadedProgram>, Error> {
    let rows = rows(shared, program).await?;
    member(shared, program, rows)
}

/// Returns a program from its rows, or nothing if its creation was never written.
fn member(
    shared: &Shared,
    program: id::Program,
    rows: Vec<Row>,
) -> Result<Option<LoadedProgram>, Error> {
    let mut head = None;
    let mut turns = Vec::new();
    for row in &rows {
        if let Some(position) = row::position(&row.key.sort) {
            let record: record::Turn = parse(shared, program, row)?;
            let turn = Turn::try_from(record).map_err(|fault| broken(shared, program, &fault))?;
            turns.push((position, turn));
        } else if &*row.key.sort == row::HEAD {
            head = Some(parse::<record::Program>(shared, program, row)?);
        }
    }
    let Some(head) = head else {
        return Ok(None);
    };
    let origin = Origin::try_from(&head).map_err(|fault| broken(shared, program, &fault))?;
    Ok(Some(LoadedProgram {
        number: program.number(),
        origin,
        ended: head.ended,
        turns,
    }))
}

async fn rows(shared: &Shared, program: id::Program) -> Result<Vec<Row>, Error> {
    let key = row::partition_key(program);
    let rows = shared.parts.table.query_all(&key, "").await;
    rows.map_err(|_| refusal::store())
}

fn parse<T: serde::de::DeserializeOwned>(
    shared: &Shared,
    program: id::Program,
    row: &Row,
) -> Result<T, Error> {
    serde_json::from_str(&row.body).map_err(|fault| broken(shared, program, &fault))
}

/// Returns what is said of a program whose rows are not whole; nothing of it is run.
fn broken(shared: &Shared, program: id::Program, fault: &impl Display) -> Error {
    event!(shared.parts.log, Event::HistoryBroken,
        "program" => %program, "fault" => %fault);
    let mut error = Error::new(Kind::Internal, "the program's history is not whole");
    error.ran = Executed::No;
    error
}
