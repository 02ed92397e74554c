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
    --check           check the settings and exit
    --version         print the version
    --help            print this
";

/// The arguments of the command line.
pub(crate) struct Args {
    /// The path of the settings file.
    pub(crate) settings_path: PathBuf,
    /// Whether to check the settings and exit.
    pub(crate) check_only: bool,
}

impl Args {
    /// Parses the command line; `None` if only the help text or the version was requested, which is
    /// then printed. Fails if the settings file is not named.
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

    /// Reads the settings file. Fails if it cannot be read or is not valid.
    pub(crate) fn settings(&self) -> Result<SettingsFile> {
        read_settings(&self.settings_path).context(ConfigSnafu)
    }
}
