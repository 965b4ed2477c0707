//! What an instance knows of one account's quota, and its calls to the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{
    Calendar, Demand, Granted, Permit, Permits, Plan, ProgramShapes, Purpose, Reserved, SLOT_MS,
    StoreTime, Terms, needs_refill, surplus, take_surplus, uncovered_requests,
};
use crate::clock::Time;

/// Minimum interval between the starts of background calls, in milliseconds.
const REFILL_INTERVAL_MS: u64 = 1_000;

/// Age up to which the row tells that the calendar is full, in milliseconds. Other instances may have
/// returned permits since.
const ROW_MAX_AGE_MS: u64 = 300;

/// Limits on the pause after a conflict, in milliseconds: the duration of a transaction, and a time in
/// which the store commits a transaction for each of some hundred instances.
const MIN_BACKOFF_MS: u64 = 8;
const MAX_BACKOFF_MS: u64 = 1_000;

/// Surplus from which on permits are returned in the background.
const MIN_RETURNED: u32 = 12;

/// Time for which no program begins after one in progress lacked permits, in milliseconds.
const SHORTAGE_MS: u64 = 1_000;

/// Age up to which a row that other instances change is written without reading it again, in
/// milliseconds. A read is faster than a write that fails.
const WRITE_MAX_AGE_MS: u64 = 30;

/// Pause after a call that failed, in milliseconds: several transactions.
const FAILURE_PAUSE_MS: u64 = 80;

/// Interval after a background call that got nothing, in milliseconds.
const FULL_INTERVAL_MS: u64 = 1_000;

/// Permits, demand and last known calendars of an account at an instance.
#[derive(Clone, Debug, Default)]
pub struct AccountPermits {
    permits: Permits,
    demand: Demand,
    rows: BTreeMap<u32, KnownRow>,
    /// Number of the row that is used.
    row: u32,
    /// Newest terms in a row.
    newest: Option<Terms>,
    refill_at: Time,
    /// When programs may begin again after one in progress lacked permits, or all rows were full.
    start_at: Time,
    /// Limit on the pause after a conflict, in milliseconds.
    backoff_ms: u64,
    /// When the next call may start.
    call_at: Time,
    /// When a call may start after one that failed.
    failed_until: Time,
    /// Whether this instance is the home of the row.
    is_home: bool,
}

/// A row as last known.
#[derive(Clone, Debug)]
struct KnownRow {
    /// `None` if the row does not exist.
    calendar: Option<Calendar>,
    /// Version of the row; 0 if it does not exist.
    version: u64,
    at: Time,
    /// Whether another instance changed it before the latest call.
    is_contended: bool,
}

/// The calendar has no room for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full {
    /// Milliseconds until there is room.
    pub wait_ms: u64,
    /// Whether the row is known well enough to tell. Otherwise it should be read.
    pub is_certain: bool,
}

/// A conditional write of a row of an account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Number of the row.
    pub row: u32,
    /// New content.
    pub calendar: Calendar,
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
    /// Permits that the instance holds after the write.
    pub granted: Vec<Granted>,
}

/// A reservation in progress.
#[derive(Clone, Debug)]
pub struct Reservation {
    plan: Plan,
    terms: Terms,
    /// Permits that were held and are given up.
    returned: Vec<Granted>,
}

impl Reservation {
    /// Returns the number of waiting programs that may begin once it is confirmed.
    #[must_use]
    pub const fn starts(&self) -> u32 {
        self.plan.starts()
    }
}

impl AccountPermits {
    /// Creates the state of an account without permits. `draw` is a random number, which spreads the
    /// instances over the rows.
    #[must_use]
    pub fn new(draw: u32) -> Self {
        Self {
            row: draw,
            ..Self::default()
        }
    }

    /// Records a request. `program` is the hash of its program's id, if it has one. Returns whether it
    /// is the first one of its program at this instance.
    pub fn record(
        &mut self,
        program: Option<u64>,
        route: &Arc<str>,
        shapes: &mut ProgramShapes,
        now: Time,
    ) -> bool {
        self.demand.record(program, route, shapes, now)
    }

    /// Forgets a program one of whose requests was rejected.
    pub fn cancel(&mut self, program: u64, shapes: &mut ProgramShapes) {
        self.demand.cancel(program, shapes);
    }

    /// Takes the valid permit that expires first.
    pub fn take(&mut self, store_now: StoreTime) -> Option<Permit> {
        self.permits.take(store_now)
    }

    /// Takes back a permit whose request no upstream ran.
    pub fn give_back(&mut self, permit: Permit) {
        self.permits.give_back(permit);
    }

