//! Attempts of requests under which endpoints may have crashed. Leaders decide which attempt may
//! run, so that only one runs at a time.

/// Attempt of a request that may crash endpoints: a question whether it may run, or the report of
/// its end.
#[trestle_macros::wire]
pub struct WireTrial {
    /// VM whose daemon makes the attempt.
    pub vm: String,
    /// Fingerprint of the request.
    pub request: [u8; 16],
    /// Number of the attempt, unique among the attempts of this VM.
    pub number: u64,
    /// Whether the attempt has ended without a crash of an endpoint.
    pub has_ended: bool,
    /// Whether another leader forwards this message, so that it is not forwarded again.
    pub is_passed_on: bool,
}

/// Decision on an attempt.
#[trestle_macros::wire]
#[derive(Copy)]
pub enum WireTrialAnswer {
    /// The attempt may run.
    Runs,
    /// Another attempt of the request may be running.
    Waits {
        /// Time after which the attempt may be requested again, in milliseconds.
        for_ms: u64,
    },
    /// The receiving daemon does not decide on the request, and does not know which leader does.
    Undecided,
}
