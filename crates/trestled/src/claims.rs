//! Execution of calls that must not run twice.
//!
//! [`trestle_core::claim`] decides the steps of an attempt, and this module executes them. Each
//! attempt runs in a task of its own, so that it is not interrupted between two steps if the caller
//! disconnects or the deadline passes. The [`SendState`] of an attempt decides whether the attempt
//! may still send its call.

mod record;
mod send_state;
pub(crate) mod writer;

use crate::{
    daemon::Daemon,
    entry::{
        InFlight,
        server_selection::{self, ServerSlot},
        service_call::{self, CallOutcome, ServiceAnswer, ServiceCall},
    },
};
use futures_lite::FutureExt;
use send_state::SendState;
use sha2::{Digest, Sha256};
use smol::Timer;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use trestle_config::Service;
use trestle_core::{
    claim::{Attempt, ClaimEvent, ClaimRow, ClaimState, End, Recorded, Step},
    row::CommitOutcome,
};
use trestle_wire::claim::{WireClaim, WireClaimState};

/// Interval at which a claim that another attempt holds is read.
const POLL_INTERVAL_MS: u64 = 100;
/// Time limit for the answer of a server. It exceeds the caller's deadline, so that a late answer
/// is still recorded.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);
/// Longest time for which an answer is withheld from the caller until it is recorded.
const RECORD_WAIT_MS: u64 = 500;

/// A call together with the data that an attempt to run it needs.
pub(crate) struct ClaimedCall {
    /// The key of the row that holds the claim.
    pub(crate) row: String,
    pub(crate) service: Service,
    pub(crate) call: ServiceCall,
    pub(crate) deadline: Instant,
    /// Whether the caller states that it has sent the idempotency key before.
    pub(crate) is_repeated: bool,
}

/// The outcome of a call, as it is reported to its caller.
pub(crate) enum ClaimOutcome {
    /// This or an earlier attempt received an answer.
    Answered(ServiceAnswer),
    /// This attempt did not send the call and never will.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The idempotency key was used for a different call.
    OtherCall,
}

/// Runs a call unless an earlier attempt has done so, and returns its outcome; at the deadline,
/// returns what is known by then.
pub(crate) async fn run(daemon: &Arc<Daemon>, claimed: ClaimedCall) -> ClaimOutcome {
    let send_state = Arc::new(SendState::default());
    let deadline = claimed.deadline;
    let is_repeated = claimed.is_repeated;
    let (reply, answer) = async_channel::bounded(1);
    let task = AttemptTask::new(Arc::clone(daemon), claimed, Arc::clone(&send_state));
    let attempt = async move {
        let end = task.run().await;
        let _ = reply.try_send(end);
    };
    smol::spawn(attempt).detach();
    let ended = async { answer.recv().await.unwrap_or(ClaimOutcome::Unknown) };
    let timed_out = async {
        Timer::at(deadline).await;
        send_state.close_at_deadline(is_repeated)
    };
    ended.or(timed_out).await
}

/// A running attempt.
struct AttemptTask {
    daemon: Arc<Daemon>,
    claimed: ClaimedCall,
    send_state: Arc<SendState>,
    attempt: Attempt,
    /// The SHA-256 of the call's method, path and body, in hexadecimal.
    digest: String,
    /// The answer that was received, or that the row holds.
    answer: Option<ServiceAnswer>,
}

impl AttemptTask {
    fn new(daemon: Arc<Daemon>, claimed: ClaimedCall, send_state: Arc<SendState>) -> Self {
        let name = format!("{}-{:032x}", daemon.own_vm, fastrand::u128(..));
        let digest = call_digest(&claimed.call);
        let attempt = Attempt::new(name, claimed.is_repeated);
        Self { daemon, claimed, send_state, attempt, digest, answer: None }
    }

    async fn run(mut self) -> ClaimOutcome {
        let _in_flight = InFlight::new(&self.daemon);
        let mut step = self.attempt.first();
        loop {
            let event = match step {
                Step::Read => self.read().await,
                Step::Claim { version } => self.claim(version).await,
                Step::Send => self.send().await,
                Step::Record(recorded) => self.record(recorded).await,
                Step::Wait => self.wait().await,
                Step::End(end) => return self.end(end),
            };
            step = self.attempt.next(event);
        }
    }

    async fn read(&mut self) -> ClaimEvent {
        if self.daemon.platform_is_down() {
            return ClaimEvent::ReadFailed;
        }
        self.daemon.metrics.record_table_read();
        match record::read(&self.daemon, &self.claimed.row).await {
            Ok((version, claim)) => ClaimEvent::Read(self.interpret_row(version, claim).await),
            Err(error) => {
                tracing::warn!("claim: A claim row cannot be read: {error}.");
                ClaimEvent::ReadFailed
            }
        }
    }

