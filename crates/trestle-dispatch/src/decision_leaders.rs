//! Which leader decides for all daemons on a name, such as that of a request, and since when no
//! other leader may have decided on it.
//!
//! The load that this answers: leaders that are stopped one after the other while a request
//! crashes engines. Only the leader that admitted an attempt knows of it, so the leader that
//! decides next waits until such attempts can no longer have an effect.

use crate::groups;
use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::DomainName;

/// Address of a leader, with its fencing token.
pub type LeaderStart = (SocketAddr, u64);

/// Fencing token of the first leader of a group. Each later one has had a predecessor, which may
/// have been an earlier process of the same daemon.
const FIRST_TOKEN: u64 = 1;

/// The leaders of all groups, as one daemon knows them.
#[derive(Debug, Default)]
pub struct DecisionLeaders {
    by_group: BTreeMap<DomainName, GroupState>,
}

#[derive(Debug, Default)]
struct GroupState {
    leader: Option<LeaderStart>,
    /// When the leader changed, if another leader may have decided before.
    changed_ms: Option<u64>,
}

impl DecisionLeaders {
    /// Records which daemon leads a group now, if any.
    pub fn record_leader(&mut self, group: &DomainName, leader: Option<LeaderStart>, now_ms: u64) {
        let has_any = self.by_group.values().any(|state| state.leader.is_some());
        let state = self.by_group.entry(group.clone()).or_default();
        if state.leader != leader {
            state.leader = leader;
            let has_predecessor = leader.is_some_and(|(_, token)| token > FIRST_TOKEN);
            if has_any || has_predecessor {
                state.changed_ms = Some(now_ms);
            }
        }
    }

    /// Returns the group whose leader decides on a name.
    pub fn group_for(&self, name: &str) -> Option<&DomainName> {
        let groups_with_leader = self.by_group.iter().filter(|(_, state)| state.leader.is_some());
        groups_with_leader.map(|(group, _)| group).max_by_key(|group| groups::rank(name, group))
    }

    /// Returns when that leader may have taken over the decision on a name from another one;
    /// `None` if no other leader may have decided on it. Groups that rank before the deciding one
    /// have no leader now, but may have had one.
    pub fn decides_since_ms(&self, name: &str) -> Option<u64> {
        let rank = groups::rank(name, self.group_for(name)?);
        let relevant = self.by_group.iter().filter(|(group, _)| groups::rank(name, group) >= rank);
        relevant.filter_map(|(_, state)| state.changed_ms).max()
    }
}
