//! Decides which permits an instance reserves.

use super::{
    ALL_PERMITS, Calendar, Class, Demand, Granted, HOME_SLOTS, HORIZON_SLOTS, PERMIT_PARTS,
    Permits, ProgramShape, ProgramShapes, SLOT_MS, StoreTime, Terms, Wanted,
};
use crate::clock::Time;

/// Number of slots for which permits are planned.
const SLOTS: usize = HORIZON_SLOTS as usize;

/// Number of slots whose demand is reserved at least: 1 s.
const MIN_RESERVED_SLOTS: usize = 4;

/// Deficit of the next seconds from which on permits are reserved in the background, as a fraction of
/// the demand. Smaller ones come from the variation of the expected demand.
const MIN_DEFICIT: f64 = 0.6;

/// Time for which a permit has to be valid when its reservation begins, in milliseconds: several times
/// the duration of a store call.
const CALL_MS: u64 = 50;

/// Fraction of a new program's expected requests that there must be permits for.
const MIN_START_FRACTION: f64 = 0.95;

/// Fraction of what an idle calendar grants a new program that is enough for it.
const MIN_IDLE_FRACTION: f64 = 0.5;

/// Slots after the present one in which a permit for a waiting request may begin.
const WAIT_SLOTS: u64 = 1;

/// Surplus up to which permits are not returned.
const MIN_RETURNED: u32 = 2;

/// Permits that an instance wants to reserve at a point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Waiting requests, programs in progress, and what else is expected, in this order.
    pub wanted: Vec<Wanted>,
    /// Number of permits for waiting requests.
    immediate: u32,
    /// What the programs that begin are like.
    program: Option<ProgramShape>,
    /// Class of the waiting requests.
    class: Class,
    /// First slot of the calendar that is used.
    first: u64,
}

/// Result of a plan on a calendar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reserved {
    /// The calendar to write, and what this instance holds once the store has confirmed it.
    Write(Calendar, Vec<Granted>),
    /// The calendar has no room; there is some after this many milliseconds.
    Full(u64),
}

/// What permits are reserved for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Purpose {
    /// Number of requests that wait for a permit.
    pub waiting: u32,
    /// What the programs are like that they begin, if they do.
    pub program: Option<ProgramShape>,
    /// Whether the instance is the home of the row, which reserves all permits.
    pub is_home: bool,
}

impl Plan {
    /// Plans the permits for the requests that wait and those that are expected, less those that are
    /// held.
    #[must_use]
    pub fn new(
        purpose: Purpose,
        demand: &Demand,
        shapes: &ProgramShapes,
        permits: &Permits,
        validity: u64,
        store_now: StoreTime,
        now: Time,
    ) -> Self {
        let class = if purpose.program.is_some() {
            Class::Start
        } else {
            Class::Progress
        };
        let present = store_now.lower_ms / SLOT_MS;
        let first = ((store_now.upper_ms + CALL_MS) / SLOT_MS + 1).saturating_sub(validity);
        let mut plan = Self {
            wanted: Vec::new(),
            immediate: purpose.waiting,
            program: purpose.program,
            class,
            first,
        };
        if purpose.waiting > 0 {
            plan.wanted.push(Wanted {
                first,
                last: present + WAIT_SLOTS,
                count: purpose.waiting,
                class,
            });
        }
        if purpose.is_home {
            plan.program = None;
            plan.class = Class::Progress;
            plan.wanted = vec![Wanted {
                first,
                last: present + HOME_SLOTS,
                count: ALL_PERMITS,
                class: Class::Progress,
            }];
            return plan;
        }
        let held = held_by_slot(permits, present);
        let expected = Expected::new(demand, shapes, now);
        let mut have = 0.0;
        let stock = expected.stock(validity);
        let mut firm = 0.0;
        let mut spare = Vec::new();
        for (index, held) in held.into_iter().enumerate() {
            let slot = present + index as u64;
            firm += expected.0[index];
            have += f64::from(held);
            let missing = (firm - have).floor().max(0.0);
            if missing > 0.0 {
                plan.wanted.push(Wanted {
                    first: slot,
                    last: slot + WAIT_SLOTS,
                    count: missing as u32,
                    class,
                });
                have += missing;
            }
            let missing = (firm + stock - have).floor().max(0.0);
            if missing > 0.0 {
                spare.push(Wanted {
                    first: slot,
                    last: slot,
                    count: missing as u32,
                    class: Class::Spare,
                });
                have += missing;
            }
            // Permits that are not used while they are valid are lost.
            let usable = expected.0[index] * validity as f64;
            have = have.min(firm + stock + usable);
        }
        plan.wanted.append(&mut spare);
        plan
    }

