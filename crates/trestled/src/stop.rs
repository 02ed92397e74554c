//! Planned stops.
//!
//! The daemon first reports that it is not ready, so that the balancer sends it no new requests. It
//! then leaves the membership of its failure domain, so that other daemons own its endpoints,
//! completes the requests in flight, and closes its listener for callers.

use crate::{
    daemon::Daemon,
    error::{Result, SignalsSnafu},
};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use smol::Timer;
use snafu::ResultExt;
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use trestle_core::event::Event;
use trillium_smol::Stopper;

/// Time within which the balancer notices that the daemon is not ready.
const BALANCER_NOTICE_MS: u64 = 1_500;
/// Interval of the checks whether the daemon has left its failure domain and whether all requests
/// have ended.
const CHECK_INTERVAL_MS: u64 = 50;
/// Time for the last answers to reach their callers.
const FLUSH_MS: u64 = 500;
/// Time limit for leaving the failure domain; the platform may not answer.
const LEAVE_MS: u64 = 5_000;

/// Waits for a stop signal and then stops the daemon. Fails if signals cannot be received.
pub(crate) async fn wait(daemon: &Daemon, callers: Stopper) -> Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int]).context(SignalsSnafu)?;
    signals.next().await;
    tracing::info!("stop: Stopping as planned.");
    daemon.is_stopping.store(true, Ordering::Relaxed);
    let started = Instant::now();
    let limit = Duration::from_millis(daemon.settings.intervals.stop_ms);
    Timer::after(Duration::from_millis(BALANCER_NOTICE_MS)).await;
    daemon.send_event(Event::Stop);
    let leave_limit = started.elapsed() + Duration::from_millis(LEAVE_MS);
    while !daemon.has_left() && started.elapsed() < leave_limit {
        Timer::after(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
    while daemon.in_flight.load(Ordering::Relaxed) > 0 && started.elapsed() < limit {
        Timer::after(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
    callers.stop();
    Timer::after(Duration::from_millis(FLUSH_MS)).await;
    let remaining = daemon.in_flight.load(Ordering::Relaxed);
    tracing::info!("stop: Stopped with {remaining} requests left.");
    Ok(())
}
