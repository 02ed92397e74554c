//! Settings of a process, and the operators' configuration file.
//!
//! Both are JSON with comments. A file is checked as a whole: keys that are not
//! known or stand twice are refused, and every problem names its line and
//! column and says what to do.
//!
//! - [`from_str`] reads and checks a configuration file.
//! - [`settings::Settings`] is what a daemon needs to start; [`read_settings`]
//!   reads it from a file.
//! - [`Config`] is a configuration that was checked.
//!
//! # Examples
//!
//! ```
//! let error = trestle_config::from_str("{ \"models\": 3 }", "fleet.jsonc").unwrap_err();
//! assert!(error.to_string().starts_with("fleet.jsonc:1:"));
//! ```

mod check;
mod config;
pub mod entry_settings;
mod error;
pub mod file;
mod locate;
mod read;
pub mod settings;
mod whole;
mod window;

pub use config::{Adapter, Class, Config, Service, ServiceEndpoint, Target, Tenant};
pub use error::{Category, Error, Problem, Result};
pub use read::{SettingsFile, digest, from_str, read_jsonc, read_settings};
