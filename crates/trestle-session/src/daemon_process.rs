//! One daemon of a session.

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

/// One daemon of a session.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Where callers reach it.
    pub callers: String,
    /// Where operators reach it.
    pub admin: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Starts a daemon; `index` gives it ports of its own.
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
        let settings = dir.join(format!("{vm}.jsonc"));
        fs::write(&settings, content.to_string()).context(FileSnafu)?;
        let log = dir.join(format!("{vm}.log"));
        let mut daemon = Self { callers, admin, settings, log, child: None };
        daemon.restart()?;
        Ok(daemon)
    }

    /// Its process id, 0 once it has ended.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Starts the daemon again after it has ended.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        let settings = self.settings.as_os_str();
        self.child =
            Some(process::start("trestled", &["--settings".as_ref(), settings], &self.log)?);
        Ok(())
    }

    /// Ends the daemon without warning.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends the daemon without warning, without waiting for its end.
    pub fn kill_by_signal(&self) {
        self.signal("-KILL");
    }

    /// Stops the daemon as planned; it goes on until its requests have ended.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Waits until the daemon has ended by itself; tells whether it ended well.
    pub fn wait(&mut self) -> bool {
        let Some(mut child) = self.child.take() else { return true };
        child.wait().is_ok_and(|status| status.success())
    }

    /// Freezes the daemon.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Lets a frozen daemon go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// What the daemon has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
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
