//! Intervals and time-outs of decisions.

/// Intervals and time-outs of decisions.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Timing {
    /// Time between two renewals of a lease, and between two reads.
    pub lease_ms: u64,
    /// Counted time without a renewal after which a lease has expired.
    pub expiry_ms: u64,
    /// Time for which an answer of an endpoint lets its owner give permits.
    pub grant_ms: u64,
    /// Time between two looks at an endpoint without requests.
    pub status_probe_ms: u64,
    /// Time between two rounds of placing models, while there is something to place.
    pub placing_ms: u64,
    /// Time between two rounds of placing models at rest.
    pub review_ms: u64,
    /// Time between two reads of the rows that a successor keeps.
    pub refresh_ms: u64,
    /// Time after which an order without an answer is sent again.
    pub order_ms: u64,
    /// Time after which an order that was sent has reached the endpoint, or never will.
    pub order_settle_ms: u64,
    /// Time after which a load that no report shows is ordered again.
    pub load_ms: u64,
    /// Time a VM must be gone from the platform's list to be held gone.
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
