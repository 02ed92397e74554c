//! The process of one daemon of a session.

use crate::{
    error::{FileSnafu, Result},
    process,
};
use serde_json::{Value, json};
use snafu::ResultExt;
use std::{
    fs,
    path::{Path, PathBuf},
    process::Child,
};

/// The process of one daemon of a session; killed when it is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Address for callers, as `ip:port`.
    pub callers: String,
    /// Address for operators, as `ip:port`.
    pub admin: String,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Starts a daemon; `index` selects its ports, which no other daemon of the session uses.
    pub(crate) fn start(
        dir: &Path,
        ip: &str,
        index: usize,
        vm: &str,
        domain: &str,
        platform: &str,
        intervals: &Value,
    ) -> Result<Self> {
        let callers = format!("{ip}:{}", 8101 + index);
        let admin = format!("{ip}:{}", 8301 + index);
        let content = json!({
            "vm": vm, "domain": domain, "callers_address": callers, "admin_address": admin,
            "peers_address": format!("{ip}:{}", 8201 + index), "platform_url": platform,
            "intervals": intervals,
        });
        let settings_path = dir.join(format!("{vm}.jsonc"));
        fs::write(&settings_path, content.to_string()).context(FileSnafu)?;
        let log_path = dir.join(format!("{vm}.log"));
        let mut daemon = Self { callers, admin, settings_path, log_path, child: None };
        daemon.restart()?;
        Ok(daemon)
    }

    /// Returns the process id; 0 after [`kill`](Self::kill) or [`wait`](Self::wait).
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Starts the daemon again after it has stopped; the log is overwritten.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        let settings_path = self.settings_path.as_os_str();
        self.child = Some(process::start(
            "trestled",
            &["--settings".as_ref(), settings_path],
            &self.log_path,
        )?);
        Ok(())
    }

    /// Kills the daemon with SIGKILL and waits until it has stopped.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the daemon with SIGKILL without waiting until it has stopped.
    pub fn kill_by_signal(&self) {
        self.signal("-KILL");
    }

    /// Stops the daemon with SIGTERM; it keeps running until its requests have finished.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Waits until the daemon has stopped; returns whether it exited successfully or was not
    /// running.
    pub fn wait(&mut self) -> bool {
        let Some(mut child) = self.child.take() else { return true };
        child.wait().is_ok_and(|status| status.success())
    }

    /// Freezes the daemon with SIGSTOP.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Resumes a frozen daemon with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Returns the log since the last start; empty if it cannot be read.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            process::signal(child, signal);
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
