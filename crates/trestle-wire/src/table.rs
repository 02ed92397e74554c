//! Requests to the platform's table.

use serde_json::Value;
use std::collections::BTreeMap;

/// Asks for rows.
#[trestle_macros::wire]
pub struct ReadRequest {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Rows that were read; rows that were never written are left out.
#[trestle_macros::wire]
pub struct ReadResponse {
    /// Rows by key.
    pub rows: BTreeMap<String, WireRow>,
}

/// A row with its version.
#[trestle_macros::wire]
pub struct WireRow {
    /// Grows with each write.
    pub version: u64,
    /// `null` for a deleted row.
    pub value: Option<Value>,
}

/// Asks for writes that take effect together.
#[trestle_macros::wire]
#[derive(Default)]
pub struct CommitRequest {
    /// Versions that rows must still have, 0 for rows that were never written.
    pub checks: BTreeMap<String, u64>,
    /// New contents, `null` to delete.
    pub writes: BTreeMap<String, Option<Value>>,
}

/// Whether the writes took effect.
#[trestle_macros::wire]
pub struct CommitResponse {
    /// Whether they did.
    pub committed: bool,
    /// Rows that had another version.
    #[serde(default)]
    pub conflicts: Vec<String>,
}

/// The head of the configuration.
#[trestle_macros::wire]
pub struct ConfigHead {
    /// Version in force.
    pub version: u64,
    /// Identifies the apply that made it.
    pub apply_id: String,
    /// SHA-256 of the file, in hexadecimal.
    pub sha256: String,
    /// The operator who applied it.
    pub author: String,
}

/// Key of the row that holds the [`ConfigHead`].
pub const CONFIG_HEAD_KEY: &str = "config/head";

/// Key of the object that holds the file of an apply.
pub fn config_object(apply_id: &str) -> String {
    format!("config-{apply_id}")
}

/// Key of the row that keeps the head of a version, for the history.
pub fn config_history_key(version: u64) -> String {
    format!("config/history/{version}")
}

/// The platform's list of VMs.
#[trestle_macros::wire]
pub struct VmList {
    /// State by name.
    pub vms: BTreeMap<String, WireVmState>,
}

/// The state of a VM.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum WireVmState {
    /// In use.
    Live,
    /// About to be taken away.
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
