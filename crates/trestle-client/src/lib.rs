//! Clients for the platform, for engines and for peers.
//!
//! Each outside system is accessed through one small type, so that another system of the same kind
//! can replace it by a change of settings alone:
//!
//! - [`platform::Platform`]: the platform's table, object store and list of VMs.
//! - [`engine::Engine`]: orders to model engines.
//! - [`peers::Peers`]: connections to other daemons.

pub mod engine;
mod error;
pub mod http;
pub mod peers;
pub mod platform;

pub use error::{Error, Result};
