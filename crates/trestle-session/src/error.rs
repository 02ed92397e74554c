//! Errors of a session.

use snafu::Snafu;

/// The result of a step of a session.
pub type Result<T> = std::result::Result<T, Error>;

/// A step of a session failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A process cannot be started; build the workspace first.
    #[snafu(display("{program} cannot be started: {source}; build the workspace first"))]
    Start {
        /// The program.
        program: String,
        /// Why not.
        source: std::io::Error,
    },
    /// A file of the session cannot be written.
    #[snafu(display("a file of the session cannot be written: {source}"))]
    File {
        /// Why not.
        source: std::io::Error,
    },
    /// A program ended with an error.
    #[snafu(display("{program} failed: {output}"))]
    Failed {
        /// The program.
        program: String,
        /// What it printed.
        output: String,
    },
    /// Something that was waited for did not happen.
    #[snafu(display("{what} did not happen within {limit_ms} ms"))]
    TimedOut {
        /// What was waited for.
        what: String,
        /// How long.
        limit_ms: u64,
    },
    /// The configuration is not in order.
    #[snafu(display("{source}"))]
    Config {
        /// What is wrong with it.
        source: trestle_config::Error,
    },
    /// Something did not answer.
    #[snafu(display("{source}"))]
    Client {
        /// Why not.
        source: trestle_client::Error,
    },
}
