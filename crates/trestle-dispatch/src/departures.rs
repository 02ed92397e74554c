//! Incarnations of endpoints that are draining or gone, kept as long as an entry may still name
//! them.
//!
//! The load that this answers: entries of other writers, and entries that arrive late, while
//! daemons are restarted one after the other. Only what an endpoint wrote before it left
//! distinguishes such an entry from the endpoint's own, and a daemon that starts later has not
//! received it. So leaders keep the most recent departures in the rows of their leases, which
//! each daemon reads before the list, and report them to daemons that sync for the first time.
//!
//! Only incarnations with a start time are reported to others: without one, entries cannot be
//! matched to an incarnation.

use crate::endpoint::{Endpoint, Incarnation};
use std::collections::BTreeMap;
use trestle_core::names::EndpointName;

/// Number of incarnations that are kept at most; the oldest are dropped first. This covers some
/// days with 160 VM failures and 480 VM replacements a day.
const MAX_DEPARTURES: usize = 4_096;

/// An incarnation that is draining or gone, as daemons report it to each other.
#[trestle_macros::plain]
pub struct Departure {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Whether it announced that it is draining.
    pub was_draining: bool,
    /// Number of its last message, if its entry was removed.
    pub last_number: Option<u64>,
}

/// Incarnations that are draining or gone.
#[derive(Debug, Default)]
pub struct Departures {
    by_incarnation: BTreeMap<Incarnation, Departed>,
    last_order: u64,
}

/// The state of one incarnation that is draining or gone.
#[derive(Debug, Default)]
struct Departed {
    /// Whether it announced that it is draining.
    was_draining: bool,
    /// Number of its last message, if its entry was removed.
    last_number: Option<u64>,
    /// Whether the entry under its name now comes from another writer.
    has_foreign_entry: bool,
    /// Position in the order of changes; lower means earlier.
    order: u64,
}

impl Departures {
    /// Records that an incarnation announced that it is draining.
    pub fn mark_draining(&mut self, incarnation: Incarnation) {
        self.update(incarnation, |departed| departed.was_draining = true);
    }

    /// Records that the entry of an incarnation was removed, and the number of its last message.
    pub fn removed(&mut self, incarnation: Incarnation, number: u64) {
        self.update(incarnation, |departed| {
            departed.last_number = departed.last_number.max(Some(number));
            departed.has_foreign_entry = false;
        });
    }

    /// Records that the entry under an endpoint's name comes from another writer.
    pub fn record_foreign_entry(&mut self, name: &EndpointName) {
        if let Some(incarnation) = self.last_with_start_time(name).cloned() {
            self.update(incarnation, |departed| departed.has_foreign_entry = true);
        }
    }

    /// Applies what another daemon reports about an incarnation. Returns whether it was unknown.
    pub fn apply(&mut self, departure: &Departure) -> bool {
        let Departure { incarnation, was_draining, last_number } = departure;
        let known = self.by_incarnation.get(incarnation);
        let is_covered = |known: &Departed| {
            known.was_draining >= *was_draining && known.last_number >= *last_number
        };
        let is_unknown = !known.is_some_and(is_covered);
        if is_unknown {
            self.update(incarnation.clone(), |departed| {
                departed.was_draining |= *was_draining;
                departed.last_number = departed.last_number.max(*last_number);
            });
        }
        is_unknown
    }

    /// Returns whether an incarnation announced that it is draining.
    pub fn was_draining(&self, incarnation: &Incarnation) -> bool {
        self.by_incarnation.get(incarnation).is_some_and(|departed| departed.was_draining)
    }

    /// Returns the number of the last message of an incarnation whose entry was removed.
    pub fn last_number(&self, incarnation: &Incarnation) -> Option<u64> {
        self.by_incarnation.get(incarnation)?.last_number
    }

    /// Returns whether an entry comes from another writer: it has no start time, although an
    /// earlier incarnation of the endpoint had one.
    pub fn is_foreign(&self, endpoint: &Endpoint) -> bool {
        !endpoint.has_start_time() && self.last_with_start_time(&endpoint.name).is_some()
    }

    /// Returns at most `max_count` incarnations to report to daemons that may not know of them:
    /// first those whose name is used by another writer's entry, then the most recent ones.
    pub fn reports(
        &self,
        max_count: usize,
        is_listed: impl Fn(&Incarnation) -> bool,
    ) -> Vec<Departure> {
        let identifiable =
            self.by_incarnation.iter().filter(|(incarnation, _)| incarnation.started_unix_ms != 0);
        let gone = identifiable
            .filter(|(incarnation, departed)| departed.was_draining || !is_listed(incarnation));
        let mut gone: Vec<(&Incarnation, &Departed)> = gone.collect();
        gone.sort_by_key(|(_, departed)| {
            std::cmp::Reverse((departed.has_foreign_entry, departed.order))
        });
        let each = gone.into_iter().take(max_count).map(|(incarnation, departed)| Departure {
            incarnation: incarnation.clone(),
            was_draining: departed.was_draining,
            last_number: departed.last_number,
        });
        each.collect()
    }

    /// Returns the last incarnation under a name that had a start time.
    fn last_with_start_time(&self, name: &EndpointName) -> Option<&Incarnation> {
        let first = Incarnation { name: name.clone(), started_unix_ms: 1 };
        let last = Incarnation { name: name.clone(), started_unix_ms: u64::MAX };
        self.by_incarnation.range(first..=last).next_back().map(|(incarnation, _)| incarnation)
    }

    fn update(&mut self, incarnation: Incarnation, update: impl FnOnce(&mut Departed)) {
        self.last_order += 1;
        let departed = self.by_incarnation.entry(incarnation).or_default();
        departed.order = self.last_order;
        update(departed);
        if self.by_incarnation.len() > MAX_DEPARTURES {
            let oldest = self.by_incarnation.iter().min_by_key(|(_, departed)| departed.order);
            if let Some(incarnation) = oldest.map(|(incarnation, _)| incarnation.clone()) {
                self.by_incarnation.remove(&incarnation);
            }
        }
    }
}
