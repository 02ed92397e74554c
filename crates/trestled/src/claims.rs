//! Calls that may not be repeated.
//!
//! [`trestle_core::claim`] decides; this carries the steps out. An attempt runs
//! in a task of its own, so that a caller who goes away or whose deadline comes
//! does not end it between two steps. Whether the attempt may still send is
//! decided by a [`gate`].

mod gate;
mod record;
pub(crate) mod writer;

use crate::{
    daemon::Daemon,
    entry::{
        InFlight,
        choice::{self, Place},
        service_call::{self, Called, ServiceAnswer, ServiceCall},
    },
};
use futures_lite::FutureExt;
use gate::Gate;
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

/// Time between two looks at a claim that another attempt holds.
const WAIT_MS: u64 = 100;
/// Time for which an answer is still waited for, to record it, past the caller's deadline.
const LATE_ANSWER: Duration = Duration::from_secs(60);
/// Time for which an answer is held back until it is recorded.
const RECORD_MS: u64 = 500;

/// A call with everything that an attempt needs.
pub(crate) struct ClaimedCall {
    pub(crate) row: String,
    pub(crate) service: Service,
    pub(crate) call: ServiceCall,
    pub(crate) deadline: Instant,
    /// Whether the caller says that it has sent the key before.
    pub(crate) is_repeated: bool,
}

/// How a call ended, for its caller.
pub(crate) enum ClaimEnd {
    Answered(ServiceAnswer),
    NotRun,
    Unknown,
    OtherCall,
}

/// Runs a call once, or finds out what became of it.
pub(crate) async fn run(daemon: &Arc<Daemon>, claimed: ClaimedCall) -> ClaimEnd {
    let gate = Arc::new(Gate::default());
    let deadline = claimed.deadline;
    let is_repeated = claimed.is_repeated;
    let (reply, answer) = async_channel::bounded(1);
    let running = Running::new(Arc::clone(daemon), claimed, Arc::clone(&gate));
    let attempt = async move {
        let end = running.run().await;
        let _ = reply.try_send(end);
    };
    smol::spawn(attempt).detach();
    let ended = async { answer.recv().await.unwrap_or(ClaimEnd::Unknown) };
    let late = async {
        Timer::at(deadline).await;
        gate.close(is_repeated)
    };
    ended.or(late).await
}

/// An attempt under way.
struct Running {
    daemon: Arc<Daemon>,
    claimed: ClaimedCall,
    gate: Arc<Gate>,
    attempt: Attempt,
    digest: String,
    answer: Option<ServiceAnswer>,
}

impl Running {
    fn new(daemon: Arc<Daemon>, claimed: ClaimedCall, gate: Arc<Gate>) -> Self {
        let name = format!("{}-{:032x}", daemon.me, fastrand::u128(..));
        let digest = digest_of(&claimed.call);
        let attempt = Attempt::new(name, claimed.is_repeated);
        Self { daemon, claimed, gate, attempt, digest, answer: None }
    }

    async fn run(mut self) -> ClaimEnd {
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
        self.daemon.metrics.table_read();
        match record::read(&self.daemon, &self.claimed.row).await {
            Ok((version, claim)) => ClaimEvent::Read(self.take_row(version, claim).await),
            Err(error) => {
                tracing::warn!("claim: A claim cannot be read: {error}.");
                ClaimEvent::ReadFailed
            }
        }
    }

    async fn take_row(&mut self, version: u64, claim: Option<WireClaim>) -> ClaimRow {
        let same_call = claim.as_ref().is_none_or(|claim| claim.digest == self.digest);
        let state = match claim {
            None => ClaimState::Free,
            Some(WireClaim { state: WireClaimState::NotRun, .. }) => ClaimState::Free,
            Some(WireClaim { attempt, state: WireClaimState::Claimed, .. }) => {
                ClaimState::Claimed { attempt }
            }
            Some(WireClaim { attempt, state: WireClaimState::Answered { answer }, .. }) => {
                self.answer = record::kept_answer(&self.daemon, answer).await;
                match self.answer {
                    Some(_) => ClaimState::Answered,
                    // The answer is kept, but cannot be read at the moment.
                    None => ClaimState::Claimed { attempt },
                }
            }
        };
        ClaimRow { version, state, same_call }
    }

