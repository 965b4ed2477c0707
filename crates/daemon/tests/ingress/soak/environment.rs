//! Instances, upstreams and the store of a soak run. Connections to the store and to the upstreams
//! pass through relays, on which faults are injected.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use basilramp_fakes::relay::{self, Relay};
use basilramp_fakes::user_platform::{Mode, RequestRecord, Store, Upstream};
use tokio::sync::Mutex;

use crate::support::{IMMEDIATE_RESPONSE, Instance, configure, wait_for};

pub(super) const INSTANCES: usize = 3;

/// Number of upstreams: engines first, then plain services.
pub(super) const UPSTREAMS: usize = 6;

/// Number of upstreams that are engines, in turn of one software version and the other.
const ENGINES: usize = 4;

#[derive(Clone)]
pub(super) struct Environment(Arc<State>);

pub(super) struct State {
    pub(super) store: Store,
    pub(super) version: Mutex<u64>,
    /// Relays to the store, one for each instance.
    pub(super) store_relays: Vec<Relay>,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) upstream_relays: Vec<Relay>,
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
        configure(&store, 1);
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
        let store_relays: Vec<_> = (0..INSTANCES)
            .map(|_| relay::spawn(store.address()))
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
            version: Mutex::new(1),
            store_relays,
            upstreams,
            upstream_relays,
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
            .for_each(Relay::heal);
        for (upstream, relay) in self.upstreams.iter().zip(&self.upstream_relays) {
            upstream.set_behaviour(IMMEDIATE_RESPONSE);
            upstream.set_rate_limit(None);
            upstream.register_at(&self.store, "ready", relay.address());
        }
        self.wait_ready().await;
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
