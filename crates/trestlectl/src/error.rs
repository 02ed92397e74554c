//! Errors of `trestlectl`.

use snafu::Snafu;
use std::path::PathBuf;

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{source}; see --help"))]
    Args { source: pico_args::Error },
    #[snafu(display("`{word}` is not a command; see --help"))]
    Command { word: String },
    #[snafu(display("this command does not take the argument `{word}`; see --help"))]
    UnusedArgument { word: String },
    #[snafu(display("{} cannot be read: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display("{source}"))]
    Config { source: trestle_config::Error },
    #[snafu(display("{source}"))]
    Client { source: trestle_client::Error },
    #[snafu(display("version {version} was never in force; `trestlectl history` lists all"))]
    NoVersion { version: u64 },
    #[snafu(display("no configuration has been applied yet; `trestlectl apply FILE` applies one"))]
    NoConfig,
    #[snafu(display(
        "version {found} by {author} is in force, not {expected}; nothing was changed. \
         Look at it with `trestlectl show`, and apply again with `--expect-version {found}`"
    ))]
    Conflict { expected: u64, found: u64, author: String },
    #[snafu(display(
        "the platform did not confirm the apply and cannot be read; to see whether the file was \
         accepted, look for apply {apply_id} in `trestlectl history`"
    ))]
    UnknownOutcome { apply_id: String },
    #[snafu(display(
        "no daemon answered; give the addresses of reachable daemons with --daemon IP:PORT"
    ))]
    NoDaemon,
    #[snafu(display(
        "no line of {files} files is about request `{id}`; name the logs of all daemons"
    ))]
    NoRequest { id: String, files: usize },
    #[snafu(display("{} cannot be written: {source}", path.display()))]
    Write { path: PathBuf, source: std::io::Error },
    #[snafu(display("the stored configuration is not valid UTF-8"))]
    NotText,
}
