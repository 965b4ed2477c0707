//! Ends programs on request or when their time or calls are used up.

use std::sync::Arc;
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_platform::table::Condition;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::Body;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::load::{self, LeaseRequirement};
use super::loaded_trees::LoadedTree;
use super::reservation::{self, QueuedWrite, ReservationChange};
use super::{Shared, rejection, row};
use crate::clock;
use crate::commit::{Failure, QueuePermit};
use crate::log::{Event, event};

/// Interval between checks for programs whose time or calls are used up.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Delay between attempts to have a home release a program's state.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Attempts to reach a home. After that, the periodic sweep of what upstreams hold releases it.
const MAX_RELEASE_ATTEMPTS: u32 = 20;

/// Delay before each partition's running programs are loaded, so that many newly owned partitions
/// do not read from the store at once.
const PRELOAD_INTERVAL: Duration = Duration::from_millis(20);

/// Space reserved in the commit queue for the rows of an end.
const END_OVERHEAD_BYTES: usize = 4_096;

struct PendingEnd {
    queued: QueuedWrite,
    holdings: Vec<Holding>,
}

/// An upstream that may hold state for a program that has ended.
#[derive(Clone, Debug)]
struct Holding {
    program: id::Program,
    upstream: id::Upstream,
}

/// Ends a program and its sub-agents durably and releases what upstreams hold for them.
///
/// # Errors
///
/// `Interrupted` means that the end may not be durable yet. The request may be retried.
pub(crate) async fn run(shared: &Arc<Shared>, program: id::Program) -> Result<(), Error> {
    let activity = shared.activity.start(program.partition());
    let tree = load::get_or_load(shared, program, LeaseRequirement::Valid).await?;
    let commit = shared.with_tree(tree, |loaded| loaded.commit.clone());
    let permit = commit
        .ok_or_else(rejection::program_lost)?
        .acquire_permit(END_OVERHEAD_BYTES)
        .await;
    let pending = shared.with_tree(tree, |loaded| start_end(loaded, program, permit));
    let pending = match pending.ok_or_else(rejection::program_lost)? {
        EndResult::AlreadyEnded => return Ok(()),
        EndResult::Pending => return Err(end_not_durable()),
        EndResult::Failed(failure) => return Err(rejection::from_write_failure(&failure)),
        EndResult::Started(pending) => pending,
    };
    release(shared, pending.holdings);
    let wait_ms = shared.dependencies.timing.store_wait_ms;
    let task = tokio::spawn({
        let shared = Arc::clone(shared);
        async move {
            let written = pending.queued.wait(&shared, tree).await;
            shared.with_tree(tree, |loaded| loaded.pending_ends -= 1);
            drop(activity);
            written
        }
    });
    let written = tokio::time::timeout(Duration::from_millis(wait_ms), task).await;
    match written {
        Ok(Ok(Ok(()))) => {
            event!(shared.dependencies.log, Event::ProgramEnded, "program" => %program);
            Ok(())
        }
        Ok(Ok(Err(Failure::Fenced))) => Err(rejection::program_lost()),
        _ => Err(end_not_durable()),
    }
}

fn end_not_durable() -> Error {
    let message = "the program has ended but its end is not durable yet";
    Error::new(Kind::Interrupted, message)
}

/// Ends a program in the background.
pub(crate) fn spawn(shared: &Arc<Shared>, program: id::Program) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        // The sweep retries an end that fails.
        let _ = run(&shared, program).await;
    });
}

enum EndResult {
    /// The program had ended before.
    AlreadyEnded,
    /// The program had ended before, but an end in its tree is not durable yet.
    Pending,
    /// The end could not be queued.
    Failed(Failure),
    /// The end is queued.
    Started(PendingEnd),
}

fn start_end(loaded: &mut LoadedTree, program: id::Program, permit: QueuePermit) -> EndResult {
    let ended = loaded.tree.end(program.number());
    if ended.is_empty() {
        return match loaded.pending_ends {
            0 => EndResult::AlreadyEnded,
            _ => EndResult::Pending,
        };
    }
    let mut writes = Vec::new();
    if program.is_root() {
        writes.push(row::delete_live(program));
    } else {
        writes.extend(loaded.put_head(program.number(), 0, Condition::None));
    }
    let queued = match reservation::queue_root_write(
        loaded,
        ReservationChange::Keep,
        writes,
        Some(permit),
    ) {
        Ok(queued) => queued,
        Err(failure) => return EndResult::Failed(failure),
    };
    loaded.pending_ends += 1;
    let mut holdings = Vec::new();
    for program in ended {
        holdings.extend(remove_holdings(loaded, program));
    }
    EndResult::Started(PendingEnd { queued, holdings })
}

