//! Finds what engines hold for programs that have ended, and has it released.
//!
//! The home of an engine reads its holdings and asks the owners of the programs
//! which of them have ended. That covers whatever was not released at a
//! program's end, also when the owner died. The cost of an instance follows
//! the holdings of the engines homed there, not the number of instances.

use std::collections::BTreeMap;
use std::time::Duration;

use basilramp_core::id;
use basilramp_core::upstream::Listing;
use basilramp_wire::frame::{Body, Reply};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::control::Client;
use crate::log::{self, Event, event};
use crate::{home, membership, peer, program, release};

/// Time between two sweeps.
const PERIOD: Duration = Duration::from_millis(2_000);

/// Engines that are read at once.
const READS_AT_ONCE: usize = 8;

/// What a sweep works with.
#[derive(Clone, Debug)]
pub(crate) struct Sweep {
    pub(crate) homes: home::Handle,
    pub(crate) programs: program::Handle,
    pub(crate) members: membership::Handle,
    pub(crate) peers: peer::Client,
    pub(crate) log: log::Handle,
}

/// Starts to sweep periodically.
pub(crate) fn spawn(sweep: Sweep) {
    tokio::spawn(async move {
        let client = Client::open();
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            sweep.run(&client).await;
        }
    });
}

/// What engines hold, by program.
type Holdings = BTreeMap<id::Program, Vec<Listing>>;

impl Sweep {
    async fn run(&self, client: &Client) {
        let holdings = self.read(client).await;
        let ended = self.ended(holdings.keys().copied().collect()).await;
        for program in ended {
            for engine in holdings.get(&program).into_iter().flatten() {
                event!(self.log, Event::OrphanFound,
                    "upstream" => engine.id.to_string(), "program" => program.to_string());
                let release = release::run(
                    client.clone(),
                    engine.clone(),
                    program.to_string(),
                    self.log.clone(),
                );
                tokio::spawn(release);
            }
        }
    }

    /// Reads what the engines homed here hold.
    async fn read(&self, client: &Client) -> Holdings {
        let mut holdings = Holdings::new();
        let engines = self.homes.engines();
        for some in engines.chunks(READS_AT_ONCE) {
            let mut reads = JoinSet::new();
            for engine in some.iter().cloned() {
                let client = client.clone();
                reads.spawn(async move { (client.holders(engine.address).await, engine) });
            }
            while let Some(read) = reads.join_next().await {
                let Ok((Ok(holders), engine)) = read else {
                    continue;
                };
                let holders = holders.holders.iter();
                for program in holders.filter_map(|held| held.holder.parse().ok()) {
                    holdings.entry(program).or_default().push(engine.clone());
                }
            }
        }
        holdings
    }

    /// Returns those of some programs that have ended, by their owners' word.
    async fn ended(&self, programs: Vec<id::Program>) -> Vec<id::Program> {
        let mut by_owner: BTreeMap<id::Instance, (membership::Peer, Vec<id::Program>)> =
            BTreeMap::new();
        for program in programs {
            if let Some(owner) = self.members.owner(program.partition()) {
                let entry = by_owner.entry(owner.id.clone());
                entry.or_insert((owner, Vec::new())).1.push(program);
            }
        }
        let mut asks = JoinSet::new();
        for (owner, programs) in by_owner.into_values() {
            let sweep = self.clone();
            asks.spawn(async move { sweep.ask(&owner, programs).await });
        }
        let mut ended = Vec::new();
        while let Some(answer) = asks.join_next().await {
            ended.extend(answer.unwrap_or_default());
        }
        ended
    }

    async fn ask(&self, owner: &membership::Peer, programs: Vec<id::Program>) -> Vec<id::Program> {
        if owner.id == self.members.own_id() {
            return self.programs.ended(programs).await;
        }
        let programs = programs.iter().map(id::Program::to_string).collect();
        match self.peers.ask(owner, Body::Ended { programs }).await {
            Ok(Reply::Ended(ended)) => {
                let ended = ended.iter().filter_map(|program| program.parse().ok());
                ended.collect()
            }
            _ => Vec::new(),
        }
    }
}
