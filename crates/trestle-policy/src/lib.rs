//! Compares policies for keeping models loaded, by tail cold-start time and idle accelerator
//! hours.
//!
//! A [`workload::Deployment`] is generated from a seed, modeled on one of two deployments, a
//! fleet and a herbarium. [`simulate::simulate`] runs it in virtual time under a
//! [`policy::Policy`], with the keep times of `trestle-core` and a simple cost model of loads: a
//! rate of starts, and a number of loads at full speed. It does not simulate a cluster: there are
//! no daemons, messages or faults.
//!
//! Two figures result. *Cold wait* is the waiting time of a first request, that is one that comes
//! more than a minute after the previous request to the same model; it is 0 if the model is
//! loaded. *Idle hours* are the time during which a model is loaded and no request runs, times the
//! model's share of the accelerator's memory.

pub mod policy;
pub mod report;
pub mod simulate;
pub mod workload;
