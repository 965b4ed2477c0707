//! Builds the components of an instance in the order of their dependencies and starts their tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use basilramp_platform::{endpoints, table};
use tokio::sync::{Semaphore, mpsc};

use crate::auth::AccountKeys;
use crate::owner_router::{LocalHandler, OwnerRouter};
use crate::settings::Settings;
use crate::{
    admission, caller_api, clock, commit, config, grant, home, inventory, log, membership, metric,
    operator_api, order, orphan_sweep, ownership, peer_client, program, shutdown, state_logger,
    upstream,
};

/// Inputs that the components are built from.
pub(crate) struct Environment<'a> {
    pub(crate) settings: &'a Settings,
    /// Address at which other instances reach this one.
    pub(crate) address: SocketAddr,
    pub(crate) peers: peer_client::Client,
    pub(crate) metrics: metric::Handle,
    pub(crate) log: log::Handle,
    pub(crate) shutdown: shutdown::Handle,
}

/// The running components that the servers use.
pub(crate) struct Components {
    pub(crate) router: OwnerRouter,
    admission: admission::Handle,
    inventory: inventory::Handle,
    log: log::Handle,
}

/// Components that all others depend on: the store, the lease and the configuration.
struct Foundation {
    table: table::Client,
    membership: membership::Handle,
    commit: commit::Handle,
    config: config::Handle,
    clock: clock::Clock,
    changes: mpsc::UnboundedReceiver<membership::OwnershipChange>,
}

/// Components that track upstreams and schedule calls onto them.
struct UpstreamComponents {
    view: upstream::Handle,
    homes: home::Handle,
    grants: grant::Handle,
    admission: admission::Handle,
    orders: order::Handle,
}

/// Acquires the instance's lease and starts the components.
///
/// Waits for the lease without a time limit.
pub(crate) async fn start(environment: Environment<'_>) -> Components {
    let foundation = start_foundation(&environment).await;
    let upstreams = start_upstreams(&environment, &foundation);
    let programs = start_programs(&environment, &foundation, &upstreams);
    start_observers(&environment, &foundation, &upstreams, &programs);
    tokio::spawn(ownership::forward_changes(
        foundation.changes,
        programs.clone(),
        environment.peers.clone(),
        environment.log.clone(),
    ));
    let local = LocalHandler {
        programs,
        homes: upstreams.homes.clone(),
        config: foundation.config,
        membership: foundation.membership.clone(),
        admission: upstreams.admission.clone(),
        shutdown: environment.shutdown,
        orders: upstreams.orders,
    };
    let inventory = inventory::Handle {
        upstreams: upstreams.view,
        homes: upstreams.homes,
        membership: foundation.membership.clone(),
        peers: environment.peers.clone(),
    };
    let router = OwnerRouter {
        local,
        membership: foundation.membership,
        peers: environment.peers,
        metrics: environment.metrics,
    };
    Components {
        router,
        admission: upstreams.admission,
        inventory,
        log: environment.log,
    }
}

async fn start_foundation(environment: &Environment<'_>) -> Foundation {
    let clock = clock::Clock::start();
    let platform = &environment.settings.platform;
    let table = table::Client::open(platform.table, platform.table_name.as_str());
    let joined = membership::join(&table, environment.settings, environment.address, clock);
    let (membership, commit, changes) = joined.await;
    let config = config::spawn(&table, commit.clone(), environment.settings).await;
    Foundation {
        table,
        membership,
        commit,
        config,
        clock,
        changes,
    }
}

