//! Periodically releases prefixes that engines still cache for ended programs.
//!
//! The home of an engine fetches the programs that the engine caches prefixes for and queries
//! their owners for those that have ended. This covers every prefix that was not released when
//! its program ended, for instance because the owner crashed. The cost for an instance depends on
//! the prefixes cached by the engines homed there, not on the number of instances.

use std::collections::BTreeMap;
use std::time::Duration;

use basilramp_core::id;
use basilramp_core::upstream::Listing;
use basilramp_wire::frame::{Body, Reply};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::engine_control::Client;
use crate::log::{self, Event, event};
use crate::{cache_release, home, membership, peer_client, program};

const SWEEP_INTERVAL: Duration = Duration::from_millis(2_000);

const MAX_CONCURRENT_READS: usize = 8;

/// Finds and releases orphaned prefixes.
#[derive(Clone, Debug)]
pub(crate) struct Sweeper {
    pub(crate) homes: home::Handle,
    pub(crate) programs: program::Handle,
    pub(crate) members: membership::Handle,
    pub(crate) peers: peer_client::Client,
    pub(crate) log: log::Handle,
}

/// Starts the periodic sweep.
pub(crate) fn spawn(sweeper: Sweeper) {
    tokio::spawn(async move {
        let client = Client::new();
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            sweeper.run(&client).await;
        }
    });
}

/// The engines that cache a prefix for each program.
type EnginesByProgram = BTreeMap<id::Program, Vec<Listing>>;

impl Sweeper {
    async fn run(&self, client: &Client) {
        let engines_by_program = self.read_holders(client).await;
        let ended = self
            .find_ended(engines_by_program.keys().copied().collect())
            .await;
        for program in ended {
            for engine in engines_by_program.get(&program).into_iter().flatten() {
                event!(self.log, Event::OrphanFound,
                    "upstream" => engine.id.to_string(), "program" => program.to_string());
                let release = cache_release::release_with_retries(
                    client.clone(),
                    engine.clone(),
                    program.to_string(),
                    self.log.clone(),
                );
                tokio::spawn(release);
            }
        }
    }

    /// Fetches the cached prefixes of the engines homed here.
    ///
    /// Engines that can't be reached are skipped until the next sweep.
    async fn read_holders(&self, client: &Client) -> EnginesByProgram {
        let mut engines_by_program = EnginesByProgram::new();
        let engines = self.homes.engines();
        for batch in engines.chunks(MAX_CONCURRENT_READS) {
            let mut reads = JoinSet::new();
            for engine in batch.iter().cloned() {
                let client = client.clone();
                reads.spawn(async move { (client.fetch_holders(engine.address).await, engine) });
            }
            while let Some(read) = reads.join_next().await {
                let Ok((Ok(holders), engine)) = read else {
                    continue;
                };
                let holders = holders.holders.iter();
                for program in holders.filter_map(|prefix| prefix.holder.parse().ok()) {
                    engines_by_program
                        .entry(program)
                        .or_default()
                        .push(engine.clone());
                }
            }
        }
        engines_by_program
    }

    /// Queries the owners of `programs` and returns the programs that have ended.
    ///
    /// Programs whose owner is unknown or does not respond are left for the next sweep.
    async fn find_ended(&self, programs: Vec<id::Program>) -> Vec<id::Program> {
        let mut by_owner: BTreeMap<id::Instance, (membership::Peer, Vec<id::Program>)> =
            BTreeMap::new();
        for program in programs {
            if let Some(owner) = self.members.owner(program.partition()) {
                let entry = by_owner.entry(owner.id.clone());
                entry.or_insert((owner, Vec::new())).1.push(program);
            }
        }
        let mut queries = JoinSet::new();
        for (owner, programs) in by_owner.into_values() {
            let sweeper = self.clone();
            queries.spawn(async move { sweeper.query_owner(&owner, programs).await });
        }
        let mut ended = Vec::new();
        while let Some(response) = queries.join_next().await {
            ended.extend(response.unwrap_or_default());
        }
        ended
    }

    /// Returns those of `programs` that have ended according to their owner.
    async fn query_owner(
        &self,
        owner: &membership::Peer,
        programs: Vec<id::Program>,
    ) -> Vec<id::Program> {
        if owner.id == self.members.own_id() {
            return self.programs.filter_ended(programs).await;
        }
        let programs = programs.iter().map(id::Program::to_string).collect();
        match self.peers.request(owner, Body::Ended { programs }).await {
            Ok(Reply::Ended(ended)) => {
                let ended = ended.iter().filter_map(|program| program.parse().ok());
                ended.collect()
            }
            _ => Vec::new(),
        }
    }
}
