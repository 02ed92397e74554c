//! Command-line arguments of the load tool.

use crate::error::{ArgsSnafu, Result};
use snafu::ResultExt;
use std::path::PathBuf;

const HELP: &str = "\
trestle-load: sends bursts of requests and checks every answer against its request

USAGE:
    trestle-load --plan FILE [--json]

OPTIONS:
    --plan FILE   the daemons and streams of requests, as JSON with comments
    --json        print the report as JSON
    --help        print this help

The exit code is 0 if every answer was correct, 2 if an answer was truncated, late,
missing or belonged to another request, and 1 if the run could not start.
";

/// Command-line arguments of the load tool.
pub(crate) struct Args {
    pub(crate) plan_path: PathBuf,
    pub(crate) json: bool,
}

impl Args {
    /// Parses the arguments of the process; returns `None` after printing the help for `--help`.
    pub(crate) fn from_env() -> Result<Option<Self>> {
        let mut args = pico_args::Arguments::from_env();
        if args.contains("--help") {
            print!("{HELP}");
            return Ok(None);
        }
        let json = args.contains("--json");
        let plan_path = args.value_from_str("--plan").context(ArgsSnafu)?;
        Ok(Some(Self { plan_path, json }))
    }
}
