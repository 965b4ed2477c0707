//! Ends programs, on request or when their budget has run out.

use std::sync::Arc;
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_platform::table::Condition;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::Body;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::load::{self, Lease};
use super::reserve::{self, Queued, Reserve};
use super::shelf::Entry;
use super::{Shared, refusal, row};
use crate::clock;
use crate::commit::{Failure, Room};
use crate::log::{Event, event};

/// Time between two looks for programs whose time is used up.
const SWEEP: Duration = Duration::from_millis(1_000);

/// Time between two tries to have a home release something.
const RELEASE_PAUSE: Duration = Duration::from_millis(500);

/// Tries to reach a home; what still fails is left to the sweep of the upstream's holdings.
const RELEASE_TRIES: u32 = 20;

/// Time between two reads of the programs under way in a partition.
const WATCH_PAUSE: Duration = Duration::from_millis(20);

/// Room in the commit queue for the rows of an end.
const END_BYTES: usize = 4_096;

struct Ending {
    queued: Queued,
    holdings: Vec<CachedPrefix>,
}

/// What an upstream may hold for a program that has ended.
#[derive(Clone, Debug)]
struct CachedPrefix {
    program: id::Program,
    upstream: id::Upstream,
}

/// Ends a program and its sub-agents durably and has everything held for them released.
///
/// # Errors
///
/// `Interrupted` says that the end may not be durable; the same request may be sent again.
pub(crate) async fn run(shared: &Arc<Shared>, program: id::Program) -> Result<(), Error> {
    let work = shared.busy.start(program.partition());
    let tree = load::touch(shared, program, Lease::Valid).await?;
    let commit = shared.with(tree, |entry| entry.commit.clone());
    let room = commit.ok_or_else(refusal::lost)?.reserve(END_BYTES).await;
    let ending = shared.with(tree, |entry| start(entry, program, room));
    let ending = match ending.ok_or_else(refusal::lost)? {
        Start::Ended => return Ok(()),
        Start::Pending => return Err(not_durable()),
        Start::Failed(failure) => return Err(refusal::unsent(&failure)),
        Start::Ending(ending) => ending,
    };
    release(shared, ending.holdings);
    let wait_ms = shared.parts.timing.store_wait_ms;
    let task = tokio::spawn({
        let shared = Arc::clone(shared);
        async move {
            let written = ending.queued.settled(&shared, tree).await;
            shared.with(tree, |entry| entry.ends -= 1);
            drop(work);
            written
        }
    });
    let written = tokio::time::timeout(Duration::from_millis(wait_ms), task).await;
    match written {
        Ok(Ok(Ok(()))) => {
            event!(shared.parts.log, Event::ProgramEnded, "program" => %program);
            Ok(())
        }
        Ok(Ok(Err(Failure::Fenced))) => Err(refusal::lost()),
        _ => Err(not_durable()),
    }
}

fn not_durable() -> Error {
    let message = "the program ends here; its end is not durable yet";
    Error::new(Kind::Interrupted, message)
}

/// Ends a program in the background.
pub(crate) fn spawn(shared: &Arc<Shared>, program: id::Program) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        // What is not durable is tried again by the sweep.
        let _ = run(&shared, program).await;
    });
}

enum Start {
    /// It had ended before.
    Ended,
    /// It had ended before, but that is not durable yet.
    Pending,
    /// It could not be written.
    Failed(Failure),
    /// It ends now.
    Ending(Ending),
}

fn start(entry: &mut Entry, program: id::Program, room: Room) -> Start {
    let ended = entry.tree.end(program.number());
    if ended.is_empty() {
        return match entry.ends {
            0 => Start::Ended,
            _ => Start::Pending,
        };
    }
    let mut writes = Vec::new();
    if program.is_root() {
        writes.push(row::not_live(program));
    } else {
        writes.extend(entry.head(program.number(), 0, Condition::None));
    }
    let queued = match reserve::queue(entry, Reserve::Keep, writes, Some(room)) {
        Ok(queued) => queued,
        Err(failure) => return Start::Failed(failure),
    };
    entry.ends += 1;
    let mut holdings = Vec::new();
    for program in ended {
        holdings.extend(take_holdings(entry, program));
    }
    Start::Ending(Ending { queued, holdings })
}

