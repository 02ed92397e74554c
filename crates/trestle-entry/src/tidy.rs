//! What is done from time to time.

use crate::{daemon::Daemon, knowledge};
use smol::Timer;
use std::{collections::BTreeSet, path::Path, sync::Arc, time::Duration};
use trestle_config::SettingsFile;
use trestle_core::names::EndpointName;

/// Between two rounds.
const EVERY_MS: u64 = 500;

/// Drops what is no longer needed, until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    loop {
        Timer::after(Duration::from_millis(EVERY_MS)).await;
        let now_ms = daemon.knowledge.now_ms();
        let lapsed = daemon.knowledge.with(|beliefs| beliefs.directory.tick(now_ms));
        for name in &lapsed {
            tracing::info!(endpoint = %name, "endpoint: Did not come back; it counts as gone.");
        }
        let live: BTreeSet<EndpointName> = daemon
            .knowledge
            .with(|beliefs| beliefs.directory.iter().map(|e| e.name.clone()).collect());
        daemon.pool.tidy(|name| live.contains(name));
    }
}

/// Reads the settings again; what can change while the daemon runs is taken over.
pub(crate) fn reread(daemon: &Daemon, path: &Path) {
    let settings = match trestle_config::read_settings(path) {
        Ok(SettingsFile::Entry(settings)) => settings,
        Ok(SettingsFile::Own(_)) => {
            tracing::error!("settings: The file is for another kind of daemon; nothing changes.");
            return;
        }
        Err(error) => {
            tracing::error!(%error, "settings: The file is not in order; nothing changes.");
            return;
        }
    };
    let retry_bounds = knowledge::retry_bounds(&settings.bounds);
    daemon.knowledge.with(|beliefs| beliefs.retry_bounds = retry_bounds);
    let is_same = settings == daemon.settings;
    tracing::info!(is_same, "settings: Read again; bounds on retries are in force.");
}
