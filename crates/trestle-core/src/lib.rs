//! Decisions of trestlestile.
//!
//! This crate holds plain data and plain functions: it performs no input or output, reads no clock
//! and uses no randomness. Time is passed in, as milliseconds of the daemon's monotonic clock. The
//! daemon carries out each [`event::Action`] that [`control_state::ControlState`] returns, and
//! reports everything that happens as an [`event::Event`].
//!
//! Where to start reading:
//!
//! - [`membership`]: which daemons belong to a failure domain.
//! - [`chain_position`] and [`owned_endpoint`]: which daemon owns an endpoint, and what the owner
//!   does.
//! - [`placing`] and [`catalog`]: where a model may be loaded.
//! - [`queue`] and [`permit`]: which request may be sent, and when.
//! - [`load_limiter`] and [`keep`]: when a model is loaded, and how long it stays loaded.

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
