//! The plan: which requests to send, where and when.

use crate::error::{PlanSnafu, ReadSnafu, Result};
use snafu::ResultExt;
use std::{fs, path::Path};

/// A plan: the requests to send, and the daemons that receive them.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub(crate) struct Plan {
    /// Addresses of daemons, as `ip:port`; the requests of a stream go to them in rotation.
    pub(crate) targets: Vec<String>,
    /// Streams of requests, sent concurrently.
    pub(crate) streams: Vec<Stream>,
}

/// A number of similar requests of one caller.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub(crate) struct Stream {
    /// Name of the caller's tenant; used only in the report.
    pub(crate) tenant: String,
    /// Token that authorizes the requests.
    pub(crate) token: String,
    /// Class that the requests name.
    pub(crate) class: String,
    /// Number of requests to send.
    pub(crate) requests: usize,
    /// Time from the start of the run to the first request.
    #[serde(default)]
    pub(crate) start_ms: u64,
    /// Time over which the requests are spread evenly; 0 sends all at once.
    pub(crate) over_ms: u64,
    /// Time within which each request must be answered.
    pub(crate) deadline_ms: u64,
    /// Whether answers are timed but not checked; needed for engines, which send no outcome header.
    #[serde(default)]
    pub(crate) unchecked: bool,
    /// What the requests call.
    pub(crate) work: Work,
}

/// What the requests of a stream call.
#[trestle_macros::wire]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) enum Work {
    /// Completions of models.
    Models {
        /// Models or adapters, requested in rotation.
        names: Vec<String>,
        /// Whether answers are streamed.
        stream: bool,
    },
    /// Calls of a plain service that must run at most once.
    Calls {
        /// Path of the request at the daemon.
        path: String,
        /// Header that carries the idempotency key.
        key_header: String,
        /// Prefix of the idempotency keys; the number of the request follows.
        key_prefix: String,
        /// Maximum number of retries with the same key while the outcome is unknown.
        ask_again: u32,
    },
    /// Reads of a plain service, which may be repeated.
    Reads {
        /// Path of the request at the daemon.
        path: String,
    },
}

impl Plan {
    /// Reads a plan from a file; fails if the file cannot be read or is not a valid plan.
    pub(crate) fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        trestle_config::read_jsonc(&text, &path.display().to_string()).context(PlanSnafu)
    }
}
