//! Errors of the stand-in.

use snafu::Snafu;
use std::{net::AddrParseError, path::PathBuf};

/// The result of a step of starting the stand-in.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why the stand-in cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{source}; see --help"))]
    Args { source: pico_args::Error },
    #[snafu(display("{} cannot be read: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display("{source}"))]
    Config { source: trestle_config::Error },
    #[snafu(display("expected an address of the form IP:PORT, found `{text}`: {source}"))]
    Address { text: String, source: AddrParseError },
}
