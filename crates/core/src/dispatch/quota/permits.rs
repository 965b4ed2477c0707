//! The permits that an instance holds for an account.

use std::collections::BTreeMap;

use super::{Granted, SLOT_MS, StoreTime};

/// A permit for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permit {
    /// First slot in which it is no longer valid. Permits are ordered by it.
    until: u64,
    /// Slot from which on it is valid.
    slot: u64,
    /// Number of the row that it was reserved in.
    row: u32,
}

impl Permit {
    /// Creates a permit that was reserved in a row, from `slot` on until `until`.
    #[must_use]
    pub const fn new(slot: u64, until: u64, row: u32) -> Self {
        Self { until, slot, row }
    }

    /// Returns the slot from which on it is valid.
    #[must_use]
    pub const fn slot(&self) -> u64 {
        self.slot
    }

    /// Returns the first slot in which it is no longer valid.
    #[must_use]
    pub const fn until(&self) -> u64 {
        self.until
    }

    /// Returns whether the permit is valid at each time that the store's clock may show.
    #[must_use]
    pub const fn is_valid(&self, now: StoreTime) -> bool {
        now.lower_ms >= self.slot * SLOT_MS && now.upper_ms < self.until * SLOT_MS
    }
}

/// Permits that were reserved and not used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Permits {
    counts: BTreeMap<Permit, u32>,
    expired: u64,
}

impl Permits {
    /// Adds permits that the store has confirmed.
    pub fn add(&mut self, granted: &[Granted]) {
        for granted in granted {
            let permit = Permit {
                until: granted.until,
                slot: granted.slot,
                row: granted.row,
            };
            *self.counts.entry(permit).or_default() += granted.count;
        }
    }

    /// Takes the valid permit that expires first.
    pub fn take(&mut self, now: StoreTime) -> Option<Permit> {
        self.expire(now);
        let permit = *self.counts.keys().find(|permit| permit.is_valid(now))?;
        self.remove(permit, 1);
        Some(permit)
    }

    /// Returns whether a permit is valid.
    #[must_use]
    pub fn has_valid(&self, now: StoreTime) -> bool {
        self.counts.keys().any(|permit| permit.is_valid(now))
    }

    /// Takes back a permit whose request no upstream ran.
    pub fn give_back(&mut self, permit: Permit) {
        *self.counts.entry(permit).or_default() += 1;
    }

    /// Removes permits of a row, as many of each slot as `surplus` returns for its number of permits, so
    /// that they can be returned to the calendar.
    pub fn take_surplus(
        &mut self,
        row: u32,
        mut surplus: impl FnMut(u64, u32) -> u32,
    ) -> Vec<Granted> {
        let mut taken = Vec::new();
        for (permit, count) in &mut self.counts {
            if permit.row != row {
                continue;
            }
            let excess = surplus(permit.slot, *count).min(*count);
            if excess > 0 {
                *count -= excess;
                taken.push(Granted {
                    slot: permit.slot,
                    until: permit.until,
                    count: excess,
                    row,
                });
            }
        }
        self.counts.retain(|_, count| *count > 0);
        taken
    }

    /// Returns the milliseconds until a permit that is held becomes valid.
    #[must_use]
    pub fn next_valid_ms(&self, now: StoreTime) -> Option<u64> {
        let slots = self.counts.keys().map(|permit| permit.slot);
        let starts = slots.map(|slot| (slot * SLOT_MS).saturating_sub(now.lower_ms));
        starts.filter(|ms| *ms > 0).min()
    }

    /// Returns the number of permits by slot, in no order.
    pub fn by_slot(&self) -> impl Iterator<Item = (u64, u32)> {
        self.counts
            .iter()
            .map(|(permit, count)| (permit.slot, *count))
    }

    /// Returns the number of permits.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.counts.values().copied().map(u64::from).sum()
    }

    /// Returns the number of permits that expired unused.
    #[must_use]
    pub const fn expired(&self) -> u64 {
        self.expired
    }

    /// Drops the permits that may be over.
    pub fn expire(&mut self, now: StoreTime) {
        while let Some((permit, count)) = self.counts.first_key_value() {
            if now.upper_ms < permit.until * SLOT_MS {
                return;
            }
            self.expired += u64::from(*count);
            self.counts.pop_first();
        }
    }

    fn remove(&mut self, permit: Permit, count: u32) {
        if let Some(held) = self.counts.get_mut(&permit) {
            *held -= count;
            if *held == 0 {
                self.counts.remove(&permit);
            }
        }
    }
}
