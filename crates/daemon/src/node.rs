//! Lifecycle of an instance: binds its listeners, starts its components, serves and shuts down.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use quinn::{Endpoint, VarInt};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::http_server::Listener;
use crate::log::{Event, event};
use crate::settings::Settings;
use crate::{
    caller_api, components, log, membership, metric, operator_api, peer_client, peer_server,
    peer_tls, shutdown, trace,
};

/// Time between reporting not ready and closing the listeners, so that the load balancer stops
/// sending requests.
const DRAIN_NOTICE_MS: u64 = 2_000;

/// Heartbeats after which every peer has read that this instance released its partitions.
const LINGER_HEARTBEATS: u64 = 2;

/// QUIC error code with which a stopped instance closes its connections.
const STOPPED_CODE: VarInt = VarInt::from_u32(0);

/// Runs the daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the instance can't start, or if a later start of the same instance replaced it.
pub fn run_daemon(settings: Settings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the async runtime")?;
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

/// An instance at one stage of its lifecycle.
struct Node<S> {
    settings: Settings,
    log: log::Handle,
    shutdown: shutdown::Handle,
    metrics: metric::Handle,
    traces: trace::Handle,
    tasks: TaskTracker,
    stage: S,
}

/// The sockets are bound, but nothing is served yet.
struct Bound {
    callers: Listener,
    operators: Listener,
    endpoint: Endpoint,
    peers: peer_client::Client,
}

/// The instance holds its lease and serves requests.
struct Joined {
    endpoint: Endpoint,
    membership: membership::Handle,
}

impl Node<Bound> {
    async fn bind(settings: Settings, log: log::Handle) -> Result<Self> {
        let metrics = metric::init()?;
        let traces = trace::init(&settings.traces, &settings.instance.id, &log)?;
        let callers = Listener::bind(settings.listen.callers).await?;
        let operators = Listener::bind(settings.listen.operators).await?;
        let keys = peer_tls::load(&settings.peers)?;
        let endpoint = peer_server::bind(keys.server, settings.listen.peers)?;
        let peers = peer_client::Client::new(endpoint.clone(), keys.client);
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
            shutdown: shutdown::Handle::new(),
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
        let started = components::start(components::Environment {
            settings: &self.settings,
            address: self.settings.listen.peers_advertised.unwrap_or(bound),
            peers,
            metrics: self.metrics.clone(),
            log: self.log.clone(),
            shutdown: self.shutdown.clone(),
        });
        let components = started.await;
        let local = components.router.local.clone();
        let server = peer_server::serve(endpoint.clone(), local, self.tasks.clone());
        tokio::spawn(server);
        let api = Arc::new(components.caller_api(&self.settings));
        let server = callers.serve(caller_api::router(), api, self.shutdown.clone());
        self.tasks.spawn(server);
        let api = Arc::new(components.operator_api(&self.settings));
        let server = operators.serve(operator_api::router(), api, self.shutdown.clone());
        self.tasks.spawn(server);
        Ok(Node {
            settings: self.settings,
            log: self.log,
            traces: self.traces,
            metrics: self.metrics,
            shutdown: self.shutdown,
            tasks: self.tasks,
            stage: Joined {
                endpoint,
                membership: components.router.membership,
            },
        })
    }
}

impl Node<Joined> {
    async fn run_until_stopped(self) -> Result<()> {
        event!(self.log, Event::Ready);
        tokio::select! {
            received = shutdown::wait_for_signal() => received.wrap_err("can't wait for signals")?,
            () = self.stage.membership.wait_until_ended() => {
                return Err(eyre!("a later start of this instance has replaced it"));
            }
        }
        event!(self.log, Event::Stopping);
        self.shutdown.start_draining();
        tokio::time::sleep(Duration::from_millis(DRAIN_NOTICE_MS)).await;
        self.shutdown.close_listeners();
        self.tasks.close();
        let stop_ms = self.settings.timing.stop_ms;
        let leaving = self.stage.membership.leave(stop_ms);
        let finishing = timeout(Duration::from_millis(stop_ms), self.tasks.wait());
        let (left, finished) = tokio::join!(leaving, finishing);
        if !left || finished.is_err() {
            event!(self.log, Event::StopBoundReached);
        }
        self.linger().await;
        self.stage.endpoint.close(STOPPED_CODE, b"stopped");
        self.stage.endpoint.wait_idle().await;
        self.close_traces().await;
        event!(self.log, Event::Stopped);
        Ok(())
    }

    /// Keeps serving peers that have not yet read that this instance owns no partitions.
    async fn linger(&self) {
        let linger_ms = self.settings.timing.heartbeat_ms * LINGER_HEARTBEATS;
        let linger = Duration::from_millis(linger_ms);
        tokio::time::sleep(linger).await;
        // Requests that still run have exceeded the shutdown timeout.
        let _ = timeout(linger, self.tasks.wait()).await;
    }

    /// Exports the remaining spans. The exporter has logged any failure.
    async fn close_traces(&self) {
        let traces = self.traces.clone();
        let _ = tokio::task::spawn_blocking(move || traces.shutdown()).await;
    }
}
