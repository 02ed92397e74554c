//! Which leader decides for all daemons on what has a name, and since when no other may have.
//!
//! The load that this answers: leaders that are stopped in turn while a request ends engines. What
//! one leader has allowed is known to it alone, so whoever decides after it waits until nothing
//! of that can matter any more.

use crate::groups;
use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::DomainName;

/// Where a leader answers, with its fencing number.
pub type LeaderStart = (SocketAddr, u64);

/// Leaders of all groups, as one daemon knows them.
#[derive(Debug, Default)]
pub struct DecisionLeaders {
    by_group: BTreeMap<DomainName, DecisionLeader>,
}

#[derive(Debug, Default)]
struct DecisionLeader {
    leader: Option<LeaderStart>,
    /// When that changed, if anybody may have decided before.
    changed_ms: Option<u64>,
}

impl DecisionLeaders {
    /// Takes who leads a group now.
    pub fn record_leader(&mut self, group: &DomainName, leader: Option<LeaderStart>, now_ms: u64) {
        let has_any = self.by_group.values().any(|decider| decider.leader.is_some());
        let decider = self.by_group.entry(group.clone()).or_default();
        if decider.leader != leader {
            decider.leader = leader;
            if has_any {
                decider.changed_ms = Some(now_ms);
            }
        }
    }

    /// The group whose leader decides on a name.
    pub fn group_for(&self, name: &str) -> Option<&DomainName> {
        let led = self.by_group.iter().filter(|(_, decider)| decider.leader.is_some());
        led.map(|(group, _)| group).max_by_key(|group| groups::rank(name, group))
    }

    /// Since when that group's leader has decided on it, if another one may have before. A group
    /// that would go first has none now, and may have had one.
    pub fn decides_since_ms(&self, name: &str) -> Option<u64> {
        let rank = groups::rank(name, self.group_for(name)?);
        let concerned = self.by_group.iter().filter(|(group, _)| groups::rank(name, group) >= rank);
        concerned.filter_map(|(_, decider)| decider.changed_ms).max()
    }
}
