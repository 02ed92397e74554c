//! The lease of one member.

/// The lease of one member, written by that member alone.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub struct LeaseRow {
    /// Grows with each renewal.
    pub renewals: u64,
    /// The latest epoch of the domain that the member acts on.
    pub epoch: u64,
}
