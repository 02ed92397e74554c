//! Command-line arguments of `trestlectl`.

use crate::error::{ArgsSnafu, CommandSnafu, Result, UnusedArgumentSnafu};
use pico_args::Arguments;
use snafu::{OptionExt, ResultExt, ensure};
use std::path::PathBuf;

const HELP: &str = "\
trestlectl: the command line of trestlestile for operators

USAGE:
    trestlectl check FILE
        Check a configuration file; no running system is needed.
    trestlectl apply FILE --platform URL [--expect-version N] [--author NAME]
        Apply a complete file, if version N (or the current one) is still in force.
    trestlectl show --platform URL [--version N]
        Print the file in force, or the file of a version.
    trestlectl history --platform URL
        List the latest versions, their authors and digests.
    trestlectl status --daemon IP:PORT... [--token TOKEN]
        Show members, owners and replicas, as the daemons report them.
    trestlectl explain MODEL --daemon IP:PORT... [--token TOKEN]
        Show where a model is placed, its owners, and whether they are confirmed.
    trestlectl trace ID FILE...
        Print the log lines of one request and what its daemons knew at the time.
    trestlectl report FILE... [--html PAGE]
        Print tables from the logs of daemons; with --html also write them with plots.
    trestlectl digest TOKEN
        Print the digest of a token, for the configuration file.

OPTIONS:
    --version    print the version
    --help       print this help
";

/// Command-line arguments of `trestlectl`.
pub(crate) struct Args {
    pub(crate) command: Command,
}

/// A command with its arguments.
pub(crate) enum Command {
    Check { path: PathBuf },
    Apply { path: PathBuf, platform: String, expected_version: Option<u64>, author: String },
    Show { platform: String, version: Option<u64> },
    History { platform: String },
    Status { daemons: Vec<String>, token: Option<String> },
    Explain { model: String, daemons: Vec<String>, token: Option<String> },
    Digest { token: String },
    Trace { id: String, files: Vec<PathBuf> },
    Report { files: Vec<PathBuf>, html_path: Option<PathBuf> },
}

impl Args {
    /// Parses the arguments of the process; returns `None` after printing the help or the version.
    pub(crate) fn from_env() -> Result<Option<Self>> {
        let mut args = Arguments::from_env();
        if args.contains("--help") {
            print!("{HELP}");
            return Ok(None);
        }
        let Some(word) = args.subcommand().context(ArgsSnafu)? else {
            if args.contains("--version") {
                println!("trestlectl {}", env!("CARGO_PKG_VERSION"));
            } else {
                print!("{HELP}");
            }
            return Ok(None);
        };
        let command = command(&word, &mut args)?;
        let unparsed = args.finish();
        let unused = unparsed.first().map(|word| word.to_string_lossy().into_owned());
        ensure!(unused.is_none(), UnusedArgumentSnafu { word: unused.unwrap_or_default() });
        Ok(Some(Self { command }))
    }
}

fn command(word: &str, args: &mut Arguments) -> Result<Command> {
    let command = match word {
        "check" => Some(Command::Check { path: path(args)? }),
        "apply" => Some(Command::Apply {
            platform: platform(args)?,
            expected_version: args.opt_value_from_str("--expect-version").context(ArgsSnafu)?,
            author: author(args)?,
            path: path(args)?,
        }),
        "show" => Some(Command::Show {
            platform: platform(args)?,
            version: args.opt_value_from_str("--version").context(ArgsSnafu)?,
        }),
        "history" => Some(Command::History { platform: platform(args)? }),
        "status" => Some(Command::Status { daemons: daemons(args)?, token: token(args)? }),
        "explain" => Some(Command::Explain {
            daemons: daemons(args)?,
            token: token(args)?,
            model: args.free_from_str().context(ArgsSnafu)?,
        }),
        "trace" => Some(Command::Trace {
            id: args.free_from_str().context(ArgsSnafu)?,
            files: files(args)?,
        }),
        "report" => Some(Command::Report {
            html_path: args.opt_value_from_str("--html").context(ArgsSnafu)?,
            files: files(args)?,
        }),
        "digest" => Some(Command::Digest { token: args.free_from_str().context(ArgsSnafu)? }),
        _ => None,
    };
    command.context(CommandSnafu { word })
}

fn path(args: &mut Arguments) -> Result<PathBuf> {
    args.free_from_str::<String>().map(PathBuf::from).context(ArgsSnafu)
}

fn files(args: &mut Arguments) -> Result<Vec<PathBuf>> {
    let mut files = vec![path(args)?];
    while let Some(file) = args.opt_free_from_str::<String>().context(ArgsSnafu)? {
        files.push(PathBuf::from(file));
    }
    Ok(files)
}

fn platform(args: &mut Arguments) -> Result<String> {
    args.value_from_str("--platform").context(ArgsSnafu)
}

fn author(args: &mut Arguments) -> Result<String> {
    let given: Option<String> = args.opt_value_from_str("--author").context(ArgsSnafu)?;
    Ok(given.or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "unknown".to_owned()))
}

fn daemons(args: &mut Arguments) -> Result<Vec<String>> {
    args.values_from_str("--daemon").context(ArgsSnafu)
}

fn token(args: &mut Arguments) -> Result<Option<String>> {
    args.opt_value_from_str("--token").context(ArgsSnafu)
}
