//! Logs of the daemon.

use crate::error::{LogFilterSnafu, Result};
use snafu::ResultExt;
use std::io::{self, IsTerminal};
use tracing_subscriber::EnvFilter;
use trestle_config::settings::{LogFormat, LogSettings};

/// Begins to write logs to standard error.
pub(crate) fn init(settings: &LogSettings) -> Result<()> {
    let filter = &settings.filter;
    let filter = EnvFilter::try_new(filter).context(LogFilterSnafu { filter })?;
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(io::stderr);
    match settings.format {
        LogFormat::Text => subscriber.with_target(false).init(),
        LogFormat::Json => subscriber.json().init(),
    }
    Ok(())
}
