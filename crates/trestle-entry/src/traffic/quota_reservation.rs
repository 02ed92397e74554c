//! Reserves units of the team's limit for one request.

use crate::{
    allocation::{self, AllocationError},
    traffic::{answer::Failure, task::Task},
};
use smol::Timer;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use trestle_core::names::{EndpointName, TeamName};
use trestle_dispatch::team::TeamLimit;

/// Divisor of a route's objective: a request waits at most for this part of the objective until its
/// team's limit allows it. A team that stays within its limit on average lacks units for moments
/// only.
const WAIT_DIVISOR: u64 = 8;
/// Time after the end of a reservation within which the request may still be sent: opening a
/// connection takes time.
const SEND_GRACE_MS: u64 = 300;
/// Retry-after time for callers while no leader can allocate units of the team's limit. The lease
/// of a leader that crashed lapses after about this time; an earlier retry would be rejected again.
const NO_ALLOCATOR_RETRY_MS: u64 = 2_000;

/// The units that one request has reserved from its team's limit.
#[derive(Debug, Default)]
pub(crate) struct QuotaReservation {
    state: Mutex<ReservationState>,
}

#[derive(Debug, Default, Clone, PartialEq, Eq)]
enum ReservationState {
    /// Nothing is reserved, or the units were used by a send that may have run.
    #[default]
    Unreserved,
    /// The units are reserved, and the request may be sent until this time.
    Reserved { until_ms: u64 },
    /// The request was sent to this endpoint, and how the send ends is not known yet.
    Sent { until_ms: u64, to: EndpointName },
}

impl QuotaReservation {
    /// Returns whether the team's limit allows the request to be sent: units are reserved, or the
    /// team has no limit.
    pub(crate) fn allows_send(&self, task: &Task, now_ms: u64) -> bool {
        cost(task).is_none()
            || matches!(*self.state(), ReservationState::Reserved { until_ms } if now_ms < until_ms)
    }

    /// Records that the request is sent to an endpoint. Returns whether its units could still be used.
    pub(crate) fn record_sent(&self, task: &Task, endpoint: &EndpointName, now_ms: u64) -> bool {
        if cost(task).is_none() {
            return true;
        }
        let mut state = self.state();
        let until_ms = match &*state {
            ReservationState::Reserved { until_ms } => *until_ms,
            // A connection that was idle was closed, and the request is sent over another one.
            ReservationState::Sent { until_ms, to } if to == endpoint => *until_ms,
            _ => return false,
        };
        let is_valid = now_ms < until_ms + SEND_GRACE_MS;
        if is_valid {
            *state = ReservationState::Sent { until_ms, to: endpoint.clone() };
        }
        is_valid
    }

    /// Records that a send to an endpoint has ended. A send that may have run has used the units;
    /// otherwise they stay reserved for the next send, unless the request was sent to another endpoint
    /// meanwhile.
    pub(crate) fn record_end(&self, endpoint: &EndpointName, may_have_run: bool) {
        let mut state = self.state();
        if let ReservationState::Sent { until_ms, to } = &*state
            && to == endpoint
        {
            let until_ms = *until_ms;
            *state = if may_have_run {
                ReservationState::Unreserved
            } else {
                ReservationState::Reserved { until_ms }
            };
        }
    }

    fn state(&self) -> MutexGuard<'_, ReservationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The units that a request counts against its team's limit.
struct Cost<'a> {
    team: &'a TeamName,
    limit: TeamLimit,
    units: u64,
}

/// Returns what a request costs; `None` if its team has no limit.
fn cost(task: &Task) -> Option<Cost<'_>> {
    let team = task.identity.team()?;
    let limit = team.limit?;
    Some(Cost { team: &team.name, limit, units: limit.cost(task.head.tokens()) })
}

/// Checks that the team's limit is not used up for longer than the request would wait.
///
/// # Errors
///
/// Fails with [`Failure::OverLimit`] if it is.
pub(crate) fn check(task: &Task) -> Result<(), Failure> {
    let Some(cost) = cost(task) else { return Ok(()) };
    let daemon = &task.daemon;
    let now_ms = daemon.shared_view.now_ms();
    if task.quota_reservation.allows_send(task, now_ms) {
        return Ok(());
    }
    let exhausted =
        daemon.with_allowances(|allowances| allowances.exhausted_for_ms(cost.team, now_ms));
    match exhausted {
        Some(in_ms) if in_ms > max_wait_ms(task) => {
            Err(Failure::OverLimit { retry_after_ms: in_ms })
        }
        _ => Ok(()),
    }
}

