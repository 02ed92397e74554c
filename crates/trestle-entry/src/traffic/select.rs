//! Selects an endpoint for a request, and waits while its model is being loaded.

use crate::{
    connection_loss,
    daemon::Daemon,
    schedule::{self, Outcome},
    send_permits, slots,
    traffic::{
        answer::{Failure, RETRY_SOON_MS},
        quota_reservation,
        selected_endpoint::SelectedEndpoint,
        task::Task,
    },
};
use futures_lite::FutureExt;
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_core::names::ServiceName;
use trestle_dispatch::{
    admission::{self, Reason},
    choice::Candidate,
    endpoint::Endpoint,
    selection::{self, NO_SIGN_RETRY_MS, RequestContext, Selection},
    sends::Sends,
};

/// Longest interval between two selections while a request waits. No event announces that the
/// daemon has begun to stop, or that an endpoint excluded for a time may be tried again.
const POLL_INTERVAL_MS: u64 = 250;

/// Longest time after which a prompt that waits for room asks again, whatever a leader says.
const MAX_ASK_AGAIN_MS: u64 = 250;

/// Most endpoints that are checked for one request before it is refused, each within 0.4 s.
const MAX_CHECKS: u32 = 2;

/// Selects an endpoint that can run a request now, while the request runs at another one.
///
/// # Errors
///
/// Fails with the reason if there is none, or if the request would have to wait for more than the
/// decision of a leader.
pub(crate) async fn select_now(
    task: &Arc<Task>,
    sends: &Sends,
) -> Result<SelectedEndpoint, &'static str> {
    let as_reason = |failure: Failure| match failure {
        Failure::NotRun { why, .. } => why,
        failure => failure.name(),
    };
    quota_reservation::check(task).map_err(as_reason)?;
    loop {
        if !task.has_valid_key() {
            return Err(Failure::NoKey.name());
        }
        if !task.daemon.stopping.can_send(task.daemon.shared_view.now_ms()) {
            return Err("stopping");
        }
        match decide(task, sends, None) {
            Selection::Send(endpoint) => return Ok(SelectedEndpoint::new(task, endpoint)),
            Selection::ChargeQuota => quota_reservation::reserve(task).await.map_err(as_reason)?,
            Selection::RequestSendPermit(endpoint) => request_send_permit(task, &endpoint).await,
            Selection::RequestSlot(endpoint) => request_slot(task, &endpoint).await,
            Selection::Schedule(candidates) => {
                schedule_prompt(task, &candidates).await.map_err(as_reason)?;
            }
            Selection::CheckEndpoint(_) | Selection::RequestTrial => {
                return Err(Reason::OnTrial.name());
            }
            Selection::Throttled(_) => return Err("held_back"),
            Selection::Refuse { reason, .. } => {
                return Err(reason.map_or("no_endpoint", Reason::name));
            }
            Selection::Wait { .. } => return Err("no_endpoint"),
        }
    }
}

/// Requests a send permit of an endpoint that limits its requests.
async fn request_send_permit(task: &Task, endpoint: &Endpoint) {
    if let Some(until_ms) = send_permits::request(&task.daemon, endpoint, &task.head.id).await {
        task.held_permit.set(endpoint.incarnation(), until_ms);
    }
}

/// Requests a slot of a brittle endpoint.
async fn request_slot(task: &Task, endpoint: &Endpoint) {
    if let Some(until_ms) = slots::request(&task.daemon, endpoint, &task.head.id).await {
        task.held_permit.set(endpoint.incarnation(), until_ms);
    }
}

