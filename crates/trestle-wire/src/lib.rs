//! Wire types, and the services between daemons.
//!
//! Decisions use the types of `trestle-core` and `trestle-dispatch`. Each value that leaves the
//! process has a type of its own here, with conversions from and to the inner type, so that the
//! format on the wire can stay the same while inner types change.
//!
//! - [`table`] and [`row`]: the platform's table and list of VMs.
//! - [`order`]: orders to engines, and the engine states that answer them.
//! - [`peer`]: the service that grants permits, between daemons whose state is on the platform.
//! - [`replicas`]: the service between daemons and leaders, where the state is in an outside store.
//! - [`placements`]: changes of which engine can run which model, from leaders to daemons.
//! - [`relay`]: contents of the store, from leaders to daemons.
//! - [`departures`]: endpoints that are draining or gone.
//! - [`crashes`]: requests under which endpoints crashed; [`trials`]: decisions on which attempt of
//!   such a request may run.
//! - [`allocation`]: allocations of team limits.
//! - [`send_permits`]: send permits for endpoints that have announced limits.
//! - [`detours`]: connections to endpoints that one daemon opens for another.
//! - [`slots`]: slots of endpoints that crash if they have to reject too many requests.
//! - [`schedule`]: decisions on which engine reads a prompt.
//! - [`claim`]: claims on calls that must not run twice.
//! - [`admin`]: the state of a daemon, for operators.
//! - [`usage_profile`]: stored times of day at which models are used.
//! - [`headers`]: HTTP headers towards callers and endpoints.

pub mod admin;
pub mod allocation;
pub mod claim;
pub mod crashes;
pub mod departures;
pub mod detours;
mod error;
pub mod headers;
pub mod order;
pub mod peer;
pub mod placements;
pub mod relay;
pub mod replicas;
pub mod row;
pub mod schedule;
pub mod send_permits;
pub mod slots;
pub mod store_version;
pub mod streams;
pub mod table;
pub mod trials;
pub mod usage_profile;

pub use error::{Error, Result};
