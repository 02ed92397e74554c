//! Decides whether a request waits for its model or is refused.
//!
//! The load that this answers: callers of many models, of which some are not loaded. Whether an
//! answer is on time counts from the caller's first attempt, so a refusal gains nothing by itself:
//! a caller that retries finds the model ready or is refused for good. So a request waits if its
//! model will be ready before its caller gives up. Otherwise it is refused at once, with the time
//! at which the model will be ready. No request waits in vain, and none is refused that could have
//! been served.

use crate::route::Route;

/// Least time for which a caller waits for the first event of a stream.
const MIN_CALLER_TIMEOUT_MS: u64 = 2_000;
/// The same time as a multiple of the route's objective.
const CALLER_TIMEOUT_OBJECTIVES: u64 = 4;
/// The same time as a multiple of the longest pause between events that counts as on time.
const CALLER_TIMEOUT_PAUSES: u64 = 8;
/// Time from the moment a model is ready to the first event at the caller: for the report that the
/// model is ready, the send to the engine, the reading of the prompt, and the return of the event.
const FIRST_EVENT_MS: u64 = 150;
/// A caller is told to retry after at most its remaining time divided by this.
const RETRY_PART: u64 = 3;
/// Time after which callers are told to retry if no daemon knows when the model will be ready.
const UNKNOWN_READY_MS: u64 = 1_500;
/// Added to the time until a model is ready, so that a caller that retries finds it ready.
const RETRY_MARGIN_MS: u64 = 150;
/// Time for which this daemon may find no endpoint for a model that the leader reports as ready:
/// the engine's report is still in transit, or the engine has just refused the request. After this
/// time the request is refused with [`Reason::Disagreement`].
const DISAGREEMENT_MS: u64 = 600;

/// When a model is expected to be ready.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Forecast {
    /// The leader expects the model to become ready.
    Ready {
        /// Time until the model is ready.
        in_ms: u64,
    },
    /// The leader reports the model as ready now.
    Here {
        /// Time for which the leader has reported it.
        for_ms: u64,
    },
    /// The leader has not yet reported on the model.
    NotReported,
    /// No leader is known, or the leader cannot predict when the model will be ready.
    Unknown,
}

/// How long a request has waited and how long it may wait.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Wait {
    /// Time since the arrival of the request.
    pub elapsed_ms: u64,
    /// Time from the arrival of the request until its final answer is due.
    pub allowed_ms: u64,
    /// Time from the arrival of the request after which its caller gives up.
    pub caller_timeout_ms: u64,
}

impl Wait {
    /// Returns the wait of a request whose caller stays as long as its route suggests.
    pub fn new(route: &Route, elapsed_ms: u64, allowed_ms: u64) -> Self {
        Self { elapsed_ms, allowed_ms, caller_timeout_ms: caller_timeout_ms(route, allowed_ms) }
    }

    /// Returns the wait of a request whose caller stays no longer than the route's objective.
    pub fn within_objective(route: &Route, elapsed_ms: u64, allowed_ms: u64) -> Self {
        let caller_timeout_ms = route.objective_ms.min(caller_timeout_ms(route, allowed_ms));
        Self { elapsed_ms, allowed_ms, caller_timeout_ms }
    }
}

/// The decision on a request whose model is not ready.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Admission {
    /// The request waits.
    Wait {
        /// Latest end of the wait, as time since the arrival of the request.
        until_ms: u64,
    },
    /// The request is refused.
    Refuse {
        /// Time after which the caller should retry.
        retry_after_ms: u64,
        /// Why it is refused.
        reason: Reason,
    },
}

/// Why a request is refused.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Reason {
    /// Endpoints crashed under the request.
    EndsEndpoints,
    /// Endpoints may have crashed under the request, and an attempt that is running will show it.
    OnTrial,
    /// Endpoints may have crashed under the request, and no endpoint that could run it answers.
    NoSignOfLife,
    /// No endpoint that has the model runs the version of the software that began the stream.
    VersionMissing,
    /// The model will be ready too late for this caller.
    ReadyTooLate,
    /// No daemon knows when the model will be ready.
    ReadyUnknown,
    /// The leader reports the model as ready, but no endpoint accepts the request.
    Disagreement,
}

impl Reason {
    /// Returns the name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::EndsEndpoints => "ends_endpoints",
            Self::OnTrial => "on_trial",
            Self::NoSignOfLife => "no_sign_of_life",
            Self::VersionMissing => "version_missing",
            Self::ReadyTooLate => "ready_too_late",
            Self::ReadyUnknown => "ready_unknown",
            Self::Disagreement => "disagreement",
        }
    }
}

/// Returns how long a caller waits for the first event, from the arrival of its request.
///
/// A caller of a route without streams waits until its deadline.
pub fn caller_timeout_ms(route: &Route, deadline_ms: u64) -> u64 {
    if !route.is_stream() {
        return deadline_ms;
    }
    let by_objective = CALLER_TIMEOUT_OBJECTIVES * route.objective_ms;
    let by_pause = CALLER_TIMEOUT_PAUSES * route.pause_ms;
    MIN_CALLER_TIMEOUT_MS.max(by_objective).max(by_pause).min(deadline_ms)
}

/// Returns the time from the arrival of a request until which an endpoint must have begun with it, or
/// its caller gives up before the first event.
pub fn latest_start_ms(route: &Route, deadline_ms: u64) -> u64 {
    caller_timeout_ms(route, deadline_ms).saturating_sub(FIRST_EVENT_MS)
}

/// Decides whether a request waits or is refused, given when its model will be ready.
pub fn decide(wait: Wait, forecast: Forecast) -> Admission {
    let until_ms = wait.caller_timeout_ms.saturating_sub(FIRST_EVENT_MS);
    let refuse = |ready_in_ms, reason| {
        let retry_after_ms = retry_after_ms(wait.elapsed_ms, wait.allowed_ms, ready_in_ms);
        Admission::Refuse { retry_after_ms, reason }
    };
    match forecast {
        Forecast::Here { for_ms } if for_ms > DISAGREEMENT_MS => {
            refuse(Some(DISAGREEMENT_MS), Reason::Disagreement)
        }
        Forecast::Here { .. } if wait.elapsed_ms < until_ms => Admission::Wait { until_ms },
        Forecast::Here { .. } => refuse(Some(0), Reason::ReadyTooLate),
        Forecast::Ready { in_ms } if wait.elapsed_ms + in_ms < until_ms => {
            Admission::Wait { until_ms }
        }
        Forecast::Ready { in_ms } => refuse(Some(in_ms), Reason::ReadyTooLate),
        Forecast::NotReported if wait.elapsed_ms < until_ms => Admission::Wait { until_ms },
        Forecast::NotReported | Forecast::Unknown => refuse(None, Reason::ReadyUnknown),
    }
}

/// Returns the time after which a refused caller should retry.
///
/// It is at most a third of the caller's remaining time.
pub fn retry_after_ms(elapsed_ms: u64, deadline_ms: u64, ready_in_ms: Option<u64>) -> u64 {
    let ready_ms =
        ready_in_ms.map_or(UNKNOWN_READY_MS, |ready_ms| ready_ms.saturating_add(RETRY_MARGIN_MS));
    ready_ms.min(deadline_ms.saturating_sub(elapsed_ms) / RETRY_PART)
}
