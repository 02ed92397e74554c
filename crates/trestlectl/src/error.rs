//! Errors of the command line.

use snafu::Snafu;
use std::path::PathBuf;

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// A command could not be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{source}; see --help"))]
    Args { source: pico_args::Error },
    #[snafu(display("`{word}` is not a command; see --help"))]
    Command { word: String },
    #[snafu(display("`{word}` is not known to this command; see --help"))]
    Unused { word: String },
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
    Lost { expected: u64, found: u64, author: String },
    #[snafu(display(
        "the platform did not say whether the file was accepted, and cannot be read; \
         `trestlectl history` will tell: look for apply {apply_id}"
    ))]
    Ambiguous { apply_id: String },
    #[snafu(display("no daemon answered; name reachable ones with --daemon IP:PORT"))]
    NoDaemon,
    #[snafu(display(
        "no line of {files} files is about request `{id}`; name the logs of all daemons"
    ))]
    NoRequest { id: String, files: usize },
    #[snafu(display("{} cannot be written: {source}", path.display()))]
    Write { path: PathBuf, source: std::io::Error },
    #[snafu(display("the stored configuration is not text"))]
    NotText,
}
