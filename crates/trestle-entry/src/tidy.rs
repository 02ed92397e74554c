//! What is done from time to time.

use crate::daemon::Daemon;
use smol::Timer;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
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
