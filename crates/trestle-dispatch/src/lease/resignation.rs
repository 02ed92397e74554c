//! What a holder that steps down reports to other daemons.

/// What a holder reports once it has stepped down.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Resignation {
    /// The token under which it gives no further order.
    pub token: u64,
    /// Time for which no VM may give any order, because of earlier holders.
    pub quiet_for_ms: u64,
    /// Time after which its orders and those of earlier holders can no longer take effect.
    pub settled_for_ms: u64,
}

/// A resignation received from another daemon, with times on this daemon's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedResignation {
    pub(super) token: u64,
    /// When it was received.
    pub(super) at_ms: u64,
    pub(super) quiet_until_ms: u64,
    pub(super) settled_ms: u64,
}
