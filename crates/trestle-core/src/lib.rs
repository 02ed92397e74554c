//! Decisions of trestlestile.
//!
//! Everything here is plain data and plain functions: no input or output, no
//! clock, no randomness. Time comes in as milliseconds of the caller's monotonic
//! clock. What the daemon does in the world, it does because [`control_state::ControlState`]
//! returned an [`event::Action`]; what happens in the world reaches the node as
//! an [`event::Event`].
//!
//! Where to start reading:
//!
//! - [`membership`]: who belongs to a failure domain.
//! - [`position`] and [`owned`]: who owns an endpoint, and what the owner does.
//! - [`placing`] and [`catalog`]: where a model may be loaded.
//! - [`queue`] and [`permit`]: who may send a request, and when.
//! - [`loads`] and [`keep`]: when a model is loaded, and how long it is kept.

pub mod adoption;
mod candidates;
pub mod catalog;
pub mod chain_position;
pub mod claim;
pub mod control_state;
pub mod endpoint_row;
pub mod event;
pub mod fence;
pub mod health;
pub mod keep;
pub mod lease_row;
pub mod load_limiter;
pub mod membership;
pub mod membership_row;
pub mod model_row;
pub mod names;
pub mod order;
pub mod owned_endpoint;
pub mod permit;
pub mod placing;
pub mod queue;
pub mod rendezvous;
pub mod retry_budget;
mod review;
pub mod row;
pub mod timing;
pub mod usage_profile;
pub mod vm_list;
pub mod window;
