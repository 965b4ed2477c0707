//! Gets a permit for a request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::outage;
use basilramp_core::dispatch::quota::{self, Terms};
use basilramp_core::dispatch::request::Rejection;
use basilramp_process::clock::boot_time;

use super::AccountQuota;
use super::reservation::{self, Outcome, Purpose};
use crate::state::{State, lock};

/// Time that a request waits for a permit, in milliseconds. A caller's objective is 120 to 400 ms.
const MAX_WAIT_MS: u64 = 300;

/// Time that a request waits for a store call that may grant it a permit, in milliseconds.
const MAX_CALL_WAIT_MS: u64 = 1_000;

/// Time after which a program that the home has no permits for may come back, in milliseconds. Programs
/// in progress end meanwhile.
const HOME_RETRY_MS: u64 = 500;

/// Pauses after a reservation that other instances kept from the row, in milliseconds.
const CONTENTION_PAUSE_MS: std::ops::Range<u64> = 5..50;

/// Pause after a call that failed, in milliseconds. A store that gets more writes than it accepts
/// rejects some of them for a moment; the request is worth more than the wait.
const FAILURE_PAUSE_MS: std::ops::RangeInclusive<u64> = 40..=80;

/// A request that needs a permit.
pub(super) struct Applicant<'a> {
    pub(super) state: &'a Arc<State>,
    pub(super) account: &'a Arc<AccountQuota>,
    pub(super) route: &'a Arc<str>,
    pub(super) terms: Terms,
    /// Whether it begins a program.
    pub(super) begins: bool,
    /// Whether this instance is the home of the row.
    pub(super) is_home: bool,
    /// Boot time at which it began to wait.
    pub(super) began: Time,
    /// Milliseconds until the request's deadline.
    pub(super) limit_ms: u64,
}

impl Applicant<'_> {
    /// Takes a permit that is held, or reserves permits and waits for one.
    ///
    /// # Errors
    ///
    /// Returns a rejection if there is no permit in time.
    pub(super) async fn wait_for_permit(&self) -> Result<quota::Permit, Rejection> {
        let mut is_reserved = false;
        loop {
            if let Some(permit) = self.take(is_reserved) {
                return Ok(permit);
            }
            let waited_ms = boot_time().since(self.began);
            if waited_ms >= MAX_CALL_WAIT_MS.min(self.limit_ms) {
                let is_failing = lock(&self.account.permits).failure_pause_ms(boot_time()) > 0;
                return Err(if is_failing {
                    Rejection::NotRun(outage::retry_after_hold_ms())
                } else {
                    Rejection::OverQuota(retry_after_ms(MAX_WAIT_MS))
                });
            }
            if self.begins {
                let pause_ms = lock(&self.account.permits).pause_ms(boot_time());
                if pause_ms > 0 {
                    self.pause(pause_ms, Rejection::OverQuota).await?;
                    continue;
                }
            }
            if let Some(wait_ms) = self.wait_for_held_ms() {
                self.pause(wait_ms, Rejection::OverQuota).await?;
                continue;
            }
            let failure_pause_ms = lock(&self.account.permits).failure_pause_ms(boot_time());
            if failure_pause_ms > 0 {
                // Others that wait for the same row are woken at other times.
                let spread_ms = rand::random_range(0..=failure_pause_ms);
                tokio::time::sleep(Duration::from_millis(failure_pause_ms + spread_ms)).await;
                continue;
            }
            if self.is_home && !self.may_call() {
                let next_ms = self.next_held_ms().filter(|_| !self.begins);
                let Some(wait_ms) = next_ms else {
                    return Err(Rejection::OverQuota(retry_after_ms(HOME_RETRY_MS)));
                };
                self.pause(wait_ms.max(1), Rejection::OverQuota).await?;
                continue;
            }
            match self.reserve().await {
                Outcome::Granted => {
                    is_reserved = self.begins;
                    if let Some(wait_ms) = self.next_held_ms().filter(|_| !self.has_valid()) {
                        self.pause(wait_ms, Rejection::OverQuota).await?;
                    }
                }
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
                    let next_ms = self.next_held_ms().filter(|_| !self.begins);
                    let waited_ms = boot_time().since(self.began);
                    if next_ms.is_none() && waited_ms >= MAX_CALL_WAIT_MS.min(self.limit_ms / 4) {
                        return Err(Rejection::NotRun(retry_ms));
                    }
                    let pause_ms = rand::random_range(FAILURE_PAUSE_MS);
                    let pause_ms = next_ms.unwrap_or(pause_ms);
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    /// Returns whether a call of the home may bring permits: one is due or in flight.
    fn may_call(&self) -> bool {
        let Some(store_now) = self.state.store.store_time() else {
            return true;
        };
        let mut permits = lock(&self.account.permits);
        let shapes = lock(&self.state.quotas.shapes);
        self.account.call.available_permits() == 0
            || permits.start_refill(&shapes, store_now, boot_time())
            || !permits.is_home()
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
            self.is_home,
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

    /// Returns the milliseconds after which a request in progress should try again without a call.
    fn wait_for_held_ms(&self) -> Option<u64> {
        let store_now = self.state.store.store_time().filter(|_| !self.begins)?;
        lock(&self.account.permits).wait_for_held_ms(store_now, boot_time())
    }

    fn has_valid(&self) -> bool {
        let permits = lock(&self.account.permits);
        let store_now = self.state.store.store_time();
        store_now.is_some_and(|store_now| permits.permits().has_valid(store_now))
    }

    /// Returns the milliseconds until a permit that is held becomes valid.
    fn next_held_ms(&self) -> Option<u64> {
        let store_now = self.state.store.store_time()?;
        lock(&self.account.permits)
            .permits()
            .next_valid_ms(store_now)
    }

    /// Reserves permits in the background if few are left.
    pub(super) fn refill(&self) {
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
            reservation::start(self.state, self.account, self.terms, self.is_home);
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

/// Returns a retry delay that spreads the callers that come back once there is room.
fn retry_after_ms(wait_ms: u64) -> u64 {
    wait_ms.saturating_add(rand::random_range(0..=wait_ms / 2 + quota::SLOT_MS))
}
