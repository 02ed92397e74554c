//! Settings that change while the daemon runs.
//!
//! The file is read again on a signal, and checked periodically, since it may change without a
//! signal. Changed bounds apply at once; names, addresses, ports and logs remain as they were at
//! the start.

use crate::daemon::Daemon;
use smol::Timer;
use std::{
    fs, io,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use trestle_config::SettingsFile;

/// Time between two checks of the file. A check takes some 20 us; operators expect a change to
/// apply within seconds.
const CHECK_MS: u64 = 1_000;

/// The settings file of a running daemon.
#[derive(Debug)]
pub(crate) struct SettingsWatch {
    path: PathBuf,
    /// The text at the last check; `None` if it could not be read.
    text: Mutex<Option<String>>,
}

impl SettingsWatch {
    /// Returns a watch on the file that the daemon was started with.
    pub(crate) fn new(path: PathBuf) -> Self {
        let text = fs::read_to_string(&path).ok();
        Self { path, text: Mutex::new(text) }
    }

    /// Checks the file until the process terminates.
    pub(crate) async fn run(self: Arc<Self>, daemon: Arc<Daemon>) {
        loop {
            Timer::after(Duration::from_millis(CHECK_MS)).await;
            if self.has_changed() {
                self.reread(&daemon);
            }
        }
    }

    /// Reads the settings again, and applies those that can change while the daemon runs.
    pub(crate) fn reread(&self, daemon: &Daemon) {
        // This updates the stored text, so that the periodic check does not read the settings once
        // more.
        self.has_changed();
        let settings = match trestle_config::read_settings(&self.path) {
            Ok(SettingsFile::Entry(settings)) => settings,
            Ok(SettingsFile::Platform(_)) => {
                tracing::error!(
                    "settings: The file is for another kind of daemon; nothing changes."
                );
                return;
            }
            Err(error) => {
                tracing::error!(%error, "settings: The file is not in order; nothing changes.");
                return;
            }
        };
        daemon.apply_bounds(&settings.bounds);
        let started_with = &daemon.settings;
        let mut comparable = settings.clone();
        comparable.bounds = started_with.bounds.clone();
        let needs_restart = comparable != *started_with;
        let bounds = &settings.bounds;
        tracing::info!(?bounds, needs_restart, "settings: Read again; bounds are in force.");
    }

    /// Returns whether the file differs from the last check. It is small enough to be read
    /// synchronously.
    fn has_changed(&self) -> bool {
        let now = match fs::read_to_string(&self.path) {
            Ok(text) => Some(text),
            // The file may be missing for a moment while it is replaced.
            Err(error) if error.kind() == io::ErrorKind::NotFound => return false,
            Err(_) => None,
        };
        let mut text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        let has_changed = *text != now;
        *text = now;
        has_changed
    }
}
