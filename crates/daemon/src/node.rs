//! The running instance: what it is made of and in which order it starts and stops.

use std::sync::Arc;
use std::time::Duration;

use basilramp_platform::{list, table};
use eyre::{Result, WrapErr};
use quinn::{Endpoint, VarInt};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::auth::Keys;
use crate::front::Listener;
use crate::log::{Event, event};
use crate::route::{Local, Router};
use crate::settings::Settings;
use crate::{
    admission, caller_api, clock, config, grant, home, log, membership, metric, observe,
    operator_api, order, ownership, peer, peer_server, peer_tls, program, stop, sweep, trace,
    upstream,
};

/// Time between being not ready and closing the listeners, for the balancer to notice.
const NOTICE_MS: u64 = 2_000;

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
        let clock = clock::Source::open();
        let table = open_table(&self.settings);
        let bound = endpoint.local_addr()?;
        let address = self.settings.listen.peers_advertised.unwrap_or(bound);
        let (membership, commit, changes) =
            membership::join(&table, &self.settings, address, clock).await;
        let config = config::spawn(&table, commit.clone(), &self.settings).await;
        let list = list::Client::open(self.settings.platform.list);
        let poll_ms = self.settings.timing.upstream_poll_ms;
        let upstreams = upstream::spawn(list, poll_ms, self.log.clone());
        let homes = home::spawn(
            upstreams.clone(),
            membership.clone(),
            poll_ms,
            clock,
            self.log.clone(),
        );
        let grants = grant::open(
            homes.clone(),
            upstreams.clone(),
            membership.clone(),
            config.clone(),
            peers.clone(),
            clock,
            self.settings.policy.cache_weight,
        );
        let admission = admission::spawn(
            grants.clone(),
            config.clone(),
            membership.clone(),
            peers.clone(),
            clock,
        );
        order::spawn(order::Parts {
            homes: homes.clone(),
            upstreams: upstreams.clone(),
            grants: grants.clone(),
            members: membership.clone(),
            config: config.clone(),
            commit: commit.clone(),
            table: table.clone(),
            clock,
            log: self.log.clone(),
        });
        let programs = program::spawn(program::Parts {
            table: table.clone(),
            commit: commit.clone(),
            membership: membership.clone(),
            config: config.clone(),
            grants,
            admission: admission.clone(),
            homes: homes.clone(),
            peers: peers.clone(),
            clock,
            log: self.log.clone(),
            timing: self.settings.timing.clone(),
            limits: self.settings.limits.clone(),
        });
        admission.follow(programs.clone());
        sweep::spawn(sweep::Sweep {
            homes: homes.clone(),
            programs: programs.clone(),
            members: membership.clone(),
            peers: peers.clone(),
            log: self.log.clone(),
        });
        self.metrics.watch(metric::Watched {
            commit: commit.clone(),
            membership: membership.clone(),
            config: config.clone(),
            table,
            programs: programs.clone(),
            homes: homes.clone(),
        });
        tokio::spawn(observe::run(observe::Parts {
            commit: commit.clone(),
            membership: membership.clone(),
            config: config.clone(),
            upstreams: upstreams.clone(),
            log: self.log.clone(),
        }));
        tokio::spawn(ownership::follow(
            changes,
            programs.clone(),
            peers.clone(),
            self.log.clone(),
        ));
        let local = Local {
            programs,
            homes,
            config: config.clone(),
            membership: membership.clone(),
            admission: admission.clone(),
        };
        let router = Router {
            local: local.clone(),
            membership: membership.clone(),
            peers,
            metrics: self.metrics.clone(),
        };
        let serving = peer_server::serve(endpoint.clone(), local, self.tasks.clone());
        tokio::spawn(serving);
        let api = caller_api::Api {
            router: router.clone(),
            keys: Keys::open(config.clone()),
            admission,
            body_bytes: self.settings.limits.body_bytes,
            metrics: self.metrics.clone(),
            log: self.log.clone(),
            slots: Arc::new(Semaphore::new(self.settings.limits.requests)),
            stop: self.stop.clone(),
        };
        let serving = callers.serve(caller_api::paths(), Arc::new(api), self.stop.clone());
        self.tasks.spawn(serving);
        let api = operator_api::Api {
            router,
            config,
            metrics: self.metrics.clone(),
            log: self.log.clone(),
            membership: membership.clone(),
            operators: self.settings.operators.clone(),
            body_bytes: self.settings.limits.body_bytes,
            stop: self.stop.clone(),
        };
        let serving = operators.serve(operator_api::paths(), Arc::new(api), self.stop.clone());
        self.tasks.spawn(serving);
        Ok(Node {
            settings: self.settings,
            log: self.log,
            metrics: self.metrics,
            traces: self.traces,
            stop: self.stop,
            tasks: self.tasks,
            stage: Joined {
                endpoint,
                membership,
            },
        })
    }
}

fn open_table(settings: &Settings) -> table::Client {
    let platform = &settings.platform;
    table::Client::open(platform.table, platform.table_name.as_str())
}

impl Node<Joined> {
    async fn run_until_stopped(self) -> Result<()> {
        event!(self.log, Event::Ready);
        stop::asked().await.wrap_err("can't wait for signals")?;
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
        self.stage.endpoint.close(STOPPED, b"stopped");
        self.stage.endpoint.wait_idle().await;
        self.close_traces().await;
        event!(self.log, Event::Stopped);
        Ok(())
    }

    /// Exports the last spans; a failure has been logged by then.
    async fn close_traces(&self) {
        let traces = self.traces.clone();
        let _ = tokio::task::spawn_blocking(move || traces.close()).await;
    }
}
