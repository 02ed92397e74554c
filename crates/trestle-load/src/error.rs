//! Errors of the load tool.

use snafu::Snafu;
use std::path::PathBuf;

/// The result of a step of preparing a run.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a run cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{source}; see --help"))]
    Args { source: pico_args::Error },
    #[snafu(display("{} cannot be read: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display("{source}"))]
    Plan { source: trestle_config::Error },
}
