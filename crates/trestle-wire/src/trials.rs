//! Attempts of requests under which endpoints may have crashed. Leaders decide which attempt may
//! run, so that only one runs at a time.

/// Bit of [`WireTrial::number`] that marks a renewal. A leader that does not know it takes the
/// message for the question of another attempt.
const RENEWAL_BIT: u64 = 1 << 63;

/// What a daemon says of its attempt.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum TrialStep {
    /// It asks for the permission to make the attempt.
    Begin,
    /// It has the permission and keeps it for longer.
    Renew,
    /// The attempt has ended, and a crash under it is known to all daemons.
    End,
}

/// Attempt of a request that may crash endpoints: a question whether it may run, or the report of
/// its end.
#[trestle_macros::wire]
pub struct WireTrial {
    /// VM whose daemon makes the attempt.
    pub vm: String,
    /// Fingerprint of the request.
    pub request: [u8; 16],
    /// Number of the attempt, unique among the attempts of this VM, with [`RENEWAL_BIT`] in a
    /// renewal.
    pub number: u64,
    /// Whether the attempt has ended without a crash of an endpoint.
    pub has_ended: bool,
    /// Whether another leader forwards this message, so that it is not forwarded again.
    pub is_passed_on: bool,
}

impl WireTrial {
    /// Creates the message about the attempt with a number.
    pub fn new(vm: String, request: [u8; 16], number: u64, step: TrialStep) -> Self {
        let number = match step {
            TrialStep::Renew => number | RENEWAL_BIT,
            TrialStep::Begin | TrialStep::End => number,
        };
        Self { vm, request, number, has_ended: step == TrialStep::End, is_passed_on: false }
    }

    /// Returns the number of the attempt.
    pub fn attempt_number(&self) -> u64 {
        self.number & !RENEWAL_BIT
    }

    /// Returns what the daemon says of the attempt.
    pub fn step(&self) -> TrialStep {
        match (self.has_ended, self.number & RENEWAL_BIT) {
            (true, _) => TrialStep::End,
            (false, 0) => TrialStep::Begin,
            (false, _) => TrialStep::Renew,
        }
    }
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
