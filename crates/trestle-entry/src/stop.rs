//! Signals: planned stops, and settings that have changed.
//!
//! A stop first says that the daemon is not ready, so that the balancer sends it
//! nothing new. Meanwhile everything that comes is served. Then connections end as
//! their requests do, and last the lease on orders is given up.

use crate::{
    control::message::Message, daemon::Daemon, stopping::NOTICE_MS,
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

/// Time for giving up the lease; the store may be away.
const LEAVE_MS: u64 = 1_500;
/// Time between two looks whether everything has ended.
const LOOK_MS: u64 = 20;

/// Serves until the daemon is told to stop, and stops.
///
/// # Errors
///
/// Fails if signals cannot be received.
pub(crate) async fn wait(
    daemon: &Daemon,
    closing: &Arc<ListenerShutdown>,
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
    let started_ms = daemon.knowledge.now_ms();
    let elapsed_ms = || daemon.knowledge.now_ms() - started_ms;
    tracing::info!(in_flight = daemon.in_flight.load(Ordering::Relaxed), "stop: Stopping.");
    daemon.stopping.begin(started_ms);
    Timer::after(Duration::from_millis(NOTICE_MS.saturating_sub(elapsed_ms()))).await;
    closing.begin();
    // Orders go on meanwhile, since nobody may give any for a while after the lease is
    // given up, and this daemon's own requests still wait for models.
    let drained_by_ms = daemon.stopping.limit_ms() - LEAVE_MS;
    let drained = async {
        while closing.open_connections() > 0 && elapsed_ms() < drained_by_ms {
            Timer::after(Duration::from_millis(LOOK_MS)).await;
        }
    };
    drained.await;
    leave(daemon).await;
    let limit_ms = daemon.stopping.limit_ms();
    while closing.open_connections() > 0 && elapsed_ms() < limit_ms {
        Timer::after(Duration::from_millis(LOOK_MS)).await;
    }
    tracing::info!(open = closing.open_connections(), "stop: Stopped.");
    Ok(())
}

async fn leave(daemon: &Daemon) {
    let left = async {
        // Without a control thread there is no lease to give up.
        let _ = daemon.ask(Message::Stop).await;
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(LEAVE_MS)).await;
        tracing::warn!("stop: The lease could not be given up; it will run out.");
    };
    left.or(timed_out).await;
}
