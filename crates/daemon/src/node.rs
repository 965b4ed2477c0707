//! The running instance: what it is made of and in which order it starts and stops.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use quinn::{Endpoint, VarInt};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::front::Listener;
use crate::log::{Event, event};
use crate::settings::Settings;
use crate::{
    caller_api, log, membership, metric, operator_api, parts, peer, peer_server, peer_tls, stop,
    trace,
};

/// Time between being not ready and closing the listeners, for the balancer to notice.
const NOTICE_MS: u64 = 2_000;

/// Heartbeats within which every peer has read that this instance has left.
const LINGER_HEARTBEATS: u64 = 2;

/// The error code of connections that a stopped instance closes.
const STOPPED: VarInt = VarInt::from_u32(0);

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Fails if it can't start.
pub fn run_daemon(settings: Settings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the worker pool")?;
    let log = log::open(&settings.instance.id, settings.log.level.into());
    let outcome = runtime.block_on(async {
        let node = Node::<Bound>::bind(settings, log.clone()).await?;
        let node = node.join().await?;
        node.run_until_stopped().await
    });
    if let Err(error) = &outcome {
        event!(log, Event::Fatal, "error" => format!("{error:#}"));
    }
    outcome
}

/// An instance at one stage of its life.
struct Node<S> {
    settings: Settings,
    log: log::Handle,
    stop: stop::Signal,
    metrics: metric::Handle,
    traces: trace::Handle,
    tasks: TaskTracker,
    stage: S,
}

/// Listeners are bound; nothing is served.
struct Bound {
    callers: Listener,
    operators: Listener,
    endpoint: Endpoint,
    peers: peer::Client,
}

/// The instance holds its lease and serves.
struct Joined {
    endpoint: Endpoint,
    membership: membership::Handle,
}

impl Node<Bound> {
    async fn bind(settings: Settings, log: log::Handle) -> Result<Self> {
        let metrics = metric::open()?;
        let traces = trace::open(&settings.traces, &settings.instance.id, &log)?;
        let callers = Listener::bind(settings.listen.callers).await?;
        let operators = Listener::bind(settings.listen.operators).await?;
        let keys = peer_tls::open(&settings.peers)?;
        let endpoint = peer_server::bind(keys.server, settings.listen.peers)?;
        let peers = peer::Client::open(endpoint.clone(), keys.client);
        event!(log, Event::Listening,
            "callers" => callers.address().to_string(),
            "operators" => operators.address().to_string(),
            "peers" => endpoint.local_addr()?.to_string());
        let stage = Bound {
            callers,
            operators,
            endpoint,
            peers,
        };
        let node = Self {
            settings,
            log,
            metrics,
            traces,
            stop: stop::Signal::open(),
            tasks: TaskTracker::new(),
            stage,
        };
        Ok(node)
    }

    async fn join(self) -> Result<Node<Joined>> {
        let Bound {
            callers,
            operators,
            endpoint,
            peers,
        } = self.stage;
        let bound = endpoint.local_addr()?;
        let started = parts::start(parts::Frame {
            settings: &self.settings,
            address: self.settings.listen.peers_advertised.unwrap_or(bound),
            peers,
            metrics: self.metrics.clone(),
            log: self.log.clone(),
            stop: self.stop.clone(),
        });
        let parts = started.await;
        let local = parts.router.local.clone();
        let serving = peer_server::serve(endpoint.clone(), local, self.tasks.clone());
        tokio::spawn(serving);
        let api = Arc::new(parts.caller_api(&self.settings));
        let serving = callers.serve(caller_api::paths(), api, self.stop.clone());
        self.tasks.spawn(serving);
        let api = Arc::new(parts.operator_api(&self.settings));
        let serving = operators.serve(operator_api::paths(), api, self.stop.clone());
        self.tasks.spawn(serving);
        Ok(Node {
            settings: self.settings,
            log: self.log,
            traces: self.traces,
            metrics: self.metrics,
            stop: self.stop,
            tasks: self.tasks,
            stage: Joined {
                endpoint,
                membership: parts.router.membership,
            },
        })
    }
}

impl Node<Joined> {
    async fn run_until_stopped(self) -> Result<()> {
        event!(self.log, Event::Ready);
        tokio::select! {
            asked = stop::asked() => asked.wrap_err("can't wait for signals")?,
            () = self.stage.membership.wait_until_ended() => {
                return Err(eyre!("a later start of this instance has taken its place"));
            }
        }
        event!(self.log, Event::Stopping);
        self.stop.drain();
        tokio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
        self.stop.close_listeners();
        self.tasks.close();
        let stop_ms = self.settings.timing.stop_ms;
        let leaving = self.stage.membership.leave(stop_ms);
        let finishing = timeout(Duration::from_millis(stop_ms), self.tasks.wait());
        let (left, finished) = tokio::join!(leaving, finishing);
        if !left || finished.is_err() {
            event!(self.log, Event::StopBoundReached);
        }
        self.linger().await;
        self.stage.endpoint.close(STOPPED, b"stopped");
        self.stage.endpoint.wait_idle().await;
        self.close_traces().await;
        event!(self.log, Event::Stopped);
        Ok(())
    }

    /// Answers the peers that have not read yet that this instance owns nothing any more.
    async fn linger(&self) {
        let linger_ms = self.settings.timing.heartbeat_ms * LINGER_HEARTBEATS;
        let linger = Duration::from_millis(linger_ms);
        tokio::time::sleep(linger).await;
        // What is still under way has outlasted the bound of the stop.
        let _ = timeout(linger, self.tasks.wait()).await;
    }

    /// Exports the last spans; a failure has been logged by then.
    async fn close_traces(&self) {
        let traces = self.traces.clone();
        let _ = tokio::task::spawn_blocking(move || traces.close()).await;
    }
}
