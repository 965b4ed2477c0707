//! Bounds the load that retries add: each call pays in a tenth of a retry.

/// Tenths of a retry that are kept at most.
const MOST: u32 = 200;

/// Tenths of a retry that a retry costs.
const COST: u32 = 10;

/// Retries that may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    tenths: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tenths: MOST }
    }
}

impl Budget {
    /// Pays in for a call.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MOST);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self) -> bool {
        match self.tenths.checked_sub(COST) {
            Some(rest) => {
                self.tenths = rest;
                true
            }
            None => false,
        }
    }
}