fn remove_holdings(loaded: &mut LoadedTree, program: id::Program) -> Vec<Holding> {
    let upstreams = loaded
        .holding_upstreams
        .remove(&program)
        .unwrap_or_default();
    let holdings = upstreams.into_iter();
    holdings
        .map(|upstream| Holding { program, upstream })
        .collect()
}

/// Releases what upstreams hold for a program that ended while its call was in progress.
pub(crate) fn release_if_ended(
    shared: &Arc<Shared>,
    loaded: &mut LoadedTree,
    program: id::Program,
) {
    let ended = loaded
        .tree
        .key(program.number())
        .is_some_and(|key| loaded.tree.is_ended(key));
    if ended {
        release(shared, remove_holdings(loaded, program));
    }
}

/// Sends the releases to the homes of the upstreams in the background, with retries.
fn release(shared: &Arc<Shared>, holdings: Vec<Holding>) {
    for holding in holdings {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            for _ in 0..MAX_RELEASE_ATTEMPTS {
                if try_release(&shared, &holding).await {
                    return;
                }
                sleep(RELEASE_RETRY_DELAY).await;
            }
            event!(shared.dependencies.log, Event::ReleaseFailed,
                "program" => %holding.program, "upstream" => %holding.upstream);
        });
    }
}

async fn try_release(shared: &Shared, holding: &Holding) -> bool {
    let membership = &shared.dependencies.membership;
    let Some(home) = membership.home(&holding.upstream) else {
        return false;
    };
    let upstream = holding.upstream.to_string();
    let program = holding.program.to_string();
    if home.id == membership.own_id() {
        shared
            .dependencies
            .homes
            .release_program(&upstream, &program);
        return true;
    }
    let body = Body::Release { upstream, program };
    shared.dependencies.peers.request(&home, body).await.is_ok()
}

/// Starts the task that ends loaded trees whose time or calls are used up.
pub(crate) fn spawn_expiry_sweep(shared: &Arc<Shared>) {
    let shared = Arc::downgrade(shared);
    tokio::spawn(async move {
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Some(shared) = shared.upgrade() else {
                return;
            };
            for root in find_exhausted(&shared) {
                spawn(&shared, root);
            }
            evict_ended(&shared);
        }
    });
}

fn find_exhausted(shared: &Shared) -> Vec<id::Program> {
    let now = Time::from_ms(clock::unix_time_ms());
    let trees = shared.lock();
    let entries = trees
        .all_keys()
        .into_iter()
        .filter_map(|key| trees.get(key));
    let exhausted = entries.filter(|loaded| {
        let tree = &loaded.tree;
        let ended = tree.key(0).is_none_or(|key| tree.is_ended(key));
        !ended && tree.is_idle() && tree.is_exhausted(now)
    });
    exhausted.map(|loaded| loaded.tree.root()).collect()
}

/// Unloads ended trees once all their rows are durable.
fn evict_ended(shared: &Shared) {
    let mut trees = shared.lock();
    for key in trees.all_keys() {
        let loaded = trees.get(key);
        if loaded.is_some_and(|loaded| loaded.pending_ends == 0 && loaded.tree.is_settled()) {
            trees.remove(key);
        }
    }
}

/// Loads the running programs of a partition, so that the sweep ends them in time.
pub(crate) fn preload_running(shared: &Arc<Shared>, partition: id::Partition) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let Ok(_permit) = shared.preload_permits.acquire().await else {
            return;
        };
        sleep(PRELOAD_INTERVAL).await;
        let key = row::live_key(partition);
        let Ok(rows) = shared.dependencies.table.query_all(&key, "").await else {
            return;
        };
        for row in rows {
            let Ok(program) = row.key.sort.parse::<id::Program>() else {
                continue;
            };
            let _ = load::get_or_load(&shared, program, LeaseRequirement::Valid).await;
        }
    });
}
