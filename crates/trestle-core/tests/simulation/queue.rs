//! Queue of scheduled events.

use std::collections::BTreeMap;

/// Queue of items that are scheduled for a time; items of the same time keep their order.
pub(crate) struct Queue<T> {
    items: BTreeMap<(u64, u64), T>,
    added: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { items: BTreeMap::new(), added: 0 }
    }
}

impl<T> Queue<T> {
    pub(crate) fn push(&mut self, at_ms: u64, item: T) {
        self.added += 1;
        self.items.insert((at_ms, self.added), item);
    }

    pub(crate) fn pop_before(&mut self, end_ms: u64) -> Option<(u64, T)> {
        let first = self.items.first_entry().filter(|entry| entry.key().0 < end_ms)?;
        let ((at_ms, _), item) = first.remove_entry();
        Some((at_ms, item))
    }
}
