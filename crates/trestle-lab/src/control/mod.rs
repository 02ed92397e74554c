//! Control in virtual time: leases, questions and links of hundreds of daemons.
//!
//! [`crate::sim`] plays engines and callers, and its leader's word simply arrives. What falls
//! over at size is what it leaves out: a leader answers each daemon over a link of so many bytes
//! a second, with a processor of an eighth of a core, and its renewals stand in the same queues.
//! Here daemons take and renew leases, ask their leaders and take over from them by the
//! functions that run in the daemon ([`trestle_dispatch::lease`], [`trestle_dispatch::groups`],
//! [`trestle_dispatch::candidate`], [`trestle_dispatch::pace`],
//! [`trestle_dispatch::placement_log`]); answers have the size of their encoding. The engines
//! behind it only change what they hold.

mod asking;
mod faults;
mod leasing;
mod outcome;
mod plan;
mod vm;
mod world;

pub use outcome::Outcome;
pub use plan::{Clocks, ControlFault, ControlPlan, Leaders, LeaseRows, Telling, VmKind};
pub use world::play;