fn start_upstreams(environment: &Environment<'_>, foundation: &Foundation) -> UpstreamComponents {
    let list = endpoints::Client::open(environment.settings.platform.list);
    let poll_ms = environment.settings.timing.upstream_poll_ms;
    let view = upstream::spawn(list, poll_ms, environment.log.clone());
    let homes = home::spawn(
        view.clone(),
        foundation.membership.clone(),
        poll_ms,
        foundation.clock,
        environment.log.clone(),
    );
    let grants = grant::spawn(
        homes.clone(),
        view.clone(),
        foundation.membership.clone(),
        foundation.config.clone(),
        environment.peers.clone(),
        foundation.clock,
        environment.settings.policy.cache_weight,
    );
    let admission = admission::spawn(
        grants.clone(),
        foundation.config.clone(),
        foundation.membership.clone(),
        environment.peers.clone(),
        foundation.clock,
    );
    let orders = order::spawn(order::Dependencies {
        homes: homes.clone(),
        upstreams: view.clone(),
        grants: grants.clone(),
        members: foundation.membership.clone(),
        config: foundation.config.clone(),
        commit: foundation.commit.clone(),
        table: foundation.table.clone(),
        clock: foundation.clock,
        log: environment.log.clone(),
    });
    UpstreamComponents {
        view,
        homes,
        grants,
        admission,
        orders,
    }
}

fn start_programs(
    environment: &Environment<'_>,
    foundation: &Foundation,
    upstreams: &UpstreamComponents,
) -> program::Handle {
    let programs = program::spawn(program::Dependencies {
        table: foundation.table.clone(),
        commit: foundation.commit.clone(),
        membership: foundation.membership.clone(),
        config: foundation.config.clone(),
        grants: upstreams.grants.clone(),
        admission: upstreams.admission.clone(),
        homes: upstreams.homes.clone(),
        peers: environment.peers.clone(),
        clock: foundation.clock,
        log: environment.log.clone(),
        timing: environment.settings.timing.clone(),
        limits: environment.settings.limits.clone(),
    });
    upstreams.admission.start_program_reports(programs.clone());
    orphan_sweep::spawn(orphan_sweep::Sweeper {
        homes: upstreams.homes.clone(),
        programs: programs.clone(),
        members: foundation.membership.clone(),
        peers: environment.peers.clone(),
        log: environment.log.clone(),
    });
    programs
}

/// Registers the components' metrics and starts to log their state changes.
fn start_observers(
    environment: &Environment<'_>,
    foundation: &Foundation,
    upstreams: &UpstreamComponents,
    programs: &program::Handle,
) {
    environment.metrics.observe_sources(metric::Sources {
        commit: foundation.commit.clone(),
        membership: foundation.membership.clone(),
        config: foundation.config.clone(),
        table: foundation.table.clone(),
        programs: programs.clone(),
        homes: upstreams.homes.clone(),
    });
    tokio::spawn(state_logger::run(state_logger::Sources {
        commit: foundation.commit.clone(),
        membership: foundation.membership.clone(),
        config: foundation.config.clone(),
        upstreams: upstreams.view.clone(),
        log: environment.log.clone(),
    }));
}

impl Components {
    /// Returns the state shared by the handlers of the callers' API.
    pub(crate) fn caller_api(&self, settings: &Settings) -> caller_api::Api {
        caller_api::Api {
            router: self.router.clone(),
            keys: AccountKeys::new(self.router.local.config.clone()),
            admission: self.admission.clone(),
            max_body_bytes: settings.limits.body_bytes,
            metrics: self.router.metrics.clone(),
            log: self.log.clone(),
            slots: Arc::new(Semaphore::new(settings.limits.requests)),
        }
    }

    /// Returns the state shared by the handlers of the operators' API.
    pub(crate) fn operator_api(&self, settings: &Settings) -> operator_api::Api {
        operator_api::Api {
            router: self.router.clone(),
            config: self.router.local.config.clone(),
            metrics: self.router.metrics.clone(),
            log: self.log.clone(),
            membership: self.router.membership.clone(),
            inventory: self.inventory.clone(),
            operators: settings.operators.clone(),
            max_body_bytes: settings.limits.body_bytes,
            shutdown: self.router.local.shutdown.clone(),
        }
    }
}
