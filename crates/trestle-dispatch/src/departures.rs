//! Starts of endpoints that left or are gone, as long as an entry may still name them.
//!
//! The load that this answers: entries of other writers, and entries that arrive late, while
//! daemons are started one after the other. What an endpoint said before it left is the only thing
//! by which such an entry is told from its own, and a daemon that starts later has not heard it. So
//! leaders keep the last of these in the rows of their leases, which each daemon reads before the
//! list, and tell them to daemons that ask for the first time.
//!
//! Only starts that say when they were are remembered for others: where none does, there is
//! nothing to tell an entry by.

use crate::endpoint::{Endpoint, Incarnation};
use std::collections::BTreeMap;
use trestle_core::names::EndpointName;

/// Starts of which more is kept than that; the oldest are forgotten first. Some days' worth where
/// 160 VMs fail and 480 are replaced a day.
const MOST: usize = 4_096;

/// A start of an endpoint that left or is gone, as daemons tell each other.
#[trestle_macros::plain]
pub struct Departure {
    /// The start.
    pub incarnation: Incarnation,
    /// Whether it has said that it leaves.
    pub was_draining: bool,
    /// The number of its last message, if its entry was removed.
    pub last_number: Option<u64>,
}

/// Starts of endpoints that left or are gone.
#[derive(Debug, Default)]
pub struct Departures {
    by_life: BTreeMap<Incarnation, Departed>,
    count: u64,
}

/// What is kept of one start.
#[derive(Debug, Default)]
struct Departed {
    /// Whether it has said that it leaves.
    was_draining: bool,
    /// The number of its last message, once its entry was removed.
    last_number: Option<u64>,
    /// Whether another writer's entry stands under its name.
    is_named_by_another: bool,
    /// Lower ones were noted earlier.
    order: u64,
}

impl Departures {
    /// Notes that a start has said that it leaves.
    pub fn mark_draining(&mut self, incarnation: Incarnation) {
        self.note(incarnation, |departed| departed.was_draining = true);
    }

    /// Notes that the entry of a start was removed, and the number of its last message.
    pub fn removed(&mut self, incarnation: Incarnation, number: u64) {
        self.note(incarnation, |departed| {
            departed.last_number = departed.last_number.max(Some(number));
            departed.is_named_by_another = false;
        });
    }

    /// Notes that an entry under the name of such a start is another writer's.
    pub fn record_foreign_entry(&mut self, name: &EndpointName) {
        if let Some(incarnation) = self.last_told(name).cloned() {
            self.note(incarnation, |departed| departed.is_named_by_another = true);
        }
    }

    /// Takes what another daemon knows of a start; returns whether that is news.
    pub fn apply(&mut self, departure: &Departure) -> bool {
        let Departure { incarnation, was_draining: has_left, last_number } = departure;
        let known = self.by_life.get(incarnation);
        let knows =
            |known: &Departed| known.was_draining >= *has_left && known.last_number >= *last_number;
        let is_news = !known.is_some_and(knows);
        if is_news {
            self.note(incarnation.clone(), |departed| {
                departed.was_draining |= *has_left;
                departed.last_number = departed.last_number.max(*last_number);
            });
        }
        is_news
    }

    /// Whether a start has said that it leaves.
    pub fn was_draining(&self, incarnation: &Incarnation) -> bool {
        self.by_life.get(incarnation).is_some_and(|departed| departed.was_draining)
    }

    /// The number of the last message of a start whose entry was removed.
    pub fn last_number(&self, incarnation: &Incarnation) -> Option<u64> {
        self.by_life.get(incarnation)?.last_number
    }

    /// Whether an entry is another writer's: it does not say when its endpoint started, though
    /// that once did.
    pub fn is_foreign(&self, endpoint: &Endpoint) -> bool {
        !endpoint.has_start_time() && self.last_told(&endpoint.name).is_some()
    }

    /// Starts to be told to daemons that have not heard of them, so many at most: those under
    /// whose names another writer's entry stands, and the last ones.
    pub fn reports(&self, most: usize, is_listed: impl Fn(&Incarnation) -> bool) -> Vec<Departure> {
        let told = self.by_life.iter().filter(|(incarnation, _)| incarnation.started_unix_ms != 0);
        let gone =
            told.filter(|(incarnation, departed)| departed.was_draining || !is_listed(incarnation));
        let mut gone: Vec<(&Incarnation, &Departed)> = gone.collect();
        gone.sort_by_key(|(_, of)| std::cmp::Reverse((of.is_named_by_another, of.order)));
        let each = gone.into_iter().take(most).map(|(incarnation, departed)| Departure {
            incarnation: incarnation.clone(),
            was_draining: departed.was_draining,
            last_number: departed.last_number,
        });
        each.collect()
    }

    /// The last start under a name that said when it was.
    fn last_told(&self, name: &EndpointName) -> Option<&Incarnation> {
        let first = Incarnation { name: name.clone(), started_unix_ms: 1 };
        let last = Incarnation { name: name.clone(), started_unix_ms: u64::MAX };
        self.by_life.range(first..=last).next_back().map(|(incarnation, _)| incarnation)
    }

    fn note(&mut self, incarnation: Incarnation, note: impl FnOnce(&mut Departed)) {
        self.count += 1;
        let departed = self.by_life.entry(incarnation).or_default();
        departed.order = self.count;
        note(departed);
        if self.by_life.len() > MOST {
            let oldest = self.by_life.iter().min_by_key(|(_, departed)| departed.order);
            if let Some(incarnation) = oldest.map(|(incarnation, _)| incarnation.clone()) {
                self.by_life.remove(&incarnation);
            }
        }
    }
}
