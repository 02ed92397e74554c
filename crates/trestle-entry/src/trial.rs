//! Asks a leader whether a request that may have crashed endpoints may run, and decides on it
//! where this daemon leads.

use crate::{connection_loss, control::message::Leader, daemon::Daemon, peer::calls};
use smol::Timer;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use trestle_core::names::VmName;
use trestle_dispatch::{
    endpoint::Endpoint, fingerprint::Fingerprint, unresolved_requests::MAX_CRASH_DELAY_MS,
};
use trestle_wire::{
    replicas::ReplicasClient,
    trials::{WireTrial, WireTrialAnswer},
};

/// Retry-after time for callers while no leader can be reached: about the time until there is a
/// new leader.
const NO_LEADER_MS: u64 = 1_000;

/// The permission of one request to run although endpoints may have crashed under it.
#[derive(Debug, Default)]
pub(crate) struct Trial {
    attempt: Mutex<Option<PermittedAttempt>>,
}

/// A permitted attempt. When it is dropped, other attempts may run if no endpoint can crash under
/// this one any more; otherwise they are held off until a crash would be known.
#[derive(Debug)]
struct PermittedAttempt {
    daemon: Arc<Daemon>,
    /// Id of the caller's request, for logs.
    id: String,
    request: Fingerprint,
    number: u64,
    /// When the permission was received.
    received_ms: u64,
    /// The endpoint that may still crash under the attempt, and when the attempt was sent there.
    at: Option<(Endpoint, u64)>,
}

impl Trial {
    /// Returns whether an attempt is permitted.
    pub(crate) fn is_permitted(&self) -> bool {
        self.attempt().is_some()
    }

    /// Asks a leader for permission.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry, in ms.
    pub(crate) async fn begin(
        &self,
        daemon: &Arc<Daemon>,
        id: &str,
        request: Fingerprint,
    ) -> Result<(), u64> {
        let number = daemon.next_number();
        let answer = ask_leader(daemon, wire_trial(daemon, request, number, false)).await;
        let must_run_serially =
            daemon.shared_view.with(|local_view| local_view.crashes.must_run_serially(request));
        tracing::info!(id, %request, number, answer = ?answer, is_known = must_run_serially, "request: The request may crash endpoints; a leader was asked for permission.");
        match answer {
            // If no leader answers, a request that is only suspected of crashing endpoints may run.
            WireTrialAnswer::Undecided if must_run_serially => Err(NO_LEADER_MS),
            WireTrialAnswer::Runs | WireTrialAnswer::Undecided => {
                *self.attempt() = Some(PermittedAttempt {
                    daemon: Arc::clone(daemon),
                    id: id.to_owned(),
                    request,
                    number,
                    received_ms: daemon.shared_view.now_ms(),
                    at: None,
                });
                Ok(())
            }
            WireTrialAnswer::Waits { for_ms } => Err(for_ms),
        }
    }

    /// Records that the attempt is being sent to an endpoint, which may crash under it from now
    /// on.
    pub(crate) fn sent(&self, endpoint: &Endpoint) {
        if let Some(attempt) = &mut *self.attempt() {
            tracing::info!(
                id = attempt.id, request = %attempt.request, number = attempt.number,
                endpoint = %endpoint.name, held_ms = attempt.held_ms(),
                "request: A permitted attempt is sent."
            );
            attempt.at = Some((endpoint.clone(), attempt.daemon.shared_view.now_ms()));
        }
    }

    /// Records that the endpoint has not crashed under the attempt, because it did not run there
    /// or was answered.
    pub(crate) fn settled(&self) {
        if let Some(attempt) = &mut *self.attempt() {
            attempt.at = None;
        }
    }

    /// Records that the attempt may have run without a complete answer. The request needs a new
    /// permission.
    pub(crate) fn unanswered(&self) {
        drop(self.attempt().take());
    }

    fn attempt(&self) -> MutexGuard<'_, Option<PermittedAttempt>> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PermittedAttempt {
    /// Returns the time since the permission was received.
    fn held_ms(&self) -> u64 {
        self.daemon.shared_view.now_ms().saturating_sub(self.received_ms)
    }
}

