//! What to send.

use crate::error::{PlanSnafu, ReadSnafu, Result};
use snafu::ResultExt;
use std::{fs, path::Path};

/// What to send.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub(crate) struct Plan {
    /// Daemons, as `ip:port`; requests go to one after the other.
    pub(crate) targets: Vec<String>,
    /// Streams of requests, sent at the same time.
    pub(crate) streams: Vec<Stream>,
}

/// One stream of requests.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub(crate) struct Stream {
    /// The caller's tenant, for the report.
    pub(crate) tenant: String,
    /// The caller's token.
    pub(crate) token: String,
    /// The class to name.
    pub(crate) class: String,
    /// Requests to send.
    pub(crate) requests: usize,
    /// Time before the first of them.
    #[serde(default)]
    pub(crate) start_ms: u64,
    /// Time over which they are spread; 0 sends all at once.
    pub(crate) over_ms: u64,
    /// Time until each answer is due.
    pub(crate) deadline_ms: u64,
    /// Whether answers are only timed, as those of an engine that is asked directly.
    #[serde(default)]
    pub(crate) unchecked: bool,
    /// What each request is for.
    pub(crate) work: Work,
}

/// What requests are for.
#[trestle_macros::wire]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) enum Work {
    /// Completions.
    Models {
        /// Models or adapters, one after the other.
        names: Vec<String>,
        /// Whether answers come in parts.
        stream: bool,
    },
    /// Calls of a plain service that may not be repeated.
    Calls {
        /// Path at the daemon.
        path: String,
        /// Header that carries the idempotency key.
        key_header: String,
        /// Prefix of the keys; each request adds its number.
        key_prefix: String,
        /// Times to ask again with the same key where the outcome is unknown.
        ask_again: u32,
    },
    /// Reads of a plain service.
    Reads {
        /// Path at the daemon.
        path: String,
    },
}

impl Plan {
    /// Reads a plan.
    pub(crate) fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        trestle_config::read_jsonc(&text, &path.display().to_string()).context(PlanSnafu)
    }
}