    /// Returns the first slot whose permits can be used.
    #[must_use]
    pub const fn first_slot(&self) -> u64 {
        self.first
    }

    /// Returns whether programs wait to begin.
    #[must_use]
    pub const fn is_start(&self) -> bool {
        self.program.is_some()
    }

    /// Returns the number of programs that wait to begin.
    #[must_use]
    pub const fn starts(&self) -> u32 {
        if self.is_start() { self.immediate } else { 0 }
    }

    /// Returns whether requests of programs in progress wait.
    #[must_use]
    pub const fn serves_progress(&self) -> bool {
        self.immediate > 0 && self.program.is_none()
    }

    /// Reserves the permits in a calendar.
    #[must_use]
    pub fn reserve(&self, calendar: &Calendar, returned: &[Granted], row: u32) -> Reserved {
        let mut next = calendar.clone();
        next.advance(self.first);
        next.release(returned);
        let mut granted = Vec::new();
        let mut firm = 0;
        let mut missing = 0;
        for (index, wanted) in self.wanted.iter().enumerate() {
            let new = next.reserve(&[*wanted], row);
            let count: u32 = new.iter().map(|new| new.count).sum();
            granted.extend(new);
            if index == 0 && (self.immediate > 0 || wanted.count == ALL_PERMITS) {
                if count == 0 {
                    return Reserved::Full(self.wait_ms(calendar, 1));
                }
            } else if wanted.class != Class::Spare {
                firm += wanted.count;
                missing += wanted.count - count;
            }
        }
        if let Some(program) = &self.program {
            let accepted = accepted_shortage(program, &calendar.terms);
            let lacking = f64::from(missing) - accepted;
            if lacking > 0.0 {
                return Reserved::Full(self.wait_ms(calendar, 1 + firm - missing + lacking as u32));
            }
        }
        if granted.is_empty() && returned.is_empty() {
            return Reserved::Full(self.wait_ms(calendar, 1));
        }
        Reserved::Write(next, granted)
    }

    fn wait_ms(&self, calendar: &Calendar, count: u32) -> u64 {
        (calendar.slots_until_free(self.first, count, self.class) * SLOT_MS).max(SLOT_MS)
    }
}

/// Returns whether less than 1 s of the expected demand is reserved.
#[must_use]
pub(super) fn needs_refill(
    demand: &Demand,
    shapes: &ProgramShapes,
    permits: &Permits,
    store_now: StoreTime,
    now: Time,
) -> bool {
    let held = held_by_slot(permits, store_now.lower_ms / SLOT_MS);
    let expected = Expected::new(demand, shapes, now);
    let held: u32 = held[..MIN_RESERVED_SLOTS].iter().sum();
    let need: f64 = expected.0[..MIN_RESERVED_SLOTS].iter().sum();
    need - f64::from(held) >= (need * MIN_DEFICIT).max(1.0)
}

/// Returns how many requests of a program may lack a permit when it begins. One that needs more than
/// an idle account may use is not rejected for ever.
#[must_use]
pub(super) fn accepted_shortage(program: &ProgramShape, terms: &Terms) -> f64 {
    let slots = program.duration_ms / SLOT_MS as f64 + terms.validity as f64;
    let idle = (terms.burst as f64 + terms.rate as f64 * slots) / PERMIT_PARTS as f64;
    let needed = program.requests * MIN_START_FRACTION;
    (program.requests - needed.min(idle * MIN_IDLE_FRACTION)).max(1.0)
}

