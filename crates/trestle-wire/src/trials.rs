//! Attempts of requests under which endpoints may have crashed. Leaders decide which attempt may
//! run, so that only one runs at a time.

/// Bit of [`WireTrial::number`] that marks a renewal. A leader that does not know it takes the
/// message for the question of another attempt.
const RENEWAL_BIT: u64 = 1 << 63;
/// Bit of [`WireTrial::number`] that marks the end of an attempt without an answer. A leader that
/// does not know it takes the message for the end of another attempt, and the permission lapses.
const UNANSWERED_BIT: u64 = 1 << 62;

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
    /// The attempt has ended without an answer, at an endpoint that has given no sign of life since.
    EndUnanswered,
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
    /// renewal and [`UNANSWERED_BIT`] after an end without an answer.
    pub number: u64,
    /// Whether the attempt has ended.
    pub has_ended: bool,
    /// Whether another leader forwards this message, so that it is not forwarded again.
    pub is_passed_on: bool,
}

impl WireTrial {
    /// Creates the message about the attempt with a number.
    pub fn new(vm: String, request: [u8; 16], number: u64, step: TrialStep) -> Self {
        let number = match step {
            TrialStep::Renew => number | RENEWAL_BIT,
            TrialStep::EndUnanswered => number | UNANSWERED_BIT,
            TrialStep::Begin | TrialStep::End => number,
        };
        let has_ended = matches!(step, TrialStep::End | TrialStep::EndUnanswered);
        Self { vm, request, number, has_ended, is_passed_on: false }
    }

    /// Returns the number of the attempt.
    pub fn attempt_number(&self) -> u64 {
        self.number & !(RENEWAL_BIT | UNANSWERED_BIT)
    }

    /// Returns what the daemon says of the attempt.
    pub fn step(&self) -> TrialStep {
        let has = |bit: u64| self.number & bit != 0;
        match (self.has_ended, has(UNANSWERED_BIT), has(RENEWAL_BIT)) {
            (true, true, _) => TrialStep::EndUnanswered,
            (true, false, _) => TrialStep::End,
            (false, _, true) => TrialStep::Renew,
            (false, _, false) => TrialStep::Begin,
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
