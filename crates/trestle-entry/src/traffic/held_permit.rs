//! The permit to send one request to an endpoint that limits its requests.

use std::sync::{Mutex, MutexGuard, PoisonError};
use trestle_dispatch::endpoint::Incarnation;

/// Time after a permit's end within which the request may still be sent: opening a connection takes
/// time.
const SEND_GRACE_MS: u64 = 300;

/// The permit that one request holds, if any.
#[derive(Debug, Default)]
pub(crate) struct HeldPermit {
    permit: Mutex<Option<Permit>>,
}

#[derive(Debug)]
struct Permit {
    incarnation: Incarnation,
    until_ms: u64,
}

impl HeldPermit {
    /// Sets the permit to send to this incarnation of an endpoint until `until_ms`.
    pub(crate) fn set(&self, incarnation: Incarnation, until_ms: u64) {
        *self.permit() = Some(Permit { incarnation, until_ms });
    }

    /// Returns the incarnation of an endpoint that the request may be sent to now; `None` if the
    /// request holds no valid permit.
    pub(crate) fn incarnation(&self, now_ms: u64) -> Option<Incarnation> {
        let permit = self.permit();
        permit
            .as_ref()
            .filter(|permit| now_ms < permit.until_ms)
            .map(|permit| permit.incarnation.clone())
    }

    /// Returns whether the permit still allows sending to this incarnation of an endpoint.
    pub(crate) fn allows_send(&self, incarnation: &Incarnation, now_ms: u64) -> bool {
        let permit = self.permit();
        permit.as_ref().is_some_and(|permit| {
            permit.incarnation == *incarnation && now_ms < permit.until_ms + SEND_GRACE_MS
        })
    }

    /// Records that the request was sent: another send needs another permit.
    pub(crate) fn clear(&self) {
        *self.permit() = None;
    }

    fn permit(&self) -> MutexGuard<'_, Option<Permit>> {
        self.permit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
