//! Reports among daemons on requests under which endpoints crashed.
//!
//! Daemons report to their leader what they have observed, leaders report to each other, and a leader
//! answers with what it knows; each message holds only what has changed. The lease rows keep the
//! rejected requests for daemons that restart.

use crate::daemon::Daemon;
use std::{collections::BTreeMap, sync::atomic::Ordering};
use trestle_dispatch::{
    crashes::{CrashReport, Crashes, MAX_CRASHES},
    endpoint::Incarnation,
    fingerprint::Fingerprint,
};
use trestle_wire::{
    crashes::{WireCrashReport, WireRestrictedRequests},
    replicas::WireSyncRequest,
};

/// Most rejected requests in a lease row, some 200 bytes each; the row is written every 0.6 s.
const MAX_IN_ROW: usize = 24;

/// The state of the exchange between this daemon and a leader that it syncs with.
#[derive(Debug, Default)]
pub(crate) struct CrashReportExchange {
    /// The last local change that the leader has acknowledged.
    acknowledged: u64,
    /// The last local change that the open request reports.
    in_flight: u64,
    /// The last change at the leader that was received.
    received: u64,
}

impl CrashReportExchange {
    /// Adds the changes that the leader has not acknowledged to a request.
    pub(crate) fn add_to(&mut self, daemon: &Daemon, request: &mut WireSyncRequest) {
        let now_ms = daemon.shared_view.now_ms();
        // A leader, or the last one, passes on what its daemons have observed.
        let passes_on = request.is_leader || daemon.is_last_holder.load(Ordering::Relaxed);
        let (changes, number) = daemon.shared_view.with(|local_view| match passes_on {
            true => local_view.crashes.reports_since(self.acknowledged, now_ms),
            false => local_view.crashes.own_reports_since(self.acknowledged, now_ms),
        });
        request.crashes = changes.into_iter().map(WireCrashReport::from).collect();
        request.have.refused = self.received;
        self.in_flight = number;
    }

    /// Records the leader's answer, with what it reports.
    pub(crate) fn record_answer(
        &mut self,
        daemon: &Daemon,
        reported: Option<WireRestrictedRequests>,
    ) {
        self.acknowledged = self.in_flight;
        if let Some(reported) = reported {
            self.received = reported.number;
            receive_wire(daemon, reported.crashes);
        }
    }
}

/// Records that an endpoint crashed under requests, and triggers a report to the leader. The map
/// holds when each request was last sent there.
pub(crate) fn record_crash(
    daemon: &Daemon,
    incarnation: &Incarnation,
    requests: &BTreeMap<Fingerprint, u64>,
) {
    if requests.is_empty() {
        return;
    }
    let now_ms = daemon.shared_view.now_ms();
    for (request, sent_ms) in requests {
        let is_rejected = daemon.shared_view.with(|local_view| {
            local_view.crashes.record_crash(*request, incarnation, *sent_ms, now_ms)
        });
        if is_rejected {
            log_rejected(*request);
        }
    }
    daemon.shared_view.notify_demand();
}

/// Records the reports of another daemon.
pub(crate) fn receive(daemon: &Daemon, reports: &[CrashReport]) {
    if reports.is_empty() {
        return;
    }
    let now_ms = daemon.shared_view.now_ms();
    let (rejected, readmitted) = daemon.shared_view.with(|local_view| {
        let is_rejected = |report: &&CrashReport, crashes: &Crashes| {
            crashes.rejected_for_ms(report.request, now_ms).is_some()
        };
        let was_rejected = reports.iter().filter(|report| is_rejected(report, &local_view.crashes));
        let was_rejected: Vec<&CrashReport> = was_rejected.collect();
        let rejected = local_view.crashes.apply_reports(reports, now_ms);
        let readmitted =
            was_rejected.into_iter().filter(|report| !is_rejected(report, &local_view.crashes));
        (rejected, readmitted.map(|report| report.request).collect::<Vec<Fingerprint>>())
    });
    for request in readmitted {
        tracing::warn!(%request, "request: Another daemon received a complete answer; the request is no longer rejected.");
    }
    if !rejected.is_empty() {
        // Waiting requests that are rejected now must be woken.
        daemon.shared_view.notify_changed();
        rejected.into_iter().for_each(log_rejected);
    }
}

/// Records the reports of another daemon in their wire format.
pub(crate) fn receive_wire(daemon: &Daemon, crashes: Vec<WireCrashReport>) {
    let reports: Vec<CrashReport> = crashes.into_iter().map(CrashReport::from).collect();
    receive(daemon, &reports);
}

/// Returns the reports for a requester that has received the changes up to `number`; `None` if
/// there are no further ones.
pub(crate) fn reports_after(daemon: &Daemon, number: u64) -> Option<WireRestrictedRequests> {
    let now_ms = daemon.shared_view.now_ms();
    let (reports, number) = daemon.shared_view.with(|local_view| {
        // Nearly all requesters are up to date, and each asks several times a second.
        let has_changes = local_view.crashes.last_change() > number;
        has_changes.then(|| local_view.crashes.reports_since(number, now_ms))
    })?;
    let crashes = reports.into_iter().map(WireCrashReport::from).collect();
    Some(WireRestrictedRequests { crashes, number })
}

/// Returns the rejected requests, limited to what a lease row holds.
pub(crate) fn rejected_for_row(daemon: &Daemon) -> Vec<CrashReport> {
    let now_ms = daemon.shared_view.now_ms();
    let (mut rejected, _) =
        daemon.shared_view.with(|local_view| local_view.crashes.restricted_reports(now_ms));
    rejected.retain(CrashReport::is_rejected);
    rejected.truncate(MAX_IN_ROW);
    rejected
}

fn log_rejected(request: Fingerprint) {
    if request.is_part() {
        tracing::warn!(part = %request, "request: A part of prompts crashes endpoints; requests with it are rejected from now on.");
        return;
    }
    tracing::warn!(%request, ends = MAX_CRASHES, "request: The request crashes endpoints; it is rejected from now on.");
}
