//! The permission of a request that may have crashed endpoints to run once more.
//!
//! A leader gives the permission. It is renewed until it is known whether the endpoint crashed
//! under the attempt, so that no other daemon makes an attempt meanwhile.

use crate::{connection_loss, daemon::Daemon, trial_leader};
use smol::{Task, Timer};
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use trestle_dispatch::{
    endpoint::Endpoint, fingerprint::Fingerprint, trials::TRIAL_MS,
    unresolved_requests::MAX_CRASH_DELAY_MS,
};
use trestle_wire::trials::{TrialStep, WireTrialAnswer};

/// Retry-after time for callers while no leader can be reached: about the time until there is a
/// new leader.
const NO_LEADER_MS: u64 = 1_000;
/// Time between two renewals of a permission, so that one of them may be lost.
const RENEWAL_INTERVAL_MS: u64 = TRIAL_MS / 3;
/// Time between two checks whether it is known how an attempt ended.
const RESOLUTION_CHECK_MS: u64 = 100;
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
    daemon: Arc<Daemon>,
    /// Id of the caller's request, for logs.
    id: String,
    request: Fingerprint,
    number: u64,
    /// When the permission was received.
    received_ms: u64,
    /// The end of the permission unless it is renewed, on this daemon's clock.
    valid_until_ms: Arc<AtomicU64>,
    /// The task that renews the permission until it is dropped.
    renewal: Option<Task<()>>,
    /// The endpoint that may still crash under the attempt, and when the attempt was sent there.
    at: Option<(Endpoint, u64)>,
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
        let answer = trial_leader::ask(daemon, request, number, TrialStep::Begin).await;
        let (must_run_serially, crashes, unresolved) = daemon.shared_view.with(|local_view| {
            let crashes = &local_view.crashes;
            let unresolved = local_view.unresolved_requests.unresolved_incarnations(
                request,
                crashes.answered_ms(request),
                asked_ms,
            );
            (crashes.must_run_serially(request, 0), crashes.counted(request), unresolved)
        });
        tracing::info!(id, %request, number, answer = ?answer, is_known = must_run_serially, crashes, unresolved, "request: The request may crash endpoints; a leader was asked for permission.");
        let now_ms = daemon.shared_view.now_ms();
        match answer {
            // If no leader answers, a request that is only suspected of crashing endpoints may run.
            WireTrialAnswer::Undecided if must_run_serially => Err(NO_LEADER_MS),
            WireTrialAnswer::Runs | WireTrialAnswer::Undecided => {
                let attempt = PermittedAttempt::new(daemon, id, request, number, asked_ms);
                *self.attempt() = Some(attempt);
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
            let now_ms = attempt.daemon.shared_view.now_ms();
            tracing::info!(
                id = attempt.id, request = %attempt.request, number = attempt.number,
                endpoint = %endpoint.name, held_ms = attempt.held_ms(),
                "request: A permitted attempt is sent."
            );
            attempt.at = Some((endpoint.clone(), now_ms));
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

    /// Gives a permission back that the request cannot use now. Returns once the leader knows, so
    /// that the request can ask again.
    pub(crate) async fn release(&self) {
        let Some(mut attempt) = self.attempt().take() else { return };
        attempt.renewal = None;
        attempt.is_released = true;
        trial_leader::ask(&attempt.daemon, attempt.request, attempt.number, TrialStep::End).await;
    }

    fn attempt(&self) -> MutexGuard<'_, Option<PermittedAttempt>> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PermittedAttempt {
    fn new(
        daemon: &Arc<Daemon>,
        id: &str,
        request: Fingerprint,
        number: u64,
        asked_ms: u64,
    ) -> Self {
        let valid_until_ms = Arc::new(AtomicU64::new(asked_ms + TRIAL_MS));
        let renewal = renew(Arc::clone(daemon), request, number, Arc::clone(&valid_until_ms));
        Self {
            daemon: Arc::clone(daemon),
            id: id.to_owned(),
            request,
            number,
            received_ms: daemon.shared_view.now_ms(),
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
        if self.is_released {
            return;
        }
        let (daemon, request, number) = (Arc::clone(&self.daemon), self.request, self.number);
        let (renewal, at) = (self.renewal.take(), self.at.take());
        let end = async move {
            if let Some((endpoint, sent_ms)) = at
                && has_crashed_under(&daemon, &endpoint, request, sent_ms).await
            {
                Timer::after(Duration::from_millis(CRASH_REPORTED_MS)).await;
            }
            drop(renewal);
            trial_leader::ask(&daemon, request, number, TrialStep::End).await;
        };
        smol::spawn(end).detach();
    }
}

/// Renews a permission again and again.
async fn renew(
    daemon: Arc<Daemon>,
    request: Fingerprint,
    number: u64,
    valid_until_ms: Arc<AtomicU64>,
) {
    loop {
        Timer::after(Duration::from_millis(RENEWAL_INTERVAL_MS)).await;
        let asked_ms = daemon.shared_view.now_ms();
        let answer = trial_leader::ask(&daemon, request, number, TrialStep::Renew).await;
        if answer == WireTrialAnswer::Runs {
            valid_until_ms.store(asked_ms + TRIAL_MS, Ordering::Relaxed);
        }
    }
}

/// Returns whether an endpoint crashed under a request that was sent there at `sent_ms` and has no
/// answer, once that is known.
async fn has_crashed_under(
    daemon: &Arc<Daemon>,
    endpoint: &Endpoint,
    request: Fingerprint,
    sent_ms: u64,
) -> bool {
    let incarnation = endpoint.incarnation();
    let state = || {
        let now_ms = daemon.shared_view.now_ms();
        daemon.shared_view.with(|local_view| {
            let unresolved = &local_view.unresolved_requests;
            let is_unresolved = unresolved.is_unresolved(&incarnation, request, now_ms);
            (is_unresolved, local_view.crashes.has_crashed(request, &incarnation))
        })
    };
    for _ in 0..MAX_CRASH_DELAY_MS / RESOLUTION_CHECK_MS {
        Timer::after(Duration::from_millis(RESOLUTION_CHECK_MS)).await;
        if state().1 {
            return true;
        }
    }
    if state().0 {
        connection_loss::record_lost(daemon, endpoint, request, sent_ms);
    }
    while state() == (true, false) {
        Timer::after(Duration::from_millis(RESOLUTION_CHECK_MS)).await;
    }
    state().1
}
