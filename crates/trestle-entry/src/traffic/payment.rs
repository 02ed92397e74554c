//! What one request takes from its team's limit.

use crate::{
    lending::{self, NotLent},
    traffic::{answer::Failure, task::Task},
};
use smol::Timer;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use trestle_core::names::TeamName;
use trestle_dispatch::team::TeamLimit;

/// Part of its objective for which a request waits until its team's limit allows it; a calm team
/// is short of it for some moments at most.
const WAIT_PART: u64 = 8;
/// Time by which a request may reach its endpoint after it must have left.
const SEND_MS: u64 = 300;
/// When a caller should come back while nobody can be asked for its team: a lease whose holder was
/// lost is free after about that time. Sooner it is refused again.
const NO_LENDER_MS: u64 = 2_000;

/// What one request has taken from its team's limit.
#[derive(Debug, Default)]
pub(crate) struct Payment {
    state: Mutex<State>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Nothing, or it was for a send that may have run.
    #[default]
    Nothing,
    /// It may be sent until a time.
    Taken { until_ms: u64 },
    /// It is on its way, or at an endpoint.
    Sent { until_ms: u64 },
}

impl Payment {
    /// Whether the request may be sent.
    pub(crate) fn is_made(&self, task: &Task, now_ms: u64) -> bool {
        let state = *self.state();
        cost(task).is_none() || matches!(state, State::Taken { until_ms } if now_ms < until_ms)
    }

    /// Notes that it leaves; returns whether it still may.
    pub(crate) fn send(&self, task: &Task, now_ms: u64) -> bool {
        if cost(task).is_none() {
            return true;
        }
        let mut state = self.state();
        match *state {
            State::Taken { until_ms } | State::Sent { until_ms } if now_ms < until_ms + SEND_MS => {
                *state = State::Sent { until_ms };
                true
            }
            _ => false,
        }
    }

    /// Notes that the last send has ended. One that may have run has used what it took.
    pub(crate) fn ended(&self, may_have_run: bool) {
        let mut state = self.state();
        if let State::Sent { until_ms } = *state {
            *state = if may_have_run { State::Nothing } else { State::Taken { until_ms } };
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a request counts against its team's limit.
struct Cost<'a> {
    team: &'a TeamName,
    limit: TeamLimit,
    units: u64,
}

/// What a request counts, if its team has a limit.
fn cost(task: &Task) -> Option<Cost<'_>> {
    let team = task.identity.team()?;
    let limit = team.limit?;
    Some(Cost { team: &team.name, limit, units: limit.cost(task.head.tokens) })
}

/// Turns a request away whose team has used up its limit for longer than the request would wait.
///
/// # Errors
///
/// Fails then.
pub(crate) fn check(task: &Task) -> Result<(), Failure> {
    let Some(cost) = cost(task) else { return Ok(()) };
    let daemon = &task.daemon;
    let now_ms = daemon.knowledge.now_ms();
    if task.payment.is_made(task, now_ms) {
        return Ok(());
    }
    let spent_out =
        daemon.with_allowances(|allowances| allowances.exhausted_for_ms(cost.team, now_ms));
    match spent_out {
        Some(in_ms) if in_ms > wait_ms(task) => Err(Failure::OverLimit { retry_after_ms: in_ms }),
        _ => Ok(()),
    }
}

/// Takes a request from its team's limit.
///
/// # Errors
///
/// Fails where the limit does not allow it soon, or nobody can be asked.
pub(crate) async fn pay(task: &Task) -> Result<(), Failure> {
    let Some(Cost { team, limit, units }) = cost(task) else { return Ok(()) };
    let mut waits_ms = wait_ms(task);
    loop {
        match lending::spend(&task.daemon, team, &limit, units).await {
            // The answer took longer than what it lends can be spent.
            Ok(until_ms) if task.daemon.knowledge.now_ms() >= until_ms => {
                return Err(Failure::NotRun { retry_after_ms: NO_LENDER_MS, why: "no_lender" });
            }
            Ok(until_ms) => {
                *task.payment.state() = State::Taken { until_ms };
                return Ok(());
            }
            Err(NotLent::SpentOut { in_ms }) if in_ms <= waits_ms && !task.is_over() => {
                let in_ms = in_ms.max(1);
                waits_ms = waits_ms.saturating_sub(in_ms);
                Timer::after(Duration::from_millis(in_ms)).await;
            }
            Err(NotLent::SpentOut { in_ms }) => {
                return Err(Failure::OverLimit { retry_after_ms: in_ms });
            }
            Err(NotLent::NoLender) => {
                return Err(Failure::NotRun { retry_after_ms: NO_LENDER_MS, why: "no_lender" });
            }
        }
    }
}

fn wait_ms(task: &Task) -> u64 {
    task.route.objective_ms / WAIT_PART
}

/// Gives back what a request has taken that was not sent.
pub(crate) fn give_back(task: &Task) {
    let Some(Cost { team, units, .. }) = cost(task) else { return };
    let state = *task.payment.state();
    if let State::Taken { until_ms } = state {
        task.daemon.with_allowances(|allowances| allowances.add(team, units, until_ms));
    }
}
