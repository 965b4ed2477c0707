//! What an instance knows of one account's quota, and its calls to the store.

use std::sync::Arc;

use super::{
    Calendar, Demand, Granted, Permit, Permits, Plan, ProgramShapes, Purpose, Reserved, StoreTime,
    Terms, needs_refill, take_surplus,
};
use crate::clock::Time;

/// Minimum interval between the starts of background calls, in milliseconds.
const REFILL_INTERVAL_MS: u64 = 500;

/// Age up to which the row tells that the calendar is full, in milliseconds. Other instances may have
/// returned permits since.
const ROW_MAX_AGE_MS: u64 = 300;

/// Interval after a background call that got nothing, in milliseconds.
const FULL_INTERVAL_MS: u64 = 1_000;

/// Permits, demand and last known calendar of an account at an instance.
#[derive(Clone, Debug, Default)]
pub struct AccountPermits {
    permits: Permits,
    demand: Demand,
    /// The row as last known, with its version; 0 if there is none.
    row: Option<(Calendar, u64)>,
    row_at: Time,
    refill_at: Time,
}

/// The calendar has no room for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full {
    /// Milliseconds until there is room.
    pub wait_ms: u64,
    /// Whether the row is known well enough to tell. Otherwise it should be read.
    pub is_certain: bool,
}

/// A conditional write of an account's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
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

impl AccountPermits {
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

    /// Forgets a program that was rejected.
    pub fn cancel(&mut self, program: u64) {
        self.demand.cancel(program);
    }

    /// Takes the valid permit that expires first.
    pub fn take(&mut self, store_now: StoreTime) -> Option<Permit> {
        self.permits.take(store_now)
    }

    /// Takes back a permit whose request no upstream ran.
    pub fn give_back(&mut self, permit: Permit) {
        self.permits.give_back(permit);
    }

    /// Returns the permits that are held.
    #[must_use]
    pub const fn permits(&self) -> &Permits {
        &self.permits
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
            && needs_refill(&self.demand, shapes, &self.permits, store_now, now);
        if is_due {
            self.refill_at = now.after(REFILL_INTERVAL_MS);
        }
        is_due
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
        self.demand.end_programs(shapes, now);
        self.permits.expire(store_now);
        let validity = self
            .row
            .as_ref()
            .map_or(terms, |(calendar, _)| calendar.terms)
            .validity;
        let returned = take_surplus(
            &mut self.permits,
            &self.demand,
            shapes,
            validity,
            store_now,
            now,
        );
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
        let terms = reservation.terms;
        let first = reservation.plan.first_slot();
        let (mut calendar, version) = match &self.row {
            Some((calendar, version)) => (calendar.clone(), *version),
            None => (Calendar::new(terms, first), 0),
        };
        calendar.apply(terms);
        match reservation.plan.reserve(&calendar, &reservation.returned) {
            Reserved::Write(calendar, granted) => Ok(RowWrite {
                calendar,
                version,
                granted,
            }),
            Reserved::Full(wait_ms) => {
                self.refill_at = self.refill_at.max(now.after(FULL_INTERVAL_MS));
                Err(Full {
                    wait_ms,
                    is_certain: now.since(self.row_at) < ROW_MAX_AGE_MS,
                })
            }
        }
    }

    /// Ends a reservation of which certainly nothing was written.
    pub fn abandon(&mut self, reservation: &Reservation) {
        self.permits.add(&reservation.returned);
    }

    /// Records that the store confirmed a write, which created `version`.
    pub fn confirm(&mut self, write: RowWrite, version: u64, now: Time) {
        self.permits.add(&write.granted);
        self.record_row(Some((write.calendar, version)), now);
    }

    /// Records the row as the store has it; `None` if there is none.
    pub fn record_row(&mut self, row: Option<(Calendar, u64)>, now: Time) {
        self.row = row;
        self.row_at = now;
    }
}
