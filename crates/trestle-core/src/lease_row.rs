//! Row that holds the lease of one member.

/// Lease of one member; only that member writes it.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub struct LeaseRow {
    /// Number of renewals so far.
    pub renewals: u64,
    /// Latest epoch of the domain on which the member acts.
    pub epoch: u64,
}
