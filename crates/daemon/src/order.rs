//! Orders to engines: the plan in force is turned into loads and unloads.
//!
//! The home of an engine sends its orders. Each is first written to the
//! engine's row, conditional on the row's version, and the new version is the
//! order's fencing number. Engines that don't check fencing numbers are
//! protected by time: an order may be sent for the time that its row states,
//! counted by the sender from before the write, and a successor waits that
//! time out on its own clock from when it read the row. Routing follows what
//! engines report, so a lost order costs time only: the next round sees that
//! the report differs from the plan and orders again.
//!
//! A home has one load under way at a time, so that the weight store never
//! serves more loads at once than there are instances.

mod by_hand;
mod demand;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_core::plan::{Assignment, Step, assign, next_step};
use basilramp_core::upstream::Listing;
use basilramp_platform::table::{self, Action, Check, Key, Write};
use basilramp_wire::engine::Order;
use basilramp_wire::record;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::Source;
use crate::control::{Client, Failure};
use crate::log::{self, Event, event};
use crate::{commit, config, grant, home, membership, upstream};

use by_hand::Asked;
pub(crate) use by_hand::Handle;

/// Time between two rounds.
const PERIOD: Duration = Duration::from_millis(1_000);

/// Milliseconds for which an order may be sent.
const VALID_MS: u64 = 3_000;

/// Milliseconds of that time which are left for the request to arrive.
const ARRIVAL_MS: u64 = 1_000;

/// Milliseconds after the answer within which an order's effect shows; then it is given again.
const SHOW_MS: u64 = 3_000;

/// The longest that the row's write waits for the store, in milliseconds.
const WRITE_WAIT_MS: u64 = 2_000;

/// What orders are made from.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) homes: home::Handle,
    pub(crate) upstreams: upstream::Handle,
    pub(crate) grants: grant::Handle,
    pub(crate) members: membership::Handle,
    pub(crate) config: config::Handle,
    pub(crate) commit: commit::Handle,
    pub(crate) table: table::Client,
    pub(crate) clock: Source,
    pub(crate) log: log::Handle,
}

/// Starts to give orders, those of the plan and those by hand.
pub(crate) fn spawn(parts: Parts) -> Handle {
    let (handle, asked) = by_hand::open();
    let sender = Sender {
        parts,
        client: Client::open(),
        given: BTreeMap::new(),
        others: BTreeMap::new(),
    };
    tokio::spawn(sender.run(asked));
    handle
}

struct Sender {
    parts: Parts,
    client: Client,
    given: BTreeMap<id::Upstream, Given>,
    others: BTreeMap<id::Upstream, Seen>,
}

/// An order that this process gave.
#[derive(Debug)]
struct Given {
    version: u64,
    step: Step,
    sending: Option<JoinHandle<()>>,
    ended: Option<Time>,
}

impl Given {
    /// Notes whether the order has been answered.
    fn look(&mut self, now: Time) {
        let answered = self.sending.as_ref().is_none_or(JoinHandle::is_finished);
        if answered {
            self.ended.get_or_insert(now);
        }
    }

    /// Tells whether the order's effect may still show.
    fn is_open(&self, now: Time) -> bool {
        self.ended.is_none_or(|ended| now.since(ended) < SHOW_MS)
    }
}

/// A row that another process wrote, and when this one first read it.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    at: Time,
}

