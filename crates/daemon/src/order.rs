//! Orders to engines: turns the active plans into load and unload orders.
//!
//! The home of an engine sends its orders. Each order is first written to the
//! engine's row, conditional on the row's version, and the new version is the
//! order's fencing number. Engines that don't check fencing numbers are
//! protected by time: an order may only be sent within the validity time in its
//! row, which the sender counts from before the write. A new sender waits for
//! that time on its own clock, counted from when it first read the row. Routing
//! follows what engines report, so a lost order only costs time: the next round
//! finds that the report differs from the plan and issues the order again.
//!
//! A new home doesn't repeat the order of the former one while it may still be
//! sent, or while the engine reports that it has accepted it and executes it.
//!
//! A home has one load in progress at a time, so that the weight store never
//! serves more concurrent loads than there are instances.

mod demand;
mod manual;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_core::plan::{Assignment, Step, assign, next_step};
use basilramp_core::upstream::Listing;
use basilramp_platform::table::{self, Action, Condition, Key, Write};
use basilramp_wire::engine::Order;
use basilramp_wire::record;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::Clock;
use crate::engine_control::{Client, Failure, ORDER_TIMEOUT};
use crate::log::{self, Event, event};
use crate::{commit, config, grant, home, membership, upstream};

pub(crate) use manual::Handle;
use manual::ManualOrder;

/// Time between two rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(1_000);

/// Validity of an order, in milliseconds: the order may only be sent within this time, counted from
/// before its row is written.
const ORDER_VALID_MS: u64 = 3_000;

/// Milliseconds of the validity reserved for the request to arrive.
const DELIVERY_MARGIN_MS: u64 = 1_000;

/// Milliseconds after the response within which an engine must report an order's effect. After
/// that, the order is issued again.
const EFFECT_TIMEOUT_MS: u64 = 3_000;

/// Maximum time that the write of an order's row waits for the store, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 2_000;

/// Handles that the order task uses.
#[derive(Debug)]
pub(crate) struct Dependencies {
    pub(crate) homes: home::Handle,
    pub(crate) upstreams: upstream::Handle,
    pub(crate) grants: grant::Handle,
    pub(crate) members: membership::Handle,
    pub(crate) config: config::Handle,
    pub(crate) commit: commit::Handle,
    pub(crate) table: table::Client,
    pub(crate) clock: Clock,
    pub(crate) log: log::Handle,
}

/// Starts the task that issues planned and manual orders.
pub(crate) fn spawn(dependencies: Dependencies) -> Handle {
    let (handle, manual_orders) = manual::channel();
    let sender = OrderSender {
        dependencies,
        client: Client::new(),
        sent: BTreeMap::new(),
        foreign_rows: BTreeMap::new(),
    };
    tokio::spawn(sender.run(manual_orders));
    handle
}

/// Sends orders to the engines homed here.
struct OrderSender {
    dependencies: Dependencies,
    client: Client,
    sent: BTreeMap<id::Upstream, SentOrder>,
    foreign_rows: BTreeMap<id::Upstream, ForeignRow>,
}

/// An order that this process issued.
#[derive(Debug)]
struct SentOrder {
    /// The version of the order's row, which is its fencing number.
    version: u64,
    step: Step,
    /// The task that sends the order; `None` if too little of its validity remained after the write.
    sending: Option<JoinHandle<()>>,
    /// When the sending task was first found to have finished.
    completed_at: Option<Time>,
}

impl SentOrder {
    /// Sets `completed_at` if the sending task has finished.
    fn record_completion(&mut self, now: Time) {
        let answered = self.sending.as_ref().is_none_or(JoinHandle::is_finished);
        if answered {
            self.completed_at.get_or_insert(now);
        }
    }

    /// Returns whether the order is being sent or its effect may still appear.
    fn is_outstanding(&self, now: Time) -> bool {
        self.completed_at
            .is_none_or(|completed_at| now.since(completed_at) < EFFECT_TIMEOUT_MS)
    }
}

