//! Plays deployments in virtual time, with the decisions that run in the daemon.
//!
//! A [`deployment::Deployment`] is read from a file in JSON with comments: daemons, engines,
//! weight store, models, classes of callers, and what goes wrong when. [`sim::play`] plays it
//! from one seed as discrete events, without sleeping, and gives an [`outcome::Outcome`]. What
//! becomes of a request, where models go and how engines are ordered is decided by the
//! functions of `trestle-dispatch` through the calls that the daemon makes; nothing is
//! decided here. [`experiment`] plays several seeds and policies and compares them in pairs.
//!
//! To try another policy: add a [`trestle_dispatch::policy::Mechanism`], ask for it where it
//! decides, and run `trestle-lab ablate` (docs/LAB.md).

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
