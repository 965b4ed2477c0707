//! A deployment under measurement, its load, and samples of its resource usage.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_fakes::cluster::{
    ACCOUNTS, Cluster, Options, account_key, account_limit, name, set_item,
};
use basilramp_fakes::platform::Counters;
use basilramp_fakes::{caller, engine};
use eyre::{Result, eyre};
use tokio::task::JoinSet;

use crate::{instance, usage};

/// Limit of requests per second and of programs per account; never reached.
const UNLIMITED: u32 = 1_000_000;

/// Number of concurrent callers.
const WORKERS: usize = 16;

/// Limit of store operations per second at the stand-in, far above the measured rates.
const STORE_RATE: u32 = 100_000;

/// A running deployment.
pub(crate) struct Bench {
    pub(crate) cluster: Cluster,
}

/// Cumulative resource usage at one time.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// CPU time of each instance, in milliseconds.
    pub(crate) cpu_ms: Vec<f64>,
    /// Counters of the store.
    pub(crate) store: Counters,
}

impl Sample {
    /// Returns the CPU time that all instances used since `before`, in milliseconds.
    pub(crate) fn cpu_since(&self, before: &Self) -> f64 {
        let after: f64 = self.cpu_ms.iter().sum();
        let before: f64 = before.cpu_ms.iter().sum();
        after - before
    }

    /// Returns the reads since `before`.
    pub(crate) fn reads_since(&self, before: &Self) -> f64 {
        let reads = |store: &Counters| (store.gets + store.queries) as f64;
        reads(&self.store) - reads(&before.store)
    }

    /// Returns the writes since `before`.
    pub(crate) fn writes_since(&self, before: &Self) -> f64 {
        let writes = |store: &Counters| (store.transactions + store.condition_failures) as f64;
        writes(&self.store) - writes(&before.store)
    }
}

impl Bench {
    /// Starts a deployment without limits on accounts and store.
    pub(crate) async fn start(instances: usize) -> Result<Self> {
        let mut options = Options::new(instance::launcher()?, instances);
        options.engines = vec![engine::Options {
            slots: 64,
            speed: 1_000.0,
            ..engine::Options::default()
        }];
        let limits = ACCOUNTS.map(|name| {
            set_item(
                name,
                account_limit(&account_key(name), UNLIMITED, UNLIMITED),
            )
        });
        options.edits = limits.to_vec();
        options.settings = serde_json::json!({
            "store": {"writes_per_s": 100_000},
        });
        let cluster = Cluster::start(options).await?;
        cluster.platform.set_rate_limits(STORE_RATE, STORE_RATE);
        Ok(Self { cluster })
    }

    /// Returns the process id of a running instance.
    pub(crate) fn process(&self, index: usize) -> Result<u32> {
        let process = self.cluster.instances[index].process.as_ref();
        let process = process.ok_or_else(|| eyre!("instance {index} is not running"))?;
        Ok(process.id())
    }

    /// Returns the caller address of an instance.
    pub(crate) fn callers(&self, index: usize) -> Result<SocketAddr> {
        let address = self.cluster.caller_address(index);
        address.ok_or_else(|| eyre!("instance {index} is not running"))
    }

    /// Samples the resource usage so far.
    pub(crate) fn sample(&self) -> Result<Sample> {
        let running = self
            .cluster
            .instances
            .iter()
            .filter_map(|instance| instance.process.as_ref());
        let cpu_ms: Result<Vec<f64>> = running.map(|process| usage::cpu_ms(process.id())).collect();
        Ok(Sample {
            cpu_ms: cpu_ms?,
            store: self.cluster.platform.counters(),
        })
    }

    /// Waits for `idle_ms` milliseconds without load.
    pub(crate) async fn idle(&self, idle_ms: u64) {
        tokio::time::sleep(Duration::from_millis(idle_ms)).await;
    }

    /// Creates the numbered programs, each with one look-up of `prompt` bytes; returns their ids.
    pub(crate) async fn add_programs(
        &self,
        numbers: std::ops::Range<usize>,
        prompt: usize,
    ) -> Result<Vec<String>> {
        let at = self.callers(0)?;
        let mut workers = JoinSet::new();
        for worker in 0..WORKERS {
            let client = self.cluster.caller(0);
            let assigned: Vec<usize> = numbers
                .clone()
                .filter(|number| number % WORKERS == worker)
                .collect();
            workers.spawn(async move {
                let mut ids = Vec::new();
                for number in assigned {
                    let mut budget = caller::program_budget(10_000_000);
                    budget.turns = 1_000;
                    let request = format!("program-{number}");
                    let program = client.create_root(at, &request, budget).await?;
                    let input = "x".repeat(prompt);
                    let mut call = caller::call_request("first", 0, name::LOOKUP, &input);
                    call.max_tokens = 8;
                    client.call(at, &program.id, &call).await.result?;
                    ids.push(program.id);
                }
                Ok::<_, caller::Failure>(ids)
            });
        }
        let mut ids = Vec::new();
        while let Some(worker) = workers.join_next().await {
            let added = worker?.map_err(|failure| eyre!("a program failed: {failure:?}"))?;
            ids.extend(added);
        }
        Ok(ids)
    }

    /// Runs one look-up per program and position through one entry instance.
    pub(crate) async fn run_calls(
        &self,
        entry: usize,
        programs: &[String],
        positions: std::ops::Range<u32>,
    ) -> Result<()> {
        let at = self.callers(entry)?;
        let mut workers = JoinSet::new();
        for share in programs.chunks(programs.len().div_ceil(WORKERS)) {
            let client = self.cluster.caller(0);
            let share = share.to_vec();
            let positions = positions.clone();
            workers.spawn(async move {
                for position in positions {
                    for program in &share {
                        let request = format!("c{position}");
                        let call =
                            caller::call_request(&request, position, name::LOOKUP, "roof 17");
                        client.call(at, program, &call).await.result?;
                    }
                }
                Ok::<_, caller::Failure>(())
            });
        }
        while let Some(worker) = workers.join_next().await {
            worker?.map_err(|failure| eyre!("a call failed: {failure:?}"))?;
        }
        Ok(())
    }

    /// Runs model calls through the first instance and returns the number of streamed tokens.
    pub(crate) async fn run_models(
        &self,
        programs: &[String],
        positions: std::ops::Range<u32>,
        max_tokens: u32,
    ) -> Result<usize> {
        let at = self.callers(0)?;
        let mut workers = JoinSet::new();
        for share in programs.chunks(programs.len().div_ceil(WORKERS)) {
            let client = self.cluster.caller(0);
            let share = share.to_vec();
            let positions = positions.clone();
            workers.spawn(async move {
                let mut tokens = 0;
                for position in positions {
                    for program in &share {
                        let request = format!("c{position}");
                        let mut call =
                            caller::call_request(&request, position, name::MODEL, "go on");
                        call.max_tokens = max_tokens;
                        let done = client.call(at, program, &call).await.result?;
                        tokens += done.usage.output as usize;
                    }
                }
                Ok::<_, caller::Failure>(tokens)
            });
        }
        let mut tokens = 0;
        while let Some(worker) = workers.join_next().await {
            tokens += worker?.map_err(|failure| eyre!("a call failed: {failure:?}"))?;
        }
        Ok(tokens)
    }
}
