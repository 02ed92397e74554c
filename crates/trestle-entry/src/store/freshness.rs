//! How fresh this daemon's knowledge of the store is, and whether it comes from a leader.
//!
//! Only leaders follow the store all the time. A leader passes changes on to the other daemons,
//! with the time since the store last answered. A daemon follows the store itself whenever these
//! relays are missing or too old.

use event_listener::{Event, EventListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use trestle_config::entry_settings::Bounds;

/// Longest time for which the store holds a read that waits for changes.
const MAX_WAIT_MS: u64 = 2_000;
/// Divisor of the shortest freshness bound: the store holds a read for this part of the bound at
/// most. Within the bound, a connection that has gone silent must be noticed and the store must be
/// read over another one. If the silent connection is the leader's, the other daemons must have
/// read the store themselves within it.
const WAIT_DIVISOR: u64 = 3;
/// Time beyond the wait for changes after which the store's last answer to the leader is too old.
const AGE_GRACE_MS: u64 = 450;
/// Part of a freshness bound that is reserved for reading the store from this daemon.
const READ_RESERVE_MS: u64 = 500;
/// Part of the bound on key withdrawal that is reserved for clocks that run at different speeds.
const KEY_MARGIN_MS: u64 = 50;
/// Time after a restored store was first read in which the operators write again what it has lost.
const REWRITE_MS: u64 = 2_000;
/// Number of successive relays that may be missing before this daemon follows the store itself.
const MAX_MISSING_RELAYS: u64 = 3;

/// Stands for the era before any answer.
const NO_ERA: u64 = u64::MAX;

/// The times at which knowledge of the store was current, in milliseconds on the daemon's clock.
#[derive(Debug)]
pub(crate) struct Freshness {
    is_leader: AtomicBool,
    must_reread: AtomicBool,
    /// Whether this daemon leads and has read the whole list of endpoints since it began to. The
    /// list in the store includes the copies of weights, which relays leave out.
    has_read_list: AtomicBool,
    leadership_began: Event,
    relayed_until_ms: AtomicU64,
    endpoints_read_ms: AtomicU64,
    config_read_ms: AtomicU64,
    /// When the configuration in force was last known to be the newest, by the store's answer here
    /// or by a relay.
    config_known_ms: AtomicU64,
    /// When the configuration in force was last proven to be the newest: when the read was sent
    /// that the store answered with it.
    config_proven_ms: AtomicU64,
    /// The highest era of the store that is known; [`NO_ERA`] before the first read.
    era: AtomicU64,
    /// From when on reads prove the configuration in force to be the newest. A store that was
    /// restored from a copy may have an older one.
    provable_from_ms: AtomicU64,
    /// Time for which such a proof makes keys valid; `u64::MAX` if the settings bound nothing.
    keys_bound_ms: AtomicU64,
    shortest_bound_ms: AtomicU64,
    config_bound_ms: AtomicU64,
}

impl Freshness {
    /// Creates the state of a daemon that has read nothing from the store.
    pub(crate) fn new(bounds: &Bounds) -> Self {
        Self {
            is_leader: AtomicBool::new(false),
            must_reread: AtomicBool::new(false),
            has_read_list: AtomicBool::new(false),
            leadership_began: Event::new(),
            relayed_until_ms: AtomicU64::new(0),
            endpoints_read_ms: AtomicU64::new(0),
            config_read_ms: AtomicU64::new(0),
            config_known_ms: AtomicU64::new(0),
            config_proven_ms: AtomicU64::new(0),
            era: AtomicU64::new(NO_ERA),
            provable_from_ms: AtomicU64::new(0),
            keys_bound_ms: AtomicU64::new(bounds.key_withdrawal_ms.unwrap_or(u64::MAX)),
            shortest_bound_ms: AtomicU64::new(bounds.shortest_ms()),
            config_bound_ms: AtomicU64::new(bounds.config_ms),
        }
    }

    /// Applies changed freshness bounds.
    pub(crate) fn apply_bounds(&self, bounds: &Bounds) {
        self.shortest_bound_ms.store(bounds.shortest_ms(), Ordering::SeqCst);
        self.config_bound_ms.store(bounds.config_ms, Ordering::SeqCst);
        let keys_bound_ms = bounds.key_withdrawal_ms.unwrap_or(u64::MAX);
        self.keys_bound_ms.store(keys_bound_ms, Ordering::SeqCst);
    }

    /// Sets whether this daemon leads. A new leader must read the whole list of endpoints.
    pub(crate) fn set_leader(&self, is_leader: bool) {
        self.is_leader.store(is_leader, Ordering::SeqCst);
        if is_leader {
            self.relayed_until_ms.store(0, Ordering::SeqCst);
            self.must_reread.store(true, Ordering::SeqCst);
            self.has_read_list.store(false, Ordering::SeqCst);
            self.leadership_began.notify(usize::MAX);
        }
    }

    /// Returns whether this daemon leads.
    pub(crate) fn is_leader(&self) -> bool {
        self.is_leader.load(Ordering::SeqCst)
    }

    /// Returns a listener that is notified when this daemon begins to lead.
    pub(crate) fn leadership_began(&self) -> EventListener {
        self.leadership_began.listen()
    }

    /// Records that the whole list of endpoints was read from the store.
    pub(crate) fn record_full_list_read(&self) {
        self.must_reread.store(false, Ordering::SeqCst);
        self.has_read_list.store(self.is_leader(), Ordering::SeqCst);
    }

    /// Returns whether this leader knows enough about the engines to give orders: it has read the
    /// whole list since it began to lead.
    pub(crate) fn has_read_list(&self) -> bool {
        self.has_read_list.load(Ordering::SeqCst)
    }

    /// Returns whether the whole list of endpoints must be read from the store again.
    pub(crate) fn must_reread(&self) -> bool {
        self.must_reread.load(Ordering::SeqCst)
    }

    /// Returns for how long the store should hold a read that waits for changes.
    pub(crate) fn wait_ms(&self) -> u64 {
        (self.shortest_bound_ms() / WAIT_DIVISOR).min(MAX_WAIT_MS)
    }

    /// Records an answer of the store about the list of endpoints.
    pub(crate) fn record_endpoints_read(&self, now_ms: u64) {
        self.endpoints_read_ms.store(now_ms, Ordering::SeqCst);
    }

    /// Records an answer of the store about the configuration.
    pub(crate) fn record_config_read(&self, now_ms: u64) {
        self.config_read_ms.store(now_ms, Ordering::SeqCst);
        self.config_known_ms.fetch_max(now_ms, Ordering::SeqCst);
    }

    /// Records in which era the store answered a read here or at the leader that relays it.
    pub(crate) fn record_era(&self, era: u64, now_ms: u64) {
        let before = self.era.load(Ordering::SeqCst);
        if before == NO_ERA || era > before {
            self.era.store(era, Ordering::SeqCst);
        }
        if before != NO_ERA && era > before {
            self.provable_from_ms.store(now_ms + REWRITE_MS, Ordering::SeqCst);
        }
    }

    /// Records that the store answered with the configuration in force a read that was sent at
    /// `since_ms`.
    pub(crate) fn record_config_answer(&self, since_ms: u64) {
        if since_ms >= self.provable_from_ms.load(Ordering::SeqCst) {
            self.record_config_proof(since_ms);
        }
    }

    /// Records that the configuration in force was the newest at some moment after `since_ms`.
    pub(crate) fn record_config_proof(&self, since_ms: u64) {
        self.config_proven_ms.fetch_max(since_ms, Ordering::SeqCst);
    }

    /// Returns whether a key in the configuration is valid for a request that arrived at this time:
    /// the configuration was proven to be the newest recently enough.
    pub(crate) fn proves_keys(&self, arrived_ms: u64) -> bool {
        let proven_ms = self.config_proven_ms.load(Ordering::SeqCst);
        let bound_ms = self.keys_bound_ms.load(Ordering::SeqCst);
        arrived_ms < proven_ms.saturating_add(bound_ms.saturating_sub(KEY_MARGIN_MS))
    }

    /// Returns the time since the configuration in force was last proven to be the newest.
    pub(crate) fn config_proven_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.config_proven_ms.load(Ordering::SeqCst))
    }

    /// Returns whether a newer configuration may exist for longer than the bound allows it to be
    /// unknown here. The daemon must not answer then that a route does not exist.
    pub(crate) fn may_lack_config(&self, now_ms: u64) -> bool {
        let known_ms = self.config_known_ms.load(Ordering::SeqCst);
        let bound_ms = self.config_bound_ms.load(Ordering::SeqCst);
        now_ms > known_ms + bound_ms.saturating_sub(READ_RESERVE_MS)
    }

    /// Returns the time since the store last answered about both the list of endpoints and the
    /// configuration.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        let endpoints_ms = self.endpoints_read_ms.load(Ordering::SeqCst);
        now_ms.saturating_sub(endpoints_ms.min(self.config_read_ms.load(Ordering::SeqCst)))
    }

    /// Records a relay from the leader: the age of the leader's knowledge, and the time until the
    /// next relay is due. Returns whether the knowledge is fresh enough.
    pub(crate) fn record_relay(&self, age_ms: u64, next_ms: u64, now_ms: u64) -> bool {
        self.config_known_ms.fetch_max(now_ms.saturating_sub(age_ms), Ordering::SeqCst);
        let is_fresh = age_ms <= self.wait_ms() + AGE_GRACE_MS;
        if is_fresh && !self.is_leader() {
            let missing_ms = next_ms * MAX_MISSING_RELAYS;
            let known_ms = self.shortest_bound_ms().saturating_sub(age_ms + READ_RESERVE_MS);
            let until_ms = now_ms + missing_ms.min(known_ms);
            self.relayed_until_ms.store(until_ms, Ordering::SeqCst);
            // Relays leave out what engines hold.
            self.must_reread.store(true, Ordering::SeqCst);
        }
        is_fresh
    }

    /// Returns for how long the last relay makes following the store unnecessary.
    pub(crate) fn relay_valid_for_ms(&self, now_ms: u64) -> u64 {
        self.relayed_until_ms.load(Ordering::SeqCst).saturating_sub(now_ms)
    }

    /// Returns the shortest freshness bound.
    pub(crate) fn shortest_bound_ms(&self) -> u64 {
        self.shortest_bound_ms.load(Ordering::SeqCst)
    }
}
