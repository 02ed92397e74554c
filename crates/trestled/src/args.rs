//! The command line of the daemon.

use crate::error::{ArgsSnafu, ConfigSnafu, Result};
use snafu::ResultExt;
use std::path::PathBuf;
use trestle_config::{SettingsFile, read_settings};

const HELP: &str = "\
trestled: the daemon of trestlestile, one on each entry VM

USAGE:
    trestled --settings FILE [--check]

OPTIONS:
    --settings FILE   settings of this daemon, JSON with comments
    --check           check the settings and end
    --version         print the version
    --help            print this
";

/// The command line of the daemon.
pub(crate) struct Args {
    pub(crate) settings_path: PathBuf,
    pub(crate) check_only: bool,
}

impl Args {
    /// Reads the command line; `None` if it only asked for help.
    pub(crate) fn from_env() -> Result<Option<Self>> {
        let mut args = pico_args::Arguments::from_env();
        if args.contains("--help") {
            print!("{HELP}");
            return Ok(None);
        }
        if args.contains("--version") {
            println!("trestled {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let check_only = args.contains("--check");
        let settings_path = args.value_from_str("--settings").context(ArgsSnafu)?;
        Ok(Some(Self { settings_path, check_only }))
    }

    /// The settings that the file holds.
    pub(crate) fn settings(&self) -> Result<SettingsFile> {
        read_settings(&self.settings_path).context(ConfigSnafu)
    }
}
