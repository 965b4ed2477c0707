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

use super::environment::Environment;
use super::fault::Fault;
use super::poison;
use crate::cluster::Cluster;
use crate::engine;
use crate::launcher::Process;
use crate::platform::State;
use crate::relay::Cut;
use crate::service;

/// The longest that a planned stop may take.
const STOP_TIMEOUT_MS: u64 = 40_000;

/// How long callers go on sending requests to an instance that was told to stop.
const STOP_VISIBILITY_MS: u64 = 300;

/// Requests of each engine or service that a fault strikes.
const FAULTED_REQUESTS: u32 = 4;

/// Milliseconds by which an engine is late.
const ENGINE_DELAY_MS: u64 = 1_000;

/// Milliseconds by which a store or a service is late.
const WRITE_DELAY_MS: u64 = 400;

/// Milliseconds that each operation of a slow store takes longer.
const STORE_LATENCY_MS: u64 = 300;

/// A fault that was applied.
#[derive(Debug)]
struct ActiveFault {
    fault: Fault,
    started_at: Instant,
    until: Instant,
    /// The instance or engine that it was applied to.
    target: usize,
    /// What the stand-ins had counted before.
    count_before: u64,
    /// Work that goes with it and yields how often it hit.
    task: Option<JoinHandle<u64>>,
}

/// A time in which an engine was listed as leaving.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainPeriod {
    pub(crate) engine: usize,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// A deployment and the faults applied to it.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    pub(crate) cluster: Cluster,
    pub(crate) drain_periods: Vec<DrainPeriod>,
    /// Planned stops that did not end well.
    pub(crate) failed_stops: Vec<String>,
    environment: Arc<Environment>,
    active: Vec<ActiveFault>,
}

impl FaultInjector {
    pub(crate) fn new(cluster: Cluster, environment: Arc<Environment>) -> Self {
        Self {
            cluster,
            drain_periods: Vec::new(),
            failed_stops: Vec::new(),
            environment,
            active: Vec::new(),
        }
    }

