//! The permission of a request that may have crashed endpoints to run once more.
//!
//! A leader gives the permission. It is renewed until it is known whether the endpoint crashed
//! under the attempt, so that no other daemon makes an attempt meanwhile. If the endpoint gives no
//! sign of life, the leader is told so, and delays the next attempt.

mod attempt_end;
mod permission;

use self::{
    attempt_end::{EndedAttempt, EndpointState},
    permission::Permission,
};
use crate::{daemon::Daemon, trial_leader};
use smol::{Task, Timer};
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use trestle_dispatch::{endpoint::Endpoint, fingerprint::Fingerprint, trials::TRIAL_MS};
use trestle_wire::trials::{TrialStep, WireTrialAnswer};

/// Retry-after time for callers while no leader can be reached: about the time until there is a
/// new leader.
const NO_LEADER_MS: u64 = 1_000;
/// Time in which the report of a crash reaches all daemons.
const CRASH_REPORTED_MS: u64 = 600;

/// The permission of one request to run although endpoints may have crashed under it.
#[derive(Debug, Default)]
pub(crate) struct Trial {
    attempt: Mutex<Option<PermittedAttempt>>,
}

/// A permitted attempt. When it is dropped, other attempts may run if no endpoint can crash under
/// this one any more; otherwise they are held off until that is known.
#[derive(Debug)]
struct PermittedAttempt {
    permission: Permission,
    /// Id of the caller's request, for logs.
    id: String,
    /// When the permission was received.
    received_ms: u64,
    /// The end of the permission unless it is renewed, on this daemon's clock.
    valid_until_ms: Arc<AtomicU64>,
    /// The task that renews the permission until it is dropped.
    renewal: Option<Task<()>>,
    /// The endpoint that may still crash under the attempt.
    at: Option<Endpoint>,
    /// Whether the leader was told of the end.
    is_released: bool,
}

impl Trial {
    /// Returns whether an attempt is permitted.
    pub(crate) fn is_permitted(&self, now_ms: u64) -> bool {
        self.attempt().as_ref().is_some_and(|attempt| attempt.is_valid(now_ms))
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
        let asked_ms = daemon.shared_view.now_ms();
        if let Some(for_ms) = daemon.trial_waits.remaining_ms(request, asked_ms) {
            return Err(for_ms);
        }
        let number = daemon.next_number();
        let mut answer = trial_leader::ask(daemon, request, number, TrialStep::Begin).await;
        let (must_run_serially, crashes, suspected, unresolved) =
            daemon.shared_view.with(|local_view| {
                let crashes = &local_view.crashes;
                let unresolved = local_view.unresolved_requests.unresolved_incarnations(
                    request,
                    crashes.answered_ms(request),
                    asked_ms,
                );
                let suspected = crashes.suspected(request, asked_ms);
                let must_run_serially = crashes.must_run_serially(request, 0);
                (must_run_serially, crashes.counted(request), suspected, unresolved)
            });
        // If no leader answers, a request that is only suspected of crashing endpoints may run, with
        // one attempt at a time at this daemon.
        let is_alone = answer == WireTrialAnswer::Undecided && !must_run_serially;
        if is_alone {
            answer = trial_leader::decide_alone(daemon, request, number, TrialStep::Begin);
        }
        tracing::info!(id, %request, number, answer = ?answer, is_known = must_run_serially, crashes, suspected, unresolved, is_alone, "request: The request may crash endpoints; a leader was asked for permission.");
        let now_ms = daemon.shared_view.now_ms();
        match answer {
            WireTrialAnswer::Undecided => Err(NO_LEADER_MS),
            WireTrialAnswer::Runs => {
                let daemon = Arc::clone(daemon);
                let permission = Permission { daemon, request, number, is_alone };
                *self.attempt() = Some(PermittedAttempt::new(permission, id, asked_ms));
                Ok(())
            }
            WireTrialAnswer::Waits { for_ms } => {
                daemon.trial_waits.record(request, for_ms, now_ms);
                Err(for_ms)
            }
        }
    }

