//! How long a send is waited for before another endpoint is tried.
//!
//! The load that this answers: an endpoint that has turned slow or silent, among others that
//! are sound. An endpoint makes way only if another could take the request over at that
//! moment; breaking off what nobody else can run would lose what was done for it.

use crate::route::Route;

/// Objectives within which a stream's first event must come: one that is merely late is not
/// begun anew, since its prompt would be read twice.
const FIRST_EVENT_OBJECTIVES: u64 = 2;
/// Pauses within which the next event must come.
const STALLED_PAUSES: u64 = 4;
/// Least time of all, where a route has no objective.
const LEAST_MS: u64 = 100;

/// Time for the whole answer of a plain call; while another send is left, one that is no
/// longer on time makes way for it.
pub fn answer_ms(route: &Route) -> u64 {
    route.objective_ms.max(LEAST_MS)
}

/// Time for the first event of a stream.
pub fn first_event_ms(route: &Route) -> u64 {
    (FIRST_EVENT_OBJECTIVES * route.objective_ms).max(LEAST_MS)
}

/// Time for each further event.
pub fn next_event_ms(route: &Route) -> u64 {
    (STALLED_PAUSES * route.pause_ms).max(LEAST_MS)
}
