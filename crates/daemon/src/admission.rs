//! Whether requests and new programs are taken on.
//!
//! Requests are limited at each instance, to the account's rate divided by the
//! instances that live. A new program is checked by its owner: against the
//! ready capacity of the services that the account called of late, and against
//! the account's limit, which the account's home counts over all owners. A home
//! that is out of reach does not hold programs up.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use basilramp_core::admission::{Gate, Load, ProgramCounts};
use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_core::limit::TokenBucket;
use basilramp_wire::config::{Plan, Target};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{self, Body};
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::{self, Source};
use crate::{config, grant, membership, peer, program};

/// Time between two readings of the capacity.
const READING: Duration = Duration::from_millis(200);

/// Time between two reports of the programs owned here.
const REPORT: Duration = Duration::from_millis(1_000);

/// Milliseconds for which a service counts as called by an account.
const CALLED_MS: u64 = 600_000;

/// Milliseconds from the start of the process for which the capacity is not known yet.
const STARTING_MS: u64 = 5_000;

/// Headroom of a service without a plan in force, in percent.
const DEFAULT_HEADROOM_PERCENT: u32 = 10;

/// Milliseconds after which an account with too many programs may try again.
const PROGRAMS_RETRY_MS: u64 = 2_000;

/// Takes on requests and new programs.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    grants: grant::Handle,
    config: config::Handle,
    members: membership::Handle,
    peers: peer::Client,
    clock: Source,
}

#[derive(Debug, Default)]
struct Table {
    buckets: BTreeMap<id::Account, TokenBucket>,
    gates: BTreeMap<id::Service, Gate>,
    programs: ProgramCounts,
}

/// Starts to watch the capacity.
pub(crate) fn spawn(
    grants: grant::Handle,
    config: config::Handle,
    members: membership::Handle,
    peers: peer::Client,
    clock: Source,
) -> Handle {
    let shared = Shared {
        table: Mutex::default(),
        grants,
        config,
        members,
        peers,
        clock,
    };
    let handle = Handle {
        shared: Arc::new(shared),
    };
    tokio::spawn(read(handle.clone()));
    handle
}

async fn read(handle: Handle) {
    let mut ticks = interval(READING);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        handle.read();
    }
}

