//! Planned stops.
//!
//! The daemon first says that it is not ready, so that the balancer sends it
//! nothing new; leaves its failure domain, so that others own its endpoints;
//! serves what it has until all of it has ended; and only then closes.

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

/// Time in which the balancer notices that the daemon is not ready.
const BALANCER_NOTICE_MS: u64 = 1_500;
/// Time between two looks whether everything has ended.
const CHECK_INTERVAL_MS: u64 = 50;
/// Time in which the last answers reach their callers.
const FLUSH_MS: u64 = 500;
/// Time for leaving the failure domain while the platform does not answer.
const LEAVE_MS: u64 = 5_000;

/// Waits for a signal to stop, and stops.
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
