//! Whether an order may leave at this very moment.
//!
//! Tasks that send orders look here right before each of them, so that a lease
//! which ran out since they began, or while the process was frozen, stops them.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};
use trestle_core::names::DomainName;
use trestle_dispatch::quota_allocator::HeldLease;

/// Said of when orders may leave while a lease is not certain; a renewal takes about as long.
const UNKNOWN_MS: u64 = 1_000;

/// The times in which orders may leave, by group of engines, and their fencing numbers.
#[derive(Debug, Default)]
pub(crate) struct OrderPermits {
    windows: Mutex<BTreeMap<DomainName, Window>>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Window {
    token: u64,
    from_ms: u64,
    until_ms: u64,
    /// Until when the lease is held; orders stop leaving before.
    held_until_ms: u64,
}

impl OrderPermits {
    /// Sets the window of a group, and until when its lease is held.
    pub(crate) fn set(
        &self,
        group: &DomainName,
        token: u64,
        (from_ms, until_ms): (u64, u64),
        held_until_ms: u64,
    ) {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        windows.insert(group.clone(), Window { token, from_ms, until_ms, held_until_ms });
    }

    /// Time until orders to a group may leave, as far as that is known.
    pub(crate) fn opens_in_ms(&self, group: &DomainName, now_ms: u64) -> u64 {
        let window = self.window(group);
        match now_ms < window.until_ms {
            true => window.from_ms.saturating_sub(now_ms),
            false => UNKNOWN_MS,
        }
    }

    /// The fencing number of an order to a group that leaves now, if one may.
    pub(crate) fn token(&self, group: &DomainName, now_ms: u64) -> Option<u64> {
        let window = self.window(group);
        (window.from_ms <= now_ms && now_ms < window.until_ms).then_some(window.token)
    }

    /// The leases that this daemon holds for certain, by group.
    pub(crate) fn held(&self, now_ms: u64) -> BTreeMap<DomainName, HeldLease> {
        let windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let held = windows.iter().filter(|(_, window)| now_ms < window.held_until_ms);
        let held = held.map(|(group, window)| {
            let (token, until_ms) = (window.token, window.held_until_ms);
            (group.clone(), HeldLease { token, until_ms })
        });
        held.collect()
    }

    fn window(&self, group: &DomainName) -> Window {
        let windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        windows.get(group).copied().unwrap_or_default()
    }
}
