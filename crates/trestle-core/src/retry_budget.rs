//! Budget of retries, which keeps retries from amplifying an overload.

/// Number of first attempts that earn one retry.
const ATTEMPTS_PER_RETRY: u32 = 10;
/// Maximum number of saved retries.
const MAX_SAVED: u32 = 10;

/// Budget of retries.
///
/// Each first attempt earns a tenth of a retry, so retries add at most a tenth to the load, apart
/// from the few saved ones.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct RetryBudget {
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tenths: MAX_SAVED * ATTEMPTS_PER_RETRY }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_SAVED * ATTEMPTS_PER_RETRY);
    }

    /// Spends a retry and returns `true`; returns `false` if none is left.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.tenths.checked_sub(ATTEMPTS_PER_RETRY) else { return false };
        self.tenths = remaining;
        true
    }
}
