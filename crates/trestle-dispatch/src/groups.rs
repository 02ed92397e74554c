//! Which engines one leader orders, and whose leader a daemon asks.
//!
//! Engines are grouped by failure domain, and each group has a lease of its own, so a domain
//! that is cut off from the others goes on ordering its engines as long as it reaches the
//! store. Few engines are led by one daemon that holds the leases of all groups: a plan over
//! all of them wastes no place. Many are shared out, each group to a daemon of its domain: one
//! leader of 256 engines and 295 daemons spent its processor on their questions, lost its lease
//! after 25 s, and none after it held one for longer than 2.3 s.
//!
//! This only says who takes a lease that is free. Whoever holds one keeps it, also where the
//! number of engines changes, so two daemons that count differently do no harm.

use std::collections::BTreeSet;
use trestle_core::names::DomainName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Engines beyond which they are shared out. A leader of 90 engines before 79 daemons used 6 %
/// of a core.
const MOST_ENGINES_OF_ONE: usize = 128;
/// Engines up to which one daemon leads them all again.
const FEW_ENGINES: usize = 96;
/// Time that a leader leaves another group's free lease to that group's own daemons; they know
/// of it within a lease's time.
const OWN_FIRST_MS: u64 = 2_000;
/// The same for each group that it leads already, so that groups without daemons spread.
const LED_GROUP_MS: u64 = 400;
/// Time without further engines after which the leader of the first group takes the others, too:
/// engines that start together enter the list one after the other, each within about a
/// heartbeat of 1.2 s, and may prove to be many.
const COMPLETE_MS: u64 = 1_500;
/// Time after which any daemon takes what the leader of the first group should have taken.
const LAST_RESORT_MS: u64 = 5_000;

/// A daemon's place among the groups.
#[derive(Debug, Default)]
pub struct Groups {
    /// All failure domains that there are, as settings say.
    configured: BTreeSet<DomainName>,
    all: BTreeSet<DomainName>,
    /// Those that ever had engines.
    ever: BTreeSet<DomainName>,
    engines: usize,
    /// When engines were last added.
    grew_ms: u64,
    is_shared_out: bool,
}

impl Groups {
    /// No engines are known yet, of these failure domains.
    pub fn with_domains(configured: BTreeSet<DomainName>) -> Self {
        Self { configured, ..Self::default() }
    }

    /// Takes the failure domains of all engines, and their number.
    pub fn update(&mut self, domains: BTreeSet<DomainName>, engines: usize, now_ms: u64) {
        if engines > self.engines {
            self.grew_ms = now_ms;
        }
        self.engines = engines;
        self.ever.extend(domains.iter().cloned());
        self.all = domains;
        let most = if self.is_shared_out { FEW_ENGINES } else { MOST_ENGINES_OF_ONE };
        self.is_shared_out = engines > most;
    }

    /// All groups.
    pub fn all(&self) -> &BTreeSet<DomainName> {
        &self.all
    }

    /// How many groups there may be, with a leader each: every failure domain may have engines,
    /// and the lease of one whose engines are gone from the list may still be held.
    pub fn max_groups(&self) -> usize {
        self.ever.union(&self.configured).count()
    }

    /// The group whose leader the daemons of a failure domain ask. Before engines are known it
    /// is the first domain's for all, as it will be where they are few: a leader also passes on
    /// what the store says.
    pub fn home_group<'a>(&'a self, domain: &'a DomainName) -> &'a DomainName {
        let Some(first) = self.all.first() else {
            return self.configured.first().unwrap_or(domain);
        };
        if !self.is_shared_out {
            return first;
        }
        if self.all.contains(domain) {
            return domain;
        }
        self.all.iter().max_by_key(|group| rank(domain.as_str(), group)).unwrap_or(first)
    }

    /// Time that a daemon leaves a group's free lease to others, beyond what stronger ones get;
    /// `None` if it does not take it now.
    pub fn takeover_delay_ms(
        &self,
        group: &DomainName,
        domain: &DomainName,
        led: &BTreeSet<DomainName>,
        now_ms: u64,
    ) -> Option<u64> {
        let home = self.home_group(domain);
        let busy_ms = LED_GROUP_MS * led.len() as u64;
        match (group == home, self.is_shared_out) {
            (true, true) => Some(busy_ms),
            (true, false) => Some(0),
            (false, true) => (!led.is_empty()).then_some(OWN_FIRST_MS + busy_ms),
            // Not as a wait: that would count from when the lease was free, which may be long ago.
            (false, false) if led.contains(home) => {
                (now_ms >= self.grew_ms + COMPLETE_MS).then_some(0)
            }
            (false, false) => Some(LAST_RESORT_MS),
        }
    }
}

/// Orders the groups for somebody by name, for each in another way.
pub fn rank(name: &str, group: &DomainName) -> u64 {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    xxh3_64_with_seed(group.as_str().as_bytes(), seed)
}