impl Sender {
    async fn run(mut self, mut asked: mpsc::Receiver<Asked>) {
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.round().await,
                Some(asked) = asked.recv() => self.give_by_hand(asked).await,
            }
        }
    }

    /// Gives the next order of each engine homed here that needs one.
    async fn round(&mut self) {
        let config = self.parts.config.current();
        let demands = demand::in_force(&config);
        let listed = demand::engines(&self.parts.upstreams);
        let assignment = assign(&listed, &demands);
        let engines = self.parts.homes.engines();
        let homed: BTreeSet<_> = engines.iter().map(|engine| engine.id.clone()).collect();
        self.given.retain(|engine, _| homed.contains(engine));
        self.others.retain(|engine, _| homed.contains(engine));
        let now = self.parts.clock.now();
        self.given.values_mut().for_each(|given| given.look(now));
        for engine in engines {
            let Some(step) = self.step(&engine, &assignment) else {
                self.given.remove(&engine.id);
                continue;
            };
            if self.must_wait(&engine.id, &step) {
                continue;
            }
            let place = config.places.get(&engine.place);
            let fencing = place.is_some_and(|place| place.fencing);
            self.give(&engine, step, fencing).await;
        }
    }

    /// Returns what an engine has to do next, if anything.
    fn step(&self, engine: &Listing, assignment: &Assignment) -> Option<Step> {
        let wanted = assignment.get(&engine.id)?;
        let load = self.parts.homes.load(&engine.id)?;
        let loaded = load.models.iter().map(|model| Arc::from(model.as_str()));
        let loaded: BTreeSet<Arc<str>> = loaded.collect();
        next_step(wanted, &loaded, |model| self.is_spare(model, assignment))
    }

    /// Tells whether a model is ready on more engines than the plan wants, or used by no service.
    fn is_spare(&self, model: &str, assignment: &Assignment) -> bool {
        let wanted = assignment.values();
        let wanted = wanted.filter(|models| models.contains(model)).count();
        if wanted == 0 {
            return !demand::is_used(&self.parts.config.current(), model);
        }
        let ready = self.parts.grants.ready(model);
        ready as usize > wanted
    }

    /// Tells whether an order has to wait: one to the same engine is open, or a load elsewhere.
    fn must_wait(&self, engine: &id::Upstream, step: &Step) -> bool {
        let now = self.parts.clock.now();
        let mut open = self.given.iter().filter(|(_, given)| given.is_open(now));
        let loads = matches!(step, Step::Load(_));
        open.any(|(other, given)| other == engine || loads && matches!(given.step, Step::Load(_)))
    }

    async fn give(&mut self, engine: &Listing, step: Step, fencing: bool) {
        let Some(version) = self.next_version(&engine.id, fencing).await else {
            return;
        };
        let start = self.parts.clock.now();
        let order = order(&step);
        if !self.write(&engine.id, &order, version).await {
            return;
        }
        let known = self.given.get(&engine.id);
        let repaired = known.is_some_and(|given| given.step == step);
        let age_ms = self.parts.clock.now().since(start);
        let sending = (age_ms + ARRIVAL_MS < VALID_MS).then(|| {
            let client = self.client.clone();
            let log = self.parts.log.clone();
            tokio::spawn(send(client, engine.clone(), order, version, repaired, log))
        });
        let given = Given {
            version,
            step,
            sending,
            ended: None,
        };
        self.given.insert(engine.id.clone(), given);
    }

    /// Returns the fencing number of the next order, or nothing if a former sender may still send.
    async fn next_version(&mut self, engine: &id::Upstream, fencing: bool) -> Option<u64> {
        let row = self.parts.table.get(&key(engine)).await.ok()?;
        let Some(row) = row else {
            return Some(1);
        };
        let own = self.given.get(engine);
        if own.is_some_and(|given| given.version == row.version) || fencing {
            return Some(row.version + 1);
        }
        let record: record::Order = serde_json::from_str(&row.body).ok()?;
        let now = self.parts.clock.now();
        let first = Seen {
            version: row.version,
            at: now,
        };
        let seen = self.others.entry(engine.clone()).or_insert(first);
        if seen.version != row.version {
            *seen = first;
        }
        let over = now.since(seen.at) >= record.valid_ms;
        over.then_some(row.version + 1)
    }

    /// Writes an order's row and tells whether it is certain that it was written.
    async fn write(&self, engine: &id::Upstream, order: &Order, version: u64) -> bool {
        let record = record::Order {
            order: order.clone(),
            sender: self.parts.members.own().to_string(),
            valid_ms: VALID_MS,
        };
        let Ok(body) = serde_json::to_string(&record) else {
            return false;
        };
        let check = match version {
            1 => Check::Absent,
            _ => Check::Version(version - 1),
        };
        let write = Write {
            key: key(engine),
            check,
            action: Action::Put {
                version,
                body: Arc::from(body),
            },
        };
        let written = self
            .parts
            .commit
            .submit_with_timeout(vec![write], WRITE_WAIT_MS);
        written.await.is_ok()
    }
}

/// Sends an order and logs its outcome.
async fn send(
    client: Client,
    engine: Listing,
    order: Order,
    version: u64,
    repaired: bool,
    log: log::Handle,
) {
    let sent = client.order(engine.address, &order, version).await;
    let event = match sent {
        Ok(()) if repaired => Event::OrderRepaired,
        Ok(()) => Event::OrderSent,
        Err(Failure::Refused(_)) => Event::OrderRefused,
        Err(Failure::Unreached) => Event::UpstreamDown,
    };
    event!(log, event, "upstream" => engine.id.to_string(), "fencing" => version);
}

fn key(engine: &id::Upstream) -> Key {
    Key::new("upstream", engine.as_str())
}

fn order(step: &Step) -> Order {
    match step {
        Step::Load(model) => Order::Load {
            model: model.to_string(),
        },
        Step::Unload(model) => Order::Unload {
            model: model.to_string(),
        },
    }
}
