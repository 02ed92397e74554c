//! Events in the order of their times; those of the same time in the order they were made.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

/// Events that are still to come.
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
    /// Adds an event.
    pub(super) fn push(&mut self, at_us: u64, event: E) {
        self.order.push(Reverse((at_us, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// The next event with its time.
    pub(super) fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse((at_us, number)) = self.order.pop()?;
        Some((at_us, self.events.remove(&number)?))
    }

    /// Events so far.
    pub(super) fn count(&self) -> u64 {
        self.next
    }
}
