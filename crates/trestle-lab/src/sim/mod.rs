//! Discrete-event simulation of a deployment with engines and callers, in virtual time.
//!
//! [`simulation`] holds the whole state and handles the events of [`queue`] one after the other.
//! [`engine`] models an engine: batches, chunked prefill, a cache of prompt prefixes, orders and
//! loads. [`requests`] follows callers' requests to their end and [`sends`] their sends to engines,
//! [`leader`] is the daemon that leads, with the reports that the others send it, [`faults`] injects the faults of the
//! deployment's file, and [`workload`] generates the requests.

mod engine;
mod faults;
mod leader;
mod queue;
mod requests;
mod sends;
mod simulation;
mod workload;

use crate::{deployment::Deployment, outcome::Outcome, record::Arrival};
use trestle_dispatch::policy::Policy;

/// The requests of one run.
#[derive(Debug, Clone, Copy)]
pub enum Workload<'a> {
    /// Requests generated from the seed by the rates in the deployment's file.
    Generated,
    /// Requests read from a record.
    Recorded(&'a [Arrival]),
}

/// Simulates a deployment under a policy and returns the outcome; the same seed gives the same
/// outcome.
pub fn run(deployment: &Deployment, policy: &Policy, seed: u64, workload: Workload<'_>) -> Outcome {
    simulation::Simulation::new(deployment, policy, seed, workload).run()
}

/// Returns the requests that a seed generates, in the order of their times.
pub fn generate_workload(deployment: &Deployment, seed: u64) -> Vec<Arrival> {
    workload::generate(deployment, seed)
}