    /// Applies a fault.
    pub(crate) async fn inject(&mut self, fault: Fault, random: &mut ChaCha8Rng) -> Result<()> {
        let started_at = Instant::now();
        let count_before = self.stand_in_count(fault);
        let target = random.random_range(0..self.cluster.instances.len());
        let seed = random.random();
        let task = match fault {
            Fault::Poison => Some(tokio::spawn(poison::send_poisoned_requests(
                Arc::clone(&self.environment),
                seed,
            ))),
            Fault::Loop => Some(tokio::spawn(poison::run_endless_program(
                Arc::clone(&self.environment),
                seed,
            ))),
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
                self.cluster.engines[target % self.cluster.engines.len()].down(true);
                None
            }
            Fault::Freeze => {
                if let Some(process) = &self.cluster.instances[target].process {
                    process.freeze()?;
                }
                None
            }
            _ => {
                self.inject_into_stand_ins(fault, target);
                None
            }
        };
        self.active.push(ActiveFault {
            fault,
            started_at,
            until: started_at + Duration::from_millis(fault.duration_ms()),
            target,
            count_before,
            task,
        });
        Ok(())
    }

    /// Applies a fault that the stand-ins and relays know.
    fn inject_into_stand_ins(&self, fault: Fault, target: usize) {
        let platform = &self.cluster.platform;
        match fault {
            Fault::StoreDown => platform.down(true),
            Fault::StoreSlow => platform.slow_ms(STORE_LATENCY_MS),
            Fault::StoreLoses => platform.lose_answers_at_random(0.3, target as u64),
            Fault::StoreDelays => platform.delay_writes(FAULTED_REQUESTS, WRITE_DELAY_MS),
            Fault::StoreCut => self.cut_store(target, Cut::Both),
            Fault::StoreOneWay => self.cut_store(target, Cut::FromTarget),
            Fault::PeerCut => self.cut_peers(target..target + 1, Cut::Both),
            Fault::PeerOneWay => self.cut_peers(target..target + 1, Cut::FromTarget),
            Fault::PeersCut => self.cut_peers(0..self.cluster.instances.len(), Cut::Both),
            Fault::UpstreamCut => self.cluster.upstream_relays[target].cut(Cut::Both),
            Fault::Leaving => platform.set_state(&format!("e{target}"), State::Leaving),
            Fault::EngineCrash => self.cluster.engines[target].crash(),
            Fault::EngineBreak => self.inject_engine_faults(engine::Fault::Break),
            Fault::EngineHang => self.inject_engine_faults(engine::Fault::Hang),
            Fault::EngineLate => self.inject_engine_faults(engine::Fault::Late(ENGINE_DELAY_MS)),
            Fault::EngineRepeat => self.inject_engine_faults(engine::Fault::Repeat),
            Fault::ServiceCloseBefore => self.inject_service_faults(service::Fault::CloseBefore),
            Fault::ServiceCloseAfter => self.inject_service_faults(service::Fault::CloseAfter),
            Fault::ServiceHang => self.inject_service_faults(service::Fault::Hang),
            Fault::ServiceDelay => {
                self.inject_service_faults(service::Fault::Delay(WRITE_DELAY_MS))
            }
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

    fn inject_engine_faults(&self, fault: engine::Fault) {
        for engine in &self.cluster.engines {
            for _ in 0..FAULTED_REQUESTS {
                engine.fault_next(fault);
            }
        }
    }

    fn inject_service_faults(&self, fault: service::Fault) {
        for service in [&self.cluster.registry, &self.cluster.store] {
            for _ in 0..FAULTED_REQUESTS {
                service.fault_next(fault);
            }
        }
    }

    fn kill(&mut self, target: usize) -> Result<()> {
        self.environment.set_visible(target, None);
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
            tokio::time::sleep(Duration::from_millis(STOP_VISIBILITY_MS)).await;
            self.environment.set_visible(index, None);
            let id = &self.cluster.instances[index].id;
            match process.wait(STOP_TIMEOUT_MS).await {
                Ok(status) if status.success() => {}
                Ok(status) => self
                    .failed_stops
                    .push(format!("{id} stopped with {status}")),
                Err(error) => self
                    .failed_stops
                    .push(format!("{id} did not stop: {error}")),
            }
            let output = process.output();
            self.cluster.instances[index].past_output.extend(output);
            self.start_instance(index).await?;
        }
        Ok(())
    }

    async fn start_instance(&mut self, index: usize) -> Result<()> {
        self.cluster.launch(index).await?;
        self.cluster.ready_one(index).await?;
        let addresses = self.cluster.instances[index].addresses();
        self.environment.set_visible(index, addresses);
        Ok(())
    }

    /// Waits until every fault has lasted its time.
    pub(crate) async fn wait_for_durations(&self) {
        let until = self.active.iter().map(|active| active.until).max();
        if let Some(until) = until {
            tokio::time::sleep_until(until.into()).await;
        }
    }

    /// Ends the faults and returns how often each hit.
    pub(crate) async fn stop_and_count_hits(&mut self) -> Result<BTreeMap<Fault, u64>> {
        let mut hits = BTreeMap::new();
        let down = self
            .active
            .iter()
            .any(|active| active.fault == Fault::StoreDown);
        for mut active in std::mem::take(&mut self.active) {
            let counted = match active.task.take() {
                Some(task) => task
                    .await
                    .map_err(|error| eyre!("a fault failed: {error}"))?,
                // While the store is down nobody can take a lapsed lease away.
                None if active.fault == Fault::Freeze && !down => {
                    u64::from(self.is_fenced(active.target))
                }
                None => self.hit_count(&active),
            };
            *hits.entry(active.fault).or_default() += counted;
            if active.fault == Fault::Leaving {
                self.drain_periods.push(DrainPeriod {
                    engine: active.target,
                    from: active.started_at,
                    until: Instant::now(),
                });
            }
        }
        Ok(hits)
    }

    /// Returns what the stand-ins have counted of a fault.
    fn stand_in_count(&self, fault: Fault) -> u64 {
        let engines = self.cluster.engines.iter();
        let services = [&self.cluster.registry, &self.cluster.store];
        match fault {
            Fault::StoreLoses => self.cluster.platform.counters().lost_answers,
            Fault::StoreDelays => self.cluster.platform.counters().delayed,
            Fault::EngineCrash => engines.map(|engine| engine.crashes()).sum(),
            Fault::EngineBreak | Fault::EngineHang | Fault::EngineLate | Fault::EngineRepeat => {
                engines.map(|engine| engine.hits()).sum()
            }
            Fault::ServiceCloseBefore
            | Fault::ServiceCloseAfter
            | Fault::ServiceHang
            | Fault::ServiceDelay => services.iter().map(|service| service.hits()).sum(),
            _ => 0,
        }
    }

    /// Returns how often a fault hit: what the stand-ins counted, else the operations under way.
    fn hit_count(&self, active: &ActiveFault) -> u64 {
        let counted = self.stand_in_count(active.fault);
        if counted > 0 {
            return counted - active.count_before;
        }
        let entries = self.environment.recorder.entries();
        let overlapping = entries
            .iter()
            .filter(|entry| entry.completed_at >= active.started_at);
        overlapping.count() as u64
    }

    /// Tells whether the lease of an instance was taken from it.
    fn is_fenced(&self, index: usize) -> bool {
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
        platform.down(false);
        platform.slow_ms(0);
        platform.lose_answers_at_random(0.0, 0);
        platform.delay_writes(0, 0);
        for relay in &self.cluster.upstream_relays {
            relay.heal();
        }
        for (index, engine) in self.cluster.engines.iter().enumerate() {
            engine.clear_faults();
            engine.down(false);
            platform.set_state(&format!("e{index}"), State::Ready);
        }
        self.cluster.registry.clear_faults();
        self.cluster.store.clear_faults();
        for index in 0..self.cluster.instances.len() {
            self.resume_or_restart(index).await?;
        }
        Ok(())
    }

    /// Returns what the running instances have printed.
    pub(crate) fn logs(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for instance in &self.cluster.instances {
            lines.extend(instance.past_output.iter().cloned());
            lines.extend(instance.process.iter().flat_map(Process::output));
        }
        lines
    }

    /// Lets an instance run, or starts it if it has ended.
    async fn resume_or_restart(&mut self, index: usize) -> Result<()> {
        let instance = &mut self.cluster.instances[index];
        for relay in [&instance.store_relay, &instance.peer_relay]
            .into_iter()
            .flatten()
        {
            relay.heal();
        }
        let is_running = match &mut instance.process {
            Some(process) => {
                process.thaw()?;
                process.ended()?.is_none()
            }
            None => false,
        };
        if !is_running {
            self.environment.set_visible(index, None);
            self.start_instance(index).await?;
        }
        Ok(())
    }
}
