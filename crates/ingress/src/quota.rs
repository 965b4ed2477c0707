//! Quotas of accounts: takes a permit for each attempt of a caller, and reserves permits in the rows
//! that all instances share.

mod reservation;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::outage;
use basilramp_core::dispatch::quota::{self, AccountPermits, ProgramShapes, Terms};
use basilramp_core::dispatch::request::Rejection;
use basilramp_process::clock::boot_time;
use basilramp_process::event;
use tokio::sync::Semaphore;
use xxhash_rust::xxh3::xxh3_64;

use self::reservation::{Outcome, Purpose};
use crate::active_request::ActiveRequest;
use crate::log_event::Event;
use crate::metric::QuotaOutcome;
use crate::state::{State, lock};

/// Time that a request waits for a permit, in milliseconds. A caller's objective is 120 to 400 ms.
const MAX_WAIT_MS: u64 = 300;

/// Time that a request waits for a store call that may grant it a permit, in milliseconds.
const MAX_CALL_WAIT_MS: u64 = 1_000;

/// Pauses after a reservation that other instances kept from the row, in milliseconds.
const CONTENTION_PAUSE_MS: std::ops::Range<u64> = 5..50;

/// Interval at which permits beyond what is expected are returned.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);

/// Quotas as known to this instance.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    accounts: Mutex<BTreeMap<Arc<str>, Arc<AccountQuota>>>,
    shapes: Mutex<ProgramShapes>,
}

impl Quotas {
    fn get(&self, account: &Arc<str>) -> Arc<AccountQuota> {
        let mut accounts = lock(&self.accounts);
        let known = accounts.get(account).map(Arc::clone);
        known.unwrap_or_else(|| {
            let new = Arc::new(AccountQuota::new(Arc::clone(account)));
            accounts.insert(Arc::clone(account), Arc::clone(&new));
            new
        })
    }

    /// Returns the use of an account's quota, if it had requests here.
    pub(crate) fn usage(&self, account: &str) -> Option<Usage> {
        let account = lock(&self.accounts).get(account).map(Arc::clone)?;
        let permits = lock(&account.permits).permits().count();
        Some(Usage {
            requests: account.requests.load(Ordering::Relaxed),
            rejected: account.rejected.load(Ordering::Relaxed),
            permits,
        })
    }
}

/// Use of an account's quota at this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Requests that needed a permit.
    pub(crate) requests: u64,
    /// Requests that got none.
    pub(crate) rejected: u64,
    /// Permits that are held.
    pub(crate) permits: u64,
}

/// Quota of one account at this instance.
#[derive(Debug)]
struct AccountQuota {
    name: Arc<str>,
    permits: Mutex<AccountPermits>,
    /// Terms of the latest request.
    terms: Mutex<Option<Terms>>,
    /// Allows one call at a time.
    call: Arc<Semaphore>,
    /// Requests in progress that wait for a permit.
    waiting: AtomicU32,
    requests: AtomicU64,
    rejected: AtomicU64,
}

impl AccountQuota {
    fn new(name: Arc<str>) -> Self {
        Self {
            name,
            permits: Mutex::new(AccountPermits::new(rand::random())),
            terms: Mutex::default(),
            call: Arc::new(Semaphore::new(1)),
            waiting: AtomicU32::new(0),
            requests: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
        }
    }
}

/// A permit for an attempt. Dropping it returns it for another request.
#[derive(Debug)]
pub(crate) struct Permit {
    state: Arc<State>,
    account: Arc<AccountQuota>,
    permit: Option<quota::Permit>,
}

impl Permit {
    fn is_valid(&self) -> bool {
        let now = self.state.store.store_time();
        let permit = self.permit.as_ref();
        permit.is_some_and(|permit| now.is_some_and(|now| permit.is_valid(now)))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            lock(&self.account.permits).give_back(permit);
            self.state.metrics.quota_permit(QuotaOutcome::Returned);
        }
    }
}

/// A permit of an attempt that was sent. It stays used unless it is restored.
#[derive(Debug)]
pub(crate) struct SpentPermit {
    state: Arc<State>,
    account: Arc<AccountQuota>,
    permit: Option<quota::Permit>,
}

impl SpentPermit {
    /// Returns the permit, as no upstream ran the attempt.
    pub(crate) fn restore(self) -> Permit {
        Permit {
            state: self.state,
            account: self.account,
            permit: self.permit,
        }
    }
}

/// Uses the permit of a request for an attempt that is sent now.
pub(crate) fn spend(request: &mut ActiveRequest) -> Option<SpentPermit> {
    let mut permit = request.permit.take()?;
    Some(SpentPermit {
        state: Arc::clone(&permit.state),
        account: Arc::clone(&permit.account),
        permit: permit.permit.take(),
    })
}

/// Reserves permits for a program that begins, and takes one for its first request.
///
/// # Errors
///
/// Returns a rejection if the quota has no room for the program or the store can't be reached.
pub(crate) async fn start_program(request: &mut ActiveRequest) -> Result<(), Rejection> {
    get_permit(request, true).await
}

