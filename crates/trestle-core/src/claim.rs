//! Decisions about calls that may not be repeated.
//!
//! One attempt handles one arrival of a call at one daemon. It reads the row of the call's key.
//! It may send the call only after the row holds a claim with the attempt's own name, and only
//! once. What the attempt knows at each moment limits what it may report to the caller:
//!
//! - *not run*: only while the attempt holds the claim, has sent nothing and never will; if the
//!   row cannot be read at all, only if the caller has not sent the key before;
//! - *answered*: the recorded answer, or the one that the attempt has just received;
//! - *unknown*: in every other case.

/// Next step of an attempt.
#[trestle_macros::plain]
pub enum Step {
    /// Read the row of the key.
    Read,
    /// Write a claim into the row if the row still has the version.
    Claim {
        /// Version of the row when it was read.
        version: u64,
    },
    /// Send the call; this step comes at most once.
    Send,
    /// Record the outcome of the call in the row, then end.
    Record(Recorded),
    /// Wait briefly and read the row again, because another attempt holds the claim.
    Wait,
    /// End the attempt.
    End(End),
}

/// State of a call according to its row.
#[trestle_macros::plain]
pub enum ClaimState {
    /// No attempt has sent the call or may send it.
    Free,
    /// The attempt with the name holds the claim and may have sent the call.
    Claimed {
        /// Name of the attempt.
        attempt: String,
    },
    /// The call was answered.
    Answered,
}

/// Row of a call's key, as it was read.
#[trestle_macros::plain]
pub struct ClaimRow {
    /// Version of the row.
    pub version: u64,
    /// State of the call.
    pub state: ClaimState,
    /// Whether the call recorded in the row is the same as the call of the attempt.
    pub same_call: bool,
}

/// Outcome that an attempt records in the row.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Recorded {
    /// The call was never sent.
    NotRun,
    /// The call was answered.
    Answered,
}

/// Result with which an attempt ends.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum End {
    /// The caller gets the answer that this attempt received.
    Answered,
    /// The caller gets the answer that the row holds.
    Replayed,
    /// The call has certainly not run.
    NotRun,
    /// The call may or may not have run.
    Unknown,
    /// The key was used for another call.
    OtherCall,
}

/// Outcome of a step of an attempt.
#[trestle_macros::plain]
pub enum ClaimEvent {
    /// The row was read.
    Read(ClaimRow),
    /// The row could not be read.
    ReadFailed,
    /// The claim was written.
    Claimed,
    /// The claim was not written: the row had changed.
    Conflict,
    /// The write of the claim may or may not have taken effect.
    ClaimUnknown,
    /// No part of the call was sent.
    NotSent,
    /// The call was sent and its whole answer was received.
    Answer,
    /// The call was sent and no complete answer was received.
    AnswerLost,
    /// The outcome was recorded, or will be as soon as the platform allows.
    Recorded,
    /// The deadline has passed.
    Deadline,
}

/// One attempt at a call that may not be repeated.
#[trestle_macros::plain]
pub struct Attempt {
    name: String,
    is_repeated: bool,
    phase: AttemptPhase,
}

#[trestle_macros::plain]
#[derive(Copy)]
enum AttemptPhase {
    /// The attempt has written nothing.
    Fresh,
    /// The attempt may have written a claim and has sent nothing.
    MayHold,
    /// The attempt waits for the one that holds the claim.
    Waiting,
    /// The attempt holds the claim, and the call may be in progress.
    Sending,
    Recording(End),
}

impl Attempt {
    /// Creates an attempt. The name must never be used for another attempt.
    ///
    /// `is_repeated` states that the caller has sent the key before.
    pub fn new(name: String, is_repeated: bool) -> Self {
        Self { name, is_repeated, phase: AttemptPhase::Fresh }
    }

    /// Returns the name of the attempt.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the first step.
    pub fn first(&self) -> Step {
        Step::Read
    }

    /// Returns the step that follows the outcome of the previous one.
    pub fn next(&mut self, event: ClaimEvent) -> Step {
        match (self.phase, event) {
            (AttemptPhase::Sending, ClaimEvent::Answer) => {
                self.record(Recorded::Answered, End::Answered)
            }
            (AttemptPhase::Sending, ClaimEvent::NotSent) => {
                self.record(Recorded::NotRun, End::NotRun)
            }
            (AttemptPhase::Sending, _) => Step::End(End::Unknown),
            (AttemptPhase::Recording(end), _) => Step::End(end),
            (_, ClaimEvent::Read(row)) => self.on_row(row),
            (AttemptPhase::Fresh | AttemptPhase::MayHold, ClaimEvent::Claimed) => self.send(),
            (AttemptPhase::MayHold, ClaimEvent::ClaimUnknown) => Step::Read,
            (AttemptPhase::MayHold, ClaimEvent::Conflict) => Step::Read,
            // Another attempt may hold the claim and may have sent the call.
            (AttemptPhase::MayHold, _) => self.record(Recorded::NotRun, End::Unknown),
            (AttemptPhase::Fresh, _) if self.is_repeated => Step::End(End::Unknown),
            (AttemptPhase::Fresh, _) => Step::End(End::NotRun),
            (AttemptPhase::Waiting, _) => Step::End(End::Unknown),
        }
    }

    fn on_row(&mut self, row: ClaimRow) -> Step {
        let is_free = row.state == ClaimState::Free;
        if !is_free && !row.same_call {
            return Step::End(End::OtherCall);
        }
        match row.state {
            ClaimState::Free => {
                self.phase = AttemptPhase::MayHold;
                Step::Claim { version: row.version }
            }
            ClaimState::Claimed { attempt } if attempt == self.name => self.send(),
            ClaimState::Claimed { .. } => {
                self.phase = AttemptPhase::Waiting;
                Step::Wait
            }
            ClaimState::Answered => Step::End(End::Replayed),
        }
    }

    fn send(&mut self) -> Step {
        self.phase = AttemptPhase::Sending;
        Step::Send
    }

    fn record(&mut self, recorded: Recorded, end: End) -> Step {
        self.phase = AttemptPhase::Recording(end);
        Step::Record(recorded)
    }
}
