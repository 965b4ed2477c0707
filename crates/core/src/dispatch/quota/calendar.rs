//! The calendar of an account's permits: a token bucket over slots.

use super::{HORIZON_SLOTS, PERMIT_PARTS, Terms};

/// What permits are wanted for. A class leaves a part of the bucket to those before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A program in progress.
    #[default]
    Progress,
    /// A program that begins.
    Start,
    /// Requests that are not certain to come.
    Spare,
}

impl Class {
    /// Returns the parts of the bucket that the class leaves.
    const fn kept(self, terms: &Terms) -> i64 {
        let capacity = terms.burst + terms.rate;
        match self {
            Self::Progress => 0,
            Self::Start => capacity / 2,
            Self::Spare => terms.burst,
        }
    }
}

/// Permits that are wanted in a range of slots, the earliest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// First slot.
    pub first: u64,
    /// Last slot.
    pub last: u64,
    /// Number of permits.
    pub count: u32,
    /// What they are for.
    pub class: Class,
}

/// Permits that were granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Slot from which on they are valid.
    pub slot: u64,
    /// First slot in which they are no longer valid.
    pub until: u64,
    /// Number of permits.
    pub count: u32,
    /// Number of the row that they were reserved in.
    pub row: u32,
}

/// Calendar of an account's permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Calendar {
    /// Terms in force.
    pub terms: Terms,
    /// First slot that is not over for the instance that wrote the calendar last.
    pub first: u64,
    /// Parts of permits that the bucket holds at the first slot, if none were reserved in it.
    pub level: i64,
    /// Numbers of reserved permits from the first slot on.
    pub reserved: Vec<u32>,
}

impl Calendar {
    /// Creates a calendar with a full bucket.
    #[must_use]
    pub const fn new(terms: Terms, first: u64) -> Self {
        Self {
            terms,
            first,
            level: terms.burst + terms.rate,
            reserved: Vec::new(),
        }
    }

    /// Applies terms if they are newer. Permits that were reserved before stay valid.
    pub fn apply(&mut self, terms: Terms) {
        if terms.version > self.terms.version {
            self.terms = terms;
            self.level = self.level.min(terms.burst + terms.rate);
        }
    }

    /// Drops the slots before `first`.
    pub fn advance(&mut self, first: u64) {
        while self.first < first && !self.reserved.is_empty() {
            let reserved = self.reserved.remove(0);
            self.level = self.next_level(rest(self.level, reserved));
            self.first += 1;
        }
        if self.first < first {
            let slots = (first - self.first).min(i64::MAX as u64) as i64;
            let refilled = self.terms.rate.saturating_mul(slots - 1);
            self.level = self.next_level(self.level.saturating_add(refilled));
            self.first = first;
        }
    }

    /// Reserves permits and returns those that were granted. What is wanted first is served first. `row`
    /// is the number of the calendar's row.
    pub fn reserve(&mut self, wanted: &[Wanted], row: u32) -> Vec<Granted> {
        let mut granted = Vec::new();
        for wanted in wanted {
            let mut missing = wanted.count;
            for slot in wanted.first.max(self.first)..=wanted.last {
                if missing == 0 {
                    break;
                }
                let count = self.free(slot, wanted.class).min(missing);
                if count > 0 {
                    self.add(slot, count);
                    missing -= count;
                    granted.push(Granted {
                        slot,
                        until: slot + self.terms.validity,
                        count,
                        row,
                    });
                }
            }
        }
        granted
    }

    /// Returns permits that no request has used nor will use.
    pub fn release(&mut self, returned: &[Granted]) {
        for returned in returned {
            let slot = returned.slot.checked_sub(self.first);
            let reserved = slot.and_then(|slot| self.reserved.get_mut(slot as usize));
            if let Some(reserved) = reserved {
                *reserved = reserved.saturating_sub(returned.count);
            }
        }
    }

    /// Returns the number of slots after `from` in which `count` permits of a class are free.
    #[must_use]
    pub fn slots_until_free(&self, from: u64, count: u32, class: Class) -> u64 {
        let mut trial = self.clone();
        trial.advance(from);
        let mut missing = count;
        for slot in from..=from + HORIZON_SLOTS {
            let wanted = Wanted {
                first: slot,
                last: slot,
                count: missing,
                class,
            };
            missing -= trial
                .reserve(&[wanted], 0)
                .iter()
                .map(|one| one.count)
                .sum::<u32>();
            if missing == 0 {
                return slot - from;
            }
        }
        let parts = i64::from(missing).saturating_mul(PERMIT_PARTS);
        HORIZON_SLOTS + (parts / self.terms.rate.max(1)) as u64
    }

    /// Returns the number of permits of a class that can be reserved in a slot.
    fn free(&self, slot: u64, class: Class) -> u32 {
        let first = (slot - self.first) as usize;
        // The rest of the bucket after each slot, from the first one on.
        let slots = self.reserved.len().max(first + 1);
        let mut rests = Vec::with_capacity(slots);
        let mut level = self.level;
        for index in 0..slots {
            let rest = rest(level, self.reserved.get(index).copied().unwrap_or_default());
            rests.push(rest);
            level = self.next_level(rest);
        }
        // A permit takes from the later slots what the bucket would not have lost by overflowing.
        let mut free = i64::MAX;
        for rest in rests[first..].iter().rev() {
            let overflow = (rest - self.terms.burst).max(0);
            free = free.saturating_add(overflow).min((*rest).max(0));
        }
        let free = free - class.kept(&self.terms);
        u32::try_from(free.max(0) / PERMIT_PARTS).unwrap_or(u32::MAX)
    }

    fn add(&mut self, slot: u64, count: u32) {
        let index = (slot - self.first) as usize;
        if self.reserved.len() <= index {
            self.reserved.resize(index + 1, 0);
        }
        self.reserved[index] += count;
    }

    /// Returns the level at the slot after one that left `rest`. The rest is negative if the quota was
    /// lowered; the permits that are too many then are not deducted from later slots.
    fn next_level(&self, rest: i64) -> i64 {
        rest.clamp(0, self.terms.burst) + self.terms.rate
    }
}

fn rest(level: i64, reserved: u32) -> i64 {
    level.saturating_sub(i64::from(reserved).saturating_mul(PERMIT_PARTS))
}
