//! Starts whole sessions of real processes on loopback.
//!
//! A [`Session`] runs the stand-in (it simulates engines, plain services and the
//! platform), daemons and the command line as separate processes. Each session has
//! its own loopback address, so that many sessions can run concurrently. Tests use
//! it to kill and freeze daemons and to set faults of the stand-in; the
//! demonstration uses it as well.

pub mod bench;
mod daemon_process;
mod error;
pub mod fleet;
mod process;
mod session;

pub use daemon_process::DaemonProcess;
pub use error::{Error, Result};
pub use session::{Answer, Session, SessionPlan, wait_until};
