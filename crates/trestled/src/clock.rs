//! The operators' local time, for the time windows of models.
//!
//! Windows decide only which models are loaded ahead of time, so a wrong clock can cause no more
//! than an idle model or a cold start.

use crate::daemon::Daemon;
use smol::Timer;
use std::{sync::Arc, time::Duration};
use time::{OffsetDateTime, UtcOffset};
use trestle_core::{event::Event, window::CivilTime};

/// Time between two reports.
const INTERVAL: Duration = Duration::from_secs(20);

/// Reports the local time to the control thread until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    loop {
        let offset_minutes = daemon.routing().config.utc_offset_minutes;
        if let Some(time) = now(offset_minutes) {
            daemon.send_event(Event::Clock(time));
        }
        Timer::after(INTERVAL).await;
    }
}

fn now(offset_minutes: i32) -> Option<CivilTime> {
    let offset = UtcOffset::from_whole_seconds(offset_minutes * 60).ok()?;
    let now = OffsetDateTime::now_utc().to_offset(offset);
    Some(CivilTime {
        month: u8::from(now.month()) - 1,
        weekday: now.weekday().number_days_from_monday(),
        minute: u16::from(now.hour()) * 60 + u16::from(now.minute()),
    })
}
