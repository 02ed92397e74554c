//! A budget of retries that cannot amplify an overload.

/// First tries that earn one retry.
const TRIES_PER_RETRY: u32 = 10;
/// Retries that can be saved up.
const MOST_SAVED: u32 = 10;

/// A budget of retries.
///
/// Each first try earns a tenth of a retry, so retries add a tenth to the load
/// at most, but for the few that were saved up.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct RetryBudget {
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tenths: MOST_SAVED * TRIES_PER_RETRY }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MOST_SAVED * TRIES_PER_RETRY);
    }

    /// Takes a retry, if one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(rest) = self.tenths.checked_sub(TRIES_PER_RETRY) else { return false };
        self.tenths = rest;
        true
    }
}
