//! What this daemon believes, shared by traffic and control.
//!
//! One lock, held for a look or a change and never across a wait. Whoever waits
//! for a change of it listens to [`Knowledge::changed`].

use crate::clock::Clock;
use event_listener::{Event, EventListener};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use trestle_config::entry_settings::{Bounds, EntrySettings};
use trestle_dispatch::{
    catalog::Catalog, crashes::Crashes, local_view::LocalView, policy::Policy, quota::QuotaBounds,
    retry_share::RetryBounds,
};

/// Longest time by which one daemon lets a refused request through later than another: some
/// times as long as the news takes that an endpoint ended under it.
const MOST_LATE_MS: u64 = 5_000;

/// What this daemon believes.
#[derive(Debug)]
pub(crate) struct Knowledge {
    local_view: Mutex<LocalView>,
    changed: Event,
    wished: Event,
    forwarded: Event,
    /// Other leaders that see to a wish which they have not heard of.
    to_hear: Mutex<BTreeSet<SocketAddr>>,
    clock: Clock,
}

impl Knowledge {
    /// Nothing is believed yet.
    pub(crate) fn new(settings: &EntrySettings, policy: Policy, clock: Clock) -> Self {
        let bounds = &settings.bounds;
        let domain = settings.domain.as_str().into();
        let mut local_view = LocalView::new(domain, bounds.leaving_ms, retry_bounds(bounds));
        local_view.policy = policy;
        local_view.quota_bounds = quota_bounds(bounds);
        local_view.crashes = Crashes::with_delay(fastrand::u64(..MOST_LATE_MS));
        Self {
            local_view: Mutex::new(local_view),
            changed: Event::new(),
            wished: Event::new(),
            forwarded: Event::new(),
            to_hear: Mutex::default(),
            clock,
        }
    }

    /// Puts changed bounds in force.
    pub(crate) fn take_bounds(&self, bounds: &Bounds) {
        self.with(|local_view| {
            local_view.retry_bounds = retry_bounds(bounds);
            local_view.quota_bounds = quota_bounds(bounds);
            local_view.directory.set_draining_ms(bounds.leaving_ms);
        });
    }

    /// Time on this daemon's clock, which counts what it was suspended for.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Looks at what is believed, or notes something that nobody waits for.
    pub(crate) fn with<R>(&self, look: impl FnOnce(&mut LocalView) -> R) -> R {
        look(&mut self.local_view.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes what is believed, and wakes whoever waits for a change.
    pub(crate) fn change<R>(&self, change: impl FnOnce(&mut LocalView) -> R) -> R {
        let result = self.with(change);
        self.say_changed();
        result
    }

    /// Wakes whoever waits for a change.
    pub(crate) fn say_changed(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Hears of the next change; to be called before a look, so that none is missed.
    pub(crate) fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Hears of the next request that has to wait.
    pub(crate) fn wished(&self) -> EventListener {
        self.wished.listen()
    }

    /// Says that a request has to wait.
    pub(crate) fn wish(&self) {
        self.wished.notify(usize::MAX);
    }

    /// Hears of the next wish that another leader sees to.
    pub(crate) fn forwarded(&self) -> EventListener {
        self.forwarded.listen()
    }

    /// Says that other leaders see to wishes which they have not heard of.
    pub(crate) fn forward(&self, leaders: BTreeSet<SocketAddr>) {
        if leaders.is_empty() {
            return;
        }
        self.to_hear().extend(leaders);
        self.forwarded.notify(usize::MAX);
    }

    /// Whether that was said of a leader since this was last asked.
    pub(crate) fn must_hear(&self, leader: SocketAddr) -> bool {
        self.to_hear().remove(&leader)
    }

    fn to_hear(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.to_hear.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration in force.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.with(|local_view| local_view.catalog.clone())
    }
}

/// What bounds further sends, by the settings.
fn retry_bounds(bounds: &Bounds) -> RetryBounds {
    RetryBounds {
        ratio: bounds.retry_ratio,
        window_ms: bounds.retry_window_s * 1_000,
        fixed: bounds.retry_fixed,
    }
}

/// How far teams may exceed their limits, by the settings.
fn quota_bounds(bounds: &Bounds) -> QuotaBounds {
    bounds.quota.map_or_else(QuotaBounds::default, |quota| QuotaBounds {
        window_ms: (quota.window_s * 1e3) as u64,
        excess: quota.excess,
        fixed: quota.fixed,
    })
}