    /// Records that the attempt is being sent to an endpoint, which may crash under it from now
    /// on.
    pub(crate) fn sent(&self, endpoint: &Endpoint) {
        if let Some(attempt) = &mut *self.attempt() {
            let permission = &attempt.permission;
            tracing::info!(
                id = attempt.id, request = %permission.request, number = permission.number,
                endpoint = %endpoint.name, held_ms = attempt.held_ms(),
                "request: A permitted attempt is sent."
            );
            attempt.at = Some(endpoint.clone());
        }
    }

    /// Records that the endpoint has not crashed under the attempt, because it did not run there
    /// or was answered.
    pub(crate) fn settled(&self) {
        if let Some(attempt) = &mut *self.attempt() {
            attempt.at = None;
        }
    }

    /// Ends a permission that was given for a part of the prompt, since the endpoint has begun to
    /// answer.
    pub(crate) fn part_settled(&self) {
        let is_part = |attempt: &mut PermittedAttempt| attempt.permission.request.is_part();
        let ended = self.attempt().take_if(is_part);
        if let Some(mut attempt) = ended {
            attempt.at = None;
        }
    }

    /// Records that the attempt may have run without a complete answer. The request needs a new
    /// permission.
    pub(crate) fn unanswered(&self) {
        drop(self.attempt().take());
    }

    /// Gives a permission back that the request cannot use now. Returns once the leader knows, so
    /// that the request can ask again.
    pub(crate) async fn release(&self) {
        let Some(mut attempt) = self.attempt().take() else { return };
        attempt.renewal = None;
        attempt.is_released = true;
        attempt.permission.tell(TrialStep::End).await;
    }

    fn attempt(&self) -> MutexGuard<'_, Option<PermittedAttempt>> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PermittedAttempt {
    fn new(permission: Permission, id: &str, asked_ms: u64) -> Self {
        let valid_until_ms = Arc::new(AtomicU64::new(asked_ms + TRIAL_MS));
        let renewal = permission.clone().renew(Arc::clone(&valid_until_ms));
        Self {
            id: id.to_owned(),
            received_ms: permission.daemon.shared_view.now_ms(),
            permission,
            valid_until_ms,
            renewal: Some(smol::spawn(renewal)),
            at: None,
            is_released: false,
        }
    }

    fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.valid_until_ms.load(Ordering::Relaxed)
    }

    /// Returns the time since the permission was received.
    fn held_ms(&self) -> u64 {
        self.permission.daemon.shared_view.now_ms().saturating_sub(self.received_ms)
    }
}

impl Drop for PermittedAttempt {
    fn drop(&mut self) {
        let permission = self.permission.clone();
        let unresolved_at = self.at.as_ref().map(|endpoint| endpoint.name.as_str());
        tracing::info!(
            id = self.id, request = %permission.request, number = permission.number, unresolved_at,
            held_ms = self.held_ms(), "request: A permitted attempt has ended."
        );
        if self.is_released {
            return;
        }
        let at = self.at.take();
        smol::spawn(end(permission, self.renewal.take(), at)).detach();
    }
}

/// Ends a permission once it is known how the attempt ended that was sent to an endpoint.
async fn end(permission: Permission, mut renewal: Option<Task<()>>, at: Option<Endpoint>) {
    if let Some(endpoint) = at {
        let (daemon, request) = (Arc::clone(&permission.daemon), permission.request);
        let attempt = EndedAttempt { daemon, request, endpoint };
        let mut state = attempt.first_known_state().await;
        if state == EndpointState::Silent {
            renewal = None;
            permission.tell(TrialStep::EndUnanswered).await;
            state = attempt.state_after_silence().await;
        }
        if state == EndpointState::Crashed {
            Timer::after(Duration::from_millis(CRASH_REPORTED_MS)).await;
        }
    }
    drop(renewal);
    permission.tell_end().await;
}
