//! Applies faults to a deployment, heals them, and counts those that hit.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilramp_wire::record::{Instance, InstanceState};
use eyre::{Result, eyre};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use super::fault::Fault;
use super::poison;
use super::world::World;
use crate::cluster::Cluster;
use crate::engine;
use crate::launcher::Process;
use crate::platform::State;
use crate::relay::Cut;
use crate::service;

/// The longest that a planned stop may take.
const STOP_TIMEOUT_MS: u64 = 40_000;

/// How long callers go on sending requests to an instance that was told to stop.
const NOTICE_MS: u64 = 300;

/// Requests of each engine or service that a fault strikes.
const STRUCK: u32 = 4;

/// Milliseconds by which an engine is late.
const LATE_MS: u64 = 1_000;

/// Milliseconds by which a store or a service is late.
const DELAY_MS: u64 = 400;

/// Milliseconds that each operation of a slow store takes longer.
const SLOW_MS: u64 = 300;

/// A fault that was applied.
#[derive(Debug)]
struct Active {
    fault: Fault,
    began: Instant,
    until: Instant,
    /// The instance or engine that it was applied to.
    target: usize,
    /// What the stand-ins had counted before.
    counted: u64,
    /// Work that goes with it and yields how often it hit.
    task: Option<JoinHandle<u64>>,
}

/// A time in which an engine was listed as leaving.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Absence {
    pub(crate) engine: usize,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// A deployment and the faults applied to it.
#[derive(Debug)]
pub(crate) struct Scene {
    pub(crate) cluster: Cluster,
    pub(crate) absences: Vec<Absence>,
    /// Planned stops that did not end well.
    pub(crate) bad_stops: Vec<String>,
    world: Arc<World>,
    active: Vec<Active>,
}

impl Scene {
    pub(crate) fn new(cluster: Cluster, world: Arc<World>) -> Self {
        Self {
            cluster,
            absences: Vec::new(),
            bad_stops: Vec::new(),
            world,
            active: Vec::new(),
        }
    }

    /// Applies a fault.
    pub(crate) async fn begin(&mut self, fault: Fault, random: &mut ChaCha8Rng) -> Result<()> {
        let began = Instant::now();
        let counted = self.count(fault);
        let target = random.random_range(0..self.cluster.instances.len());
        let seed = random.random();
        let task = match fault {
            Fault::Poison => Some(tokio::spawn(poison::poison(Arc::clone(&self.world), seed))),
            Fault::Loop => Some(tokio::spawn(poison::endless(Arc::clone(&self.world), seed))),
            Fault::RollingStop => {
                self.rolling_stop().await?;
                None
            }
            Fault::Kill => {
                self.kill(target)?;
                None
            }
            Fault::Domain => {
                self.kill(target)?;
                self.cluster.engines[target % self.cluster.engines.len()].set_down(true);
                None
            }
            Fault::Freeze => {
                if let Some(process) = &self.cluster.instances[target].process {
                    process.freeze()?;
                }
                None
            }
            _ => {
                self.apply(fault, target);
                None
            }
        };
        self.active.push(Active {
            fault,
            began,
            until: began + Duration::from_millis(fault.lasts_ms()),
            target,
            counted,
            task,
        });
        Ok(())
    }

