//! Command-line arguments of the stand-in.

use crate::error::{ArgsSnafu, ConfigSnafu, ReadSnafu, Result};
use snafu::ResultExt;
use std::{fs, net::SocketAddr, path::PathBuf};
use trestle_config::Config;

const HELP: &str = "\
trestle-standin: simulates engines, plain services and the platform

USAGE:
    trestle-standin --config FILE --platform IP:PORT --control IP:PORT [OPTIONS]

OPTIONS:
    --config FILE          the configuration whose endpoints are simulated
    --platform IP:PORT     an address of the platform; may be given several times
    --control IP:PORT      the address where faults are set and counts are read
    --speed FACTOR         divide load and service times by this [default: 1]
    --loads-per-s N        loads that the weight store starts per second [default: 3]
    --full-speed-loads N   concurrent loads that run at full speed [default: 4]
    --help                 print this help
";

/// Command-line arguments of the stand-in.
pub(crate) struct Args {
    pub(crate) config_path: PathBuf,
    pub(crate) platform_addresses: Vec<SocketAddr>,
    pub(crate) control_address: SocketAddr,
    pub(crate) speed: f64,
    pub(crate) loads_per_s: f64,
    pub(crate) full_speed_loads: usize,
}

impl Args {
    /// Parses the arguments of the process; returns `None` after printing the help for `--help`.
    pub(crate) fn from_env() -> Result<Option<Self>> {
        let mut args = pico_args::Arguments::from_env();
        if args.contains("--help") {
            print!("{HELP}");
            return Ok(None);
        }
        let parsed = Self {
            config_path: args.value_from_str("--config").context(ArgsSnafu)?,
            platform_addresses: args.values_from_str("--platform").context(ArgsSnafu)?,
            control_address: args.value_from_str("--control").context(ArgsSnafu)?,
            speed: args.opt_value_from_str("--speed").context(ArgsSnafu)?.unwrap_or(1.0),
            loads_per_s: args
                .opt_value_from_str("--loads-per-s")
                .context(ArgsSnafu)?
                .unwrap_or(3.0),
            full_speed_loads: args
                .opt_value_from_str("--full-speed-loads")
                .context(ArgsSnafu)?
                .unwrap_or(4),
        };
        Ok(Some(parsed))
    }

    /// Reads the configuration file and parses it.
    pub(crate) fn config(&self) -> Result<Config> {
        let path = &self.config_path;
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        trestle_config::from_str(&text, &path.display().to_string()).context(ConfigSnafu)
    }
}
