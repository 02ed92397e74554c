//! Starts and signals the processes of a session.

use crate::error::{FailedSnafu, Result, StartSnafu};
use snafu::{ResultExt, ensure};
use std::{
    ffi::OsStr,
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// Number of executor threads of each process.
const EXECUTOR_THREADS: &str = "2";

/// Returns the path of a program of the workspace: in the folder of this program, or for tests
/// one folder above.
pub(crate) fn program_path(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().unwrap_or_default();
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

/// Starts a program and writes its output to a log file.
pub(crate) fn start<S: AsRef<OsStr>>(name: &str, args: &[S], log: &Path) -> Result<Child> {
    let output = File::create(log).context(StartSnafu { program: name })?;
    let error_output = output.try_clone().context(StartSnafu { program: name })?;
    Command::new(program_path(name))
        .args(args)
        .env("SMOL_THREADS", EXECUTOR_THREADS)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(error_output)
        .spawn()
        .context(StartSnafu { program: name })
}

/// Runs a program until it exits and returns its output; fails if the program fails.
pub(crate) fn run<S: AsRef<OsStr>>(name: &str, args: &[S]) -> Result<String> {
    let (succeeded, output) = try_run(name, args)?;
    ensure!(succeeded, FailedSnafu { program: name, output });
    Ok(output)
}

/// Runs a program until it exits; returns whether it succeeded, and its output.
pub(crate) fn try_run<S: AsRef<OsStr>>(name: &str, args: &[S]) -> Result<(bool, String)> {
    let output = Command::new(program_path(name))
        .args(args)
        .env("SMOL_THREADS", EXECUTOR_THREADS)
        .output()
        .context(StartSnafu { program: name })?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok((output.status.success(), text))
}

/// Sends a signal, such as `-STOP`, to a child of this process.
pub(crate) fn signal(child: &Child, signal: &str) {
    let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
}