async fn report(handle: Handle, programs: program::Handle) {
    let mut ticks = interval(REPORT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reported = BTreeSet::new();
    loop {
        ticks.tick().await;
        let mut by_account = programs.list_running();
        for account in std::mem::take(&mut reported) {
            by_account.entry(account).or_default();
        }
        reported = by_account.keys().cloned().collect();
        reported.retain(|account| !by_account[account].is_empty());
        handle.report(by_account);
    }
}

impl Handle {
    /// Starts to report the programs owned here to the accounts' homes.
    pub(crate) fn follow(&self, programs: program::Handle) {
        tokio::spawn(report(self.clone(), programs));
    }

    /// Takes on a request of an account.
    ///
    /// # Errors
    ///
    /// `RateLimited` if the account's rate is used up.
    pub(crate) fn request(&self, account: &id::Account) -> Result<(), Error> {
        let config = self.shared.config.current();
        let Some(limit) = config.limits.get(account) else {
            return Ok(());
        };
        let rate_milli = u64::from(limit.requests_per_s) * 1_000 / u64::from(self.instances());
        let now = self.shared.clock.now();
        let mut table = self.table();
        let bucket = table.buckets.entry(account.clone());
        let bucket = bucket.or_insert_with(|| TokenBucket::new(now, rate_milli));
        bucket.set_rate(now, rate_milli);
        bucket.try_take(now).map_err(|ms| {
            let message = "the account's rate is used up";
            Error::new(Kind::RateLimited, message).retry_after(ms)
        })
    }

    /// Takes on a new program of an account, at the program's owner.
    ///
    /// # Errors
    ///
    /// `Overloaded` if the ready capacity has no room for it, `TooManyPrograms` if the account
    /// has as many under way as it may.
    pub(crate) async fn program(
        &self,
        account: &id::Account,
        program: id::Program,
    ) -> Result<(), Error> {
        self.check_capacity(account)?;
        let key = format!("account/{account}");
        let home = self.shared.members.wanted(key.as_bytes());
        let home = home.filter(|home| home.id != self.shared.members.own());
        let Some(home) = home else {
            return self.count(account, program);
        };
        let body = Body::Admit {
            account: account.to_string(),
            program: program.to_string(),
        };
        match self.shared.peers.ask(&home, body).await {
            Err(error) if error.kind == Kind::TooManyPrograms => Err(error),
            Ok(frame::Reply::Error(error)) if error.kind == Kind::TooManyPrograms => Err(error),
            _ => Ok(()),
        }
    }

    /// Counts one more program of an account that is homed here.
    ///
    /// # Errors
    ///
    /// `TooManyPrograms` if the account has as many under way as it may.
    pub(crate) fn count(&self, account: &id::Account, program: id::Program) -> Result<(), Error> {
        let config = self.shared.config.current();
        let Some(limit) = config.limits.get(account) else {
            return Ok(());
        };
        let now = self.shared.clock.now();
        let mut table = self.table();
        if table.programs.admit(now, account, program, limit.programs) {
            return Ok(());
        }
        let message = "the account has as many programs under way as it may";
        Err(Error::new(Kind::TooManyPrograms, message).retry_after(PROGRAMS_RETRY_MS))
    }

    /// Notes the programs of accounts homed here that an instance owns.
    pub(crate) fn note(&self, instance: &str, accounts: Vec<frame::AccountPrograms>) {
        let instance = id::Instance::new(instance);
        let now = self.shared.clock.now();
        let mut table = self.table();
        for item in accounts {
            let account = id::Account::new(item.account);
            let programs = item
                .programs
                .iter()
                .filter_map(|program| program.parse().ok());
            table
                .programs
                .record_owned(now, &instance, &account, programs);
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        let table = self.shared.table.lock();
        table.unwrap_or_else(PoisonError::into_inner)
    }

    fn instances(&self) -> u32 {
        let live = self.shared.members.live().len() as u32;
        live.max(1)
    }

    /// Takes a reading of every model's capacity.
    fn read(&self) {
        let config = self.shared.config.current();
        let now = self.shared.clock.now();
        let models = config.services.iter();
        let models = models.filter(|(_, service)| matches!(service.target, Target::Model { .. }));
        let loads: Vec<_> = models
            .map(|(service, _)| (service.clone(), self.load(service)))
            .collect();
        let mut table = self.table();
        table
            .gates
            .retain(|service, _| config.services.contains_key(service));
        for (service, load) in loads {
            table.gates.entry(service).or_default().observe(now, load);
        }
        table.programs.expire(now);
        table
            .buckets
            .retain(|account, _| config.limits.contains_key(account));
    }

    fn load(&self, service: &id::Service) -> Load {
        let capacity = self.shared.grants.capacity(service);
        Load {
            slots: capacity.slots,
            in_use: capacity.slots.saturating_sub(capacity.free),
        }
    }

    /// Checks the services that the account called of late; before its first call, that any
    /// service has room.
    fn check_capacity(&self, account: &id::Account) -> Result<(), Error> {
        let config = self.shared.config.current();
        let now = self.shared.clock.now();
        if now < Time::from_ms(STARTING_MS) {
            return Ok(());
        }
        let instances = self.instances();
        let called = self.shared.grants.services(account, now.before(CALLED_MS));
        let mut table = self.table();
        let known = called
            .iter()
            .any(|service| table.gates.contains_key(service));
        let mut refused = None;
        let mut admitted = table.gates.is_empty();
        for (service, gate) in &mut table.gates {
            if known && !called.contains(service) {
                continue;
            }
            let headroom = headroom_percent(config.plans.values(), service);
            match gate.admit(now, headroom, instances) {
                Ok(()) => admitted = true,
                Err(ms) => refused = refused.max(Some(ms)),
            }
        }
        match refused {
            Some(ms) if known || !admitted => Err(overloaded(ms)),
            _ => Ok(()),
        }
    }

    /// Sends the programs owned here to the homes of their accounts.
    fn report(&self, by_account: BTreeMap<id::Account, Vec<id::Program>>) {
        let own = self.shared.members.own();
        let mut by_home: BTreeMap<id::Instance, (membership::Peer, Vec<_>)> = BTreeMap::new();
        for (account, programs) in by_account {
            let key = format!("account/{account}");
            let Some(home) = self.shared.members.wanted(key.as_bytes()) else {
                continue;
            };
            let item = frame::AccountPrograms {
                account: account.to_string(),
                programs: programs.iter().map(id::Program::to_string).collect(),
            };
            let entry = by_home.entry(home.id.clone());
            entry.or_insert((home, Vec::new())).1.push(item);
        }
        for (home, accounts) in by_home.into_values() {
            if home.id == own {
                self.note(own.as_str(), accounts);
                continue;
            }
            let body = Body::Programs {
                instance: own.to_string(),
                accounts,
            };
            let peers = self.shared.peers.clone();
            tokio::spawn(async move {
                // The next report makes up for one that is lost.
                let _ = peers.ask(&home, body).await;
            });
        }
    }
}

/// Returns the headroom of the plans in force for a service.
fn headroom_percent<'a>(plans: impl Iterator<Item = &'a Plan>, service: &id::Service) -> u32 {
    let minute = (clock::wall_ms() / 60_000 % 1_440) as u32;
    let plans = plans.filter(|plan| plan.service == service.as_str());
    let plans = plans.filter(|plan| is_in_force(plan, minute));
    let headroom = plans.map(|plan| plan.headroom_percent).max();
    headroom.unwrap_or(DEFAULT_HEADROOM_PERCENT)
}

/// Tells whether a plan holds at a minute of the day; one that ends before it begins holds over
/// midnight.
pub(crate) fn is_in_force(plan: &Plan, minute: u32) -> bool {
    let begun = minute >= plan.from_minute;
    let over = minute >= plan.until_minute;
    if plan.from_minute <= plan.until_minute {
        begun && !over
    } else {
        begun || !over
    }
}

fn overloaded(ms: u64) -> Error {
    Error::new(Kind::Overloaded, "no capacity for a new program").retry_after(ms)
}
