//! Which engines one leader orders, and with which leader a daemon syncs.
//!
//! Engines are grouped by failure domain. Each group has its own lease, so a domain that is cut off
//! from the others continues to order its engines as long as it reaches the store. If the engines
//! are few, one daemon leads them all and holds the leases of all groups: a plan over all engines
//! wastes no room. If they are many, each group is led by a daemon of its domain: one leader of 256
//! engines and 295 daemons spent its CPU on their requests, lost its lease after 25 s, and no
//! leader after it held one for longer than 2.3 s.
//!
//! This module only decides who acquires a free lease. A holder keeps its lease even if the number
//! of engines changes, so two daemons that count differently do no harm.

use std::collections::BTreeSet;
use trestle_core::names::DomainName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of engines above which each group has its own leader. A leader of 90 engines and 79
/// daemons used 6 % of a core.
const MAX_ENGINES_OF_ONE: usize = 128;
/// Number of engines up to which one daemon leads all groups again.
const FEW_ENGINES: usize = 96;
/// Time for which a leader leaves another group's free lease to that group's own daemons, which see
/// it within the time of a lease.
const OTHER_GROUP_DELAY_MS: u64 = 2_000;
/// Added for each group that the daemon leads already, so that groups without daemons are spread.
const LED_GROUP_DELAY_MS: u64 = 400;
/// Time without new engines after which the leader of the first group also acquires the other
/// groups. Engines that start together enter the list within about a heartbeat of 1.2 s of each
/// other and may turn out to be many.
const LIST_COMPLETE_MS: u64 = 1_500;
/// Time after which any daemon acquires a lease that the leader of the first group should have
/// acquired.
const LAST_RESORT_DELAY_MS: u64 = 5_000;

/// The groups of engines, and who should lead them.
#[derive(Debug, Default)]
pub struct Groups {
    /// All failure domains of the settings.
    configured: BTreeSet<DomainName>,
    all: BTreeSet<DomainName>,
    /// Failure domains that had engines at any time.
    ever_used: BTreeSet<DomainName>,
    engines: usize,
    /// When engines were last added.
    grew_ms: u64,
    is_split: bool,
}

impl Groups {
    /// Creates the groups before any engine is known, given all failure domains.
    pub fn with_domains(configured: BTreeSet<DomainName>) -> Self {
        Self { configured, ..Self::default() }
    }

    /// Sets the failure domains and the number of all engines.
    pub fn update(&mut self, domains: BTreeSet<DomainName>, engines: usize, now_ms: u64) {
        if engines > self.engines {
            self.grew_ms = now_ms;
        }
        self.engines = engines;
        self.ever_used.extend(domains.iter().cloned());
        self.all = domains;
        let threshold = if self.is_split { FEW_ENGINES } else { MAX_ENGINES_OF_ONE };
        self.is_split = engines > threshold;
    }

    /// Returns all groups.
    pub fn all(&self) -> &BTreeSet<DomainName> {
        &self.all
    }

    /// Returns the largest possible number of groups with a leader. Every failure domain may have
    /// engines, and the lease of one whose engines are gone from the list may still be held.
    pub fn max_groups(&self) -> usize {
        self.ever_used.union(&self.configured).count()
    }

    /// Returns the group whose leader the daemons of a failure domain sync with.
    ///
    /// Before engines are known it is the first domain's group for all daemons, as it is for few
    /// engines: a leader also relays the contents of the store.
    pub fn home_group<'a>(&'a self, domain: &'a DomainName) -> &'a DomainName {
        let Some(first) = self.all.first() else {
            return self.configured.first().unwrap_or(domain);
        };
        if !self.is_split {
            return first;
        }
        if self.all.contains(domain) {
            return domain;
        }
        self.all.iter().max_by_key(|group| rank(domain.as_str(), group)).unwrap_or(first)
    }

    /// Returns the time for which a daemon leaves a group's free lease to others, beyond what it
    /// leaves to stronger VMs; `None` if it must not acquire the lease now.
    pub fn takeover_delay_ms(
        &self,
        group: &DomainName,
        domain: &DomainName,
        led: &BTreeSet<DomainName>,
        now_ms: u64,
    ) -> Option<u64> {
        let home_group = self.home_group(domain);
        let led_delay_ms = LED_GROUP_DELAY_MS * led.len() as u64;
        match (group == home_group, self.is_split) {
            (true, true) => Some(led_delay_ms),
            (true, false) => Some(0),
            (false, true) => (!led.is_empty()).then_some(OTHER_GROUP_DELAY_MS + led_delay_ms),
            // A wait would count from when the lease became free, which may be long ago.
            (false, false) if led.contains(home_group) => {
                (now_ms >= self.grew_ms + LIST_COMPLETE_MS).then_some(0)
            }
            (false, false) => Some(LAST_RESORT_DELAY_MS),
        }
    }
}

/// Returns the rank of a group for a name, such as that of a failure domain or of a request; each
/// name ranks the groups in a different order.
pub fn rank(name: &str, group: &DomainName) -> u64 {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    xxh3_64_with_seed(group.as_str().as_bytes(), seed)
}
