//! Startup and shutdown of an instance.

use std::sync::Arc;
use std::time::Duration;

use basilramp_core::dispatch::shutdown::Shutdown;
use basilramp_process::event;
use basilramp_process::{log, supervisor};
use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::log_event::Event;
use crate::metric::Metrics;
use crate::server::{self, Audience, OpenConnections};
use crate::settings::Settings;
use crate::state::State;
use crate::{feed, membership, peer_server, quota, suspect, version_history};

/// Interval at which the number of open connections is checked during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an instance until it is stopped.
///
/// # Errors
///
/// Fails if a listener can't be bound or the runtime can't be started.
pub fn run(settings: Settings) -> Result<()> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let mut builder = if cores > 1 {
        tokio::runtime::Builder::new_multi_thread()
    } else {
        tokio::runtime::Builder::new_current_thread()
    };
    let runtime = builder
        .enable_all()
        .build()
        .wrap_err("can't start the runtime")?;
    runtime.block_on(run_instance(settings))
}

async fn run_instance(settings: Settings) -> Result<()> {
    let log = log::open(&settings.instance, settings.level.into());
    let callers = server::bind(settings.callers)?;
    let ready = server::bind(settings.ready)?;
    let metrics = server::bind(settings.metrics)?;
    let peers = settings.peers.map(server::bind).transpose()?;
    event!(
        log,
        Event::Listening,
        "callers" => callers.local_addr()?.to_string(),
        "metrics" => metrics.local_addr()?.to_string(),
        "peers" => peers.as_ref().and_then(|peers| Some(peers.local_addr().ok()?.to_string())),
        "ready" => ready.local_addr()?.to_string(),
        "store" => settings.store.to_string()
    );
    let state = State::open(settings, log, Metrics::open()?)?;
    let observed = Arc::clone(&state);
    let count_suspects = move || observed.suspects.table().len() as u64;
    state.metrics.observe_suspects(count_suspects);
    let observed = Arc::clone(&state);
    let loads = move || observed.admission().loads(observed.now());
    state.metrics.observe_loads(loads);
    let connections = OpenConnections::default();
    let relayed_requests = OpenConnections::default();
    if let Some(peers) = peers {
        state.set_peer_address(peers.local_addr()?);
        tokio::spawn(peer_server::serve(
            Arc::clone(&state),
            peers,
            state.identity.acceptor()?,
            relayed_requests.clone(),
        ));
        tokio::spawn(supervise(&state, "membership", membership::announce));
    }
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(supervise(&state, "configuration feed", feed::follow_config));
    tokio::spawn(supervise(&state, "upstream feed", feed::follow_fleet));
    tokio::spawn(supervise(&state, "rate limit feed", feed::follow_limits));
    tokio::spawn(supervise(&state, "suspect feed", feed::follow_suspects));
    tokio::spawn(supervise(&state, "suspect writer", suspect::write_changes));
    tokio::spawn(supervise(&state, "quota returns", quota::return_permits));
    tokio::spawn(supervise(
        &state,
        "version writer",
        version_history::write_changes,
    ));
    tokio::spawn(server::serve_probes(
        Arc::clone(&state),
        ready,
        Audience::Balancer,
    ));
    tokio::spawn(server::serve_probes(
        Arc::clone(&state),
        metrics,
        Audience::Operators,
    ));
    tokio::spawn(server::serve_callers(
        Arc::clone(&state),
        callers,
        connections.clone(),
        stopping,
    ));
    let signal = wait_for_stop_signal(&state).await?;
    event!(state.log, Event::Stopping, "signal" => signal, "connections" => connections.count());
    let shutdown = state.stop();
    // The listener task holds a receiver and outlives this send.
    let _ = stop.send(true);
    membership::withdraw(&state).await;
    wait_until_drained(&state, shutdown, &connections, &relayed_requests).await;
    event!(state.log, Event::Stopped, "connections" => connections.count());
    Ok(())
}

/// Runs a background task, which is logged and started again if it panics.
fn supervise<F: Future<Output = ()> + Send + 'static>(
    state: &Arc<State>,
    task: &'static str,
    start: fn(Arc<State>) -> F,
) -> impl Future<Output = ()> + Send + 'static {
    let state = Arc::clone(state);
    let log = state.log.clone();
    supervisor::run(
        move || start(Arc::clone(&state)),
        move |error| event!(log, Event::TaskFailed, "task" => task, "error" => error.to_owned()),
    )
}

/// Waits for SIGTERM or SIGINT and returns its name. SIGHUP is only logged.
async fn wait_for_stop_signal(state: &State) -> Result<&'static str> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("can't watch for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("can't watch for SIGINT")?;
    let mut reload = signal(SignalKind::hangup()).wrap_err("can't watch for SIGHUP")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok("SIGTERM"),
            _ = interrupt.recv() => return Ok("SIGINT"),
            _ = reload.recv() => event!(state.log, Event::HangupIgnored),
        }
    }
}

/// Waits until every caller has its response and the load balancer has noticed the shutdown. Requests
/// that are still without a response shortly before the exit get an error.
async fn wait_until_drained(
    state: &State,
    shutdown: Shutdown,
    connections: &OpenConnections,
    relayed_requests: &OpenConnections,
) {
    let is_drained = || connections.count() + relayed_requests.count() == 0;
    let mut is_ending = false;
    loop {
        let now = state.now();
        let is_over = now >= shutdown.stay_until() && is_drained();
        if is_over || now >= shutdown.exit_at() {
            return;
        }
        if now >= shutdown.respond_by() && !is_ending {
            is_ending = true;
            state.end_requests();
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
