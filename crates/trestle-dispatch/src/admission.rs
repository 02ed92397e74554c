//! Whether a request whose model is not ready waits or is refused.
//!
//! A wait that ends within the objective serves the caller best. Where that is
//! out of reach, a refusal at once that says when to come back lets the caller
//! be on time with its next attempt; holding it would only make it late.

use crate::route::Route;

/// Shortest time after which a caller gives up on a stream without events.
const LEAST_STAY_MS: u64 = 2_000;
/// The same as a multiple of the objective.
const STAY_OBJECTIVES: u64 = 4;
/// The same as a multiple of the longest pause that is on time.
const STAY_PAUSES: u64 = 8;
/// Time from the moment a model is ready to the first event at the caller: the
/// news of it, the request's way to the engine, a prompt, and the way back.
const FIRST_EVENT_MS: u64 = 150;
/// Part of its remaining time after which a caller comes back at the latest.
const COME_BACK_PART: u64 = 3;
/// Said to callers where nothing is known of when the model will be ready.
const UNKNOWN_READY_MS: u64 = 1_500;
/// A caller that comes back finds the model ready with this margin.
const COME_BACK_MARGIN_MS: u64 = 150;

/// What becomes of a request whose model is not ready.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Admission {
    /// It waits, until this long after its arrival.
    Wait {
        /// When waiting must end, from its arrival.
        until_ms: u64,
    },
    /// It is refused now.
    Refuse {
        /// When the caller should come back.
        retry_after_ms: u64,
    },
}

/// How long a caller stays without a first event, from its arrival.
pub fn caller_stays_ms(route: &Route, deadline_ms: u64) -> u64 {
    if !route.is_stream() {
        return deadline_ms;
    }
    let by_objective = STAY_OBJECTIVES * route.objective_ms;
    let by_pause = STAY_PAUSES * route.pause_ms;
    LEAST_STAY_MS.max(by_objective).max(by_pause).min(deadline_ms)
}

/// Decides for a request that arrived `elapsed_ms` ago with `deadline_ms` then,
/// and whose model will be ready in `ready_in_ms`, if that is known.
pub fn decide(
    route: &Route,
    elapsed_ms: u64,
    deadline_ms: u64,
    ready_in_ms: Option<u64>,
) -> Admission {
    let on_time_ms = route.objective_ms.saturating_sub(FIRST_EVENT_MS);
    let is_on_time = ready_in_ms.is_some_and(|ready_ms| elapsed_ms + ready_ms <= on_time_ms);
    if is_on_time {
        return Admission::Wait { until_ms: on_time_ms.min(deadline_ms) };
    }
    Admission::Refuse { retry_after_ms: retry_after_ms(elapsed_ms, deadline_ms, ready_in_ms) }
}

/// When a refused caller should come back.
pub fn retry_after_ms(elapsed_ms: u64, deadline_ms: u64, ready_in_ms: Option<u64>) -> u64 {
    let ready_ms = ready_in_ms.map_or(UNKNOWN_READY_MS, |ready_ms| ready_ms + COME_BACK_MARGIN_MS);
    ready_ms.min(deadline_ms.saturating_sub(elapsed_ms) / COME_BACK_PART)
}
