//! The time in which the holder of the lease may send orders.

/// The time in which orders may be sent, as the lease stands; empty by default.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub struct OrderWindow {
    /// Fencing number of the orders.
    pub token: u64,
    /// Start of the window.
    pub from_ms: u64,
    /// End of the window. An order that is sent before arrives while the lease is held.
    pub until_ms: u64,
    /// When the lease expires; 0 if it is not held.
    pub held_until_ms: u64,
}

impl OrderWindow {
    /// Returns whether an order may be sent now.
    pub fn contains(&self, now_ms: u64) -> bool {
        self.from_ms <= now_ms && now_ms < self.until_ms
    }

    /// Returns whether the lease is held now.
    pub fn is_held(&self, now_ms: u64) -> bool {
        now_ms < self.held_until_ms
    }
}
