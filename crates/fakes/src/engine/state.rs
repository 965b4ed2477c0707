//! The engine's state: batch, queue, cache, and records of requests and orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use basilramp_wire::engine::{LoadReport, Order};
use tokio::sync::oneshot;

use super::cache::Cache;
use super::{Fault, Options};
use crate::lag::DelayedValue;

/// The stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// In the queue, not in the batch yet.
    Waiting,
    /// In the batch.
    Running,
    /// The completion was generated and sent completely.
    Done,
    /// The reader disconnected.
    Cancelled,
    /// A fault broke the stream, or the engine crashed.
    Broken,
}

/// A completion request that the engine accepted.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Request id (`x-request-id`); empty if absent.
    pub request_id: String,
    /// Cache holder (`x-cache-holder`); empty if absent.
    pub holder: String,
    /// `traceparent` header; empty if absent.
    pub traceparent: String,
    /// Requested model, as `model@version+adapter`.
    pub model: String,
    /// Contents of all messages; the last is the new prompt.
    pub contents: Vec<String>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Number of output tokens so far.
    pub output_tokens: u64,
    /// Whether the request has entered the batch.
    pub started: bool,
    /// Current or final stage.
    pub stage: Stage,
    /// Time of arrival.
    pub received_at: Instant,
    /// Epoch of the engine at arrival.
    pub epoch: u64,
}

/// An order that the engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// Fencing number of the order; zero if absent.
    pub fencing: u64,
    /// The order itself.
    pub order: Order,
    /// Whether it was accepted. An order with an outdated fencing number is rejected.
    pub accepted: bool,
}

/// The state of an engine. `requests` keeps all requests; its indices identify them.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) options: Options,
    /// Incremented by each crash.
    pub(crate) epoch: u64,
    /// Factor on all simulated durations.
    pub(crate) slowdown: f64,
    pub(crate) models: BTreeSet<String>,
    pub(crate) draining: bool,
    /// Highest accepted fencing number.
    pub(crate) fencing: u64,
    pub(crate) cache: Cache,
    pub(crate) load: DelayedValue<LoadReport>,
    pub(crate) requests: Vec<RequestRecord>,
    pub(crate) orders: Vec<OrderRecord>,
    pub(crate) releases: u64,
    pub(crate) crashes: u64,
    pub(crate) poison_crashes: u64,
    pub(crate) next_faults: Vec<Fault>,
    pub(crate) default_fault: Option<Fault>,
    pub(crate) faulted_requests: u64,
    /// Number of requests in the batch.
    running: u32,
    /// Queued requests by priority and index; sending on the channel admits one to the batch.
    waiting: BTreeMap<(i64, usize), oneshot::Sender<()>>,
}

impl State {
    pub(crate) fn new(options: Options) -> Self {
        let mut state = Self {
            epoch: 1,
            slowdown: 1.0,
            models: options.models.iter().cloned().collect(),
            draining: false,
            fencing: 0,
            cache: Cache::new(options.cache_tokens),
            load: DelayedValue::new(LoadReport::default()),
            requests: Vec::new(),
            orders: Vec::new(),
            releases: 0,
            crashes: 0,
            poison_crashes: 0,
            next_faults: Vec::new(),
            default_fault: None,
            faulted_requests: 0,
            running: 0,
            waiting: BTreeMap::new(),
            options,
        };
        state.load = DelayedValue::new(state.current_load());
        state
    }

    /// Scales a simulated duration in milliseconds to real time.
    pub(crate) fn scaled_duration(&self, ms: f64) -> Duration {
        Duration::from_secs_f64((ms * self.slowdown / self.options.speed / 1000.0).max(0.0))
    }

    /// Returns the fault of the current request, and consumes a queued one.
    pub(crate) fn next_fault(&mut self) -> Option<Fault> {
        let fault = if self.next_faults.is_empty() {
            self.default_fault
        } else {
            Some(self.next_faults.remove(0))
        };
        self.faulted_requests += u64::from(fault.is_some());
        fault
    }

    /// Adds a request to the queue; the receiver is notified when it enters the batch.
    pub(crate) fn enqueue(
        &mut self,
        record: RequestRecord,
        priority: i64,
    ) -> (usize, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let index = self.requests.len();
        self.requests.push(record);
        self.waiting.insert((priority, index), sender);
        self.fill_batch();
        (index, receiver)
    }

    /// Moves requests from the queue to the batch while slots are free.
    fn fill_batch(&mut self) {
        while self.running < self.options.slots {
            let Some(((_, index), sender)) = self.waiting.pop_first() else {
                break;
            };
            if sender.send(()).is_err() {
                continue;
            }
            self.running += 1;
            self.requests[index].stage = Stage::Running;
            self.requests[index].started = true;
        }
        self.publish_load();
    }

    /// Removes a request from the batch or the queue and records its final stage.
    pub(crate) fn finish_request(&mut self, index: usize, stage: Stage) {
        let record = &mut self.requests[index];
        if record.epoch != self.epoch {
            return;
        }
        match record.stage {
            Stage::Running => self.running -= 1,
            Stage::Waiting => self.waiting.retain(|(_, waiting), _| *waiting != index),
            Stage::Done | Stage::Cancelled | Stage::Broken => return,
        }
        self.requests[index].stage = stage;
        self.fill_batch();
    }

    /// Breaks all unfinished requests, clears queue and cache, and starts a new epoch.
    pub(crate) fn crash(&mut self) {
        for record in &mut self.requests {
            if record.stage <= Stage::Running {
                record.stage = Stage::Broken;
            }
        }
        self.crashes += 1;
        self.epoch += 1;
        self.running = 0;
        self.waiting.clear();
        self.cache.clear();
        self.load = DelayedValue::new(self.current_load());
        self.load.set_lag(self.options.load_report_lag_ms);
    }

    /// Publishes the current load, which becomes visible after the lag.
    pub(crate) fn publish_load(&mut self) {
        let load = self.current_load();
        self.load.set(load);
    }

    fn current_load(&self) -> LoadReport {
        LoadReport {
            epoch: self.epoch,
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: self.options.slots,
            cached_tokens: self.cache.tokens(),
            cache_tokens: self.cache.capacity(),
            models: self.models.iter().cloned().collect(),
            leaving: self.draining,
            fencing: self.fencing,
        }
    }
}
