//! Settings of a daemon, and the operators' configuration file.
//!
//! Both are JSON with comments. A file with unknown or duplicate keys is rejected. Each problem
//! names its line and column and says how to solve it.
//!
//! - [`from_str`] parses and checks a configuration file.
//! - [`read_settings`] reads and checks the settings that a daemon starts with.
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
