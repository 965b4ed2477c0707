//! Instances, upstreams and the store of a soak run. Connections to the store and to the upstreams
//! pass through relays, on which faults are injected.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use basilramp_fakes::relay::{self, Relay};
use basilramp_fakes::user_platform::{Mode, RequestRecord, Store, Upstream, View};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use super::keys::Configuration;
use crate::support::{IMMEDIATE_RESPONSE, Instance, wait_for};

pub(super) const INSTANCES: usize = 3;

/// Time after which a crashed upstream is started again.
const RESTART_DELAY: Duration = Duration::from_millis(600);

/// Number of upstreams: engines first, then plain services.
pub(super) const UPSTREAMS: usize = 6;

/// Number of upstreams that are engines, in turn of one software version and the other.
const ENGINES: usize = 4;

#[derive(Clone)]
pub(super) struct Environment(Arc<State>);

pub(super) struct State {
    pub(super) store: Store,
    pub(super) configuration: Mutex<Configuration>,
    /// Relays to the store, one for each instance.
    pub(super) store_relays: Vec<Relay>,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) upstream_relays: Vec<Relay>,
    /// Links of each instance to each upstream, in front of the upstream's relay.
    pub(super) links: Vec<Vec<Relay>>,
    _views: Vec<View>,
    pub(super) instances: Vec<Mutex<Instance>>,
    /// Current caller addresses of the instances; a restart changes them.
    addresses: std::sync::Mutex<Vec<SocketAddr>>,
}

impl std::ops::Deref for Environment {
    type Target = State;

    fn deref(&self) -> &State {
        &self.0
    }
}

impl Environment {
    pub(super) async fn spawn() -> Self {
        let store = Store::spawn();
        let mut configuration = Configuration::new();
        configuration.write(&store);
        let upstreams: Vec<_> = (0..UPSTREAMS)
            .map(|index| {
                let service = if index < ENGINES { "engine" } else { "app" };
                let id = format!("i-{index}");
                let version = ["v1", "v2"][index % 2];
                Upstream::spawn_version(&store, &id, service, version, IMMEDIATE_RESPONSE)
            })
            .collect();
        let relays = upstreams
            .iter()
            .map(|upstream| relay::spawn(upstream.address()));
        let upstream_relays: Vec<_> = relays.collect();
        for (upstream, relay) in upstreams.iter().zip(&upstream_relays) {
            upstream.register_at(&store, "ready", relay.address());
        }
        let mut links = Vec::new();
        let mut views = Vec::new();
        for _ in 0..INSTANCES {
            let own = upstream_relays.iter();
            let own: Vec<_> = own.map(|relay| relay::spawn(relay.address())).collect();
            let addresses = upstream_relays.iter().zip(&own);
            let addresses = addresses.map(|(relay, link)| (relay.address(), link.address()));
            views.push(store.spawn_view(addresses.collect()));
            links.push(own);
        }
        let store_relays: Vec<_> = views
            .iter()
            .map(|view| relay::spawn(view.address()))
            .collect();
        let mut instances = Vec::new();
        let mut addresses = Vec::new();
        for (index, relay) in store_relays.iter().enumerate() {
            let instance = Instance::spawn_at(relay.address(), &format!("n{index}")).await;
            addresses.push(instance.callers);
            instances.push(Mutex::new(instance));
        }
        let environment = Self(Arc::new(State {
            store,
            configuration: Mutex::new(configuration),
            store_relays,
            upstreams,
            upstream_relays,
            links,
            _views: views,
            instances,
            addresses: std::sync::Mutex::new(addresses),
        }));
        environment.wait_ready().await;
        environment
    }

    async fn wait_ready(&self) {
        for instance in &self.instances {
            let instance = instance.lock().await;
            wait_for("an instance is ready", || async {
                instance.is_ready().await.then_some(())
            })
            .await;
        }
    }

    /// Ends every fault, and waits until all instances are ready.
    pub(super) async fn heal(&self) {
        self.store.set_mode(Mode::Up);
        self.store.set_unavailable_partitions(&[]);
        self.store_relays
            .iter()
            .chain(&self.upstream_relays)
            .chain(self.links.iter().flatten())
            .for_each(Relay::heal);
        for (upstream, relay) in self.upstreams.iter().zip(&self.upstream_relays) {
            upstream.set_behaviour(IMMEDIATE_RESPONSE);
            upstream.set_rate_limit(None);
            upstream.register_at(&self.store, "ready", relay.address());
        }
        self.wait_ready().await;
    }

    /// Starts crashed upstreams again some time after their crash, until the deadline.
    pub(super) async fn keep_upstreams_running(&self, deadline: Instant) {
        let mut restarts = 0;
        while Instant::now() < deadline {
            self.restart_upstreams(&mut restarts, RESTART_DELAY);
            sleep(Duration::from_millis(20)).await;
        }
        self.restart_upstreams(&mut restarts, Duration::ZERO);
    }

    fn restart_upstreams(&self, restarts: &mut u32, delay: Duration) {
        for (upstream, relay) in self.upstreams.iter().zip(&self.upstream_relays) {
            let crashed_at = upstream.crashes().last().map(|crash| crash.at);
            let is_due = crashed_at.is_none_or(|at| at.elapsed() >= delay);
            if !upstream.is_running() && is_due {
                *restarts += 1;
                upstream.restart(&self.store, &format!("r-{restarts}"));
                upstream.register_at(&self.store, "ready", relay.address());
            }
        }
    }

    /// Returns the number of crashes that requests caused.
    pub(super) fn crashes(&self) -> usize {
        let crashes = self
            .upstreams
            .iter()
            .map(|upstream| upstream.crashes().len());
        crashes.sum()
    }

    /// Starts a new process in place of an instance that has exited.
    pub(super) async fn restart(&self, index: usize, instance: &mut Instance) {
        let address = self.store_relays[index].address();
        *instance = Instance::spawn_at(address, &format!("n{index}")).await;
        self.addresses.lock().unwrap()[index] = instance.callers;
    }

    /// Returns the current caller address of an instance.
    pub(super) fn address(&self, index: usize) -> SocketAddr {
        self.addresses.lock().unwrap()[index]
    }

    /// Returns the runs of all upstreams so far, by attempt id.
    pub(super) fn runs(&self) -> BTreeMap<String, Vec<RequestRecord>> {
        let mut runs: BTreeMap<String, Vec<RequestRecord>> = BTreeMap::new();
        for run in self.upstreams.iter().flat_map(Upstream::requests) {
            runs.entry(run.attempt_id.clone()).or_default().push(run);
        }
        runs
    }
}
