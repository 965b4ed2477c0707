//! Checks whether this instance has lost its path to the upstreams, and when it is back.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_adapter::connection::{self, Sender};
use basilramp_adapter::upstream::ConnectionReuse;
use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::UpstreamKey;
use basilramp_core::dispatch::path::{self, Transition};
use basilramp_process::event;
use futures_util::stream::{FuturesUnordered, StreamExt};
use rand::Rng;
use tokio::sync::OnceCell;

use crate::log_event::Event;
use crate::membership;
use crate::pool;
use crate::state::{State, lock};

/// Time within which the first probe of a check is accepted, in milliseconds: many round trips.
const FIRST_PROBE_TIMEOUT_MS: u64 = 100;

/// Time within which one of the other probes is accepted, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 200;

/// Time for which the result of a check holds, in milliseconds.
const CHECK_LIFETIME_MS: u64 = 300;

/// Bounds of the time between two probes of a lost path, in milliseconds.
const RECOVERY_INTERVAL_MS: std::ops::RangeInclusive<u64> = 200..=400;

/// The latest check, shared by the requests that are in doubt at the same time.
#[derive(Debug, Default)]
pub(crate) struct Checks(Mutex<Option<Check>>);

#[derive(Clone, Debug)]
struct Check {
    since: Time,
    is_lost: Arc<OnceCell<bool>>,
}

impl Checks {
    /// Returns the latest check if it began at `earliest` or later, or else a new one.
    fn start(&self, earliest: Time, now: Time) -> Check {
        let mut latest = lock(&self.0);
        match &*latest {
            Some(check) if check.since >= earliest => check.clone(),
            _ => latest
                .insert(Check {
                    since: now,
                    is_lost: Arc::default(),
                })
                .clone(),
        }
    }
}

/// Why a response was not waited for any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitError {
    /// The time is over.
    Late,
    /// The path to the upstreams is lost.
    PathLost,
}

/// Opens a connection to an upstream. If the path is lost meanwhile, it is not waited for any longer.
///
/// # Errors
///
/// Fails if the upstream does not accept a connection in time.
pub(crate) async fn connect(
    state: &Arc<State>,
    key: UpstreamKey,
    address: SocketAddr,
    limit_ms: u64,
) -> io::Result<Sender> {
    let mut connection = std::pin::pin!(pool::connect(address, limit_ms));
    let usual = Duration::from_millis(FIRST_PROBE_TIMEOUT_MS);
    let result = match tokio::time::timeout(usual, connection.as_mut()).await {
        Ok(result) => result,
        Err(_) if state.quiet_ms() < FIRST_PROBE_TIMEOUT_MS => connection.await,
        Err(_) => tokio::select! {
            biased;
            result = connection.as_mut() => result,
            is_lost = check(state) => if is_lost {
                Err(io::ErrorKind::NetworkUnreachable.into())
            } else {
                connection.await
            }
        },
    };
    match &result {
        Ok(_) => record_connected(state),
        Err(_) => record_unreached(state, key).await,
    }
    result
}

/// Waits for an upstream's response. If the path is lost meanwhile, a request that may be repeated is
/// not held any longer.
///
/// # Errors
///
/// Returns why the response was not waited for.
pub(crate) async fn wait<T>(
    state: &Arc<State>,
    limit_ms: u64,
    is_repeatable: bool,
    response: impl Future<Output = T>,
) -> Result<T, WaitError> {
    let deadline = state.now().after(limit_ms);
    let mut response = std::pin::pin!(response);
    loop {
        let remaining_ms = deadline.since(state.now());
        let step = Duration::from_millis(remaining_ms.min(path::quiet_ms()));
        if let Ok(response) = tokio::time::timeout(step, response.as_mut()).await {
            return Ok(response);
        }
        if state.now() >= deadline {
            return Err(WaitError::Late);
        }
        let now = state.now();
        if !state.path().is_doubtful(state.quiet_ms(), now) {
            continue;
        }
        tokio::select! {
            biased;
            response = response.as_mut() => return Ok(response),
            is_lost = check(state) => if is_lost && is_repeatable {
                return Err(WaitError::PathLost);
            }
        }
    }
}

/// Records that an upstream accepted a connection.
pub(crate) fn record_connected(state: &State) {
    state.record_sign();
    let transition = state.path().record_connected(state.now());
    log_transition(state, transition);
}

/// Records that an upstream accepted no connection, and checks the path if that puts it in doubt.
async fn record_unreached(state: &Arc<State>, key: UpstreamKey) {
    let is_doubtful = state.path().record_unreached(key, state.quiet_ms());
    if is_doubtful {
        check(state).await;
    }
}

/// Checks whether the path is lost.
pub(crate) async fn check(state: &Arc<State>) -> bool {
    check_since(state, state.now().before(CHECK_LIFETIME_MS)).await
}

/// Checks whether the path is lost at `earliest` or later.
pub(crate) async fn check_since(state: &Arc<State>, earliest: Time) -> bool {
    if state.path().is_lost() {
        return true;
    }
    let check = state.checks.start(earliest, state.now());
    *check.is_lost.get_or_init(|| run_check(state)).await
}

async fn run_check(state: &Arc<State>) -> bool {
    let targets = {
        let now = state.now();
        path::targets(&state.fleet(), rand::random(), now)
    };
    let Some((key, address)) = targets.first().copied() else {
        // Without known upstreams, nothing tells whether there is a path.
        return false;
    };
    if probe(state, key, address, FIRST_PROBE_TIMEOUT_MS).await {
        return false;
    }
    let probes = targets.into_iter();
    let probes = probes.map(|(key, address)| probe(state, key, address, PROBE_TIMEOUT_MS));
    let mut probes: FuturesUnordered<_> = probes.collect();
    while let Some(is_reached) = probes.next().await {
        if is_reached {
            return false;
        }
    }
    let transition = state.path().record_loss(state.now());
    log_transition(state, transition);
    if transition.is_some() {
        // Kept connections may hang.
        state.pool.clear();
        tokio::spawn(recover(Arc::clone(state)));
    }
    true
}

/// Probes upstreams until one of them accepts a connection, and learns meanwhile which instances
/// could help.
async fn recover(state: Arc<State>) {
    membership::refresh(&state).await;
    while state.path().is_lost() {
        let ms = rand::rng().random_range(RECOVERY_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        let now = state.now();
        let targets = path::targets(&state.fleet(), rand::random(), now);
        if let Some((key, address)) = targets.first().copied() {
            probe(&state, key, address, PROBE_TIMEOUT_MS).await;
        }
    }
}

/// Opens a connection to an upstream, for the next request there. Returns whether it was accepted.
async fn probe(state: &State, key: UpstreamKey, address: SocketAddr, timeout_ms: u64) -> bool {
    match connection::connect(address, timeout_ms).await {
        Ok(sender) => {
            let reuse = ConnectionReuse::Unspecified;
            state.pool.release(key, sender, reuse, state.now());
            record_connected(state);
            true
        }
        Err(_) => false,
    }
}

fn log_transition(state: &State, transition: Option<Transition>) {
    match transition {
        None => {}
        Some(Transition::Lost) => {
            state.metrics.path_lost();
            event!(state.log, Event::PathLost);
        }
        Some(Transition::Restored(ms)) => event!(state.log, Event::PathRestored, "ms" => ms),
    }
}