/// Selects an endpoint for the next send of a request, and waits for one where that can help.
///
/// # Errors
///
/// Fails as soon as it is clear that no endpoint will be available in time, that the key is no
/// longer valid, or that the team's limit is used up. Nothing was sent by this call.
pub(crate) async fn select(task: &Arc<Task>, sends: &Sends) -> Result<SelectedEndpoint, Failure> {
    let mut demand: Option<DemandGuard> = None;
    let mut silent_count = 0;
    quota_reservation::check(task)?;
    loop {
        let changed = task.daemon.shared_view.changed();
        if !task.has_valid_key() {
            return Err(Failure::NoKey);
        }
        let demand_id = demand.as_ref().map(|demand| demand.demand_id);
        let until_ms = match decide(task, sends, demand_id) {
            Selection::Send(endpoint) => {
                return Ok(SelectedEndpoint::new(task, endpoint));
            }
            Selection::CheckEndpoint(endpoint) => {
                let has_answered =
                    connection_loss::gives_sign_of_life(&task.daemon, &endpoint).await;
                silent_count += u32::from(has_answered == Some(false));
                if silent_count >= MAX_CHECKS {
                    let why = Reason::NoSignOfLife.name();
                    return Err(Failure::NotRun { retry_after_ms: NO_SIGN_RETRY_MS, why });
                }
                continue;
            }
            Selection::RequestTrial => {
                request_trial(task).await?;
                continue;
            }
            Selection::Refuse { retry_after_ms, reason } => {
                if reason != Some(Reason::EndsEndpoints) {
                    record_returning(task, retry_after_ms);
                }
                let why = reason.map_or("no_endpoint", Reason::name);
                return Err(Failure::NotRun { retry_after_ms, why });
            }
            Selection::ChargeQuota => {
                quota_reservation::reserve(task).await?;
                continue;
            }
            Selection::RequestSendPermit(endpoint) => {
                request_send_permit(task, &endpoint).await;
                continue;
            }
            Selection::RequestSlot(endpoint) => {
                request_slot(task, &endpoint).await;
                continue;
            }
            Selection::Schedule(candidates) => {
                schedule_prompt(task, &candidates).await?;
                continue;
            }
            Selection::Throttled(throttled) => {
                let retry_after_ms = throttled.for_ms;
                // A backoff ends soon. Under a limit, which lasts longer, the model is loaded at
                // another endpoint for the callers who retry.
                if throttled.is_limited {
                    record_returning(task, retry_after_ms);
                }
                return Err(Failure::NotRun { retry_after_ms, why: "held_back" });
            }
            Selection::Wait { until_ms } => {
                // Another daemon may be able to make the attempt now.
                task.trial.release().await;
                until_ms
            }
        };
        if !task.daemon.stopping.can_send(task.daemon.shared_view.now_ms()) {
            return Err(Failure::NotRun { retry_after_ms: RETRY_SOON_MS, why: "stopping" });
        }
        if demand.is_none() {
            demand = Some(DemandGuard::new(task));
        }
        let wait_ms = until_ms.saturating_sub(task.elapsed_ms()).clamp(1, POLL_INTERVAL_MS);
        let timer = async {
            Timer::after(Duration::from_millis(wait_ms)).await;
        };
        changed.or(timer).await;
    }
}

/// Requests a decision on which engine reads the prompt, and waits if none has room now.
async fn schedule_prompt(task: &Task, candidates: &[Candidate]) -> Result<(), Failure> {
    task.prompt_schedule.requested(task.daemon.shared_view.now_ms());
    match schedule::request(task, candidates).await {
        Outcome::Decided => Ok(()),
        Outcome::Later { in_ms } => {
            let in_ms = in_ms.clamp(1, MAX_ASK_AGAIN_MS).min(task.remaining_ms());
            if in_ms == 0 {
                return Err(Failure::OutOfTime);
            }
            let until_ms = task.daemon.shared_view.now_ms() + in_ms;
            quota_reservation::give_back_lapsing(task, until_ms);
            Timer::after(Duration::from_millis(in_ms)).await;
            match task.daemon.stopping.can_send(task.daemon.shared_view.now_ms()) {
                true => Ok(()),
                false => Err(Failure::NotRun { retry_after_ms: RETRY_SOON_MS, why: "stopping" }),
            }
        }
        Outcome::OverLimit { in_ms } => quota_reservation::wait_for_units(task, in_ms).await,
        Outcome::Refused { in_ms } => {
            let retry_after_ms =
                admission::retry_after_ms(task.elapsed_ms(), task.allowed_ms, Some(in_ms));
            record_returning(task, retry_after_ms);
            Err(Failure::NotRun { retry_after_ms, why: "no_room" })
        }
    }
}

