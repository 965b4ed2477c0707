//! Creation of programs and sub-agents.

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

use super::load::{self, LeaseRequirement};
use super::loaded_trees::{LoadedTree, TreeKey};
use super::reservation::{self, QueuedWrite, ReservationChange};
use super::{Shared, rejection, row, view};
use crate::{clock, commit};

/// Tokens that are reserved when a tree is created, if its budget has that many.
const INITIAL_RESERVED_TOKENS: u64 = 4_096;

/// Creates a program or a sub-agent, or returns the one that the same request created before.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    account: &id::Account,
    create: api::CreateProgram,
) -> Result<api::Program, Error> {
    let body =
        serde_json::to_vec(&create).map_err(|_| bad_request("the body can't be serialized"))?;
    let origin = Origin {
        request_id: id::Request::new(create.request_id.as_str()),
        body_digest: Digest::from_parts([body.as_slice()]),
        parent: None,
        depth: 0,
        created_at: Time::from_ms(clock::unix_time_ms()),
    };
    match (&create.parent, create.budget) {
        (None, Some(budget)) => create_root(shared, account, origin, budget.into()).await,
        (None, None) => Err(bad_request("a program without a parent requires a budget")),
        (Some(_), Some(_)) => Err(bad_request(
            "a sub-agent uses the budget of its root and can't have its own",
        )),
        (Some(parent), None) => {
            let parent = id::Program::from_str(parent).map_err(|_| rejection::not_found())?;
            create_sub_agent(shared, account, origin, parent).await
        }
    }
}

fn bad_request(message: &str) -> Error {
    Error::new(Kind::BadRequest, message)
}

async fn create_root(
    shared: &Shared,
    account: &id::Account,
    origin: Origin,
    budget: Budget,
) -> Result<api::Program, Error> {
    let root = id::Program::root(account, &origin.request_id);
    let _activity = shared.activity.start(root.partition());
    let _load_lock = shared.load_locks.lock(root).await;
    if let Some(tree) = load::find_or_load(shared, root).await? {
        return return_existing(shared, tree, account, root, &origin);
    }
    let term = shared.owned_term(root.partition())?;
    shared
        .dependencies
        .admission
        .admit_program(account, root)
        .await?;
    let reserved = budget.tokens.min(INITIAL_RESERVED_TOKENS);
    let request_origin = origin.clone();
    let tree = Tree::create(root, account.clone(), budget, reserved, origin);
    let mut loaded = LoadedTree {
        tree,
        term,
        commit: shared.dependencies.commit.scoped_to(root.partition(), term),
        pending_ends: 0,
        next_head_version: 1,
        holding_upstreams: BTreeMap::new(),
    };
    let head = loaded.put_head(0, reserved, Condition::Absent);
    let head = head.ok_or_else(rejection::program_lost)?;
    let writes = vec![head, row::put_live(root, account)];
    let wait_ms = shared.dependencies.timing.store_wait_ms;
    let written = loaded.commit.submit_with_timeout(writes, wait_ms).await;
    match written {
        Ok(()) => {}
        Err(commit::Failure::Conflict) => {
            let found = load::find_or_load(shared, root).await?;
            let tree = found.ok_or_else(rejection::program_lost)?;
            return return_existing(shared, tree, account, root, &request_origin);
        }
        Err(commit::Failure::Unknown) => return Err(creation_unknown()),
        Err(failure) => return Err(rejection::from_write_failure(&failure)),
    }
    let tree = shared.lock().insert(loaded);
    program_view(shared, tree, account, root)
}

fn return_existing(
    shared: &Shared,
    tree: TreeKey,
    account: &id::Account,
    program: id::Program,
    origin: &Origin,
) -> Result<api::Program, Error> {
    let is_same_request = shared.with_tree(tree, |loaded| {
        let key = loaded.tree.key(program.number())?;
        Some(loaded.tree.origin(key)?.body_digest == origin.body_digest)
    });
    match is_same_request.flatten() {
        Some(true) => program_view(shared, tree, account, program),
        Some(false) => Err(rejection::from_tree(Rejection::Conflict)),
        None => Err(rejection::program_lost()),
    }
}

fn program_view(
    shared: &Shared,
    tree: TreeKey,
    account: &id::Account,
    program: id::Program,
) -> Result<api::Program, Error> {
    let view = shared.with_tree(tree, |loaded| {
        view::program(&loaded.tree, Some(account), program)
    });
    view.unwrap_or_else(|| Err(rejection::program_lost()))
}

fn creation_unknown() -> Error {
    let message = "the program may have been created; retry the same request";
    Error::new(Kind::Interrupted, message)
}

struct QueuedCreation {
    program: id::Program,
    queued: QueuedWrite,
}

enum Step {
    Write(QueuedCreation),
    Existing(id::Program),
}

async fn create_sub_agent(
    shared: &Arc<Shared>,
    account: &id::Account,
    origin: Origin,
    parent: id::Program,
) -> Result<api::Program, Error> {
    let _activity = shared.activity.start(parent.partition());
    let tree = load::get_or_load(shared, parent, LeaseRequirement::Valid).await?;
    let _load_lock = shared.load_locks.lock(parent.tree_root()).await;
    program_view(shared, tree, account, parent)?;
    let step = shared.with_tree(tree, |loaded| queue_creation(loaded, parent, origin));
    let creation = match step.ok_or_else(rejection::program_lost)?? {
        Step::Existing(program) => return program_view(shared, tree, account, program),
        Step::Write(creation) => creation,
    };
    let written = creation.queued.wait_with_timeout(shared, tree).await;
    if written.is_err() {
        shared.with_tree(tree, |loaded| loaded.tree.remove(creation.program.number()));
    }
    match written {
        Ok(()) => program_view(shared, tree, account, creation.program),
        Err(commit::Failure::Unknown) => {
            delete_row(shared, tree, creation.program);
            Err(creation_unknown())
        }
        Err(failure) => Err(rejection::from_write_failure(&failure)),
    }
}

fn queue_creation(
    loaded: &mut LoadedTree,
    parent: id::Program,
    origin: Origin,
) -> Result<Step, Error> {
    let spawn = loaded.tree.spawn(parent.number(), origin);
    let program = match spawn.map_err(rejection::from_tree)? {
        SpawnOutcome::Existing(program) => return Ok(Step::Existing(program)),
        SpawnOutcome::New(program) => program,
    };
    let head = loaded.put_head(program.number(), 0, Condition::Absent);
    let writes = head.into_iter().collect();
    match reservation::queue_root_write(loaded, ReservationChange::Keep, writes, None) {
        Ok(queued) => Ok(Step::Write(QueuedCreation { program, queued })),
        Err(failure) => {
            loaded.tree.remove(program.number());
            Err(rejection::from_write_failure(&failure))
        }
    }
}

/// Deletes the row of a sub-agent whose creation has an unknown outcome.
fn delete_row(shared: &Arc<Shared>, tree: TreeKey, program: id::Program) {
    let activity = shared.activity.start(program.partition());
    let commit = shared.with_tree(tree, |loaded| loaded.commit.clone());
    tokio::spawn(async move {
        if let Some(commit) = commit {
            // If this instance has lost the partition, the row remains.
            let _ = commit.submit(vec![row::delete_head(program)]).await;
        }
        drop(activity);
    });
}
