//! Asks the leader that decides on attempts of requests that may crash endpoints, and decides where
//! this daemon leads.
//!
//! The last leader goes on deciding while no lease can be renewed. A daemon that reaches no leader
//! at all decides for itself, but only on requests that are merely suspected of crashing endpoints.

use crate::{control::message::Leader, daemon::Daemon, peer::calls};
use std::net::SocketAddr;
use trestle_core::names::VmName;
use trestle_dispatch::fingerprint::Fingerprint;
use trestle_wire::{
    replicas::ReplicasClient,
    trials::{TrialStep, WireTrial, WireTrialAnswer},
};

/// Tells this daemon's leader about an attempt, or another leader if that one does not decide.
pub(crate) async fn ask(
    daemon: &Daemon,
    request: Fingerprint,
    number: u64,
    step: TrialStep,
) -> WireTrialAnswer {
    let trial = new_trial(daemon, request, number, step);
    let (leader, since_ms) = calls::decision_leader(daemon, request.to_string()).await;
    if matches!(leader, Leader::Here { .. }) {
        return decide_here(daemon, &trial, since_ms);
    }
    let call = async |leader: Leader| {
        let answer = match leader {
            Leader::Here { .. } => decide(daemon, trial.clone()).await,
            Leader::At { address, .. } => ask_at(daemon, address, trial.clone()).await,
            Leader::Nobody => WireTrialAnswer::Undecided,
        };
        Some(answer).filter(|answer| *answer != WireTrialAnswer::Undecided)
    };
    calls::first_answer(daemon, call).await.unwrap_or(WireTrialAnswer::Undecided)
}

/// Decides on an attempt of this daemon without a leader.
pub(crate) fn decide_alone(
    daemon: &Daemon,
    request: Fingerprint,
    number: u64,
    step: TrialStep,
) -> WireTrialAnswer {
    decide_here(daemon, &new_trial(daemon, request, number, step), None)
}

fn new_trial(daemon: &Daemon, request: Fingerprint, number: u64, step: TrialStep) -> WireTrial {
    WireTrial::new(daemon.settings.vm.clone(), *request.as_bytes(), number, step)
}

async fn ask_at(daemon: &Daemon, address: SocketAddr, trial: WireTrial) -> WireTrialAnswer {
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
            ask_at(daemon, address, trial).await
        }
        Leader::At { .. } | Leader::Nobody => WireTrialAnswer::Undecided,
    }
}

fn decide_here(daemon: &Daemon, trial: &WireTrial, since_ms: Option<u64>) -> WireTrialAnswer {
    let request = Fingerprint::from_bytes(trial.request);
    let (step, number) = (trial.step(), trial.attempt_number());
    let vm = VmName::from(trial.vm.as_str());
    let now_ms = daemon.shared_view.now_ms();
    let (rejected_for_ms, has_one_crash, answered_ms) = daemon.shared_view.with(|local_view| {
        let crashes = &local_view.crashes;
        let rejected_for_ms = crashes.rejected_for_ms(request, now_ms);
        (rejected_for_ms, crashes.counted(request) == 1, crashes.answered_ms(request))
    });
    // One crash may have any cause. A request is not refused for it while nothing is known of the
    // attempts that a previous leader allowed.
    let since_ms = since_ms.filter(|_| !has_one_crash);
    let answer = daemon.with_trials(|trials| match step {
        TrialStep::Begin => {
            trials.set_leader_since(since_ms);
            trials.set_answered(request, answered_ms);
            let begun = match rejected_for_ms {
                Some(for_ms) => Err(for_ms),
                None => trials.begin(request, vm, number, now_ms),
            };
            begun
                .map_or_else(|for_ms| WireTrialAnswer::Waits { for_ms }, |()| WireTrialAnswer::Runs)
        }
        TrialStep::Renew => match trials.renew(request, vm, number, now_ms) {
            true => WireTrialAnswer::Runs,
            false => WireTrialAnswer::Waits { for_ms: 0 },
        },
        TrialStep::End => {
            trials.end(request, &vm, number, now_ms);
            WireTrialAnswer::Runs
        }
        TrialStep::EndUnanswered => {
            trials.end_unanswered(request, vm, number, now_ms);
            WireTrialAnswer::Runs
        }
    });
    tracing::info!(
        %request, vm = trial.vm, number, step = ?step, answer = ?answer,
        leads_for_ms = since_ms.map(|since_ms| now_ms.saturating_sub(since_ms)),
        "request: This leader decided on an attempt of a request that may crash endpoints."
    );
    answer
}