/// An order row that another process wrote, and when this process first read it.
#[derive(Clone, Copy, Debug)]
struct ForeignRow {
    version: u64,
    first_read_at: Time,
    /// Epoch of the engine at that time, if it was known.
    epoch: Option<u64>,
}

impl OrderSender {
    async fn run(mut self, mut manual_orders: mpsc::Receiver<ManualOrder>) {
        let mut ticks = interval(ROUND_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.run_round().await,
                Some(order) = manual_orders.recv() => self.issue_manual(order).await,
            }
        }
    }

    /// Issues the next order to each engine homed here that needs one.
    async fn run_round(&mut self) {
        let config = self.dependencies.config.current();
        let demands = demand::active_demands(&config);
        let listed = demand::available_engines(&self.dependencies.upstreams);
        let assignment = assign(&listed, &demands);
        let engines = self.dependencies.homes.engines();
        let homed: BTreeSet<_> = engines.iter().map(|engine| engine.id.clone()).collect();
        self.sent.retain(|engine, _| homed.contains(engine));
        self.foreign_rows.retain(|engine, _| homed.contains(engine));
        let now = self.dependencies.clock.now();
        self.sent
            .values_mut()
            .for_each(|sent| sent.record_completion(now));
        for engine in engines {
            let Some(step) = self.plan_step(&engine, &assignment) else {
                self.sent.remove(&engine.id);
                continue;
            };
            if self.must_wait(&engine.id, &step) {
                continue;
            }
            let place = config.places.get(&engine.place);
            let fencing = place.is_some_and(|place| place.fencing);
            self.issue(&engine, step, fencing).await;
        }
    }

    /// Returns the next step that an engine needs to match the plan, if any.
    fn plan_step(&self, engine: &Listing, assignment: &Assignment) -> Option<Step> {
        let wanted = assignment.get(&engine.id)?;
        let load = self.dependencies.homes.last_load(&engine.id)?;
        let loaded = load.models.iter().map(|model| Arc::from(model.as_str()));
        let loaded: BTreeSet<Arc<str>> = loaded.collect();
        next_step(wanted, &loaded, |model| self.is_surplus(model, assignment))
    }

    /// Returns whether a model may be unloaded: it is ready on more engines than planned, or it is
    /// not planned and no service uses it.
    fn is_surplus(&self, model: &str, assignment: &Assignment) -> bool {
        let wanted = assignment.values();
        let wanted = wanted.filter(|models| models.contains(model)).count();
        if wanted == 0 {
            return !demand::is_model_used(&self.dependencies.config.current(), model);
        }
        let ready = self.dependencies.grants.ready_upstreams(model);
        ready as usize > wanted
    }

    /// Returns whether an order must wait, because an order to the same engine or, for a load, a
    /// load on another engine is outstanding.
    fn must_wait(&self, engine: &id::Upstream, step: &Step) -> bool {
        let now = self.dependencies.clock.now();
        let mut open = self
            .sent
            .iter()
            .filter(|(_, sent)| sent.is_outstanding(now));
        let loads = matches!(step, Step::Load(_));
        open.any(|(other, sent)| other == engine || loads && matches!(sent.step, Step::Load(_)))
    }

    async fn issue(&mut self, engine: &Listing, step: Step, fencing: bool) {
        let order = order_from_step(&step);
        let version = self.next_fencing_number(&engine.id, fencing, Some(&order));
        let Some(version) = version.await else {
            return;
        };
        let start = self.dependencies.clock.now();
        if !self.write_row(&engine.id, &order, version).await {
            return;
        }
        let known = self.sent.get(&engine.id);
        let is_repair = known.is_some_and(|sent| sent.step == step);
        let age_ms = self.dependencies.clock.now().since(start);
        let sending = (age_ms + DELIVERY_MARGIN_MS < ORDER_VALID_MS).then(|| {
            let client = self.client.clone();
            let log = self.dependencies.log.clone();
            tokio::spawn(send_order(
                client,
                engine.clone(),
                order,
                version,
                is_repair,
                log,
            ))
        });
        let sent = SentOrder {
            version,
            step,
            sending,
            completed_at: None,
        };
        self.sent.insert(engine.id.clone(), sent);
    }

    /// Returns the fencing number of the next order, or `None` if the row can't be read, or if the
    /// order of an earlier sender may still be valid or is the `planned` one and in progress.
    async fn next_fencing_number(
        &mut self,
        engine: &id::Upstream,
        fencing: bool,
        planned: Option<&Order>,
    ) -> Option<u64> {
        let row = self.dependencies.table.get(&row_key(engine)).await.ok()?;
        let Some(row) = row else {
            return Some(1);
        };
        let own = self.sent.get(engine);
        if own.is_some_and(|sent| sent.version == row.version) {
            return Some(row.version + 1);
        }
        let record: record::Order = serde_json::from_str(&row.body).ok()?;
        let foreign_row = self.track_foreign_row(engine, row.version);
        let age_ms = self
            .dependencies
            .clock
            .now()
            .since(foreign_row.first_read_at);
        let may_be_sent = age_ms < record.valid_ms;
        if planned == Some(&record.order) {
            let is_executing = self.has_accepted(engine, &foreign_row)
                && u128::from(age_ms) < ORDER_TIMEOUT.as_millis();
            return (!may_be_sent && !is_executing).then_some(row.version + 1);
        }
        (fencing || !may_be_sent).then_some(row.version + 1)
    }

    /// Returns the row of another sender with the time at which this process first read it.
    fn track_foreign_row(&mut self, engine: &id::Upstream, version: u64) -> ForeignRow {
        let load = self.dependencies.homes.last_load(engine);
        let first = ForeignRow {
            version,
            first_read_at: self.dependencies.clock.now(),
            epoch: load.map(|load| load.epoch),
        };
        let foreign_row = self.foreign_rows.entry(engine.clone()).or_insert(first);
        if foreign_row.version != version {
            *foreign_row = first;
        }
        *foreign_row
    }

    /// Returns whether an engine reports that it has accepted the order of a row and has not
    /// restarted since.
    fn has_accepted(&self, engine: &id::Upstream, row: &ForeignRow) -> bool {
        let load = self.dependencies.homes.last_load(engine);
        load.is_some_and(|load| load.fencing >= row.version && Some(load.epoch) == row.epoch)
    }

    /// Writes an order's row. Returns whether it is certain that the row was written.
    async fn write_row(&self, engine: &id::Upstream, order: &Order, version: u64) -> bool {
        let record = record::Order {
            order: order.clone(),
            sender: self.dependencies.members.own_id().to_string(),
            valid_ms: ORDER_VALID_MS,
        };
        let Ok(body) = serde_json::to_string(&record) else {
            return false;
        };
        let condition = match version {
            1 => Condition::Absent,
            _ => Condition::Version(version - 1),
        };
        let write = Write {
            key: row_key(engine),
            condition,
            action: Action::Put {
                version,
                body: Arc::from(body),
            },
        };
        let written = self
            .dependencies
            .commit
            .submit_with_timeout(vec![write], WRITE_TIMEOUT_MS);
        written.await.is_ok()
    }
}

/// Sends an order and logs its outcome.
async fn send_order(
    client: Client,
    engine: Listing,
    order: Order,
    version: u64,
    is_repair: bool,
    log: log::Handle,
) {
    let sent = client.send_order(engine.address, &order, version).await;
    let event = match sent {
        Ok(()) if is_repair => Event::OrderRepaired,
        Ok(()) => Event::OrderSent,
        Err(Failure::Rejected(_)) => Event::OrderRefused,
        Err(Failure::NoResponse) => Event::UpstreamDown,
    };
    event!(log, event, "upstream" => engine.id.to_string(), "fencing" => version);
}

fn row_key(engine: &id::Upstream) -> Key {
    Key::new("upstream", engine.as_str())
}

fn order_from_step(step: &Step) -> Order {
    match step {
        Step::Load(model) => Order::Load {
            model: model.to_string(),
        },
        Step::Unload(model) => Order::Unload {
            model: model.to_string(),
        },
    }
}
