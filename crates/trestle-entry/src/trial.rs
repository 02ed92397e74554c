//! Asks whether an attempt of a request that ended endpoints may run, and decides on it where
//! this daemon leads.

use crate::{broken, control::message::Leader, daemon::Daemon, peer::calls};
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

/// Said to callers while no leader can be asked: about the time that a new one takes.
const NO_LEADER_MS: u64 = 1_000;

/// Whether one request has been allowed to run although endpoints may have ended under it.
#[derive(Debug, Default)]
pub(crate) struct Trial {
    begun: Mutex<Option<Begun>>,
}

/// An attempt that was allowed. When it is dropped, others may run if no endpoint can end under
/// it any more; else they stay away until an end would be known.
#[derive(Debug)]
struct Begun {
    daemon: Arc<Daemon>,
    request: Fingerprint,
    number: u64,
    /// The endpoint that may still end under it.
    at: Option<Endpoint>,
}

impl Trial {
    /// Whether it may run.
    pub(crate) fn is_begun(&self) -> bool {
        self.begun().is_some()
    }

    /// Asks for it.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should come back, in ms.
    pub(crate) async fn begin(
        &self,
        daemon: &Arc<Daemon>,
        request: Fingerprint,
    ) -> Result<(), u64> {
        let number = daemon.next_number();
        let asked = ask(daemon, of_this_vm(daemon, request, number, false)).await;
        let is_known =
            daemon.knowledge.with(|local_view| local_view.crashes.must_run_serially(request));
        tracing::info!(%request, answer = ?asked, is_known, "request: It may end endpoints; a leader was asked.");
        match asked {
            // What is only in doubt is not refused for want of a leader.
            WireTrialAnswer::Undecided if is_known => Err(NO_LEADER_MS),
            WireTrialAnswer::Runs | WireTrialAnswer::Undecided => {
                let begun = Begun { daemon: Arc::clone(daemon), request, number, at: None };
                *self.begun() = Some(begun);
                Ok(())
            }
            WireTrialAnswer::Waits { for_ms } => Err(for_ms),
        }
    }

    /// Notes that the attempt leaves for an endpoint, which may end under it from now on.
    pub(crate) fn sent(&self, endpoint: &Endpoint) {
        if let Some(begun) = &mut *self.begun() {
            begun.at = Some(endpoint.clone());
        }
    }

    /// Notes that the endpoint has not ended under it: it did not run there, or had an answer.
    pub(crate) fn settled(&self) {
        if let Some(begun) = &mut *self.begun() {
            begun.at = None;
        }
    }

    /// Takes that it had no whole answer though it may have run; it has to ask again.
    pub(crate) fn unanswered(&self) {
        drop(self.begun().take());
    }

    fn begun(&self) -> MutexGuard<'_, Option<Begun>> {
        self.begun.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Begun {
    fn drop(&mut self) {
        let (daemon, request, number) = (Arc::clone(&self.daemon), self.request, self.number);
        if let Some(endpoint) = self.at.take() {
            smol::spawn(find_out(daemon, endpoint, request)).detach();
            return;
        }
        let told = async move { ask(&daemon, of_this_vm(&daemon, request, number, true)).await };
        smol::spawn(told).detach();
    }
}

/// Looks a moment later whether an endpoint has ended under a request whose answer nobody waited
/// for.
async fn find_out(daemon: Arc<Daemon>, endpoint: Endpoint, request: Fingerprint) {
    Timer::after(Duration::from_millis(MAX_CRASH_DELAY_MS)).await;
    broken::note(&daemon, &endpoint, Some(request));
}

fn of_this_vm(daemon: &Daemon, request: Fingerprint, number: u64, has_ended: bool) -> WireTrial {
    let request = *request.as_bytes();
    let vm = daemon.settings.vm.clone();
    WireTrial { vm, request, number, has_ended, is_passed_on: false }
}

/// Asks this daemon's leader, or another one if that does not decide.
async fn ask(daemon: &Daemon, trial: WireTrial) -> WireTrialAnswer {
    let ask = async |leader: Leader| {
        let answer = match leader {
            Leader::Here { .. } => decide(daemon, trial.clone()).await,
            Leader::At { address, .. } => ask_at(daemon, address, trial.clone()).await,
            Leader::Nobody => WireTrialAnswer::Undecided,
        };
        Some(answer).filter(|answer| *answer != WireTrialAnswer::Undecided)
    };
    calls::first_answer(daemon, ask).await.unwrap_or(WireTrialAnswer::Undecided)
}

async fn ask_at(daemon: &Daemon, address: SocketAddr, trial: WireTrial) -> WireTrialAnswer {
    let ask = async |client: ReplicasClient, context| client.try_out(context, trial).await;
    daemon.calls.call(address, ask).await.unwrap_or(WireTrialAnswer::Undecided)
}

/// Decides on an attempt, or asks the leader that does: one for each request, whoever leads the
/// daemon where it came.
pub(crate) async fn decide(daemon: &Daemon, mut trial: WireTrial) -> WireTrialAnswer {
    let request = Fingerprint::from_bytes(trial.request);
    let (leader, since_ms) = calls::leader_for(daemon, request.to_string()).await;
    match leader {
        Leader::Here { .. } => decide_here(daemon, &trial, since_ms),
        Leader::At { address, .. } if !trial.is_passed_on => {
            trial.is_passed_on = true;
            ask_at(daemon, address, trial).await
        }
        Leader::At { .. } | Leader::Nobody => WireTrialAnswer::Undecided,
    }
}

fn decide_here(daemon: &Daemon, trial: &WireTrial, since_ms: Option<u64>) -> WireTrialAnswer {
    let request = Fingerprint::from_bytes(trial.request);
    let vm = VmName::from(trial.vm.as_str());
    let now_ms = daemon.knowledge.now_ms();
    daemon.with_trials(|trials| {
        if trial.has_ended {
            trials.end(request, &vm, trial.number);
            return WireTrialAnswer::Runs;
        }
        trials.set_leader_since(since_ms);
        match trials.begin(request, vm, trial.number, now_ms) {
            Ok(()) => WireTrialAnswer::Runs,
            Err(for_ms) => WireTrialAnswer::Waits { for_ms },
        }
    })
}