    /// Applies a fault that the stand-ins and relays know.
    fn apply(&self, fault: Fault, target: usize) {
        let platform = &self.cluster.platform;
        match fault {
            Fault::StoreDown => platform.set_down(true),
            Fault::StoreSlow => platform.set_latency_ms(SLOW_MS),
            Fault::StoreLoses => platform.lose_responses_at_random(0.3, target as u64),
            Fault::StoreDelays => platform.delay_writes(STRUCK, DELAY_MS),
            Fault::StoreCut => self.cut_store(target, Cut::Both),
            Fault::StoreOneWay => self.cut_store(target, Cut::FromTarget),
            Fault::PeerCut => self.cut_peers(target..target + 1, Cut::Both),
            Fault::PeerOneWay => self.cut_peers(target..target + 1, Cut::FromTarget),
            Fault::PeersCut => self.cut_peers(0..self.cluster.instances.len(), Cut::Both),
            Fault::UpstreamCut => self.cluster.upstream_relays[target].cut(Cut::Both),
            Fault::Leaving => platform.set_endpoint_state(&format!("e{target}"), State::Draining),
            Fault::EngineCrash => self.cluster.engines[target].crash(),
            Fault::EngineBreak => self.strike_engines(engine::Fault::BreakStream),
            Fault::EngineHang => self.strike_engines(engine::Fault::Hang),
            Fault::EngineLate => self.strike_engines(engine::Fault::DelayStart(LATE_MS)),
            Fault::EngineRepeat => self.strike_engines(engine::Fault::DuplicateEvents),
            Fault::ServiceCloseBefore => self.strike_services(service::Fault::CloseBeforeEffect),
            Fault::ServiceCloseAfter => self.strike_services(service::Fault::CloseAfterEffect),
            Fault::ServiceHang => self.strike_services(service::Fault::HangAfterEffect),
            Fault::ServiceDelay => self.strike_services(service::Fault::DelayEffect(DELAY_MS)),
            Fault::Kill
            | Fault::Freeze
            | Fault::Domain
            | Fault::RollingStop
            | Fault::Poison
            | Fault::Loop => {}
        }
    }

    fn cut_store(&self, target: usize, cut: Cut) {
        if let Some(relay) = &self.cluster.instances[target].store_relay {
            relay.cut(cut);
        }
    }

    fn cut_peers(&self, targets: Range<usize>, cut: Cut) {
        for instance in &self.cluster.instances[targets] {
            if let Some(relay) = &instance.peer_relay {
                relay.cut(cut);
            }
        }
    }

    fn strike_engines(&self, fault: engine::Fault) {
        for engine in &self.cluster.engines {
            for _ in 0..STRUCK {
                engine.fault_next(fault);
            }
        }
    }

    fn strike_services(&self, fault: service::Fault) {
        for service in [&self.cluster.registry, &self.cluster.store] {
            for _ in 0..STRUCK {
                service.fault_next(fault);
            }
        }
    }

    fn kill(&mut self, target: usize) -> Result<()> {
        self.world.show(target, None);
        self.cluster.kill(target)
    }

    /// Stops and starts every instance, one after another.
    async fn rolling_stop(&mut self) -> Result<()> {
        for index in 0..self.cluster.instances.len() {
            let instance = &mut self.cluster.instances[index];
            let Some(mut process) = instance.process.take() else {
                continue;
            };
            process.terminate()?;
            tokio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
            self.world.show(index, None);
            let id = &self.cluster.instances[index].id;
            match process.wait_for_exit(STOP_TIMEOUT_MS).await {
                Ok(status) if status.success() => {}
                Ok(status) => self.bad_stops.push(format!("{id} stopped with {status}")),
                Err(error) => self.bad_stops.push(format!("{id} did not stop: {error}")),
            }
            let past = process.output();
            self.cluster.instances[index].previous_output.extend(past);
            self.start(index).await?;
        }
        Ok(())
    }

    async fn start(&mut self, index: usize) -> Result<()> {
        self.cluster.start_process(index).await?;
        self.cluster.wait_for_instance(index).await?;
        let addresses = self.cluster.instances[index].addresses();
        self.world.show(index, addresses);
        Ok(())
    }

    /// Waits until every fault has lasted its time.
    pub(crate) async fn last(&self) {
        let until = self.active.iter().map(|active| active.until).max();
        if let Some(until) = until {
            tokio::time::sleep_until(until.into()).await;
        }
    }