    async fn claim(&mut self, version: u64) -> ClaimEvent {
        self.gate.note_contested();
        let claim = self.wire_claim(WireClaimState::Claimed);
        let outcome = self.daemon.claim_writer.write(&self.claimed.row, version, &claim).await;
        match outcome {
            CommitOutcome::Committed => ClaimEvent::Claimed,
            CommitOutcome::Conflict => ClaimEvent::Conflict,
            CommitOutcome::Unknown => ClaimEvent::ClaimUnknown,
        }
    }

    async fn send(&mut self) -> ClaimEvent {
        self.gate.note_held();
        for endpoint in choice::order(&self.daemon, &self.claimed.service) {
            let place = choice::take(&self.daemon, &self.claimed.service, &endpoint);
            let Some(place) = place else { continue };
            if !self.begin_to_send() {
                return ClaimEvent::NotSent;
            }
            match self.send_to(&place).await {
                Called::Answered(answer) => {
                    self.answer = Some(answer);
                    return ClaimEvent::Answer;
                }
                Called::Lost(message) => {
                    tracing::warn!("claim: {endpoint} gave no whole answer: {message}.");
                    return ClaimEvent::AnswerLost;
                }
                // The connection was refused, so the next server may be tried.
                Called::NotSent(_) => {}
            }
        }
        // From here on nothing is sent, whatever the caller's side decides.
        self.gate.shut();
        ClaimEvent::NotSent
    }

    fn begin_to_send(&self) -> bool {
        Instant::now() < self.claimed.deadline && self.gate.begin_to_send()
    }

    async fn send_to(&self, place: &Place) -> Called {
        let client = &self.daemon.single_traffic;
        service_call::send(client, place, &self.claimed.call, LATE_ANSWER).await
    }

    /// Writes what became of the call; goes on in the background if that takes long.
    async fn record(&mut self, recorded: Recorded) -> ClaimEvent {
        let answer = self.answer.clone().filter(|_| recorded == Recorded::Answered);
        let daemon = Arc::clone(&self.daemon);
        let row = self.claimed.row.clone();
        let claim = self.wire_claim(WireClaimState::NotRun);
        let (done, is_done) = async_channel::bounded::<()>(1);
        let in_flight = InFlight::new(&self.daemon);
        let recording = async move {
            record::until_written(&daemon, &row, claim, answer).await;
            drop(in_flight);
            drop(done);
        };
        smol::spawn(recording).detach();
        if recorded == Recorded::Answered {
            let written = async {
                let _ = is_done.recv().await;
            };
            let limit = async {
                Timer::after(Duration::from_millis(RECORD_MS)).await;
            };
            written.or(limit).await;
        }
        ClaimEvent::Recorded
    }

    async fn wait(&mut self) -> ClaimEvent {
        self.gate.note_contested();
        if Instant::now() + Duration::from_millis(WAIT_MS) >= self.claimed.deadline {
            return ClaimEvent::Deadline;
        }
        Timer::after(Duration::from_millis(WAIT_MS)).await;
        self.read().await
    }

    fn end(&mut self, end: End) -> ClaimEnd {
        match end {
            End::Answered | End::Replayed => match self.answer.take() {
                Some(answer) => ClaimEnd::Answered(answer),
                None => ClaimEnd::Unknown,
            },
            End::NotRun => ClaimEnd::NotRun,
            End::Unknown => ClaimEnd::Unknown,
            End::OtherCall => ClaimEnd::OtherCall,
        }
    }

    fn wire_claim(&self, state: WireClaimState) -> WireClaim {
        WireClaim { attempt: self.attempt.name().to_owned(), digest: self.digest.clone(), state }
    }
}

fn digest_of(call: &ServiceCall) -> String {
    let mut digest = Sha256::new();
    for part in [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    hex::encode(digest.finalize())
}
