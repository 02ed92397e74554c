//! Decisions about a call that may not be repeated.
//!
//! One attempt handles one arrival of a call at one daemon. It reads the row of
//! the call's key, and only once the row holds a claim with its own name may it
//! send the call, and only once. What it knows at each moment decides what it
//! may tell the caller:
//!
//! - *not run*: only while the attempt holds the claim and has sent nothing and
//!   never will. Where the row cannot be read at all, only if the caller has not
//!   sent the key before.
//! - *answered*: the recorded answer, or the one it has just received.
//! - *unknown*: in every other case.

/// What one attempt does next.
#[trestle_macros::plain]
pub enum Step {
    /// Read the row of the key.
    Read,
    /// Write a claim over the row, if it still has the version.
    Claim {
        /// The version that was read.
        version: u64,
    },
    /// Send the call, once.
    Send,
    /// Write into the row what became of the call, then end.
    Record(Recorded),
    /// Wait a little and read again: another attempt holds the claim.
    Wait,
    /// End.
    End(End),
}

/// What a row says of a call.
#[trestle_macros::plain]
pub enum ClaimState {
    /// No attempt has sent it or may send it.
    Free,
    /// The attempt named may have sent it.
    Claimed {
        /// Its name.
        attempt: String,
    },
    /// It was answered.
    Answered,
}

/// A row as it was read.
#[trestle_macros::plain]
pub struct ClaimRow {
    /// Its version.
    pub version: u64,
    /// What it says.
    pub state: ClaimState,
    /// Whether the recorded call is the same as this one.
    pub same_call: bool,
}

/// What an attempt writes into the row.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Recorded {
    /// The call was never sent.
    NotRun,
    /// The call was answered.
    Answered,
}

/// How an attempt ends.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum End {
    /// With the answer that this attempt received.
    Answered,
    /// With the answer that the row holds.
    Replayed,
    /// Not run, and sure of it.
    NotRun,
    /// Nobody can tell whether it has run.
    Unknown,
    /// The key stands for another call.
    OtherCall,
}

/// What happened to an attempt.
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
    /// Whether the claim was written is not known.
    ClaimUnknown,
    /// The call was not sent, not even in part.
    NotSent,
    /// The call was sent and its whole answer received.
    Answer,
    /// The call was sent, and no whole answer came.
    AnswerLost,
    /// The record was written, or will be as soon as the platform allows.
    Recorded,
    /// The deadline has come.
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
    /// Has written nothing.
    Fresh,
    /// May have written a claim and has sent nothing.
    MayHold,
    /// Waits for the attempt that holds the claim.
    Waiting,
    /// Holds the claim; the call may be under way.
    Sending,
    Recording(End),
}

impl Attempt {
    /// A new attempt; its name must be unique for all time.
    ///
    /// `is_repeated` says that the caller has sent the key before.
    pub fn new(name: String, is_repeated: bool) -> Self {
        Self { name, is_repeated, phase: AttemptPhase::Fresh }
    }

    /// The name of the attempt.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The first step.
    pub fn first(&self) -> Step {
        Step::Read
    }

    /// Takes what happened and returns the next step.
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
            // Another attempt may hold the claim and have sent the call.
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
