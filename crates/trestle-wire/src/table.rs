//! Messages of the platform: its table of rows and its list of VMs.

use serde_json::Value;
use std::collections::BTreeMap;

/// Request to read rows.
#[trestle_macros::wire]
pub struct ReadRequest {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Response to a [`ReadRequest`]; rows that were never written are left out.
#[trestle_macros::wire]
pub struct ReadResponse {
    /// Rows by key.
    pub rows: BTreeMap<String, WireRow>,
}

/// Row with its version.
#[trestle_macros::wire]
pub struct WireRow {
    /// Version of the row; grows with each write.
    pub version: u64,
    /// Content of the row; `null` if the row was deleted.
    pub value: Option<Value>,
}

/// Request for writes that take effect together.
#[trestle_macros::wire]
#[derive(Default)]
pub struct CommitRequest {
    /// Versions that rows must still have; 0 stands for a row that was never written.
    pub checks: BTreeMap<String, u64>,
    /// New contents of rows; `null` deletes a row.
    pub writes: BTreeMap<String, Option<Value>>,
}

/// Response to a [`CommitRequest`].
#[trestle_macros::wire]
pub struct CommitResponse {
    /// Whether the writes took effect.
    pub committed: bool,
    /// Keys of the rows that had another version than the request expected.
    #[serde(default)]
    pub conflicts: Vec<String>,
}

/// Row that names the configuration in force.
#[trestle_macros::wire]
pub struct ConfigHead {
    /// Version of the configuration.
    pub version: u64,
    /// Identifier of the apply that wrote this version.
    pub apply_id: String,
    /// SHA-256 of the configuration file, in hexadecimal.
    pub sha256: String,
    /// Operator who applied the version.
    pub author: String,
}

/// Key of the row that holds the [`ConfigHead`].
pub const CONFIG_HEAD_KEY: &str = "config/head";

/// Returns the name of the object that holds the configuration file of an apply.
pub fn config_object(apply_id: &str) -> String {
    format!("config-{apply_id}")
}

/// Returns the key of the row that keeps the [`ConfigHead`] of a version, for the history.
pub fn config_history_key(version: u64) -> String {
    format!("config/history/{version}")
}

/// List of VMs of the platform.
#[trestle_macros::wire]
pub struct VmList {
    /// States of the VMs, by name.
    pub vms: BTreeMap<String, WireVmState>,
}

/// State of a VM.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum WireVmState {
    /// The VM is in use.
    Live,
    /// The VM is draining: the platform is about to remove it.
    Leaving,
}

impl From<WireVmState> for trestle_core::event::VmState {
    fn from(state: WireVmState) -> Self {
        match state {
            WireVmState::Live => Self::Live,
            WireVmState::Leaving => Self::Draining,
        }
    }
}
