//! Errors that prevent the start of the daemon.

use snafu::Snafu;
use std::{io, net::SocketAddr};

/// The result of starting the daemon.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// An error that prevents the start of the daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{source}; see --help"))]
    Args { source: pico_args::Error },
    #[snafu(display("{source}"))]
    Config { source: trestle_config::Error },
    #[snafu(display("{source}"))]
    Logs { source: trestle_entry::logs::FilterError },
    #[snafu(display("address {address} cannot be used: {source}"))]
    Listen { address: SocketAddr, source: io::Error },
    #[snafu(display("the control thread cannot start: {source}"))]
    Thread { source: io::Error },
    #[snafu(display("metrics cannot be set up: {source}"))]
    Metrics { source: opentelemetry_sdk::error::OTelSdkError },
    #[snafu(display("{source}"))]
    Entry { source: trestle_entry::Error },
    #[snafu(display("signals cannot be received: {source}"))]
    Signals { source: io::Error },
}