/// Takes a permit for the next attempt of a request, unless the request has one or its account has no
/// quota.
///
/// # Errors
///
/// Returns a rejection if there is no permit in time.
pub(crate) async fn acquire(request: &mut ActiveRequest) -> Result<(), Rejection> {
    get_permit(request, false).await
}

async fn get_permit(request: &mut ActiveRequest, begins: bool) -> Result<(), Rejection> {
    // The instance that took the request from its caller has the permit.
    if request.relayed_by.is_some() {
        return Ok(());
    }
    let Some(client) = &request.client else {
        return Ok(());
    };
    let Some(quota) = client.account.quota else {
        return Ok(());
    };
    if request.permit.as_ref().is_some_and(Permit::is_valid) {
        return Ok(());
    }
    let state = Arc::clone(&request.state);
    let terms = Terms::new(quota, &state.settings.quota, client.version);
    let account = state.quotas.get(&client.account.name);
    *lock(&account.terms) = Some(terms);
    let program = request.headers.program.as_ref();
    let program = program.map(|program| xxh3_64(program.id.as_bytes()));
    let mut is_first = false;
    if !request.is_counted {
        request.is_counted = true;
        account.requests.fetch_add(1, Ordering::Relaxed);
        let mut permits = lock(&account.permits);
        let mut shapes = lock(&state.quotas.shapes);
        is_first = permits.record(program, &request.route, &mut shapes, boot_time());
    }
    let applicant = Applicant {
        state: &state,
        account: &account,
        route: &request.route,
        terms,
        begins: begins && is_first,
        began: boot_time(),
        limit_ms: request.remaining_ms(),
    };
    // An expired permit is of no use for another request either.
    drop(request.permit.take());
    match applicant.wait_for_permit().await {
        Ok(permit) => {
            state.metrics.quota_permit(QuotaOutcome::Taken);
            request.permit = Some(Permit {
                state: Arc::clone(&state),
                account: Arc::clone(&account),
                permit: Some(permit),
            });
            applicant.refill();
            Ok(())
        }
        Err(rejection) => {
            if let Some(program) = program {
                let mut permits = lock(&account.permits);
                let mut shapes = lock(&state.quotas.shapes);
                permits.cancel(program, &mut shapes);
            }
            account.rejected.fetch_add(1, Ordering::Relaxed);
            record_rejection(request, &account, rejection, applicant.begins);
            Err(rejection)
        }
    }
}

/// A request that needs a permit.
struct Applicant<'a> {
    state: &'a Arc<State>,
    account: &'a Arc<AccountQuota>,
    route: &'a Arc<str>,
    terms: Terms,
    /// Whether it begins a program.
    begins: bool,
    /// Boot time at which it began to wait.
    began: Time,
    /// Milliseconds until the request's deadline.
    limit_ms: u64,
}

