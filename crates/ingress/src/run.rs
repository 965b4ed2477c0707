//! Starts the parts of an instance, and stops them.

use std::sync::Arc;
use std::time::Duration;

use basilramp_process::event;
use basilramp_process::log;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::feed;
use crate::log_event::Event;
use crate::metric::Metrics;
use crate::server::{self, Open};
use crate::settings::Settings;
use crate::state::State;

/// The least time from a stop signal to the end: the platform's balancer needs two probes, a
/// second apart, to send new connections elsewhere. Requests that come later are refused, so
/// that each one taken has the rest of the stop for itself.
pub(crate) const LEAST_STOP_MS: u64 = 3_000;

/// Time between looks at the connections that are still open during a stop.
const STOP_PAUSE: Duration = Duration::from_millis(50);

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
    runtime.block_on(run_parts(settings))
}

async fn run_parts(settings: Settings) -> Result<()> {
    let log = log::open(&settings.instance, settings.level.into());
    let callers = server::bind(settings.callers)?;
    let probes = server::bind(settings.ready)?;
    let metrics = server::bind(settings.metrics)?;
    let stop_ms = settings.stop_ms;
    event!(
        log,
        Event::Listening,
        "callers" => callers.local_addr()?.to_string(),
        "metrics" => metrics.local_addr()?.to_string(),
        "ready" => probes.local_addr()?.to_string(),
        "store" => settings.store.to_string()
    );
    let state = State::open(settings, log, Metrics::open()?);
    let open = Open::default();
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(feed::follow_config(Arc::clone(&state)));
    tokio::spawn(feed::follow_fleet(Arc::clone(&state)));
    tokio::spawn(server::take_probes(Arc::clone(&state), probes));
    tokio::spawn(server::take_probes(Arc::clone(&state), metrics));
    tokio::spawn(server::take_callers(
        Arc::clone(&state),
        callers,
        open.clone(),
        stopping,
    ));
    let signal = asked(&state).await?;
    event!(state.log, Event::Stopping, "signal" => signal, "connections" => open.count());
    state.stop();
    // The receivers live as long as the listener, which outlives this.
    let _ = stop.send(true);
    drain(&open, stop_ms).await;
    event!(state.log, Event::Stopped, "connections" => open.count());
    Ok(())
}

/// Waits for a signal that asks for a stop. SIGHUP asks for none.
async fn asked(state: &State) -> Result<&'static str> {
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

/// Waits until every caller has its answer, and the balancer knows of the stop.
async fn drain(open: &Open, stop_ms: u64) {
    let began = tokio::time::Instant::now();
    let least = Duration::from_millis(LEAST_STOP_MS.min(stop_ms / 2));
    // The last twelfth is for the process's own end.
    let most = Duration::from_millis(stop_ms - stop_ms / 12);
    while began.elapsed() < most && (began.elapsed() < least || open.count() > 0) {
        tokio::time::sleep(STOP_PAUSE).await;
    }
}