    async fn interpret_row(&mut self, version: u64, claim: Option<WireClaim>) -> ClaimRow {
        let same_call = claim.as_ref().is_none_or(|claim| claim.digest == self.digest);
        let state = match claim {
            None => ClaimState::Free,
            Some(WireClaim { state: WireClaimState::NotRun, .. }) => ClaimState::Free,
            Some(WireClaim { attempt, state: WireClaimState::Claimed, .. }) => {
                ClaimState::Claimed { attempt }
            }
            Some(WireClaim { attempt, state: WireClaimState::Answered { answer }, .. }) => {
                self.answer = record::load_answer(&self.daemon, answer).await;
                match self.answer {
                    Some(_) => ClaimState::Answered,
                    // The row holds an answer whose body cannot be read at the moment.
                    None => ClaimState::Claimed { attempt },
                }
            }
        };
        ClaimRow { version, state, same_call }
    }

    async fn claim(&mut self, version: u64) -> ClaimEvent {
        self.send_state.mark_contested();
        let claim = self.wire_claim(WireClaimState::Claimed);
        let outcome = self.daemon.claim_writer.write(&self.claimed.row, version, &claim).await;
        match outcome {
            CommitOutcome::Committed => ClaimEvent::Claimed,
            CommitOutcome::Conflict => ClaimEvent::Conflict,
            CommitOutcome::Unknown => ClaimEvent::ClaimUnknown,
        }
    }

    async fn send(&mut self) -> ClaimEvent {
        self.send_state.mark_held();
        for endpoint in server_selection::ranked(&self.daemon, &self.claimed.service) {
            let slot = server_selection::acquire(&self.daemon, &self.claimed.service, &endpoint);
            let Some(slot) = slot else { continue };
            if !self.try_begin_sending() {
                return ClaimEvent::NotSent;
            }
            match self.send_to(&slot).await {
                CallOutcome::Answered(answer) => {
                    self.answer = Some(answer);
                    return ClaimEvent::Answer;
                }
                CallOutcome::AnswerLost(message) => {
                    tracing::warn!(
                        "claim: Endpoint {endpoint} returned no complete answer: {message}."
                    );
                    return ClaimEvent::AnswerLost;
                }
                // The server refused the connection, so the next one can be tried.
                CallOutcome::NotSent(_) => {}
            }
        }
        // The row is about to state that the call was not run, so nothing may be sent after this
        // point.
        self.send_state.forbid_sending();
        ClaimEvent::NotSent
    }

    fn try_begin_sending(&self) -> bool {
        Instant::now() < self.claimed.deadline && self.send_state.try_begin_sending()
    }

    async fn send_to(&self, slot: &ServerSlot) -> CallOutcome {
        let client = &self.daemon.single_use_client;
        service_call::send(client, slot, &self.claimed.call, ANSWER_LIMIT).await
    }

    /// Records the outcome of the call in its row. Waits for the write only if the call was
    /// answered, and then for at most [`RECORD_WAIT_MS`]; the write continues in the background.
    async fn record(&mut self, recorded: Recorded) -> ClaimEvent {
        let answer = self.answer.clone().filter(|_| recorded == Recorded::Answered);
        let daemon = Arc::clone(&self.daemon);
        let row = self.claimed.row.clone();
        let claim = self.wire_claim(WireClaimState::NotRun);
        let (done, finished) = async_channel::bounded::<()>(1);
        let in_flight = InFlight::new(&self.daemon);
        let recording = async move {
            record::write_with_retries(&daemon, &row, claim, answer).await;
            drop(in_flight);
            drop(done);
        };
        smol::spawn(recording).detach();
        if recorded == Recorded::Answered {
            let written = async {
                let _ = finished.recv().await;
            };
            let limit = async {
                Timer::after(Duration::from_millis(RECORD_WAIT_MS)).await;
            };
            written.or(limit).await;
        }
        ClaimEvent::Recorded
    }

    async fn wait(&mut self) -> ClaimEvent {
        self.send_state.mark_contested();
        if Instant::now() + Duration::from_millis(POLL_INTERVAL_MS) >= self.claimed.deadline {
            return ClaimEvent::Deadline;
        }
        Timer::after(Duration::from_millis(POLL_INTERVAL_MS)).await;
        self.read().await
    }

    fn end(&mut self, end: End) -> ClaimOutcome {
        match end {
            End::Answered | End::Replayed => match self.answer.take() {
                Some(answer) => ClaimOutcome::Answered(answer),
                None => ClaimOutcome::Unknown,
            },
            End::NotRun => ClaimOutcome::NotRun,
            End::Unknown => ClaimOutcome::Unknown,
            End::OtherCall => ClaimOutcome::OtherCall,
        }
    }

    fn wire_claim(&self, state: WireClaimState) -> WireClaim {
        WireClaim { attempt: self.attempt.name().to_owned(), digest: self.digest.clone(), state }
    }
}

fn call_digest(call: &ServiceCall) -> String {
    let mut digest = Sha256::new();
    for part in [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    hex::encode(digest.finalize())
}
