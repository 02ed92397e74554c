//! Errors of a session.

use snafu::Snafu;

/// The result of a step of a session.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a step of a session failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A process cannot be started; build the workspace first.
    #[snafu(display("{program} cannot be started: {source}; build the workspace first"))]
    Start {
        /// Name of the program.
        program: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A file or directory of the session cannot be written.
    #[snafu(display("a file or directory of the session cannot be written: {source}"))]
    File {
        /// The cause.
        source: std::io::Error,
    },
    /// A program exited with an error or printed no valid report.
    #[snafu(display("{program} failed: {output}"))]
    Failed {
        /// Name of the program.
        program: String,
        /// Output of the program.
        output: String,
    },
    /// A condition did not hold within its time limit.
    #[snafu(display("timed out after {limit_ms} ms while waiting for: {what}"))]
    TimedOut {
        /// Description of the condition.
        what: String,
        /// The time limit in milliseconds.
        limit_ms: u64,
    },
    /// The configuration is invalid.
    #[snafu(display("{source}"))]
    Config {
        /// The errors in the configuration.
        source: trestle_config::Error,
    },
    /// A process of the session did not answer a request.
    #[snafu(display("{source}"))]
    Client {
        /// The cause.
        source: trestle_client::Error,
    },
}
