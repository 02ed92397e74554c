//! The error of this crate.

use snafu::Snafu;
use std::{io, path::PathBuf};

/// The result of reading a file or writing a report.
pub type Result<T> = std::result::Result<T, Error>;

/// The reasons why the tool fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file is invalid.
    #[snafu(display("{source}"))]
    File {
        /// The problems, each with its position.
        source: trestle_config::Error,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Why the file cannot be read.
        source: io::Error,
    },
    /// A file cannot be written.
    #[snafu(display("{}: cannot be written: {source}", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Why the file cannot be written.
        source: io::Error,
    },
    /// A value of a file or of the command line is invalid.
    #[snafu(display("{location}: {message}"))]
    Value {
        /// The file and field, the file and line, or the option with the value.
        location: String,
        /// What is wrong with the value, and what is expected.
        message: String,
    },
    /// A plot cannot be drawn.
    #[snafu(display("a plot cannot be drawn: {message}"))]
    Plot {
        /// Why the plot cannot be drawn.
        message: String,
    },
}
