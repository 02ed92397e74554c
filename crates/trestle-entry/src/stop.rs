//! Signals: planned stops and changed settings.
//!
//! A stop first reports the daemon as not ready, so that the balancer sends it no new connections.
//! Until that takes effect, every request is served. Then connections are closed as their requests
//! end, and finally the leases are released. Detours of other daemons are waited for, too; no new ones
//! are opened from the signal on.

use crate::{
    control::message::Message, daemon::Daemon, stopping::BALANCER_NOTICE_MS,
    traffic::serve::ListenerShutdown,
};
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use smol::Timer;
use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Time limit for the release of the leases; the store may be unreachable.
const RELEASE_MS: u64 = 1_500;
/// Time between two checks whether all connections are closed.
const CHECK_MS: u64 = 20;

/// Serves until a stop signal, then stops.
///
/// # Errors
///
/// Fails if signals cannot be received.
pub(crate) async fn wait(
    daemon: &Daemon,
    shutdown: &Arc<ListenerShutdown>,
    reread: impl Fn(),
) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    loop {
        match signals.next().await {
            Some(Ok(Signal::Hup)) => reread(),
            Some(Ok(_)) | None => break,
            Some(Err(error)) => return Err(error),
        }
    }
    let started_ms = daemon.shared_view.now_ms();
    let elapsed_ms = || daemon.shared_view.now_ms() - started_ms;
    tracing::info!(in_flight = daemon.in_flight.load(Ordering::Relaxed), "stop: Stopping.");
    daemon.stopping.begin(started_ms);
    Timer::after(Duration::from_millis(BALANCER_NOTICE_MS.saturating_sub(elapsed_ms()))).await;
    shutdown.begin();
    // Orders continue meanwhile, since for a while after the release of the leases no daemon may
    // give any, and this daemon's own requests still wait for models.
    let drained_by_ms = daemon.stopping.limit_ms().saturating_sub(RELEASE_MS);
    let open = || OpenConnections {
        callers: shutdown.open_connections(),
        detours: daemon.open_detours.load(Ordering::Relaxed),
    };
    while !open().is_empty() && elapsed_ms() < drained_by_ms {
        Timer::after(Duration::from_millis(CHECK_MS)).await;
    }
    release_leases(daemon).await;
    let limit_ms = daemon.stopping.limit_ms();
    while !open().is_empty() && elapsed_ms() < limit_ms {
        Timer::after(Duration::from_millis(CHECK_MS)).await;
    }
    let OpenConnections { callers, detours } = open();
    tracing::info!(open = callers, detours, "stop: Stopped.");
    Ok(())
}

/// The connections that a stop waits for.
struct OpenConnections {
    /// Those of callers.
    callers: usize,
    /// Those of other daemons to endpoints that pass through this one.
    detours: usize,
}

impl OpenConnections {
    fn is_empty(&self) -> bool {
        self.callers == 0 && self.detours == 0
    }
}

async fn release_leases(daemon: &Daemon) {
    let released = async {
        // Without a control thread there is no lease to release.
        let _ = daemon.query(Message::Stop).await;
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(RELEASE_MS)).await;
        tracing::warn!("stop: The leases could not be released in time; they will expire.");
    };
    released.or(timed_out).await;
}