/// Requests permission to run a request that is suspected of crashing endpoints.
async fn request_trial(task: &Task) -> Result<(), Failure> {
    let restricted =
        task.daemon.shared_view.with(|local_view| local_view.restricted_fingerprint(&task.head));
    let Some(request) = restricted else { return Ok(()) };
    let permitted = task.trial.begin(&task.daemon, &task.head.id, request).await;
    let why = Reason::OnTrial.name();
    permitted.map_err(|retry_after_ms| Failure::NotRun { retry_after_ms, why })
}

/// Decides once, with what is known now, what happens to a request.
fn decide(task: &Task, sends: &Sends, demand_id: Option<u64>) -> Selection {
    let random = fastrand::u64(..);
    let now_ms = task.daemon.shared_view.now_ms();
    let send_permit = task.held_permit.incarnation(now_ms);
    let assignment = task.prompt_schedule.engine(now_ms);
    task.daemon.shared_view.with(|local_view| {
        let context = RequestContext {
            demand_id,
            send_permit: send_permit.as_ref(),
            assignment: assignment.as_ref(),
            ..task.context()
        };
        let selection = selection::select(local_view, context, sends, random, now_ms);
        if let Selection::Throttled(throttled) = &selection {
            task.record_throttle(local_view, &throttled.incarnation, now_ms);
        }
        if let Selection::Send(endpoint) = &selection {
            local_view.request_started(
                endpoint,
                task.head.model.as_ref(),
                task.head.adapter.as_ref(),
            );
            task.record_list(local_view, now_ms);
        }
        selection
    })
}

/// Returns whether an endpoint other than those at which the request runs looks able to run it now.
pub(crate) fn has_alternative(task: &Task, sends: &Sends) -> bool {
    let now_ms = task.daemon.shared_view.now_ms();
    let has_alternative =
        |local_view: &mut _| selection::has_alternative(local_view, task.context(), sends, now_ms);
    task.daemon.shared_view.with(has_alternative)
}

/// Reports the demand of a caller who was asked to retry, so that the model is not evicted before
/// the retry.
fn record_returning(task: &Task, retry_after_ms: u64) {
    let daemon = &task.daemon;
    let now_ms = daemon.shared_view.now_ms();
    let demand_id = daemon.next_number();
    daemon.shared_view.with(|local_view| {
        let policy = &local_view.policy;
        let demand = selection::returning_demand(policy, task.context(), retry_after_ms, now_ms);
        if let Some(demand) = demand {
            local_view.local_demand_for(&task.service).returning.insert(demand_id, demand);
        }
    });
    daemon.shared_view.notify_demand();
}

/// The demand of one waiting request. It is reported to the leader until this guard is dropped.
struct DemandGuard {
    daemon: Arc<Daemon>,
    service: ServiceName,
    demand_id: u64,
}

impl DemandGuard {
    fn new(task: &Task) -> Self {
        let daemon = Arc::clone(&task.daemon);
        let demand_id = daemon.next_number();
        let due_ms = task.arrived_ms + task.route.objective_ms;
        daemon.shared_view.with(|local_view| {
            if let Some(demand) = selection::pending_demand(task.context(), due_ms) {
                local_view.local_demand_for(&task.service).waiting.insert(demand_id, demand);
            }
        });
        daemon.shared_view.notify_demand();
        Self { daemon, service: task.service.clone(), demand_id }
    }
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        self.daemon.shared_view.with(|local_view| {
            local_view.local_demand_for(&self.service).waiting.remove(&self.demand_id);
        });
    }
}
