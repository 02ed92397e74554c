//! What is done from time to time.

use crate::daemon::Daemon;
use smol::Timer;
use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};
use trestle_dispatch::endpoint::{Endpoint, Incarnation};

/// Between two rounds.
const EVERY_MS: u64 = 500;

/// Time by which the two clocks may part without the VM's having been suspended.
const NOTICED_MS: u64 = 100;

/// Drops what is no longer needed, until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    loop {
        let (began_ms, began) = (daemon.knowledge.now_ms(), Instant::now());
        Timer::after(Duration::from_millis(EVERY_MS)).await;
        let now_ms = daemon.knowledge.now_ms();
        let counted_ms = began.elapsed().as_millis() as u64;
        let suspended_ms = (now_ms - began_ms).saturating_sub(counted_ms);
        if suspended_ms > NOTICED_MS {
            tracing::warn!(suspended_ms, "daemon: Its VM was suspended.");
        }
        let lapsed = daemon.knowledge.with(|local_view| local_view.directory.drop_lapsed(now_ms));
        for name in &lapsed {
            tracing::info!(endpoint = %name, "endpoint: Did not come back; it counts as gone.");
        }
        let live: BTreeSet<Incarnation> = daemon
            .knowledge
            .with(|local_view| local_view.directory.iter().map(Endpoint::incarnation).collect());
        daemon.knowledge.with(|local_view| {
            local_view.backpressure.retain(|incarnation| live.contains(incarnation), now_ms);
        });
        daemon.with_endpoint_limits(|limits| limits.cleanup(now_ms));
        daemon.pool.tidy(|start| live.contains(start));
    }
}