    /// Returns whether permits were last reserved as the home of the row.
    #[must_use]
    pub const fn is_home(&self) -> bool {
        self.is_home
    }

    /// Returns the permits that are held.
    #[must_use]
    pub const fn permits(&self) -> &Permits {
        &self.permits
    }

    /// Returns the milliseconds after which a request in progress should try again to take a permit, if
    /// permits were lacking a moment ago and one that is held becomes valid soon. A call would get none.
    #[must_use]
    pub fn wait_for_held_ms(&self, store_now: StoreTime, now: Time) -> Option<u64> {
        let next_ms = self.permits.next_valid_ms(store_now)?;
        (now < self.start_at && next_ms <= SLOT_MS).then_some(next_ms)
    }

    /// Returns whether permits should be reserved in the background. If so, the next such call may
    /// start after an interval.
    pub fn start_refill(
        &mut self,
        shapes: &ProgramShapes,
        store_now: StoreTime,
        now: Time,
    ) -> bool {
        let is_due = now >= self.refill_at
            && now >= self.failed_until
            && (self.is_home || needs_refill(&self.demand, shapes, &self.permits, store_now, now));
        if is_due {
            self.refill_at = now.after(REFILL_INTERVAL_MS);
        }
        is_due
    }

    /// Returns whether a recorded program may begin with the permits that are held.
    #[must_use]
    pub fn may_start(&self, shapes: &ProgramShapes, store_now: StoreTime, now: Time) -> bool {
        let uncovered = uncovered_requests(&self.demand, shapes, &self.permits, store_now, now);
        now >= self.start_at && uncovered < 1.0
    }

    /// Returns the terms in force: those of the configuration, or newer ones of a row, which another
    /// instance wrote that has applied the configuration earlier.
    fn terms_in_force(&self, terms: Terms) -> Terms {
        let newer = self.newest.filter(|newest| newest.version > terms.version);
        newer.unwrap_or(terms)
    }

    fn record_terms(&mut self, terms: Terms) {
        if self
            .newest
            .is_none_or(|newest| newest.version < terms.version)
        {
            self.newest = Some(terms);
        }
    }

    /// Returns the number of the row that the next reservation uses.
    #[must_use]
    pub const fn row(&self) -> u32 {
        self.row
    }

    /// Uses another row, as the present one is full. `draw` is a random number.
    pub fn change_row(&mut self, terms: Terms, draw: u32) {
        let terms = self.terms_in_force(terms);
        let others = terms.rows.saturating_sub(1);
        self.row = match others {
            0 => 0,
            others => (self.row + 1 + draw % others) % terms.rows,
        };
    }

    /// Begins a call. Returns whether the row should be read before it is written, as another instance
    /// has probably changed it.
    pub fn start_call(&mut self, terms: Terms, now: Time) -> bool {
        self.row %= self.terms_in_force(terms).rows;
        self.rows
            .get(&self.row)
            .is_none_or(|known| known.is_contended && now.since(known.at) >= WRITE_MAX_AGE_MS)
    }

    /// Returns whether permits beyond what is expected should be returned in the background. If so, the
    /// next background call may start after an interval.
    pub fn start_return(
        &mut self,
        shapes: &mut ProgramShapes,
        store_now: StoreTime,
        now: Time,
    ) -> bool {
        if self.is_home || now < self.refill_at || self.permits.count() == 0 {
            return false;
        }
        self.demand.end_programs(shapes, now);
        self.permits.expire(store_now);
        let calendar = self.rows.get(&self.row);
        let Some(calendar) = calendar.and_then(|known| known.calendar.as_ref()) else {
            return false;
        };
        let validity = calendar.terms.validity;
        let surplus = surplus(
            &self.permits,
            &self.demand,
            shapes,
            validity,
            store_now,
            now,
        );
        let is_due = surplus >= MIN_RETURNED;
        if is_due {
            self.refill_at = now.after(REFILL_INTERVAL_MS);
        }
        is_due
    }

    fn validity(&self, row: u32) -> Option<u64> {
        let calendar = self.rows.get(&row)?.calendar.as_ref()?;
        Some(calendar.terms.validity)
    }

    /// Begins a reservation. Permits beyond what is expected are given up.
    pub fn plan(
        &mut self,
        purpose: Purpose,
        terms: Terms,
        shapes: &mut ProgramShapes,
        store_now: StoreTime,
        now: Time,
    ) -> Reservation {
        let terms = self.terms_in_force(terms);
        self.demand.end_programs(shapes, now);
        self.permits.expire(store_now);
        let validity = self.validity(self.row).unwrap_or(terms.validity);
        self.is_home = purpose.is_home;
        let returned = if purpose.is_home {
            Vec::new()
        } else {
            take_surplus(
                &mut self.permits,
                self.row,
                &self.demand,
                shapes,
                validity,
                store_now,
                now,
            )
        };
        let plan = Plan::new(
            purpose,
            &self.demand,
            shapes,
            &self.permits,
            validity,
            store_now,
            now,
        );
        Reservation {
            plan,
            terms,
            returned,
        }
    }

