//! Entries of a start of an endpoint that seems earlier than the one that drains.
//!
//! The load that this answers: the store carries out a heartbeat seconds late, when its endpoint has
//! started again under its name and has announced that it drains. Both starts have the same name and
//! address, so requests for the earlier one would reach the one that drains. A clock may have been set
//! back, so an earlier start time does not prove an earlier start: an entry that stays in the list for
//! longer than one of a start that has ended is used.

use crate::endpoint::{Endpoint, Incarnation};
use std::collections::BTreeMap;
use trestle_core::names::EndpointName;

/// Time for which such an entry is not used. The endpoint that drains overwrites it with its next
/// heartbeat; otherwise the store removes it after three heartbeats of about 1.2 s.
const UNUSED_MS: u64 = 5_000;

/// The entries that are not used, by their endpoints.
#[derive(Debug, Default)]
pub(crate) struct EarlierStarts {
    by_name: BTreeMap<EndpointName, EarlierStart>,
}

#[derive(Debug)]
struct EarlierStart {
    started_unix_ms: u64,
    /// Until when the entry is not used; `None` until the next call of [`EarlierStarts::expire`].
    unused_until_ms: Option<u64>,
}

impl EarlierStarts {
    /// Records an entry that is about to replace the `listed` one. Returns whether it must not be used.
    pub(crate) fn record(&mut self, endpoint: &Endpoint, listed: Option<&Endpoint>) -> bool {
        let is_known = self
            .by_name
            .get(&endpoint.name)
            .is_some_and(|known| known.started_unix_ms == endpoint.started_unix_ms);
        if is_known {
            return true;
        }
        let is_earlier = endpoint.has_start_time()
            && listed.is_some_and(|listed| {
                listed.is_draining && endpoint.started_unix_ms < listed.started_unix_ms
            });
        match is_earlier {
            true => {
                let started_unix_ms = endpoint.started_unix_ms;
                let earlier = EarlierStart { started_unix_ms, unused_until_ms: None };
                self.by_name.insert(endpoint.name.clone(), earlier);
            }
            false => self.forget(&endpoint.name),
        }
        is_earlier
    }

    /// Forgets an endpoint whose entry was removed.
    pub(crate) fn forget(&mut self, name: &EndpointName) {
        self.by_name.remove(name);
    }

    /// Returns the incarnations whose entries may be used from now on.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<Incarnation> {
        let is_expired = |earlier: &mut EarlierStart| {
            now_ms >= *earlier.unused_until_ms.get_or_insert(now_ms + UNUSED_MS)
        };
        let expired = self.by_name.extract_if(.., |_, earlier| is_expired(earlier));
        let incarnations = expired
            .map(|(name, earlier)| Incarnation { name, started_unix_ms: earlier.started_unix_ms });
        incarnations.collect()
    }
}
