//! What this daemon and the others tell each other of endpoints that left or are gone.

use crate::daemon::Daemon;
use futures_lite::FutureExt;
use smol::Timer;
use std::time::Duration;
use trestle_dispatch::departures::Departure;
use trestle_wire::departures::WireDeparture;

/// Departures that a lease's row holds, some 90 bytes each: it is written every 0.6 s.
const MOST_IN_ROW: usize = 32;
/// Departures that a daemon is told which asks for the first time.
const MOST_TOLD: usize = 64;
/// Longest time for which a daemon that starts waits for the rows before it reads the list.
const MOST_WAIT_MS: u64 = 500;

/// Waits until the rows of leases were read, or could not be: by what they say some entries of
/// the list name nothing to use.
pub(crate) async fn wait_for_rows(daemon: &Daemon) {
    let read = async {
        loop {
            let changed = daemon.knowledge.changed();
            if daemon.knowledge.with(|local_view| local_view.are_leases_read) {
                return;
            }
            changed.await;
        }
    };
    let waited = async {
        Timer::after(Duration::from_millis(MOST_WAIT_MS)).await;
    };
    read.or(waited).await;
}

/// Takes what another daemon knows.
pub(crate) fn heard(daemon: &Daemon, departures: &[Departure]) {
    if departures.is_empty() {
        return;
    }
    let dropped = daemon.knowledge.with(|local_view| local_view.apply_departures(departures));
    for name in &dropped {
        tracing::info!(
            endpoint = %name, "endpoint: It is gone, as another daemon knows; its entry is not its own."
        );
    }
    if !dropped.is_empty() {
        daemon.knowledge.say_changed();
    }
}

/// The same, as it was sent.
pub(crate) fn heard_wire(daemon: &Daemon, departures: Vec<WireDeparture>) {
    let departures: Vec<Departure> = departures.into_iter().map(Departure::from).collect();
    heard(daemon, &departures);
}

/// Departures, as many as a lease's row holds.
pub(crate) fn for_row(daemon: &Daemon) -> Vec<Departure> {
    daemon.knowledge.with(|local_view| local_view.directory.departures(MOST_IN_ROW))
}

/// Departures for a daemon that asks for the first time.
pub(crate) fn for_new_asker(daemon: &Daemon) -> Vec<WireDeparture> {
    let departures = daemon.knowledge.with(|local_view| local_view.directory.departures(MOST_TOLD));
    departures.into_iter().map(WireDeparture::from).collect()
}
