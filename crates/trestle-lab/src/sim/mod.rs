//! One day in virtual time.
//!
//! [`world`] holds everything and takes one event after the other from [`queue`]. [`engine`]
//! is a model of an engine with batches, prompts read in pieces, memory for prompts, orders
//! and loads; [`requests`] sees callers' requests through, [`leading`] is the daemon that
//! leads with what the others tell it, [`troubles`] makes things go wrong, and [`demand`]
//! draws what is asked for.

mod demand;
mod engine;
mod leading;
mod queue;
mod requests;
mod troubles;
mod world;

use crate::{deployment::Deployment, outcome::Outcome, record::Arrival};
use trestle_dispatch::policy::Policy;

/// What is asked for in a day.
#[derive(Debug, Clone, Copy)]
pub enum Load<'a> {
    /// Drawn by the deployment's file.
    Drawn,
    /// As it was recorded.
    Recorded(&'a [Arrival]),
}

/// Plays a day; the same seed gives the same outcome.
pub fn play(deployment: &Deployment, policy: &Policy, seed: u64, load: Load<'_>) -> Outcome {
    world::World::new(deployment, policy, seed, load).play()
}

/// The load that a seed draws.
pub fn draw(deployment: &Deployment, seed: u64) -> Vec<Arrival> {
    demand::draw(deployment, seed)
}