    /// Ends the faults and returns how often each hit.
    pub(crate) async fn end(&mut self) -> Result<BTreeMap<Fault, u64>> {
        let mut hits = BTreeMap::new();
        let down = self.active.iter().any(|one| one.fault == Fault::StoreDown);
        for mut active in std::mem::take(&mut self.active) {
            let counted = match active.task.take() {
                Some(task) => task
                    .await
                    .map_err(|error| eyre!("a fault failed: {error}"))?,
                // While the store is down nobody can take a lapsed lease away.
                None if active.fault == Fault::Freeze && !down => {
                    u64::from(self.was_fenced(active.target))
                }
                None => self.hits(&active),
            };
            *hits.entry(active.fault).or_default() += counted;
            if active.fault == Fault::Leaving {
                self.absences.push(Absence {
                    engine: active.target,
                    from: active.began,
                    until: Instant::now(),
                });
            }
        }
        Ok(hits)
    }

    /// Returns what the stand-ins have counted of a fault.
    fn count(&self, fault: Fault) -> u64 {
        let engines = self.cluster.engines.iter();
        let services = [&self.cluster.registry, &self.cluster.store];
        match fault {
            Fault::StoreLoses => self.cluster.platform.counters().lost_responses,
            Fault::StoreDelays => self.cluster.platform.counters().delayed,
            Fault::EngineCrash => engines.map(|engine| engine.crashes()).sum(),
            Fault::EngineBreak | Fault::EngineHang | Fault::EngineLate | Fault::EngineRepeat => {
                engines.map(|engine| engine.faulted_requests()).sum()
            }
            Fault::ServiceCloseBefore
            | Fault::ServiceCloseAfter
            | Fault::ServiceHang
            | Fault::ServiceDelay => services.iter().map(|service| service.faulted_calls()).sum(),
            _ => 0,
        }
    }

    /// Returns how often a fault hit: what the stand-ins counted, else the operations under way.
    fn hits(&self, active: &Active) -> u64 {
        let counted = self.count(active.fault);
        if counted > 0 {
            return counted - active.counted;
        }
        let entries = self.world.recorder.entries();
        let met = entries.iter().filter(|entry| entry.ended >= active.began);
        met.count() as u64
    }

    /// Tells whether the lease of an instance was taken from it.
    fn was_fenced(&self, index: usize) -> bool {
        let row = self
            .cluster
            .platform
            .row("instance", &self.cluster.instances[index].id);
        let record = row.and_then(|row| serde_json::from_str::<Instance>(&row.body).ok());
        record.is_some_and(|record| record.state == InstanceState::Fenced)
    }

    /// Ends everything that faults have done, and starts what does not run.
    pub(crate) async fn heal(&mut self) -> Result<()> {
        let platform = &self.cluster.platform;
        platform.set_down(false);
        platform.set_latency_ms(0);
        platform.lose_responses_at_random(0.0, 0);
        platform.delay_writes(0, 0);
        for relay in &self.cluster.upstream_relays {
            relay.heal();
        }
        for (index, engine) in self.cluster.engines.iter().enumerate() {
            engine.clear_faults();
            engine.set_down(false);
            platform.set_endpoint_state(&format!("e{index}"), State::Ready);
        }
        self.cluster.registry.clear_faults();
        self.cluster.store.clear_faults();
        for index in 0..self.cluster.instances.len() {
            self.revive(index).await?;
        }
        Ok(())
    }

    /// Returns what the running instances have printed.
    pub(crate) fn logs(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for instance in &self.cluster.instances {
            lines.extend(instance.previous_output.iter().cloned());
            lines.extend(instance.process.iter().flat_map(Process::output));
        }
        lines
    }

    /// Lets an instance run, or starts it if it has ended.
    async fn revive(&mut self, index: usize) -> Result<()> {
        let instance = &mut self.cluster.instances[index];
        for relay in [&instance.store_relay, &instance.peer_relay]
            .into_iter()
            .flatten()
        {
            relay.heal();
        }
        let runs = match &mut instance.process {
            Some(process) => {
                process.thaw()?;
                process.exit_status()?.is_none()
            }
            None => false,
        };
        if !runs {
            self.world.show(index, None);
            self.start(index).await?;
        }
        Ok(())
    }
}
