//! Injects faults into a deployment, removes them, and counts their hits.

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

/// Time limit for a graceful shutdown.
const STOP_TIMEOUT_MS: u64 = 40_000;

/// Time for which callers still send requests to an instance that shuts down.
const STOP_VISIBILITY_MS: u64 = 300;

/// Number of requests per engine or service that a fault affects.
const FAULTED_REQUESTS: u32 = 4;

/// Delay of an engine's response.
const ENGINE_DELAY_MS: u64 = 1_000;

/// Delay until a write to the store or a call to a service takes effect.
const WRITE_DELAY_MS: u64 = 400;

/// Additional latency of each operation of a slow store.
const STORE_LATENCY_MS: u64 = 300;

/// An injected fault.
#[derive(Debug)]
struct ActiveFault {
    fault: Fault,
    started_at: Instant,
    until: Instant,
    /// Index of the affected instance or engine.
    target: usize,
    /// Counter of the stand-ins before the injection.
    count_before: u64,
    /// Workload that belongs to the fault; returns the number of hits.
    task: Option<JoinHandle<u64>>,
}

/// A period in which the endpoint list showed an engine as draining.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainPeriod {
    pub(crate) engine: usize,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// A deployment and the faults injected into it.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    pub(crate) cluster: Cluster,
    pub(crate) drain_periods: Vec<DrainPeriod>,
    /// Graceful shutdowns that failed.
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

    /// Injects a fault.
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

    /// Injects a fault that stand-ins and relays implement.
    fn inject_into_stand_ins(&self, fault: Fault, target: usize) {
        let platform = &self.cluster.platform;
        match fault {
            Fault::StoreDown => platform.set_down(true),
            Fault::StoreSlow => platform.set_latency_ms(STORE_LATENCY_MS),
            Fault::StoreLoses => platform.lose_responses_at_random(0.3, target as u64),
            Fault::StoreDelays => platform.delay_writes(FAULTED_REQUESTS, WRITE_DELAY_MS),
            Fault::StoreCut => self.cut_store(target, Cut::Both),
            Fault::StoreOneWay => self.cut_store(target, Cut::FromTarget),
            Fault::PeerCut => self.cut_peers(target..target + 1, Cut::Both),
            Fault::PeerOneWay => self.cut_peers(target..target + 1, Cut::FromTarget),
            Fault::PeersCut => self.cut_peers(0..self.cluster.instances.len(), Cut::Both),
            Fault::UpstreamCut => self.cluster.upstream_relays[target].cut(Cut::Both),
            Fault::Leaving => platform.set_endpoint_state(&format!("e{target}"), State::Draining),
            Fault::EngineCrash => self.cluster.engines[target].crash(),
            Fault::EngineBreak => self.inject_engine_faults(engine::Fault::BreakStream),
            Fault::EngineHang => self.inject_engine_faults(engine::Fault::Hang),
            Fault::EngineLate => {
                self.inject_engine_faults(engine::Fault::DelayStart(ENGINE_DELAY_MS))
            }
            Fault::EngineRepeat => self.inject_engine_faults(engine::Fault::DuplicateEvents),
            Fault::ServiceCloseBefore => {
                self.inject_service_faults(service::Fault::CloseBeforeEffect)
            }
            Fault::ServiceCloseAfter => {
                self.inject_service_faults(service::Fault::CloseAfterEffect)
            }
            Fault::ServiceHang => self.inject_service_faults(service::Fault::HangAfterEffect),
            Fault::ServiceDelay => {
                self.inject_service_faults(service::Fault::DelayEffect(WRITE_DELAY_MS))
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

    /// Shuts down and restarts every instance, one after another.
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
            match process.wait_for_exit(STOP_TIMEOUT_MS).await {
                Ok(status) if status.success() => {}
                Ok(status) => self
                    .failed_stops
                    .push(format!("{id} stopped with {status}")),
                Err(error) => self
                    .failed_stops
                    .push(format!("{id} did not stop: {error}")),
            }
            let output = process.output();
            self.cluster.instances[index].previous_output.extend(output);
            self.start_instance(index).await?;
        }
        Ok(())
    }

    async fn start_instance(&mut self, index: usize) -> Result<()> {
        self.cluster.start_process(index).await?;
        self.cluster.wait_for_instance(index).await?;
        let addresses = self.cluster.instances[index].addresses();
        self.environment.set_visible(index, addresses);
        Ok(())
    }

    /// Waits until the duration of every fault has passed.
    pub(crate) async fn wait_for_durations(&self) {
        let until = self.active.iter().map(|active| active.until).max();
        if let Some(until) = until {
            tokio::time::sleep_until(until.into()).await;
        }
    }

    /// Takes the active faults and returns the number of hits of each.
    pub(crate) async fn collect_hits(&mut self) -> Result<BTreeMap<Fault, u64>> {
        let mut hits = BTreeMap::new();
        let down = self
            .active
            .iter()
            .any(|active| active.fault == Fault::StoreDown);
        for mut active in std::mem::take(&mut self.active) {
            let counted = match active.task.take() {
                Some(task) => task
                    .await
                    .map_err(|error| eyre!("the workload of a fault failed: {error}"))?,
                // While the store is down, no instance can fence an expired lease.
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

    /// Returns the stand-ins' counter for a fault.
    fn stand_in_count(&self, fault: Fault) -> u64 {
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

    /// Returns the number of hits: the stand-ins' count, or else the number of operations that
    /// completed after the injection.
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

    /// Returns whether an instance was fenced.
    fn is_fenced(&self, index: usize) -> bool {
        let row = self
            .cluster
            .platform
            .row("instance", &self.cluster.instances[index].id);
        let record = row.and_then(|row| serde_json::from_str::<Instance>(&row.body).ok());
        record.is_some_and(|record| record.state == InstanceState::Fenced)
    }

    /// Removes all faults and restarts instances that are not running.
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
            self.resume_or_restart(index).await?;
        }
        Ok(())
    }

    /// Returns the output of all instances, including earlier processes.
    pub(crate) fn logs(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for instance in &self.cluster.instances {
            lines.extend(instance.previous_output.iter().cloned());
            lines.extend(instance.process.iter().flat_map(Process::output));
        }
        lines
    }

    /// Resumes an instance, or restarts it if its process has exited.
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
                process.exit_status()?.is_none()
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
