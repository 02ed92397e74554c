//! Processes of a session.

use crate::error::{FailedSnafu, Result, StartSnafu};
use snafu::{ResultExt, ensure};
use std::{
    ffi::OsStr,
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// Threads of each process that carry traffic.
const TRAFFIC_THREADS: &str = "2";

/// Where the programs of the workspace are: beside this one, or one folder up for tests.
pub(crate) fn program(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().unwrap_or_default();
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

/// Starts a program whose output goes to a log file.
pub(crate) fn start<S: AsRef<OsStr>>(name: &str, args: &[S], log: &Path) -> Result<Child> {
    let output = File::create(log).context(StartSnafu { program: name })?;
    let errors = output.try_clone().context(StartSnafu { program: name })?;
    Command::new(program(name))
        .args(args)
        .env("SMOL_THREADS", TRAFFIC_THREADS)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .context(StartSnafu { program: name })
}

/// Runs a program to its end and returns what it printed; fails if it does.
pub(crate) fn run<S: AsRef<OsStr>>(name: &str, args: &[S]) -> Result<String> {
    let (succeeded, output) = try_run(name, args)?;
    ensure!(succeeded, FailedSnafu { program: name, output });
    Ok(output)
}

/// Runs a program to its end; tells whether it succeeded, and what it printed.
pub(crate) fn try_run<S: AsRef<OsStr>>(name: &str, args: &[S]) -> Result<(bool, String)> {
    let output = Command::new(program(name))
        .args(args)
        .env("SMOL_THREADS", TRAFFIC_THREADS)
        .output()
        .context(StartSnafu { program: name })?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok((output.status.success(), text))
}

/// Sends a signal to a child of this process.
pub(crate) fn signal(child: &Child, signal: &str) {
    let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
}