    /// Returns the write of a reservation on the row as last known.
    ///
    /// # Errors
    ///
    /// Fails if the calendar has no room.
    pub fn write(&mut self, reservation: &Reservation, now: Time) -> Result<RowWrite, Full> {
        if reservation.plan.is_start() && now < self.start_at {
            return Err(Full {
                wait_ms: self.start_at.since(now),
                is_certain: true,
            });
        }
        let terms = reservation.terms;
        let first = reservation.plan.first_slot();
        let known = self.rows.get(&self.row);
        let calendar = known.and_then(|known| known.calendar.clone());
        let mut calendar = calendar.unwrap_or_else(|| Calendar::new(terms, first));
        calendar.apply(terms);
        let plan = &reservation.plan;
        match plan.reserve(&calendar, &reservation.returned, self.row) {
            Reserved::Write(calendar, granted) => Ok(RowWrite {
                row: self.row,
                calendar,
                version: known.map_or(0, |known| known.version),
                granted,
            }),
            Reserved::Full(wait_ms) => {
                self.refill_at = self.refill_at.max(now.after(FULL_INTERVAL_MS));
                if reservation.plan.serves_progress() {
                    self.start_at = now.after(SHORTAGE_MS);
                }
                Err(Full {
                    wait_ms,
                    is_certain: known.is_some_and(|known| now.since(known.at) < ROW_MAX_AGE_MS),
                })
            }
        }
    }

    /// Ends a reservation of which certainly nothing was written.
    pub fn abandon(&mut self, reservation: &Reservation) {
        self.permits.add(&reservation.returned);
    }

    /// Records that another instance changed the row before a write. The next call that is not for a
    /// program in progress waits for a random time, which grows while writes conflict, so that one row
    /// does not get more writes than the store commits. `draw` is a random number.
    pub fn record_conflict(&mut self, draw: u64, now: Time) {
        // The first conflict tells that the row was changed since it was read last, which is usual.
        if self.backoff_ms > 0 {
            self.call_at = now.after(draw % self.backoff_ms);
        }
        self.backoff_ms = (self.backoff_ms * 2).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
    }

    /// Records that a call failed. The next one waits, also for programs in progress: the store gets more
    /// calls than it accepts, or can't be reached.
    pub fn record_failure(&mut self, now: Time) {
        self.failed_until = now.after(FAILURE_PAUSE_MS);
        self.refill_at = self.failed_until;
    }

    /// Returns the milliseconds for which no call is made after one that failed.
    #[must_use]
    pub const fn failure_pause_ms(&self, now: Time) -> u64 {
        self.failed_until.since(now)
    }

    /// Returns the milliseconds until the next call may start that is not for a program in progress.
    #[must_use]
    pub const fn pause_ms(&self, now: Time) -> u64 {
        self.call_at.since(now)
    }

    /// Records that no row had room for a new program.
    pub fn record_full(&mut self, now: Time) {
        // Without other instances, the row tells at no cost when there is room.
        if self.rows.values().any(|known| known.is_contended) {
            self.start_at = self.start_at.max(now.after(ROW_MAX_AGE_MS));
        }
    }

    /// Records that the store confirmed a write, which created `version`.
    pub fn confirm(&mut self, write: RowWrite, version: u64, now: Time) {
        self.backoff_ms /= 2;
        self.permits.add(&write.granted);
        let is_contended = self
            .rows
            .get(&write.row)
            .is_some_and(|known| known.is_contended);
        let known = KnownRow {
            calendar: Some(write.calendar),
            version,
            at: now,
            is_contended,
        };
        self.rows.insert(write.row, known);
    }

    /// Records a row as the store has it; `None` if there is none.
    pub fn record_row(&mut self, row: u32, stored: Option<(Calendar, u64)>, now: Time) {
        if let Some((calendar, _)) = &stored {
            self.record_terms(calendar.terms);
        }
        let version = stored.as_ref().map_or(0, |(_, version)| *version);
        let known = self.rows.get(&row).map(|known| known.version);
        let known = KnownRow {
            calendar: stored.map(|(calendar, _)| calendar),
            version,
            at: now,
            is_contended: known.is_some_and(|known| known != version),
        };
        self.rows.insert(row, known);
    }
}
