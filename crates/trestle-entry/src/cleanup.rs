//! Periodic cleanup.

use crate::daemon::Daemon;
use smol::Timer;
use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};
use trestle_dispatch::endpoint::{Endpoint, Incarnation};

/// Time between two rounds.
const INTERVAL_MS: u64 = 500;

/// Shortest suspension of the VM that is logged: the time by which the daemon's clock gets ahead of
/// the monotonic clock, which stands still during a suspension.
const SUSPENSION_MS: u64 = 100;

/// Removes state that is no longer needed, until the process terminates.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    loop {
        let (began_ms, began) = (daemon.shared_view.now_ms(), Instant::now());
        Timer::after(Duration::from_millis(INTERVAL_MS)).await;
        let now_ms = daemon.shared_view.now_ms();
        let monotonic_ms = began.elapsed().as_millis() as u64;
        let suspended_ms = (now_ms - began_ms).saturating_sub(monotonic_ms);
        if suspended_ms > SUSPENSION_MS {
            tracing::warn!(suspended_ms, "daemon: The VM was suspended.");
        }
        let expired =
            daemon.shared_view.with(|local_view| local_view.directory.drop_lapsed(now_ms));
        for name in &expired {
            tracing::info!(endpoint = %name, "endpoint: The endpoint did not return; it counts as gone.");
        }
        let live: BTreeSet<Incarnation> = daemon
            .shared_view
            .with(|local_view| local_view.directory.iter().map(Endpoint::incarnation).collect());
        daemon.shared_view.with(|local_view| {
            local_view.backpressure.retain(|incarnation| live.contains(incarnation), now_ms);
            local_view.brittle.retain(|incarnation| live.contains(incarnation), now_ms);
            local_view.reachability.retain(|incarnation| live.contains(incarnation));
        });
        daemon.with_endpoint_limits(|limits| limits.cleanup(now_ms));
        daemon.with_slot_allocator(|allocator| allocator.cleanup(now_ms));
        let leads = !daemon.order_permits.held(now_ms).is_empty();
        daemon.with_prompt_scheduler(|scheduler| match leads {
            true => scheduler.cleanup(|incarnation| live.contains(incarnation), now_ms),
            false => scheduler.clear(),
        });
        daemon.pool.cleanup(|incarnation| live.contains(incarnation));
    }
}
