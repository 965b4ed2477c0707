//! Admission control for requests and new programs.
//!
//! Each instance rate-limits requests to the account's rate divided by the
//! number of live instances. The owner of a new program checks it against the
//! ready capacity of the services that the account called recently, and against
//! the account's program limit. The account's home instance counts programs
//! across all owners; if it is unavailable, the program is admitted.

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

use crate::clock::{self, Clock};
use crate::{config, grant, membership, peer_client, program};

/// Time between two samples of the capacity.
const CAPACITY_SAMPLE_PERIOD: Duration = Duration::from_millis(200);

/// Time between two reports of the programs owned here.
const REPORT_PERIOD: Duration = Duration::from_millis(1_000);

/// Milliseconds after a call for which a service counts as recently called by the account.
const RECENT_CALL_WINDOW_MS: u64 = 600_000;

/// Milliseconds after the process start during which capacity is not checked, since it is not
/// known yet.
const STARTUP_GRACE_MS: u64 = 5_000;

/// Headroom of a service without an active plan, in percent.
const DEFAULT_HEADROOM_PERCENT: u32 = 10;

/// Retry delay sent to an account at its program limit, in milliseconds.
const PROGRAM_LIMIT_RETRY_MS: u64 = 2_000;

/// Decides whether requests and new programs are admitted.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    grants: grant::Handle,
    config: config::Handle,
    members: membership::Handle,
    peers: peer_client::Client,
    clock: Clock,
}

#[derive(Debug, Default)]
struct State {
    request_buckets: BTreeMap<id::Account, TokenBucket>,
    capacity_gates: BTreeMap<id::Service, Gate>,
    programs: ProgramCounts,
}

/// Opens admission control and starts to sample the capacity.
pub(crate) fn spawn(
    grants: grant::Handle,
    config: config::Handle,
    members: membership::Handle,
    peers: peer_client::Client,
    clock: Clock,
) -> Handle {
    let shared = Shared {
        state: Mutex::default(),
        grants,
        config,
        members,
        peers,
        clock,
    };
    let handle = Handle {
        shared: Arc::new(shared),
    };
    tokio::spawn(run_capacity_sampling(handle.clone()));
    handle
}

async fn run_capacity_sampling(handle: Handle) {
    let mut ticks = interval(CAPACITY_SAMPLE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        handle.sample_capacity();
    }
}