fn take_holdings(entry: &mut Entry, program: id::Program) -> Vec<CachedPrefix> {
    let upstreams = entry.holders.remove(&program).unwrap_or_default();
    let holdings = upstreams.into_iter();
    holdings
        .map(|upstream| CachedPrefix { program, upstream })
        .collect()
}

/// Releases what a call of a program that ended meanwhile left at its upstream.
pub(crate) fn release_late(shared: &Arc<Shared>, entry: &mut Entry, program: id::Program) {
    let ended = entry
        .tree
        .key(program.number())
        .is_some_and(|key| entry.tree.is_ended(key));
    if ended {
        release(shared, take_holdings(entry, program));
    }
}

/// Has the homes of upstreams release what is held, with retries.
fn release(shared: &Arc<Shared>, holdings: Vec<CachedPrefix>) {
    for holding in holdings {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            for _ in 0..RELEASE_TRIES {
                if try_release(&shared, &holding).await {
                    return;
                }
                sleep(RELEASE_PAUSE).await;
            }
            event!(shared.parts.log, Event::ReleaseFailed,
                "program" => %holding.program, "upstream" => %holding.upstream);
        });
    }
}

async fn try_release(shared: &Shared, holding: &CachedPrefix) -> bool {
    let members = &shared.parts.membership;
    let Some(home) = members.home(&holding.upstream) else {
        return false;
    };
    let upstream = holding.upstream.to_string();
    let program = holding.program.to_string();
    if home.id == members.own_id() {
        shared.parts.homes.release_program(&upstream, &program);
        return true;
    }
    let body = Body::Release { upstream, program };
    shared.parts.peers.ask(&home, body).await.is_ok()
}

/// Starts to end the trees held here whose time or calls are used up.
pub(crate) fn spawn_sweep(shared: &Arc<Shared>) {
    let shared = Arc::downgrade(shared);
    tokio::spawn(async move {
        let mut ticks = interval(SWEEP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Some(shared) = shared.upgrade() else {
                return;
            };
            for root in exhausted(&shared) {
                spawn(&shared, root);
            }
            evict(&shared);
        }
    });
}

fn exhausted(shared: &Shared) -> Vec<id::Program> {
    let now = Time::from_ms(clock::unix_time_ms());
    let shelf = shared.lock();
    let entries = shelf.all().into_iter().filter_map(|key| shelf.get(key));
    let over = entries.filter(|entry| {
        let tree = &entry.tree;
        let ended = tree.key(0).is_none_or(|key| tree.is_ended(key));
        !ended && tree.is_idle() && tree.is_exhausted(now)
    });
    over.map(|entry| entry.tree.root()).collect()
}

/// Takes ended trees off the shelf once all of them is durable.
fn evict(shared: &Shared) {
    let mut shelf = shared.lock();
    for key in shelf.all() {
        let entry = shelf.get(key);
        if entry.is_some_and(|entry| entry.ends == 0 && entry.tree.is_settled()) {
            shelf.remove(key);
        }
    }
}

/// Loads the programs under way in a partition, so that they end in time.
pub(crate) fn watch(shared: &Arc<Shared>, partition: id::Partition) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let Ok(_turn) = shared.watches.acquire().await else {
            return;
        };
        sleep(WATCH_PAUSE).await;
        let key = row::live_key(partition);
        let Ok(rows) = shared.parts.table.query_all(&key, "").await else {
            return;
        };
        for row in rows {
            let Ok(program) = row.key.sort.parse::<id::Program>() else {
                continue;
            };
            let _ = load::touch(&shared, program, Lease::Valid).await;
        }
    });
}
