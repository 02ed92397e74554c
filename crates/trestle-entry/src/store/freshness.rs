//! How fresh what is known of the store is, and from whom it comes.
//!
//! Only the leader follows the store all the time. It passes on what
//! changes, with the time since the store last answered it; others follow the store
//! themselves whenever that is missing or too old.

use event_listener::{Event, EventListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use trestle_config::entry_settings::Bounds;

/// Longest time for which the store holds a wait for changes.
const WAIT_MS: u64 = 2_000;
/// Part of the shortest bound on what must be known for which it holds them: that a connection
/// has gone silent must be noticed, and the store read over another one, within that bound. Where
/// it is the leader's, others must have read the store themselves.
const WAIT_PART: u64 = 3;
/// Time beyond its wait after which the leader's last answer is too old.
const AGE_GRACE_MS: u64 = 450;
/// Time that is kept of the shortest bound for reading the store here.
const READ_MS: u64 = 500;
/// Time that is kept of the bound on keys, for clocks that differ in pace.
const KEY_MARGIN_MS: u64 = 50;
/// Relays that may be missing before the store is followed here.
const MISSING_RELAYS: u64 = 3;

/// How fresh what is known of the store is.
#[derive(Debug)]
pub(crate) struct Freshness {
    is_leader: AtomicBool,
    must_reread: AtomicBool,
    /// Whether a leader has read the list of endpoints since it leads, with the copies of
    /// weights that are not passed on.
    is_informed: AtomicBool,
    began_to_lead: Event,
    relayed_until_ms: AtomicU64,
    endpoints_read_ms: AtomicU64,
    config_read_ms: AtomicU64,
    /// When the configuration in force was the newest for certain.
    config_known_ms: AtomicU64,
    /// The same, provably: when the question was sent that the store answered so.
    config_proven_ms: AtomicU64,
    /// Time for which that proves who holds a key; `u64::MAX` where nothing is agreed on.
    keys_bound_ms: AtomicU64,
    shortest_bound_ms: AtomicU64,
    config_bound_ms: AtomicU64,
}

impl Freshness {
    /// Nothing was read yet.
    pub(crate) fn new(bounds: &Bounds) -> Self {
        Self {
            is_leader: AtomicBool::new(false),
            must_reread: AtomicBool::new(false),
            is_informed: AtomicBool::new(false),
            began_to_lead: Event::new(),
            relayed_until_ms: AtomicU64::new(0),
            endpoints_read_ms: AtomicU64::new(0),
            config_read_ms: AtomicU64::new(0),
            config_known_ms: AtomicU64::new(0),
            config_proven_ms: AtomicU64::new(0),
            keys_bound_ms: AtomicU64::new(bounds.key_withdrawal_ms.unwrap_or(u64::MAX)),
            shortest_bound_ms: AtomicU64::new(bounds.shortest_ms()),
            config_bound_ms: AtomicU64::new(bounds.config_ms),
        }
    }

    /// Puts changed bounds in force.
    pub(crate) fn take_bounds(&self, bounds: &Bounds) {
        self.shortest_bound_ms.store(bounds.shortest_ms(), Ordering::SeqCst);
        self.config_bound_ms.store(bounds.config_ms, Ordering::SeqCst);
        let keys_bound_ms = bounds.key_withdrawal_ms.unwrap_or(u64::MAX);
        self.keys_bound_ms.store(keys_bound_ms, Ordering::SeqCst);
    }

    /// Notes whether this daemon leads.
    pub(crate) fn set_leader(&self, is_leader: bool) {
        self.is_leader.store(is_leader, Ordering::SeqCst);
        if is_leader {
            self.relayed_until_ms.store(0, Ordering::SeqCst);
            self.must_reread.store(true, Ordering::SeqCst);
            self.is_informed.store(false, Ordering::SeqCst);
            self.began_to_lead.notify(usize::MAX);
        }
    }

    /// Whether this daemon leads.
    pub(crate) fn is_leader(&self) -> bool {
        self.is_leader.load(Ordering::SeqCst)
    }

    /// Hears that this daemon begins to lead.
    pub(crate) fn began_to_lead(&self) -> EventListener {
        self.began_to_lead.listen()
    }

    /// Notes that the whole list of endpoints was read.
    pub(crate) fn whole_list_read(&self) {
        self.must_reread.store(false, Ordering::SeqCst);
        self.is_informed.store(self.is_leader(), Ordering::SeqCst);
    }

    /// Whether this leader knows enough of the engines to order them.
    pub(crate) fn is_informed(&self) -> bool {
        self.is_informed.load(Ordering::SeqCst)
    }

    /// Whether the list of endpoints must be read with everything in it.
    pub(crate) fn must_reread(&self) -> bool {
        self.must_reread.load(Ordering::SeqCst)
    }

    /// For how long the store should hold a wait for changes.
    pub(crate) fn wait_ms(&self) -> u64 {
        (self.shortest_bound_ms() / WAIT_PART).min(WAIT_MS)
    }

    /// Notes an answer of the store about the list of endpoints.
    pub(crate) fn endpoints_read(&self, now_ms: u64) {
        self.endpoints_read_ms.store(now_ms, Ordering::SeqCst);
    }

    /// Notes an answer of the store about the configuration.
    pub(crate) fn config_read(&self, now_ms: u64) {
        self.config_read_ms.store(now_ms, Ordering::SeqCst);
        self.config_known_ms.fetch_max(now_ms, Ordering::SeqCst);
    }

    /// Notes that the configuration in force was the newest at some moment after this one.
    pub(crate) fn config_proven(&self, since_ms: u64) {
        self.config_proven_ms.fetch_max(since_ms, Ordering::SeqCst);
    }

    /// Whether a key that the configuration has counts for a request that came at this time.
    pub(crate) fn proves_keys(&self, arrived_ms: u64) -> bool {
        let proven_ms = self.config_proven_ms.load(Ordering::SeqCst);
        let bound_ms = self.keys_bound_ms.load(Ordering::SeqCst);
        arrived_ms < proven_ms.saturating_add(bound_ms.saturating_sub(KEY_MARGIN_MS))
    }

    /// Time since the configuration in force was provably the newest.
    pub(crate) fn config_proven_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.config_proven_ms.load(Ordering::SeqCst))
    }

    /// Whether a newer configuration than the one in force may already bind. A daemon that
    /// cannot know does not say that there is no such route.
    pub(crate) fn may_lack_config(&self, now_ms: u64) -> bool {
        let known_ms = self.config_known_ms.load(Ordering::SeqCst);
        let bound_ms = self.config_bound_ms.load(Ordering::SeqCst);
        now_ms > known_ms + bound_ms.saturating_sub(READ_MS)
    }

    /// Time since the store last answered about both.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        let endpoints_ms = self.endpoints_read_ms.load(Ordering::SeqCst);
        now_ms.saturating_sub(endpoints_ms.min(self.config_read_ms.load(Ordering::SeqCst)))
    }

    /// Takes what the leader says of its age, and when the next relay is due; returns
    /// whether that is fresh enough.
    pub(crate) fn relayed(&self, age_ms: u64, next_ms: u64, now_ms: u64) -> bool {
        self.config_known_ms.fetch_max(now_ms.saturating_sub(age_ms), Ordering::SeqCst);
        let is_fresh = age_ms <= self.wait_ms() + AGE_GRACE_MS;
        if is_fresh && !self.is_leader() {
            let missing_ms = next_ms * MISSING_RELAYS;
            let known_ms = self.shortest_bound_ms().saturating_sub(age_ms + READ_MS);
            let until_ms = now_ms + missing_ms.min(known_ms);
            self.relayed_until_ms.store(until_ms, Ordering::SeqCst);
            // What engines hold is not passed on.
            self.must_reread.store(true, Ordering::SeqCst);
        }
        is_fresh
    }

    /// Time for which the store need not be followed.
    pub(crate) fn relayed_for_ms(&self, now_ms: u64) -> u64 {
        self.relayed_until_ms.load(Ordering::SeqCst).saturating_sub(now_ms)
    }

    /// The shortest bound on what must be known.
    pub(crate) fn shortest_bound_ms(&self) -> u64 {
        self.shortest_bound_ms.load(Ordering::SeqCst)
    }
}
