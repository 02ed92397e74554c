//! How urgent the requests of a service are.
//!
//! Engines admit the more urgent first, so a request waits in an engine's queue only behind
//! those that are as urgent as itself.

use std::collections::BTreeMap;

/// Part of its weight that each arrival loses with the next: the last hundred count.
const FORGOTTEN_PART: f64 = 0.01;

/// Arrivals of a service by urgency, the last ones.
#[derive(Debug, Default)]
pub struct UrgencyMix {
    weights: BTreeMap<u8, f64>,
}

impl UrgencyMix {
    /// Notes a request; 0 is most urgent.
    pub fn arrived(&mut self, priority: u8) {
        for weight in self.weights.values_mut() {
            *weight *= 1.0 - FORGOTTEN_PART;
        }
        *self.weights.entry(priority).or_default() += 1.0;
    }

    /// The part of all requests that an engine admits no later than one of this urgency; 1 while
    /// nothing is known.
    pub fn part_ahead_of(&self, priority: u8) -> f64 {
        let all: f64 = self.weights.values().sum();
        let ahead: f64 = self.weights.range(..=priority).map(|(_, weight)| weight).sum();
        if ahead > 0.0 { ahead / all } else { 1.0 }
    }
}
