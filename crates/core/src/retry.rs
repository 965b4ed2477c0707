//! Bounds the load that retries add: each call pays in a tenth of a retry.

/// Tenths of a retry that are kept at most.
const MAX_TENTHS: u32 = 200;

/// Tenths of a retry that a retry costs.
const RETRY_COST_TENTHS: u32 = 10;

/// Retries that may be made.
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
    /// Pays in for a call.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_TENTHS);
    }

    /// Takes one retry, if there is one.
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
