//! A queue of events in the order of their times; events of the same time keep the order in which
//! they were added.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

/// The pending events of a simulation.
#[derive(Debug)]
pub(super) struct Queue<E> {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, E>,
    next: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self { order: BinaryHeap::new(), events: BTreeMap::new(), next: 0 }
    }
}

impl<E> Queue<E> {
    /// Adds an event that happens at `at_us` of virtual time.
    pub(super) fn push(&mut self, at_us: u64, event: E) {
        self.order.push(Reverse((at_us, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Removes and returns the earliest event with its time, or `None` if the queue is empty.
    pub(super) fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse((at_us, number)) = self.order.pop()?;
        Some((at_us, self.events.remove(&number)?))
    }

    /// Returns the number of events added so far, including those removed since.
    pub(super) fn count(&self) -> u64 {
        self.next
    }
}
