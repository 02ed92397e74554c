//! The place of one request at an endpoint that has named a limit.

use std::sync::{Mutex, MutexGuard, PoisonError};
use trestle_dispatch::endpoint::Incarnation;

/// Time by which a request may leave after its place could last be used: it may open a
/// connection first.
const SEND_MS: u64 = 300;

/// The place of one request, if it has one.
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
    /// Takes a place that can be used until a time.
    pub(crate) fn take(&self, incarnation: Incarnation, until_ms: u64) {
        *self.held() = Some(Held { incarnation, until_ms });
    }

    /// The life of an endpoint at which there is a place for it now.
    pub(crate) fn incarnation(&self, now_ms: u64) -> Option<Incarnation> {
        let held = self.held();
        held.as_ref().filter(|held| now_ms < held.until_ms).map(|held| held.incarnation.clone())
    }

    /// Whether it may leave for a life of an endpoint by this place.
    pub(crate) fn may_leave(&self, incarnation: &Incarnation, now_ms: u64) -> bool {
        let held = self.held();
        held.as_ref().is_some_and(|held| {
            held.incarnation == *incarnation && now_ms < held.until_ms + SEND_MS
        })
    }

    /// Notes that it has left: a further send needs another place.
    pub(crate) fn use_up(&self) {
        *self.held() = None;
    }

    fn held(&self) -> MutexGuard<'_, Option<Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
