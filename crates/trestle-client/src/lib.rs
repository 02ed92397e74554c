//! Narrow clients for the platform, engines and peers.
//!
//! Each outside system is met through one small type, so that another system
//! of the same kind can take its place by settings alone:
//!
//! - [`platform::Platform`]: table, object store and list of VMs.
//! - [`engine::Engine`]: orders to model engines.
//! - [`peers::Peers`]: connections to other daemons.

pub mod engine;
mod error;
pub mod http;
pub mod peers;
pub mod platform;

pub use error::{Error, Result};
