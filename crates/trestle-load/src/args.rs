//! The command line of the load tool.

use crate::error::{ArgsSnafu, Result};
use snafu::ResultExt;
use std::path::PathBuf;

const HELP: &str = "\
trestle-load: sends bursts and checks every answer against its request

USAGE:
    trestle-load --plan FILE [--json]

OPTIONS:
    --plan FILE   daemons and streams of requests, JSON with comments
    --json        print the report as JSON
    --help        print this

The exit code is 0 if every answer was right, 2 if one was crossed, cut, late or
missing, and 1 if the run could not begin.
";

/// The command line of the load tool.
pub(crate) struct Args {
    pub(crate) plan_path: PathBuf,
    pub(crate) json: bool,
}

impl Args {
    /// Reads the command line; `None` if it only asked for help.
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
