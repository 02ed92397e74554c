//! What daemons ask of requests under which endpoints ended.

/// An attempt of such a request.
#[trestle_macros::wire]
pub struct WireTrial {
    /// The VM where it would run, or has.
    pub vm: String,
    /// The digest of the request.
    pub request: [u8; 16],
    /// A number that no other attempt of this VM has.
    pub number: u64,
    /// Whether it has ended, no endpoint with it.
    pub has_ended: bool,
    /// Whether another leader passes this on, so that it goes no further.
    pub is_passed_on: bool,
}

/// What becomes of it.
#[trestle_macros::wire]
#[derive(Copy)]
pub enum WireTrialAnswer {
    /// It may run.
    Runs,
    /// Another one runs.
    Waits {
        /// Time after which it may be asked for again, at the latest.
        for_ms: u64,
    },
    /// The one that was asked does not decide on it, and does not know who does.
    Undecided,
}