async fn run_program_reports(handle: Handle, programs: program::Handle) {
    let mut ticks = interval(REPORT_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // Accounts with programs in the last report. An account whose last program has ended is
    // reported once more, without programs.
    let mut reported = BTreeSet::new();
    loop {
        ticks.tick().await;
        let mut by_account = programs.list_running();
        for account in std::mem::take(&mut reported) {
            by_account.entry(account).or_default();
        }
        reported = by_account.keys().cloned().collect();
        reported.retain(|account| !by_account[account].is_empty());
        handle.report_programs(by_account);
    }
}

impl Handle {
    /// Starts to report the programs owned here to their accounts' homes periodically.
    pub(crate) fn start_program_reports(&self, programs: program::Handle) {
        tokio::spawn(run_program_reports(self.clone(), programs));
    }

    /// Admits a request of an account, within this instance's share of the account's rate.
    ///
    /// Accounts without a configured limit are always admitted.
    ///
    /// # Errors
    ///
    /// `RateLimited`, with the delay until a retry, if the share is used up.
    pub(crate) fn admit_request(&self, account: &id::Account) -> Result<(), Error> {
        let config = self.shared.config.current();
        let Some(limit) = config.limits.get(account) else {
            return Ok(());
        };
        let rate_milli =
            u64::from(limit.requests_per_s) * 1_000 / u64::from(self.live_instance_count());
        let now = self.shared.clock.now();
        let mut state = self.state();
        let bucket = state.request_buckets.entry(account.clone());
        let bucket = bucket.or_insert_with(|| TokenBucket::new(now, rate_milli));
        bucket.set_rate(now, rate_milli);
        bucket.try_take(now).map_err(|ms| {
            let message = "the account's request rate is exceeded";
            Error::new(Kind::RateLimited, message).retry_after(ms)
        })
    }

    /// Admits a new program of an account, at the program's owner.
    ///
    /// If the account's home does not reply, the program is admitted.
    ///
    /// # Errors
    ///
    /// `Overloaded` if the ready capacity is exhausted, `TooManyPrograms` if the account has
    /// reached its limit of running programs.
    pub(crate) async fn admit_program(
        &self,
        account: &id::Account,
        program: id::Program,
    ) -> Result<(), Error> {
        self.check_capacity(account)?;
        let key = format!("account/{account}");
        let home = self.shared.members.preferred_instance(key.as_bytes());
        let home = home.filter(|home| home.id != self.shared.members.own_id());
        let Some(home) = home else {
            return self.count_program(account, program);
        };
        let body = Body::Admit {
            account: account.to_string(),
            program: program.to_string(),
        };
        match self.shared.peers.request(&home, body).await {
            Err(error) if error.kind == Kind::TooManyPrograms => Err(error),
            Ok(frame::Reply::Error(error)) if error.kind == Kind::TooManyPrograms => Err(error),
            _ => Ok(()),
        }
    }

    /// Counts a new program of an account whose home is this instance.
    ///
    /// # Errors
    ///
    /// `TooManyPrograms` if the account has reached its limit of running programs.
    pub(crate) fn count_program(
        &self,
        account: &id::Account,
        program: id::Program,
    ) -> Result<(), Error> {
        let config = self.shared.config.current();
        let Some(limit) = config.limits.get(account) else {
            return Ok(());
        };
        let now = self.shared.clock.now();
        let mut state = self.state();
        if state.programs.admit(now, account, program, limit.programs) {
            return Ok(());
        }
        let message = "the account has reached its limit of running programs";
        Err(Error::new(Kind::TooManyPrograms, message).retry_after(PROGRAM_LIMIT_RETRY_MS))
    }

    /// Records which programs an instance owns of the accounts whose home is this instance.
    pub(crate) fn record_programs(&self, instance: &str, accounts: Vec<frame::AccountPrograms>) {
        let instance = id::Instance::new(instance);
        let now = self.shared.clock.now();
        let mut state = self.state();
        for item in accounts {
            let account = id::Account::new(item.account);
            let programs = item
                .programs
                .iter()
                .filter_map(|program| program.parse().ok());
            state
                .programs
                .record_owned(now, &instance, &account, programs);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn live_instance_count(&self) -> u32 {
        let live = self.shared.members.live_instances().len() as u32;
        live.max(1)
    }

    /// Samples the capacity of every model service, and drops expired and unconfigured entries.
    fn sample_capacity(&self) {
        let config = self.shared.config.current();
        let now = self.shared.clock.now();
        let models = config.services.iter();
        let models = models.filter(|(_, service)| matches!(service.target, Target::Model { .. }));
        let loads: Vec<_> = models
            .map(|(service, _)| (service.clone(), self.service_load(service)))
            .collect();
        let mut state = self.state();
        state
            .capacity_gates
            .retain(|service, _| config.services.contains_key(service));
        for (service, load) in loads {
            state
                .capacity_gates
                .entry(service)
                .or_default()
                .observe(now, load);
        }
        state.programs.expire(now);
        state
            .request_buckets
            .retain(|account, _| config.limits.contains_key(account));
    }

    fn service_load(&self, service: &id::Service) -> Load {
        let capacity = self.shared.grants.capacity(service);
        Load {
            slots: capacity.slots,
            in_use: capacity.slots.saturating_sub(capacity.free),
        }
    }

    /// Checks that every service that the account called recently has room. For an account
    /// without recent calls, one service with room suffices.
    fn check_capacity(&self, account: &id::Account) -> Result<(), Error> {
        let config = self.shared.config.current();
        let now = self.shared.clock.now();
        if now < Time::from_ms(STARTUP_GRACE_MS) {
            return Ok(());
        }
        let instances = self.live_instance_count();
        let called = self
            .shared
            .grants
            .services_called_since(account, now.before(RECENT_CALL_WINDOW_MS));
        let mut state = self.state();
        let has_called = called
            .iter()
            .any(|service| state.capacity_gates.contains_key(service));
        let mut rejected = None;
        let mut admitted = state.capacity_gates.is_empty();
        for (service, gate) in &mut state.capacity_gates {
            if has_called && !called.contains(service) {
                continue;
            }
            let headroom = headroom_percent(config.plans.values(), service);
            match gate.admit(now, headroom, instances) {
                Ok(()) => admitted = true,
                Err(ms) => rejected = rejected.max(Some(ms)),
            }
        }
        match rejected {
            Some(ms) if has_called || !admitted => Err(overloaded(ms)),
            _ => Ok(()),
        }
    }

    /// Sends the list of programs owned here to the homes of their accounts.
    fn report_programs(&self, by_account: BTreeMap<id::Account, Vec<id::Program>>) {
        let own = self.shared.members.own_id();
        let mut by_home: BTreeMap<id::Instance, (membership::Peer, Vec<_>)> = BTreeMap::new();
        for (account, programs) in by_account {
            let key = format!("account/{account}");
            let Some(home) = self.shared.members.preferred_instance(key.as_bytes()) else {
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
                self.record_programs(own.as_str(), accounts);
                continue;
            }
            let body = Body::Programs {
                instance: own.to_string(),
                accounts,
            };
            let peers = self.shared.peers.clone();
            tokio::spawn(async move {
                // A lost report is corrected by the next one.
                let _ = peers.request(&home, body).await;
            });
        }
    }
}

/// Returns the largest headroom of the active plans for a service, in percent.
fn headroom_percent<'a>(plans: impl Iterator<Item = &'a Plan>, service: &id::Service) -> u32 {
    let minute = (clock::unix_time_ms() / 60_000 % 1_440) as u32;
    let plans = plans.filter(|plan| plan.service == service.as_str());
    let plans = plans.filter(|plan| is_plan_active(plan, minute));
    let headroom = plans.map(|plan| plan.headroom_percent).max();
    headroom.unwrap_or(DEFAULT_HEADROOM_PERCENT)
}

/// Returns whether a plan is active at a minute of the day. A plan that ends before it begins
/// spans midnight.
pub(crate) fn is_plan_active(plan: &Plan, minute: u32) -> bool {
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
