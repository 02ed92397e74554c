//! Decides whether an order may be sent at this moment.
//!
//! Tasks check this immediately before each order, so that a lease that has expired since a task
//! began, or while the process was frozen, stops the task.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};
use trestle_core::names::DomainName;
use trestle_dispatch::{lease::OrderWindow, quota_allocator::HeldLease};

/// Assumed time until orders may be sent while a lease is not certain; a renewal takes about as
/// long.
const ASSUMED_WAIT_MS: u64 = 1_000;

/// The times in which orders may be sent, by group of engines.
#[derive(Debug, Default)]
pub(crate) struct OrderPermits {
    windows: Mutex<BTreeMap<DomainName, OrderWindow>>,
}

impl OrderPermits {
    /// Sets the window of a group.
    pub(crate) fn set(&self, group: &DomainName, window: OrderWindow) {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        windows.insert(group.clone(), window);
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
        window.contains(now_ms).then_some(window.token)
    }

    /// Returns the leases that this daemon certainly holds, by group.
    pub(crate) fn held(&self, now_ms: u64) -> BTreeMap<DomainName, HeldLease> {
        let windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let held = windows.iter().filter(|(_, window)| window.is_held(now_ms));
        let held = held.map(|(group, window)| {
            let (token, until_ms) = (window.token, window.held_until_ms);
            (group.clone(), HeldLease { token, until_ms })
        });
        held.collect()
    }

    fn window(&self, group: &DomainName) -> OrderWindow {
        let windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        windows.get(group).copied().unwrap_or_default()
    }
}
