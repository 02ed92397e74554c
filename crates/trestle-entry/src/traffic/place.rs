//! The permit to send one request to an endpoint that limits its requests.

use std::sync::{Mutex, MutexGuard, PoisonError};
use trestle_dispatch::endpoint::Incarnation;

/// Time after a permit's end within which the request may still be sent: opening a connection takes
/// time.
const SEND_MS: u64 = 300;

/// The permit that one request holds, if any.
#[derive(Debug, Default)]
pub(crate) struct Place {
    held: Mutex<Option<Held>>,
}

#[derive(Debug)]
struct Held {
    incarnation: Incarnation,
    until_ms: u64,
}

impl Place {
    /// Sets the permit to send to this start of an endpoint until `until_ms`.
    pub(crate) fn take(&self, incarnation: Incarnation, until_ms: u64) {
        *self.held() = Some(Held { incarnation, until_ms });
    }

    /// Returns the start of an endpoint that the request may be sent to now.
    pub(crate) fn incarnation(&self, now_ms: u64) -> Option<Incarnation> {
        let held = self.held();
        held.as_ref().filter(|held| now_ms < held.until_ms).map(|held| held.incarnation.clone())
    }

    /// Returns whether the permit still allows sending to this start of an endpoint.
    pub(crate) fn may_leave(&self, incarnation: &Incarnation, now_ms: u64) -> bool {
        let held = self.held();
        held.as_ref().is_some_and(|held| {
            held.incarnation == *incarnation && now_ms < held.until_ms + SEND_MS
        })
    }

    /// Records that the request was sent: another send needs another permit.
    pub(crate) fn use_up(&self) {
        *self.held() = None;
    }

    fn held(&self) -> MutexGuard<'_, Option<Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
