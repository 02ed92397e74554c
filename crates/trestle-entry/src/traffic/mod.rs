//! Carries callers' requests.
//!
//! [`serve`] takes connections, [`handle`] finds the route of each request, and
//! [`plain`] and [`stream`] see it through. Both take their endpoints from
//! [`select`] and send through [`attempt`]. Every request ends with its own whole
//! answer, or at once with a failure that says whether it may have run.

pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod events;
pub(crate) mod handle;
pub(crate) mod outcome;
pub(crate) mod patience;
pub(crate) mod payment;
mod place;
mod plain;
pub(crate) mod report;
pub(crate) mod select;
pub(crate) mod serve;
pub(crate) mod stream;
pub(crate) mod task;
