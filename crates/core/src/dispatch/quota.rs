//! Quotas of accounts over all instances.
//!
//! Each account with a quota has a [`Calendar`] of request permits in slots of store time, which all
//! instances share as one row. An instance reserves permits by a conditional write of the row and
//! sends a request only with a permit that it holds ([`Permits`]) and that is valid at every time that
//! the store's clock may show ([`StoreClock`]). What to reserve follows from the [`Demand`] at the
//! instance.

mod account_permits;
mod calendar;
mod demand;
mod permits;
mod plan;
mod store_clock;

pub use account_permits::{AccountPermits, Full, Reservation, RowWrite};
pub use calendar::{Calendar, Class, Granted, Wanted};
pub use demand::{Demand, ProgramShape, ProgramShapes};
pub use permits::{Permit, Permits};
pub use plan::{Plan, Purpose, Reserved};
use plan::{needs_refill, surplus, take_surplus, uncovered_requests};
pub use store_clock::{StoreClock, StoreTime};

use super::account::Quota;

/// Length of a slot in milliseconds.
pub const SLOT_MS: u64 = 250;

/// Number of slots after the present one that permits are reserved for: 6 s.
pub const HORIZON_SLOTS: u64 = 24;

/// Parts of a permit. The rate of a [`Quota`], in thousandths of a request per second, is the number
/// of these parts per slot.
pub const PERMIT_PARTS: i64 = 4_000;

/// Rate of a row, in requests per second, up to which instances rarely write it at the same time. A
/// transaction takes 8 ms, and a program of some 20 requests about two of them.
const MAX_ROW_RATE: f64 = 50.0;

/// Maximum number of rows of an account.
const MAX_ROWS: u32 = 32;

/// Share of the rule's tolerance that the burst gets. The rest is a margin for requests that are delayed
/// between the check of their permit and the upstream.
const TOLERANCE_SHARE: f64 = 0.75;

/// Share of the rule's excess that the rate gets, as a part of the permits expires unused.
const RATE_SHARE: f64 = 0.5;

/// Maximum number of slots in which a permit is valid: 10 s.
const MAX_VALIDITY_SLOTS: f64 = 40.0;

/// Number of slots after the present one that the home of a row reserves all permits of: 3 s. Another
/// instance that becomes the home finds no permits for that long.
const HOME_SLOTS: u64 = 12;

/// Number of permits that stands for all.
const ALL_PERMITS: u32 = 1_000_000;

/// Window of the rule where the settings have none, in milliseconds.
const DEFAULT_WINDOW_MS: u64 = 5_000;

/// What the requests of an account in any window of time may number: at most
/// (`rate` x window + `burst`) x (1 + `excess`) + `tolerance`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Accepted excess, as a fraction.
    pub excess: f64,
    /// Accepted number of further requests.
    pub tolerance: u32,
}

impl Default for Rule {
    fn default() -> Self {
        Self {
            window_ms: DEFAULT_WINDOW_MS,
            excess: 0.0,
            tolerance: 0,
        }
    }
}

/// Terms by which the permits of an account are reserved, from a version of the configuration.
///
/// The permits of every span of n slots number at most n x `rate` + `burst`. A window of the rule
/// overlaps with the validity of the permits of at most window / slot + `validity` slots. The rate and
/// the burst are those of one row; a large account has several equal ones, which add up to its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Parts of a permit per slot.
    pub rate: i64,
    /// Parts of a permit that a span of slots may have beyond the rate.
    pub burst: i64,
    /// Number of slots in which a permit is valid, the first one included.
    pub validity: u64,
    /// Number of rows.
    pub rows: u32,
    /// Version of the configuration.
    pub version: u64,
}

impl Terms {
    /// Derives the terms from a quota, so that the rule holds with a part of its tolerance left.
    ///
    /// What the rule accepts beyond the rate goes to the validity of permits: those of the last seconds
    /// absorb the uneven arrivals of programs, and an account that was idle has them at once.
    #[must_use]
    pub fn new(quota: Quota, rule: &Rule, version: u64) -> Self {
        let one = PERMIT_PARTS as f64;
        let quota_rate = (quota.rate.milli_per_s() as f64).max(1.0);
        let window = rule.window_ms as f64 / SLOT_MS as f64;
        let quota_burst = f64::from(quota.burst) * one;
        let accepted = (quota_rate * window + quota_burst) * (1.0 + rule.excess)
            + f64::from(rule.tolerance) * TOLERANCE_SHARE * one;
        let window_slots = rule.window_ms.div_ceil(SLOT_MS) as f64;
        let rate = quota_rate * (1.0 + rule.excess * RATE_SHARE);
        // One permit of burst carries the fractions of permits from slot to slot.
        let beyond = accepted - one - rate * window_slots;
        let validity = (beyond / rate).floor().clamp(1.0, MAX_VALIDITY_SLOTS);
        let slots = window_slots + validity;
        let rate = ((accepted - one) / slots).clamp(0.0, rate);
        let burst = (accepted - rate * slots).clamp(one, quota_burst.max(one));
        let validity = validity as u64;
        let rows = (quota.rate.per_s() / MAX_ROW_RATE).min(burst / one) as u32;
        let rows = rows.clamp(1, MAX_ROWS);
        Self {
            rate: rate as i64 / i64::from(rows),
            burst: burst as i64 / i64::from(rows),
            validity,
            rows,
            version,
        }
    }
}
