//! A retry budget, which bounds the load added by retries: each call adds a tenth of a retry.

/// Maximum balance, in tenths of a retry.
const MAX_TENTHS: u32 = 200;

/// Cost of a retry, in tenths of a retry.
const RETRY_COST_TENTHS: u32 = 10;

/// The balance of available retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    tenths: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tenths: MAX_TENTHS }
    }
}

impl Budget {
    /// Adds a tenth of a retry for a call.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_TENTHS);
    }

    /// Withdraws one retry and returns whether the balance covered it.
    pub fn try_withdraw(&mut self) -> bool {
        match self.tenths.checked_sub(RETRY_COST_TENTHS) {
            Some(remaining) => {
                self.tenths = remaining;
                true
            }
            None => false,
        }
    }
}
