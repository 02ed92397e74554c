//! The state that one daemon knows, shared by its traffic and control parts.
//!
//! One lock protects it. The lock is held for a single read or change and never across an await. A
//! task that waits for a change listens to [`SharedView::changed`].

use crate::clock::Clock;
use event_listener::{Event, EventListener};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use trestle_config::entry_settings::{Bounds, EntrySettings};
use trestle_dispatch::{
    brittle::BrittleServices, catalog::Catalog, crashes::Crashes, local_view::LocalView,
    policy::Policy, quota::QuotaBounds, retry_share::RetryBounds,
};

/// Longest time by which one daemon admits a rejected request later than another does. It is
/// several times as long as the report that an endpoint crashed under the request takes to reach
/// the other daemons.
const MAX_RELEASE_DELAY_MS: u64 = 5_000;

/// The local view of one daemon behind a lock, with events for its changes.
#[derive(Debug)]
pub(crate) struct SharedView {
    local_view: Mutex<LocalView>,
    changed: Event,
    demand: Event,
    forwarded: Event,
    /// Leaders that serve demand which has not been reported to them yet.
    leaders_to_notify: Mutex<BTreeSet<SocketAddr>>,
    clock: Clock,
}

impl SharedView {
    /// Returns an empty view.
    pub(crate) fn new(settings: &EntrySettings, policy: Policy, clock: Clock) -> Self {
        let bounds = &settings.bounds;
        let domain = settings.domain.as_str().into();
        let mut local_view = LocalView::new(domain, bounds.leaving_ms, retry_bounds(bounds));
        local_view.policy = policy;
        local_view.quota_bounds = quota_bounds(bounds);
        local_view.crashes = Crashes::with_delay(fastrand::u64(..MAX_RELEASE_DELAY_MS));
        local_view.brittle = BrittleServices::with_seed(fastrand::u64(..));
        Self {
            local_view: Mutex::new(local_view),
            changed: Event::new(),
            demand: Event::new(),
            forwarded: Event::new(),
            leaders_to_notify: Mutex::default(),
            clock,
        }
    }

    /// Applies changed bounds from the settings.
    pub(crate) fn apply_bounds(&self, bounds: &Bounds) {
        self.with(|local_view| {
            local_view.retry_budgets.bounds = retry_bounds(bounds);
            local_view.quota_bounds = quota_bounds(bounds);
            local_view.directory.set_draining_ms(bounds.leaving_ms);
        });
    }

    /// Returns the time on this daemon's clock, which includes times of suspension.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Reads the local view, or makes a change for which no task waits.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut LocalView) -> R) -> R {
        f(&mut self.local_view.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the local view, and wakes all tasks that wait for a change.
    pub(crate) fn change<R>(&self, change: impl FnOnce(&mut LocalView) -> R) -> R {
        let result = self.with(change);
        self.notify_changed();
        result
    }

    /// Wakes all tasks that wait for a change.
    pub(crate) fn notify_changed(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Returns a listener for the next change. Create it before reading the view, so that no
    /// change is missed.
    pub(crate) fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Returns a listener for the next request that has to wait.
    pub(crate) fn demand_added(&self) -> EventListener {
        self.demand.listen()
    }

    /// Signals that a request has to wait.
    pub(crate) fn notify_demand(&self) {
        self.demand.notify(usize::MAX);
    }

    /// Returns a listener for the next demand that must be reported to another leader.
    pub(crate) fn demand_forwarded(&self) -> EventListener {
        self.forwarded.listen()
    }

    /// Marks leaders that serve demand which has not been reported to them yet.
    pub(crate) fn forward_demand(&self, leaders: BTreeSet<SocketAddr>) {
        if leaders.is_empty() {
            return;
        }
        self.leaders_to_notify().extend(leaders);
        self.forwarded.notify(usize::MAX);
    }

    /// Returns whether a leader has been marked since the last call, and removes the mark.
    pub(crate) fn must_notify(&self, leader: SocketAddr) -> bool {
        self.leaders_to_notify().remove(&leader)
    }

    fn leaders_to_notify(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.leaders_to_notify.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force; `None` before the first one.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.with(|local_view| local_view.catalog.clone())
    }
}

/// Returns the bounds on retries that the settings define.
fn retry_bounds(bounds: &Bounds) -> RetryBounds {
    RetryBounds {
        ratio: bounds.retry_ratio,
        window_ms: bounds.retry_window_s * 1_000,
        fixed: bounds.retry_fixed,
    }
}

/// Returns the bounds on exceeding team limits that the settings define.
fn quota_bounds(bounds: &Bounds) -> QuotaBounds {
    bounds.quota.map_or_else(QuotaBounds::default, |quota| QuotaBounds {
        window_ms: (quota.window_s * 1e3) as u64,
        excess: quota.excess,
        fixed: quota.fixed,
    })
}