impl Applicant<'_> {
    async fn wait_for_permit(&self) -> Result<quota::Permit, Rejection> {
        let mut is_reserved = false;
        loop {
            if let Some(permit) = self.take(is_reserved) {
                return Ok(permit);
            }
            let waited_ms = boot_time().since(self.began);
            if waited_ms >= MAX_CALL_WAIT_MS.min(self.limit_ms) {
                return Err(Rejection::OverQuota(retry_after_ms(MAX_WAIT_MS)));
            }
            if self.begins {
                let pause_ms = lock(&self.account.permits).pause_ms(boot_time());
                if pause_ms > 0 {
                    self.pause(pause_ms, Rejection::OverQuota).await?;
                    continue;
                }
            }
            match self.reserve().await {
                Outcome::Granted => is_reserved = self.begins,
                Outcome::Superseded => {}
                Outcome::Contended => {
                    let pause_ms = rand::random_range(CONTENTION_PAUSE_MS);
                    self.pause(pause_ms, Rejection::OverQuota).await?;
                }
                Outcome::Full(wait_ms) if self.begins => {
                    lock(&self.account.permits).record_full(boot_time());
                    return Err(Rejection::OverQuota(retry_after_ms(wait_ms)));
                }
                Outcome::Full(wait_ms) => {
                    let wait_ms = self
                        .next_held_ms()
                        .map_or(wait_ms, |held| held.min(wait_ms));
                    self.pause(wait_ms, Rejection::OverQuota).await?;
                }
                Outcome::Failed => {
                    let retry_ms = outage::retry_after_hold_ms();
                    let Some(wait_ms) = self.next_held_ms().filter(|_| !self.begins) else {
                        return Err(Rejection::NotRun(retry_ms));
                    };
                    self.pause(wait_ms, |_| Rejection::NotRun(retry_ms)).await?;
                }
            }
        }
    }

    /// Takes a permit that is held. A program that begins needs permits for the rest of it, too.
    fn take(&self, is_reserved: bool) -> Option<quota::Permit> {
        let store_now = self.state.store.store_time()?;
        let mut permits = lock(&self.account.permits);
        if self.begins && !is_reserved {
            let shapes = lock(&self.state.quotas.shapes);
            if !permits.may_start(&shapes, store_now, boot_time()) {
                return None;
            }
        }
        permits.take(store_now)
    }

    /// Reserves permits, once no other call for the account is in flight. If one was, it may have granted
    /// enough.
    async fn reserve(&self) -> Outcome {
        let waiting = (!self.begins).then(|| Waiting::start(self.account));
        let call = match Arc::clone(&self.account.call).try_acquire_owned() {
            Ok(call) => call,
            Err(_) => {
                let limit = Duration::from_millis(MAX_CALL_WAIT_MS);
                let turn = Arc::clone(&self.account.call).acquire_owned();
                let Ok(Ok(call)) = tokio::time::timeout(limit, turn).await else {
                    return Outcome::Failed;
                };
                let store_now = self.state.store.store_time();
                let permits = lock(&self.account.permits);
                if store_now.is_some_and(|now| permits.permits().has_valid(now)) {
                    return Outcome::Superseded;
                }
                call
            }
        };
        let purpose = if self.begins {
            Purpose::Program(Arc::clone(self.route))
        } else {
            Purpose::Requests(self.account.waiting.load(Ordering::Relaxed).max(1))
        };
        // It goes on if the request ends, so that the permits are not lost.
        let task = tokio::spawn(reservation::run(
            Arc::clone(self.state),
            Arc::clone(self.account),
            self.terms,
            purpose,
            call,
        ));
        let outcome = task.await.unwrap_or(Outcome::Failed);
        drop(waiting);
        outcome
    }

    /// Waits for a time, or returns the rejection of a request that would wait too long.
    async fn pause(&self, ms: u64, reject: impl FnOnce(u64) -> Rejection) -> Result<(), Rejection> {
        let waited_ms = boot_time().since(self.began);
        if waited_ms.saturating_add(ms) > MAX_WAIT_MS.min(self.limit_ms) {
            return Err(reject(retry_after_ms(ms)));
        }
        tokio::time::sleep(Duration::from_millis(ms)).await;
        Ok(())
    }

    /// Returns the milliseconds until a permit that is held becomes valid.
    fn next_held_ms(&self) -> Option<u64> {
        let store_now = self.state.store.store_time()?;
        lock(&self.account.permits)
            .permits()
            .next_valid_ms(store_now)
    }

    /// Reserves permits in the background if few are left.
    fn refill(&self) {
        let Some(store_now) = self.state.store.store_time() else {
            return;
        };
        let now = boot_time();
        let is_due = {
            let mut permits = lock(&self.account.permits);
            let shapes = lock(&self.state.quotas.shapes);
            permits.pause_ms(now) == 0 && permits.start_refill(&shapes, store_now, now)
        };
        if is_due {
            reservation::start(self.state, self.account, self.terms);
        }
    }
}

/// Counts a waiting request until it is dropped.
struct Waiting<'a>(&'a AccountQuota);

impl<'a> Waiting<'a> {
    fn start(account: &'a AccountQuota) -> Self {
        account.waiting.fetch_add(1, Ordering::Relaxed);
        Self(account)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns permits beyond what is expected to the calendars. Never returns.
pub(crate) async fn return_permits(state: Arc<State>) {
    loop {
        tokio::time::sleep(RETURN_INTERVAL).await;
        let Some(store_now) = state.store.store_time() else {
            continue;
        };
        let accounts: Vec<_> = lock(&state.quotas.accounts).values().cloned().collect();
        for account in accounts {
            let Some(terms) = *lock(&account.terms) else {
                continue;
            };
            let now = boot_time();
            let is_due = {
                let mut permits = lock(&account.permits);
                let mut shapes = lock(&state.quotas.shapes);
                permits.pause_ms(now) == 0 && permits.start_return(&mut shapes, store_now, now)
            };
            if is_due {
                reservation::start(&state, &account, terms);
            }
        }
    }
}

/// Returns a retry delay that spreads the callers that come back once there is room.
fn retry_after_ms(wait_ms: u64) -> u64 {
    wait_ms.saturating_add(rand::random_range(0..=wait_ms / 2 + quota::SLOT_MS))
}

fn record_rejection(
    request: &ActiveRequest,
    account: &AccountQuota,
    rejection: Rejection,
    begins: bool,
) {
    let state = &request.state;
    let Rejection::OverQuota(retry_ms) = rejection else {
        return state.metrics.quota_permit(QuotaOutcome::Failed);
    };
    state.metrics.quota_permit(QuotaOutcome::Rejected);
    if state.allows_log_line(Event::QuotaUsedUp) {
        event!(
            state.log,
            Event::QuotaUsedUp,
            "request" => &*request.attempt_id,
            "account" => &*account.name,
            "begins" => begins,
            "retry_ms" => retry_ms
        );
    }
}
