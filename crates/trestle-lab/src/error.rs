//! The error of this crate.

use snafu::Snafu;
use std::{io, path::PathBuf};

/// The result of reading a file or writing a report.
pub type Result<T> = std::result::Result<T, Error>;

/// What the tool cannot do.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file is not in order.
    #[snafu(display("{source}"))]
    File {
        /// Its problems, each with its place.
        source: trestle_config::Error,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file cannot be written.
    #[snafu(display("{}: cannot be written: {source}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A value of a file or of the command line cannot work.
    #[snafu(display("{place}: {message}"))]
    Value {
        /// Where it stands.
        place: String,
        /// What is wrong, and what to do.
        message: String,
    },
    /// A plot cannot be drawn.
    #[snafu(display("a plot cannot be drawn: {message}"))]
    Plot {
        /// Why.
        message: String,
    },
}
