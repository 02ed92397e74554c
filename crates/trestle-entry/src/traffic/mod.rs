//! Forwards callers' requests to endpoints and their answers back.
//!
//! [`serve`] accepts connections, and [`handle`] finds the route of each request. [`plain`]
//! forwards requests with a single answer, [`stream`] those whose answer is a stream of events.
//! Both choose endpoints with [`select`] and send with [`attempt`]. Every request ends either with
//! the complete answer that belongs to it, or with a failure that says whether it may have run.
//!
//! Request bodies and answers are held only within the bounds of [`held_bytes`](crate::held_bytes).

pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod broken_stream;
mod caller_stream;
mod event_reader;
pub(crate) mod events;
mod forwarded_stream;
pub(crate) mod handle;
mod hedge;
mod held_permit;
pub(crate) mod outcome;
mod plain;
pub(crate) mod prompt_schedule;
pub(crate) mod quota_reservation;
pub(crate) mod report;
pub(crate) mod select;
pub(crate) mod selected_endpoint;
pub(crate) mod serve;
pub(crate) mod stream;
pub(crate) mod task;
mod wait_limit;
