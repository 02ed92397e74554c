//! Requests of which an attempt runs elsewhere, as leaders have answered recently.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};
use trestle_dispatch::fingerprint::Fingerprint;

/// Time for which an answer is remembered. Callers of a popular request would otherwise all ask one
/// leader.
const REMEMBERED_MS: u64 = 250;

/// A leader's answer that a request must wait.
#[derive(Debug)]
struct Wait {
    received_ms: u64,
    until_ms: u64,
}

/// The answers, by request.
#[derive(Debug, Default)]
pub(crate) struct TrialWaits {
    by_request: Mutex<BTreeMap<Fingerprint, Wait>>,
}

impl TrialWaits {
    /// Records that a request must wait for `for_ms`.
    pub(crate) fn record(&self, request: Fingerprint, for_ms: u64, now_ms: u64) {
        let wait = Wait { received_ms: now_ms, until_ms: now_ms + for_ms };
        let mut by_request = self.by_request();
        by_request.retain(|_, wait| wait.is_remembered(now_ms));
        by_request.insert(request, wait);
    }

    /// Returns how long a request must wait, if a leader said so just before.
    pub(crate) fn remaining_ms(&self, request: Fingerprint, now_ms: u64) -> Option<u64> {
        let by_request = self.by_request();
        let wait = by_request.get(&request).filter(|wait| wait.is_remembered(now_ms))?;
        Some(wait.until_ms - now_ms)
    }

    fn by_request(&self) -> MutexGuard<'_, BTreeMap<Fingerprint, Wait>> {
        self.by_request.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Wait {
    fn is_remembered(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms && now_ms < self.received_ms + REMEMBERED_MS
    }
}