/// Returns how many requests of programs in progress the held permits are expected not to cover.
#[must_use]
pub(super) fn uncovered_requests(
    demand: &Demand,
    shapes: &ProgramShapes,
    permits: &Permits,
    store_now: StoreTime,
    now: Time,
) -> f64 {
    let held = held_by_slot(permits, store_now.lower_ms / SLOT_MS);
    let expected = Expected::new(demand, shapes, now);
    let (mut uncovered, mut unused) = (0.0_f64, 0.0_f64);
    let slots = held.into_iter().zip(expected.0).take(HOME_SLOTS as usize);
    for (held, need) in slots {
        unused += f64::from(held);
        uncovered += need;
        let used = unused.min(uncovered);
        uncovered -= used;
        unused -= used;
    }
    uncovered
}

/// Returns the permits of a row that are held for later slots beyond what is expected, and removes
/// them.
pub(super) fn take_surplus(
    permits: &mut Permits,
    row: u32,
    demand: &Demand,
    shapes: &ProgramShapes,
    validity: u64,
    store_now: StoreTime,
    now: Time,
) -> Vec<Granted> {
    let present = store_now.upper_ms / SLOT_MS;
    let mut surplus = surplus_by_slot(permits, demand, shapes, validity, present, now);
    if surplus.iter().sum::<u32>() < MIN_RETURNED {
        return Vec::new();
    }
    permits.take_surplus(row, |slot, count| {
        let index = slot.checked_sub(present).map(|index| index as usize);
        let Some(surplus) = index.and_then(|index| surplus.get_mut(index)) else {
            return 0;
        };
        let taken = count.min(*surplus);
        *surplus -= taken;
        taken
    })
}

/// Returns the number of permits that are held for later slots beyond what is expected.
#[must_use]
pub(super) fn surplus(
    permits: &Permits,
    demand: &Demand,
    shapes: &ProgramShapes,
    validity: u64,
    store_now: StoreTime,
    now: Time,
) -> u32 {
    let present = store_now.upper_ms / SLOT_MS;
    let surplus = surplus_by_slot(permits, demand, shapes, validity, present, now);
    surplus.iter().sum()
}

fn surplus_by_slot(
    permits: &Permits,
    demand: &Demand,
    shapes: &ProgramShapes,
    validity: u64,
    present: u64,
    now: Time,
) -> [u32; SLOTS] {
    let held = held_by_slot(permits, present);
    let expected = Expected::new(demand, shapes, now);
    let mut surplus = [0; SLOTS];
    let (mut have, mut total) = (0.0, 1.0 + expected.stock(validity));
    for (index, held) in held.into_iter().enumerate() {
        total += expected.0[index];
        have += f64::from(held);
        // The call takes until the next slot.
        if index > 0 {
            let excess = (have - total).floor().clamp(0.0, f64::from(held));
            surplus[index] = excess as u32;
            have -= excess;
        }
    }
    surplus
}

/// Requests that are expected per slot.
struct Expected([f64; SLOTS]);

impl Expected {
    fn new(demand: &Demand, shapes: &ProgramShapes, now: Time) -> Self {
        let others = demand.others_per_slot(now);
        let of_programs = demand.of_programs::<SLOTS>(shapes, now);
        Self(of_programs.map(|of_programs| of_programs + others))
    }

    /// Returns the permits beyond the demand that absorb uneven arrivals: half of what is used while a
    /// permit is valid.
    fn stock(&self, validity: u64) -> f64 {
        self.0[0] * validity as f64 / 2.0
    }
}

/// Returns the number of held permits by slot from `present` on. Those of earlier slots that are still
/// valid count for the present one.
fn held_by_slot(permits: &Permits, present: u64) -> [u32; SLOTS] {
    let mut held = [0; SLOTS];
    for (slot, count) in permits.by_slot() {
        if let Some(held) = held.get_mut(slot.saturating_sub(present) as usize) {
            *held += count;
        }
    }
    held
}
