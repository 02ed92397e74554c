//! Weighs tail cold-start time against idle accelerator hours.
//!
//! A [`day::Deployment`] is generated from a seed, much as the two deployments
//! describe theirs. [`simulate::simulate`] runs it in virtual time under a
//! [`policy::Policy`], with the keep times of `trestle-core` and a plain cost
//! model of loads: a rate of starts, and a number of loads at full speed. It is
//! not a simulator of a cluster: there are no daemons, messages or faults.
//!
//! Two figures come out. *Cold wait* is what a first request waits, one that
//! comes more than a minute after the last to the same model; it is 0 where the
//! model is loaded. *Idle hours* are the time in which a model is loaded and no
//! request runs, times its share of the accelerator's memory.

pub mod day;
pub mod policy;
pub mod report;
pub mod simulate;
