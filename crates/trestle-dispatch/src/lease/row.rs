//! The row of the store that holds the lease, and its conditional writes.

use crate::{crashes::CrashReport, departures::Departure, store_version::StoreVersion};
use std::net::SocketAddr;

/// The row of the store that holds the lease.
#[trestle_macros::plain]
pub struct LeaseRow {
    /// The VM that holds the lease.
    pub holder: String,
    /// Address of its daemon for other daemons.
    pub address: SocketAddr,
    /// CPU of that VM, in thousandths of a core.
    pub millicores: u32,
    /// A random number that identifies the start of that daemon.
    pub incarnation: u64,
    /// Fencing number; grows with each holder.
    pub token: u64,
    /// Number of renewals by this holder.
    pub renewals: u64,
    /// Whether the quiet time after the previous holder is over. Only then may a daemon that
    /// restarts on the holder's VM give orders at once.
    pub has_begun: bool,
    /// Whether the holder has released the lease.
    pub is_released: bool,
    /// Number of daemons that sync with the holder, as it last counted them.
    pub daemons: u32,
    /// Requests that are refused because endpoints crashed under them. They are stored here so that
    /// daemons that all restart at once need not lose endpoints to detect them again.
    pub refused: Vec<CrashReport>,
    /// Endpoints that are draining or gone, for daemons that restart and may receive older entries.
    pub departures: Vec<Departure>,
}

/// A conditional write of the row.
#[trestle_macros::plain]
pub struct LeaseWrite {
    /// The version that the row must have; its number is 0 if the row must not exist.
    pub expected: StoreVersion,
    /// The new row.
    pub row: LeaseRow,
}

impl LeaseWrite {
    /// Returns whether an answer that the row was written with this version confirms the write. In
    /// another era the expected version may have been that of other content.
    pub fn is_confirmed_by(&self, version: StoreVersion) -> bool {
        version.era == self.expected.era
    }
}
