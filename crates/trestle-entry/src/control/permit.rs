//! Decides whether an order may be sent at this moment.
//!
//! Tasks check this immediately before each order, so that a lease that has expired since a task
//! began, or while the process was frozen, stops the task.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};
use trestle_core::names::DomainName;
use trestle_dispatch::quota_allocator::HeldLease;

/// Assumed time until orders may be sent while a lease is not certain; a renewal takes about as
/// long.
const ASSUMED_WAIT_MS: u64 = 1_000;

/// The times in which orders may be sent, and the fencing numbers, by group of engines.
#[derive(Debug, Default)]
pub(crate) struct OrderPermits {
    windows: Mutex<BTreeMap<DomainName, Window>>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Window {
    token: u64,
    from_ms: u64,
    until_ms: u64,
    /// When the lease expires; orders stop earlier.
    held_until_ms: u64,
}

impl OrderPermits {
    /// Sets the window of a group, and when its lease expires.
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

    /// Returns the time until orders to a group may be sent, or an assumed one if that is unknown.
    pub(crate) fn opens_in_ms(&self, group: &DomainName, now_ms: u64) -> u64 {
        let window = self.window(group);
        match now_ms < window.until_ms {
            true => window.from_ms.saturating_sub(now_ms),
            false => ASSUMED_WAIT_MS,
        }
    }

    /// Returns the fencing number for an order to a group that is sent now; `None` if none may be
    /// sent.
    pub(crate) fn token(&self, group: &DomainName, now_ms: u64) -> Option<u64> {
        let window = self.window(group);
        (window.from_ms <= now_ms && now_ms < window.until_ms).then_some(window.token)
    }

    /// Returns the leases that this daemon certainly holds, by group.
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
