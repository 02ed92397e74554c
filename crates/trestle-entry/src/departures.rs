//! Reports among daemons on endpoints that are draining or gone.

use crate::daemon::Daemon;
use futures_lite::FutureExt;
use smol::Timer;
use std::time::Duration;
use trestle_dispatch::departures::Departure;
use trestle_wire::departures::WireDeparture;

/// Most departures in a lease row, some 90 bytes each; the row is written every 0.6 s.
const MAX_IN_ROW: usize = 32;
/// Most departures sent to a daemon with its first request.
const MAX_SENT: usize = 64;
/// Longest time that a starting daemon waits for the lease rows before it reads the list.
const MAX_WAIT_MS: u64 = 500;

/// Waits until the lease rows were read, the read failed, or [`MAX_WAIT_MS`] have passed. The rows
/// mark some entries of the list as not usable.
pub(crate) async fn wait_for_rows(daemon: &Daemon) {
    let read = async {
        loop {
            let changed = daemon.shared_view.changed();
            if daemon.shared_view.with(|local_view| local_view.are_leases_read) {
                return;
            }
            changed.await;
        }
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(MAX_WAIT_MS)).await;
    };
    read.or(timed_out).await;
}

/// Records the departures that another daemon knows.
pub(crate) fn receive(daemon: &Daemon, departures: &[Departure]) {
    if departures.is_empty() {
        return;
    }
    let dropped = daemon.shared_view.with(|local_view| local_view.apply_departures(departures));
    for name in &dropped {
        tracing::info!(
            endpoint = %name, "endpoint: Another daemon reported the endpoint as gone; its list entry is ignored."
        );
    }
    if !dropped.is_empty() {
        daemon.shared_view.notify_changed();
    }
}

/// Records departures in their wire format.
pub(crate) fn receive_wire(daemon: &Daemon, departures: Vec<WireDeparture>) {
    let departures: Vec<Departure> = departures.into_iter().map(Departure::from).collect();
    receive(daemon, &departures);
}

/// Returns the departures, limited to what a lease row holds.
pub(crate) fn for_row(daemon: &Daemon) -> Vec<Departure> {
    daemon.shared_view.with(|local_view| local_view.directory.departures(MAX_IN_ROW))
}

/// Returns the departures for a daemon that sends its first request.
pub(crate) fn for_new_requester(daemon: &Daemon) -> Vec<WireDeparture> {
    let departures =
        daemon.shared_view.with(|local_view| local_view.directory.departures(MAX_SENT));
    departures.into_iter().map(WireDeparture::from).collect()
}