impl Drop for PermittedAttempt {
    fn drop(&mut self) {
        let unresolved_at = self.at.as_ref().map(|(endpoint, _)| endpoint.name.as_str());
        tracing::info!(
            id = self.id, request = %self.request, number = self.number, unresolved_at,
            held_ms = self.held_ms(), "request: A permitted attempt has ended."
        );
        let (daemon, request, number) = (Arc::clone(&self.daemon), self.request, self.number);
        if let Some((endpoint, sent_ms)) = self.at.take() {
            smol::spawn(check_later(daemon, endpoint, request, sent_ms)).detach();
            return;
        }
        let report =
            async move { ask_leader(&daemon, wire_trial(&daemon, request, number, true)).await };
        smol::spawn(report).detach();
    }
}

/// Checks after a delay whether an endpoint has crashed under a request whose answer was not
/// awaited.
async fn check_later(daemon: Arc<Daemon>, endpoint: Endpoint, request: Fingerprint, sent_ms: u64) {
    Timer::after(Duration::from_millis(MAX_CRASH_DELAY_MS)).await;
    connection_loss::record_lost(&daemon, &endpoint, request, sent_ms);
}

fn wire_trial(daemon: &Daemon, request: Fingerprint, number: u64, has_ended: bool) -> WireTrial {
    let request = *request.as_bytes();
    let vm = daemon.settings.vm.clone();
    WireTrial { vm, request, number, has_ended, is_passed_on: false }
}

/// Asks this daemon's leader, or another leader if that one does not decide.
async fn ask_leader(daemon: &Daemon, trial: WireTrial) -> WireTrialAnswer {
    let call = async |leader: Leader| {
        let answer = match leader {
            Leader::Here { .. } => decide(daemon, trial.clone()).await,
            Leader::At { address, .. } => ask_leader_at(daemon, address, trial.clone()).await,
            Leader::Nobody => WireTrialAnswer::Undecided,
        };
        Some(answer).filter(|answer| *answer != WireTrialAnswer::Undecided)
    };
    calls::first_answer(daemon, call).await.unwrap_or(WireTrialAnswer::Undecided)
}

async fn ask_leader_at(daemon: &Daemon, address: SocketAddr, trial: WireTrial) -> WireTrialAnswer {
    let call = async |client: ReplicasClient, context| client.try_out(context, trial).await;
    daemon.calls.call(address, call).await.unwrap_or(WireTrialAnswer::Undecided)
}

/// Decides on an attempt, or asks the leader that does. For each request one leader decides,
/// whichever leader the receiving daemon syncs with.
pub(crate) async fn decide(daemon: &Daemon, mut trial: WireTrial) -> WireTrialAnswer {
    let request = Fingerprint::from_bytes(trial.request);
    let (leader, since_ms) = calls::decision_leader(daemon, request.to_string()).await;
    match leader {
        Leader::Here { .. } => decide_here(daemon, &trial, since_ms),
        Leader::At { address, .. } if !trial.is_passed_on => {
            trial.is_passed_on = true;
            ask_leader_at(daemon, address, trial).await
        }
        Leader::At { .. } | Leader::Nobody => WireTrialAnswer::Undecided,
    }
}

fn decide_here(daemon: &Daemon, trial: &WireTrial, since_ms: Option<u64>) -> WireTrialAnswer {
    let request = Fingerprint::from_bytes(trial.request);
    let vm = VmName::from(trial.vm.as_str());
    let now_ms = daemon.shared_view.now_ms();
    let answer = daemon.with_trials(|trials| {
        if trial.has_ended {
            trials.end(request, &vm, trial.number);
            return WireTrialAnswer::Runs;
        }
        trials.set_leader_since(since_ms);
        match trials.begin(request, vm, trial.number, now_ms) {
            Ok(()) => WireTrialAnswer::Runs,
            Err(for_ms) => WireTrialAnswer::Waits { for_ms },
        }
    });
    tracing::info!(
        %request, vm = trial.vm, number = trial.number, has_ended = trial.has_ended,
        answer = ?answer, leads_for_ms = since_ms.map(|since_ms| now_ms.saturating_sub(since_ms)),
        "request: This leader decided on an attempt of a request that may crash endpoints."
    );
    answer
}
