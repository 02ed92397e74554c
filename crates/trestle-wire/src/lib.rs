//! Wire types, and the service between daemons.
//!
//! Decisions use the types of `trestle-core`. What leaves the process has a
//! type of its own here, with `From` into the wire and `TryFrom` out of it, so
//! that the format on the wire can stay while the inner types change.
//!
//! - [`table`] and [`row`]: the platform's table.
//! - [`order`]: orders to engines, and their reports.
//! - [`peer`]: what daemons ask each other.
//! - [`replicas`]: what daemons and the leader tell each other.
//! - [`departures`]: endpoints that left or are gone.
//! - [`placements`]: where models are, by change.
//! - [`relay`]: what the leader passes on of the store.
//! - [`crashes`]: requests under which endpoints ended; [`trials`]: which attempt of one may run.
//! - [`allocation`]: parts of the limits of teams.
//! - [`claim`]: calls that may not be repeated.
//! - [`admin`]: what operators ask a daemon.
//! - [`usage_profile`]: what is kept of the times at which models are used.
//! - [`headers`]: HTTP headers towards callers and endpoints.

pub mod admin;
pub mod allocation;
pub mod claim;
pub mod crashes;
pub mod departures;
mod error;
pub mod headers;
pub mod order;
pub mod peer;
pub mod placements;
pub mod relay;
pub mod replicas;
pub mod row;
pub mod send_permits;
pub mod table;
pub mod trials;
pub mod usage_profile;

pub use error::{Error, Result};
