//! Discrete-event simulation of the control plane: leases, syncs and links of hundreds of daemons.
//!
//! [`crate::sim`] simulates engines and callers, and delivers a leader's answers after a fixed
//! delay. It leaves out what limits large deployments: a leader answers each daemon over a link
//! of limited bandwidth, with a processor of an eighth of a core, and its lease renewals wait in
//! the same queues. Here daemons acquire and renew leases, sync with their leaders and take over
//! from them by the functions that run in the daemon ([`trestle_dispatch::lease`],
//! [`trestle_dispatch::groups`], [`trestle_dispatch::candidate`],
//! [`trestle_dispatch::sync_intervals`], [`trestle_dispatch::placement_log`]); answers have the
//! size of their encoding. The engines only change which models they hold.

mod faults;
mod leases;
mod outcome;
mod plan;
mod simulation;
mod sync;
mod vm;

pub use outcome::Outcome;
pub use plan::{AnswerFormat, Clocks, ControlFault, ControlPlan, Leaders, LeaseRows, VmKind};
pub use simulation::run;
