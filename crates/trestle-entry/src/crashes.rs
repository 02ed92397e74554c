//! What this daemon and the others tell each other of requests under which endpoints ended.
//!
//! Daemons tell their leader, leaders tell each other, and a leader answers with the requests
//! that are refused, each only what is new. The leases' rows keep these for daemons that start
//! anew.

use crate::daemon::Daemon;
use std::collections::BTreeSet;
use trestle_dispatch::{
    crashes::{CrashReport, Crashes, MAX_CRASHES},
    endpoint::Incarnation,
    fingerprint::Fingerprint,
};
use trestle_wire::{
    crashes::{WireCrash, WireRefused},
    replicas::WireAsking,
};

/// Refused requests that a lease's row holds, some 200 bytes each: it is written every 0.6 s.
const MOST_IN_ROW: usize = 24;

/// What has passed between this daemon and a leader that it asks.
#[derive(Debug, Default)]
pub(crate) struct CrashExchange {
    /// The last change here that the leader has heard of.
    told: u64,
    /// The same, of the question that is on its way.
    telling: u64,
    /// The last change there that was heard of.
    heard: u64,
}

impl CrashExchange {
    /// Adds what the leader has not heard yet.
    pub(crate) fn ask(&mut self, daemon: &Daemon, asking: &mut WireAsking) {
        let now_ms = daemon.knowledge.now_ms();
        let (news, number) =
            daemon.knowledge.with(|local_view| local_view.crashes.changes_since(self.told, now_ms));
        asking.crashes = news.into_iter().map(WireCrash::from).collect();
        asking.have.refused = self.heard;
        self.telling = number;
    }

    /// Takes that the leader has answered, and what it says of refused requests.
    pub(crate) fn answered(&mut self, daemon: &Daemon, refused: Option<WireRefused>) {
        self.told = self.telling;
        if let Some(refused) = refused {
            self.heard = refused.number;
            heard_wire(daemon, refused.crashes);
        }
    }
}

/// Notes that an endpoint ended under requests, and has it told.
pub(crate) fn ended(daemon: &Daemon, incarnation: &Incarnation, requests: &BTreeSet<Fingerprint>) {
    if requests.is_empty() {
        return;
    }
    let now_ms = daemon.knowledge.now_ms();
    for request in requests {
        if daemon
            .knowledge
            .with(|local_view| local_view.crashes.record_crash(*request, incarnation, now_ms))
        {
            log_refused(*request);
        }
    }
    daemon.knowledge.wish();
}

/// Takes what another daemon knows.
pub(crate) fn heard(daemon: &Daemon, reports: &[CrashReport]) {
    if reports.is_empty() {
        return;
    }
    let now_ms = daemon.knowledge.now_ms();
    let (refused, taken_back) = daemon.knowledge.with(|local_view| {
        let is_refused = |report: &&CrashReport, crashes: &Crashes| {
            crashes.refused_for_ms(report.request, now_ms).is_some()
        };
        let before = reports.iter().filter(|report| is_refused(report, &local_view.crashes));
        let before: Vec<&CrashReport> = before.collect();
        let refused = local_view.crashes.apply_reports(reports, now_ms);
        let after = before.into_iter().filter(|report| !is_refused(report, &local_view.crashes));
        (refused, after.map(|report| report.request).collect::<Vec<Fingerprint>>())
    });
    for request in taken_back {
        tracing::warn!(%request, "request: Another daemon had a whole answer; it is refused no more.");
    }
    if !refused.is_empty() {
        // Those that wait are refused now.
        daemon.knowledge.say_changed();
        refused.into_iter().for_each(log_refused);
    }
}

/// The same, as it was sent.
pub(crate) fn heard_wire(daemon: &Daemon, crashes: Vec<WireCrash>) {
    let reports: Vec<CrashReport> = crashes.into_iter().map(CrashReport::from).collect();
    heard(daemon, &reports);
}

/// Requests that are refused, for an asker that has heard of changes up to a number.
pub(crate) fn refused_after(daemon: &Daemon, number: u64) -> Option<WireRefused> {
    let now_ms = daemon.knowledge.now_ms();
    let (refused, number) = daemon.knowledge.with(|local_view| {
        // Nearly all askers lack nothing; each asks several times a second.
        let has_news = local_view.crashes.last_restricted_change() > number;
        has_news.then(|| local_view.crashes.restricted_reports(now_ms))
    })?;
    Some(WireRefused { crashes: refused.into_iter().map(WireCrash::from).collect(), number })
}

/// Requests that are refused, as many as a lease's row holds.
pub(crate) fn refused_for_row(daemon: &Daemon) -> Vec<CrashReport> {
    let now_ms = daemon.knowledge.now_ms();
    let (mut refused, _) =
        daemon.knowledge.with(|local_view| local_view.crashes.restricted_reports(now_ms));
    refused.retain(|report| report.crashes.len() >= MAX_CRASHES);
    refused.truncate(MOST_IN_ROW);
    refused
}

fn log_refused(request: Fingerprint) {
    tracing::warn!(%request, ends = MAX_CRASHES, "request: It ends endpoints; it is refused from now on.");
}
