//! Quotas of accounts: takes a permit for each attempt of a caller, and reserves permits in the rows
//! that all instances share.

mod applicant;
mod home;
mod reservation;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_core::dispatch::account::Quota;
use basilramp_core::dispatch::quota::{self, AccountPermits, ProgramShapes, Terms};
use basilramp_core::dispatch::request::Rejection;
use basilramp_process::clock::boot_time;
use basilramp_process::event;
use tokio::sync::Semaphore;
use xxhash_rust::xxh3::xxh3_64;

use self::applicant::Applicant;
pub(crate) use self::home::respond;
use crate::active_request::ActiveRequest;
use crate::log_event::Event;
use crate::metric::QuotaOutcome;
use crate::state::{State, lock};

/// Interval at which permits beyond what is expected are returned.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);

/// Name of an account and number of its row.
type RowId = (Arc<str>, u32);

/// Quotas as known to this instance.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    accounts: Mutex<BTreeMap<RowId, Arc<AccountQuota>>>,
    shapes: Mutex<ProgramShapes>,
    avoided: home::Avoided,
}

impl Quotas {
    fn get(&self, account: &Arc<str>, row: u32) -> Arc<AccountQuota> {
        let mut accounts = lock(&self.accounts);
        let key = (Arc::clone(account), row);
        let known = accounts.get(&key).map(Arc::clone);
        known.unwrap_or_else(|| {
            let new = Arc::new(AccountQuota::new(Arc::clone(account), row));
            accounts.insert(key, Arc::clone(&new));
            new
        })
    }

    /// Returns the use of an account's quota, if it had requests here.
    pub(crate) fn usage(&self, account: &str) -> Option<Usage> {
        let accounts = lock(&self.accounts);
        let first = (Arc::from(account), 0);
        let rows = accounts.range(first..);
        let rows = rows.take_while(|((name, _), _)| **name == *account);
        rows.map(|(_, row)| Usage {
            requests: row.requests.load(Ordering::Relaxed),
            rejected: row.rejected.load(Ordering::Relaxed),
            permits: lock(&row.permits).permits().count(),
        })
        .reduce(|sum, row| Usage {
            requests: sum.requests + row.requests,
            rejected: sum.rejected + row.rejected,
            permits: sum.permits + row.permits,
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
    fn new(name: Arc<str>, row: u32) -> Self {
        Self {
            name,
            permits: Mutex::new(AccountPermits::new(row)),
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

/// Uses the permit of a request for an attempt that is sent now. If the permit has expired since it was
/// taken, the request takes another one. Returns `None` for an account without a quota.
///
/// # Errors
///
/// Returns a rejection if there is no permit in time.
pub(crate) async fn spend(request: &mut ActiveRequest) -> Result<Option<SpentPermit>, Rejection> {
    acquire(request).await?;
    let Some(mut permit) = request.permit.take() else {
        return Ok(None);
    };
    Ok(Some(SpentPermit {
        state: Arc::clone(&permit.state),
        account: Arc::clone(&permit.account),
        permit: permit.permit.take(),
    }))
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
    let program = request.headers.program.as_ref();
    let program = program.map(|program| xxh3_64(program.id.as_bytes()));
    let asking = Asking {
        account: Arc::clone(&client.account.name),
        // All requests of a program go to one row, where the program is known.
        row: (program.unwrap_or_else(rand::random) % u64::from(terms.rows)) as u32,
        quota,
        terms,
        route: Arc::clone(&request.route),
        program,
        begins,
        is_repeated: std::mem::replace(&mut request.is_counted, true),
        limit_ms: request.remaining_ms(),
    };
    // An expired permit is of no use for another request either.
    drop(request.permit.take());
    let account = state.quotas.get(&asking.account, asking.row);
    if !asking.is_repeated {
        account.requests.fetch_add(1, Ordering::Relaxed);
    }
    let answer = match home::find(&state, &asking.account, asking.row) {
        Some(home) => home::ask(&state, &home, &asking).await,
        None => None,
    };
    let result = match answer {
        Some(result) => result,
        None => get_local(&state, &asking).await,
    };
    match result {
        Ok(permit) => {
            state.metrics.quota_permit(QuotaOutcome::Taken);
            request.permit = Some(Permit {
                state,
                account,
                permit: Some(permit),
            });
            Ok(())
        }
        Err(rejection) => {
            account.rejected.fetch_add(1, Ordering::Relaxed);
            record_rejection(request, &account, rejection, asking.begins);
            Err(rejection)
        }
    }
}

/// A request for a permit.
#[derive(Clone, Debug)]
struct Asking {
    account: Arc<str>,
    /// Number of the account's row.
    row: u32,
    quota: Quota,
    terms: Terms,
    route: Arc<str>,
    /// Hash of the program's id.
    program: Option<u64>,
    /// Whether the request would begin a program.
    begins: bool,
    /// Whether the request had a permit before.
    is_repeated: bool,
    /// Milliseconds until the request's deadline.
    limit_ms: u64,
}

/// Gets a permit that this instance reserves.
async fn get_local(state: &Arc<State>, asking: &Asking) -> Result<quota::Permit, Rejection> {
    let account = state.quotas.get(&asking.account, asking.row);
    *lock(&account.terms) = Some(asking.terms);
    let mut is_first = false;
    if !asking.is_repeated {
        let mut permits = lock(&account.permits);
        let mut shapes = lock(&state.quotas.shapes);
        is_first = permits.record(asking.program, &asking.route, &mut shapes, boot_time());
    }
    let applicant = Applicant {
        state,
        account: &account,
        route: &asking.route,
        terms: asking.terms,
        begins: asking.begins && is_first,
        is_home: home::is_home(state, &asking.account, asking.row),
        began: boot_time(),
        limit_ms: asking.limit_ms,
    };
    match applicant.wait_for_permit().await {
        Ok(permit) => {
            applicant.refill();
            Ok(permit)
        }
        Err(rejection) => {
            if let Some(program) = asking.program {
                let mut permits = lock(&account.permits);
                let mut shapes = lock(&state.quotas.shapes);
                permits.cancel(program, &mut shapes);
            }
            Err(rejection)
        }
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
                reservation::start(&state, &account, terms, false);
            }
        }
    }
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
