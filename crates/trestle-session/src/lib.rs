//! Starts whole sessions of real processes on loopback.
//!
//! A [`Session`] runs a stand-in, daemons and the command line as separate
//! processes, each session on a loopback address of its own, so that many can
//! run at once. Tests break things through it: they kill and freeze daemons and
//! switch faults of the stand-in. The demonstration uses it too.

pub mod bench;
mod daemon_process;
mod error;
pub mod fleet;
mod process;
mod session;

pub use daemon_process::DaemonProcess;
pub use error::{Error, Result};
pub use session::{Answered, Session, SessionPlan, wait_until};
