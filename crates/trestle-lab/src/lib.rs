//! Simulates deployments in virtual time, with the decisions that run in the daemon.
//!
//! A [`deployment::Deployment`] is read from a file in JSON with comments: daemons, engines,
//! weight store, models, classes of requests, and faults with their times. [`sim::run`] simulates
//! it from one seed as discrete events, without sleeping, and returns an [`outcome::Outcome`]. The
//! functions of `trestle-dispatch` decide where requests are sent, where models are loaded and
//! which orders engines get, through the calls that the daemon makes; this crate decides nothing
//! itself. [`experiment`] runs several seeds under several policies and compares the outcomes in
//! pairs. [`control`] simulates only the control plane, of hundreds of daemons.
//!
//! To try another policy, add a [`trestle_dispatch::policy::Mechanism`], query it at the decision
//! that it affects, and run `trestle-lab ablate` (docs/LAB.md).

pub mod control;
pub mod deployment;
pub mod error;
pub mod experiment;
mod file;
pub mod outcome;
pub mod plot;
pub mod record;
pub mod report;
pub mod sim;
