//! Intervals and timeouts of decisions.

/// Intervals and timeouts of decisions.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Timing {
    /// Interval of lease renewals and of membership reads.
    pub lease_ms: u64,
    /// Counted time without a renewal after which a lease has expired.
    pub expiry_ms: u64,
    /// Time, from the sending of an accepted order, for which the owner may grant permits.
    pub grant_ms: u64,
    /// Interval of status probes at an endpoint without requests.
    pub status_probe_ms: u64,
    /// Interval of the first review rounds after a change of the configuration.
    pub placing_ms: u64,
    /// Interval of later review rounds.
    pub review_ms: u64,
    /// Interval of reads of the endpoint rows.
    pub refresh_ms: u64,
    /// Time after which an order without an answer is sent again.
    pub order_ms: u64,
    /// Time after which a sent order has either reached the endpoint or never will.
    pub order_settle_ms: u64,
    /// Time after which a load that no report shows as complete is ordered again.
    pub load_ms: u64,
    /// Time for which a VM must be missing from the platform's list to count as gone.
    pub settle_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 2_000,
            expiry_ms: 8_000,
            grant_ms: 2_000,
            status_probe_ms: 10_000,
            placing_ms: 500,
            review_ms: 5_000,
            refresh_ms: 30_000,
            order_ms: 1_000,
            order_settle_ms: 5_000,
            load_ms: 60_000,
            settle_ms: 30_000,
        }
    }
}
