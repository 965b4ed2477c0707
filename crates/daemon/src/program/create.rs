//! Creates programs.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Arc;

use basilramp_core::budget::Budget;
use basilramp_core::clock::Time;
use basilramp_core::history::Digest;
use basilramp_core::id;
use basilramp_core::tree::{Origin, Rejection, SpawnOutcome, Tree};
use basilramp_platform::table::Condition;
use basilramp_wire::api;
use basilramp_wire::error::{Error, Kind};

use super::load::{self, Lease};
use super::reserve::{self, Queued, Reserve};
use super::shelf::{Entry, TreeKey};
use super::{Shared, refusal, row, view};
use crate::{clock, commit};

/// Tokens of a new tree's budget that are reserved with its creation.
const FIRST_RESERVATION: u64 = 4_096;

/// Creates a program or a sub-agent, or finds the one that the same request created.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    account: &id::Account,
    create: api::CreateProgram,
) -> Result<api::Program, Error> {
    let body = serde_json::to_vec(&create).map_err(|_| bad("unreadable body"))?;
    let origin = Origin {
        request_id: id::Request::new(create.request_id.as_str()),
        body_digest: Digest::from_parts([body.as_slice()]),
        parent: None,
        depth: 0,
        created_at: Time::from_ms(clock::unix_time_ms()),
    };
    match (&create.parent, create.budget) {
        (None, Some(budget)) => root(shared, account, origin, budget.into()).await,
        (None, None) => Err(bad("a program without a parent needs a budget")),
        (Some(_), Some(_)) => Err(bad("a sub-agent draws on its root's budget")),
        (Some(parent), None) => {
            let parent = id::Program::from_str(parent).map_err(|_| refusal::missing())?;
            sub_agent(shared, account, origin, parent).await
        }
    }
}

fn bad(message: &str) -> Error {
    Error::new(Kind::BadRequest, message)
}

async fn root(
    shared: &Shared,
    account: &id::Account,
    origin: Origin,
    budget: Budget,
) -> Result<api::Program, Error> {
    let root = id::Program::root(account, &origin.request_id);
    let _work = shared.busy.start(root.partition());
    let _alone = shared.loads.lock(root).await;
    if let Some(tree) = load::find(shared, root).await? {
        return existing(shared, tree, account, root, &origin);
    }
    let term = shared.term(root.partition())?;
    shared.parts.admission.admit_program(account, root).await?;
    let reserved = budget.tokens.min(FIRST_RESERVATION);
    let digest = origin.clone();
    let tree = Tree::create(root, account.clone(), budget, reserved, origin);
    let mut entry = Entry {
        tree,
        term,
        commit: shared.parts.commit.under(root.partition(), term),
        ends: 0,
        version: 1,
        holders: BTreeMap::new(),
    };
    let head = entry.head(0, reserved, Condition::Absent);
    let head = head.ok_or_else(refusal::lost)?;
    let writes = vec![head, row::live(root, account)];
    let wait_ms = shared.parts.timing.store_wait_ms;
    let written = entry.commit.submit_within(writes, wait_ms).await;
    match written {
        Ok(()) => {}
        Err(commit::Failure::Conflict) => {
            let found = load::find(shared, root).await?;
            let tree = found.ok_or_else(refusal::lost)?;
            return existing(shared, tree, account, root, &digest);
        }
        Err(commit::Failure::Unknown) => return Err(may_exist()),
        Err(failure) => return Err(refusal::unsent(&failure)),
    }
    let tree = shared.lock().insert(entry);
    read(shared, tree, account, root)
}

fn existing(
    shared: &Shared,
    tree: TreeKey,
    account: &id::Account,
    program: id::Program,
    origin: &Origin,
) -> Result<api::Program, Error> {
    let same = shared.with(tree, |entry| {
        let key = entry.tree.key(program.number())?;
        Some(entry.tree.origin(key)?.body_digest == origin.body_digest)
    });
    match same.flatten() {
        Some(true) => read(shared, tree, account, program),
        Some(false) => Err(refusal::error(Rejection::Conflict)),
        None => Err(refusal::lost()),
    }
}

fn read(
    shared: &Shared,
    tree: TreeKey,
    account: &id::Account,
    program: id::Program,
) -> Result<api::Program, Error> {
    let view = shared.with(tree, |entry| {
        view::read(&entry.tree, Some(account), program)
    });
    view.unwrap_or_else(|| Err(refusal::lost()))
}

fn may_exist() -> Error {
    let message = "the program may have been created; send the same request again";
    Error::new(Kind::Interrupted, message)
}

struct Birth {
    program: id::Program,
    queued: Queued,
}

enum Step {
    Write(Birth),
    Existing(id::Program),
}

async fn sub_agent(
    shared: &Arc<Shared>,
    account: &id::Account,
    origin: Origin,
    parent: id::Program,
) -> Result<api::Program, Error> {
    let _work = shared.busy.start(parent.partition());
    let tree = load::touch(shared, parent, Lease::Valid).await?;
    let _alone = shared.loads.lock(parent.tree_root()).await;
    read(shared, tree, account, parent)?;
    let step = shared.with(tree, |entry| start(entry, parent, origin));
    let birth = match step.ok_or_else(refusal::lost)?? {
        Step::Existing(program) => return read(shared, tree, account, program),
        Step::Write(birth) => birth,
    };
    let written = birth.queued.within(shared, tree).await;
    if written.is_err() {
        shared.with(tree, |entry| entry.tree.remove(birth.program.number()));
    }
    match written {
        Ok(()) => read(shared, tree, account, birth.program),
        Err(commit::Failure::Unknown) => {
            erase(shared, tree, birth.program);
            Err(may_exist())
        }
        Err(failure) => Err(refusal::unsent(&failure)),
    }
}

fn start(entry: &mut Entry, parent: id::Program, origin: Origin) -> Result<Step, Error> {
    let spawn = entry.tree.spawn(parent.number(), origin);
    let program = match spawn.map_err(refusal::error)? {
        SpawnOutcome::Existing(program) => return Ok(Step::Existing(program)),
        SpawnOutcome::New(program) => program,
    };
    let head = entry.head(program.number(), 0, Condition::Absent);
    let writes = head.into_iter().collect();
    match reserve::queue(entry, Reserve::Keep, writes, None) {
        Ok(queued) => Ok(Step::Write(Birth { program, queued })),
        Err(failure) => {
            entry.tree.remove(program.number());
            Err(refusal::unsent(&failure))
        }
    }
}

/// Deletes the row of a sub-agent whose creation may or may not have been written.
fn erase(shared: &Arc<Shared>, tree: TreeKey, program: id::Program) {
    let work = shared.busy.start(program.partition());
    let commit = shared.with(tree, |entry| entry.commit.clone());
    tokio::spawn(async move {
        if let Some(commit) = commit {
            // Once this instance has lost the partition, the row stands.
            let _ = commit.submit(vec![row::head_deletion(program)]).await;
        }
        drop(work);
    });
}
