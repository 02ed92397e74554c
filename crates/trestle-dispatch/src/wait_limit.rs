//! How long a send may take before another endpoint is tried.
//!
//! The load that this answers: an endpoint that has become slow or silent, among others that are
//! healthy. A send is aborted only if another endpoint could run the request at that moment;
//! otherwise the work done for it would be lost.

use crate::route::Route;

/// Number of objectives within which the first event of a stream must arrive. A stream that is
/// merely late is not started again, since its prompt would be read twice.
const FIRST_EVENT_OBJECTIVES: u64 = 2;
/// Number of pauses within which the next event must arrive.
const STALLED_PAUSES: u64 = 4;
/// Shortest wait limit, for routes without an objective.
const MIN_MS: u64 = 100;

/// Returns the wait limit for the whole answer of a plain call: while another send is allowed, one
/// that is no longer on time is aborted for it.
pub fn answer_ms(route: &Route) -> u64 {
    route.objective_ms.max(MIN_MS)
}

/// Returns the wait limit for the first event of a stream.
pub fn first_event_ms(route: &Route) -> u64 {
    (FIRST_EVENT_OBJECTIVES * route.objective_ms).max(MIN_MS)
}

/// Returns the wait limit for each further event of a stream.
pub fn next_event_ms(route: &Route) -> u64 {
    (STALLED_PAUSES * route.pause_ms).max(MIN_MS)
}
