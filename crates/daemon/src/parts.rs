//! The parts of an instance that hold its lease: built in the order in which they need each other.

use std::net::SocketAddr;
use std::sync::Arc;

use basilramp_platform::{endpoints, table};
use tokio::sync::{Semaphore, mpsc};

use crate::auth::Keys;
use crate::route::{Local, Router};
use crate::settings::Settings;
use crate::{
    admission, caller_api, clock, commit, config, grant, home, inventory, log, membership, metric,
    observe, operator_api, order, ownership, peer, program, stop, sweep, upstream,
};

/// What the parts are built into.
pub(crate) struct Frame<'a> {
    pub(crate) settings: &'a Settings,
    /// Where other instances reach this one.
    pub(crate) address: SocketAddr,
    pub(crate) peers: peer::Client,
    pub(crate) metrics: metric::Handle,
    pub(crate) log: log::Handle,
    pub(crate) stop: stop::Signal,
}

/// The running parts.
pub(crate) struct Parts {
    pub(crate) router: Router,
    admission: admission::Handle,
    inventory: inventory::Handle,
    log: log::Handle,
}

/// What everything else stands on: the lease and the configuration.
struct Base {
    table: table::Client,
    membership: membership::Handle,
    commit: commit::Handle,
    config: config::Handle,
    clock: clock::Clock,
    changes: mpsc::UnboundedReceiver<membership::OwnershipChange>,
}

/// What is known of upstreams, and what is decided about them.
struct Upstreams {
    view: upstream::Handle,
    homes: home::Handle,
    grants: grant::Handle,
    admission: admission::Handle,
    orders: order::Handle,
}

/// Takes the lease, however long that takes, and starts the parts.
pub(crate) async fn start(frame: Frame<'_>) -> Parts {
    let base = start_base(&frame).await;
    let upstreams = start_upstreams(&frame, &base);
    let programs = start_programs(&frame, &base, &upstreams);
    watch(&frame, &base, &upstreams, &programs);
    tokio::spawn(ownership::forward_changes(
        base.changes,
        programs.clone(),
        frame.peers.clone(),
        frame.log.clone(),
    ));
    let local = Local {
        programs,
        homes: upstreams.homes.clone(),
        config: base.config,
        membership: base.membership.clone(),
        admission: upstreams.admission.clone(),
        stop: frame.stop,
        orders: upstreams.orders,
    };
    let inventory = inventory::Handle {
        view: upstreams.view,
        homes: upstreams.homes,
        membership: base.membership.clone(),
        peers: frame.peers.clone(),
    };
    let router = Router {
        local,
        membership: base.membership,
        peers: frame.peers,
        metrics: frame.metrics,
    };
    Parts {
        router,
        admission: upstreams.admission,
        inventory,
        log: frame.log,
    }
}

async fn start_base(frame: &Frame<'_>) -> Base {
    let clock = clock::Clock::start();
    let platform = &frame.settings.platform;
    let table = table::Client::open(platform.table, platform.table_name.as_str());
    let joining = membership::join(&table, frame.settings, frame.address, clock);
    let (membership, commit, changes) = joining.await;
    let config = config::spawn(&table, commit.clone(), frame.settings).await;
    Base {
        table,
        membership,
        commit,
        config,
        clock,
        changes,
    }
}

fn start_upstreams(frame: &Frame<'_>, base: &Base) -> Upstreams {
    let list = endpoints::Client::open(frame.settings.platform.list);
    let poll_ms = frame.settings.timing.upstream_poll_ms;
    let view = upstream::spawn(list, poll_ms, frame.log.clone());
    let homes = home::spawn(
        view.clone(),
        base.membership.clone(),
        poll_ms,
        base.clock,
        frame.log.clone(),
    );
    let grants = grant::spawn(
        homes.clone(),
        view.clone(),
        base.membership.clone(),
        base.config.clone(),
        frame.peers.clone(),
        base.clock,
        frame.settings.policy.cache_weight,
    );
    let admission = admission::spawn(
        grants.clone(),
        base.config.clone(),
        base.membership.clone(),
        frame.peers.clone(),
        base.clock,
    );
    let orders = order::spawn(order::Dependencies {
        homes: homes.clone(),
        upstreams: view.clone(),
        grants: grants.clone(),
        members: base.membership.clone(),
        config: base.config.clone(),
        commit: base.commit.clone(),
        table: base.table.clone(),
        clock: base.clock,
        log: frame.log.clone(),
    });
    Upstreams {
        view,
        homes,
        grants,
        admission,
        orders,
    }
}

fn start_programs(frame: &Frame<'_>, base: &Base, upstreams: &Upstreams) -> program::Handle {
    let programs = program::spawn(program::Parts {
        table: base.table.clone(),
        commit: base.commit.clone(),
        membership: base.membership.clone(),
        config: base.config.clone(),
        grants: upstreams.grants.clone(),
        admission: upstreams.admission.clone(),
        homes: upstreams.homes.clone(),
        peers: frame.peers.clone(),
        clock: base.clock,
        log: frame.log.clone(),
        timing: frame.settings.timing.clone(),
        limits: frame.settings.limits.clone(),
    });
    upstreams.admission.start_program_reports(programs.clone());
    sweep::spawn(sweep::Sweep {
        homes: upstreams.homes.clone(),
        programs: programs.clone(),
        members: base.membership.clone(),
        peers: frame.peers.clone(),
        log: frame.log.clone(),
    });
    programs
}

/// Has the parts measured and their changes logged.
fn watch(frame: &Frame<'_>, base: &Base, upstreams: &Upstreams, programs: &program::Handle) {
    frame.metrics.watch(metric::Watched {
        commit: base.commit.clone(),
        membership: base.membership.clone(),
        config: base.config.clone(),
        table: base.table.clone(),
        programs: programs.clone(),
        homes: upstreams.homes.clone(),
    });
    tokio::spawn(observe::run(observe::Parts {
        commit: base.commit.clone(),
        membership: base.membership.clone(),
        config: base.config.clone(),
        upstreams: upstreams.view.clone(),
        log: frame.log.clone(),
    }));
}

impl Parts {
    /// Returns what the callers' paths work with.
    pub(crate) fn caller_api(&self, settings: &Settings) -> caller_api::Api {
        caller_api::Api {
            router: self.router.clone(),
            keys: Keys::open(self.router.local.config.clone()),
            admission: self.admission.clone(),
            body_bytes: settings.limits.body_bytes,
            metrics: self.router.metrics.clone(),
            log: self.log.clone(),
            slots: Arc::new(Semaphore::new(settings.limits.requests)),
        }
    }

    /// Returns what the operators' paths work with.
    pub(crate) fn operator_api(&self, settings: &Settings) -> operator_api::Api {
        operator_api::Api {
            router: self.router.clone(),
            config: self.router.local.config.clone(),
            metrics: self.router.metrics.clone(),
            log: self.log.clone(),
            membership: self.router.membership.clone(),
            inventory: self.inventory.clone(),
            operators: settings.operators.clone(),
            body_bytes: settings.limits.body_bytes,
            stop: self.router.local.stop.clone(),
        }
    }
}