/// Reserves the units of a request from its team's limit.
///
/// # Errors
///
/// Fails if the limit does not allow the request soon, or if no leader can allocate units.
pub(crate) async fn reserve(task: &Task) -> Result<(), Failure> {
    let Some(Cost { team, limit, units }) = cost(task) else { return Ok(()) };
    let mut wait_left_ms = max_wait_ms(task);
    loop {
        match allocation::spend(&task.daemon, team, &limit, units).await {
            // The answer took longer than the units that it allocates are valid.
            Ok(until_ms) if task.daemon.shared_view.now_ms() >= until_ms => {
                return Err(Failure::NotRun {
                    retry_after_ms: NO_ALLOCATOR_RETRY_MS,
                    why: "no_lender",
                });
            }
            Ok(until_ms) => {
                *task.quota_reservation.state() = ReservationState::Reserved { until_ms };
                return Ok(());
            }
            Err(AllocationError::LimitReached { in_ms })
                if in_ms <= wait_left_ms && !task.is_expired() =>
            {
                let in_ms = in_ms.max(1);
                wait_left_ms = wait_left_ms.saturating_sub(in_ms);
                Timer::after(Duration::from_millis(in_ms)).await;
            }
            Err(AllocationError::LimitReached { in_ms }) => {
                return Err(Failure::OverLimit { retry_after_ms: in_ms });
            }
            Err(AllocationError::NoAllocator) => {
                return Err(Failure::NotRun {
                    retry_after_ms: NO_ALLOCATOR_RETRY_MS,
                    why: "no_lender",
                });
            }
        }
    }
}

/// Returns how long a request waits for its team's limit, in milliseconds.
fn max_wait_ms(task: &Task) -> u64 {
    task.route.objective_ms / WAIT_DIVISOR
}

/// Makes the units that a request reserved and did not use available to other requests again.
pub(crate) fn release(task: &Task) {
    let Some(Cost { team, units, .. }) = cost(task) else { return };
    let state = task.quota_reservation.state().clone();
    if let ReservationState::Reserved { until_ms } = state {
        task.daemon.with_allowances(|allowances| allowances.add(team, units, until_ms));
    }
}

/// Returns the units that a leader must allocate with its decision on the prompt; 0 if the request has
/// reserved them or needs none.
pub(crate) fn units_to_allocate(task: &Task) -> u64 {
    let Some(Cost { team, units, .. }) = cost(task) else { return 0 };
    let daemon = &task.daemon;
    let now_ms = daemon.shared_view.now_ms();
    if task.quota_reservation.allows_send(task, now_ms) {
        return 0;
    }
    // Units that another request did not need.
    match daemon.with_allowances(|allowances| allowances.spend(team, units, now_ms)) {
        Some(until_ms) => {
            *task.quota_reservation.state() = ReservationState::Reserved { until_ms };
            0
        }
        None => units,
    }
}

/// Records that a leader that was asked at `asked_ms` has allocated the units of the request.
pub(crate) fn allocated(task: &Task, asked_ms: u64) {
    let Some(Cost { limit, .. }) = cost(task) else { return };
    let bounds = task.daemon.shared_view.with(|local_view| local_view.quota_bounds);
    let until_ms = asked_ms + bounds.valid_ms(&limit);
    // Units of an answer that came too late have lapsed.
    if task.daemon.shared_view.now_ms() < until_ms {
        *task.quota_reservation.state() = ReservationState::Reserved { until_ms };
    }
}

/// Waits until the limit of the request's team may have units again.
///
/// # Errors
///
/// Fails if that takes longer than the request would wait.
pub(crate) async fn wait_for_units(task: &Task, in_ms: u64) -> Result<(), Failure> {
    let Some(Cost { team, .. }) = cost(task) else { return Ok(()) };
    let now_ms = task.daemon.shared_view.now_ms();
    task.daemon.with_allowances(|allowances| allowances.refused(team, in_ms, now_ms));
    let is_in_time = task.elapsed_ms().saturating_add(in_ms) <= task.route.objective_ms;
    if in_ms > max_wait_ms(task) || !is_in_time {
        return Err(Failure::OverLimit { retry_after_ms: in_ms });
    }
    Timer::after(Duration::from_millis(in_ms.max(1))).await;
    Ok(())
}

/// Makes the reserved units available to other requests if they lapse while this one waits until
/// `until_ms`. It must reserve units again then.
pub(crate) fn give_back_lapsing(task: &Task, until_ms: u64) {
    let state = task.quota_reservation.state().clone();
    if matches!(state, ReservationState::Reserved { until_ms: lapses_ms } if lapses_ms <= until_ms)
    {
        release(task);
        *task.quota_reservation.state() = ReservationState::Unreserved;
    }
}
