//! What becomes known of endpoints at which requests were broken off, or still run.
//!
//! A connection that breaks has its endpoint looked at: at once whether anything listens there,
//! and for as long as nothing shows that it lived on, again and again who that is. So a real end is
//! noticed however many connections broke before it, and one that lives on ends under nothing.

use crate::{
    crashes,
    daemon::Daemon,
    net::{
        connect,
        exchange::{Answer, CallClient, Error},
        pool::CONNECT_MS,
    },
};
use http::StatusCode;
use smol::Timer;
use std::{collections::BTreeSet, io::ErrorKind, sync::Arc, time::Duration};
use trestle_dispatch::{
    endpoint::{Endpoint, Incarnation},
    fingerprint::Fingerprint,
    unresolved_requests::{ConnectionLoss, Evidence, MAX_CRASH_DELAY_MS},
};

/// Requests that one line of log names.
const MOST_LOGGED: usize = 8;
/// Time for an endpoint to say who it is.
const ANSWER_MS: u64 = 400;
/// Longest pause between two looks at an endpoint that cannot be reached.
const MOST_PAUSE_MS: u64 = 2_000;

/// What a look at an endpoint has shown.
enum Seen {
    /// It lives.
    Lives,
    /// It has ended.
    Ended(Evidence),
    /// It cannot be told.
    Nothing,
}

/// Notes that a request's connection broke, and has it found out whether its endpoint has
/// ended, by one task however many of its requests broke.
pub(crate) fn note(daemon: &Arc<Daemon>, endpoint: &Endpoint, request: Option<Fingerprint>) {
    let Some(request) = request else { return };
    let now_ms = daemon.knowledge.now_ms();
    let broke =
        daemon.knowledge.with(|local_view| local_view.connection_lost(endpoint, request, now_ms));
    match broke {
        Some(ConnectionLoss::CheckNeeded) => {
            smol::spawn(find_out(Arc::clone(daemon), endpoint.clone())).detach();
        }
        Some(ConnectionLoss::Terminated) => note_late(daemon, &endpoint.incarnation(), request),
        Some(ConnectionLoss::CheckRunning) | None => {}
    }
}

/// Notes that nobody waits any more for a request that runs at an endpoint.
pub(crate) fn note_left(daemon: &Daemon, endpoint: &Endpoint, request: Fingerprint) {
    let now_ms = daemon.knowledge.now_ms();
    let has_ended =
        daemon.knowledge.with(|local_view| local_view.request_abandoned(endpoint, request, now_ms));
    if has_ended {
        note_late(daemon, &endpoint.incarnation(), request);
    }
}

/// Takes what the list says of endpoints that are no longer there.
pub(crate) fn note_gone(daemon: &Daemon) {
    let gone = daemon.knowledge.with(|local_view| local_view.terminated_by_list());
    for (incarnation, evidence) in &gone {
        ended(daemon, incarnation, *evidence);
    }
}

/// Takes that an endpoint has come to an address where others may have been.
pub(crate) fn note_came(daemon: &Daemon, endpoint: &Endpoint) {
    let replaced = daemon.knowledge.with(|local_view| local_view.replaced_by(endpoint));
    for incarnation in &replaced {
        ended(daemon, incarnation, Evidence::Replaced);
    }
}

/// Takes that a life of an endpoint has ended; blames the requests that were open there.
pub(crate) fn ended(daemon: &Daemon, incarnation: &Incarnation, evidence: Evidence) {
    let now_ms = daemon.knowledge.now_ms();
    let requests = daemon
        .knowledge
        .with(|local_view| local_view.incarnation_terminated(incarnation, evidence, now_ms));
    note_ended(daemon, incarnation, evidence.name(), &requests);
}

/// Finds out whether an endpoint has ended, until it is known or nothing depends on it.
async fn find_out(daemon: Arc<Daemon>, endpoint: Endpoint) {
    let incarnation = endpoint.incarnation();
    let mut pause_ms = MAX_CRASH_DELAY_MS;
    let mut seen = listens(&endpoint).await;
    loop {
        if let Seen::Ended(evidence) = seen {
            ended(&daemon, &incarnation, evidence);
        }
        Timer::after(Duration::from_millis(pause_ms)).await;
        let now_ms = daemon.knowledge.now_ms();
        if !daemon
            .knowledge
            .with(|local_view| local_view.unresolved_requests.needs_check(&incarnation, now_ms))
        {
            return;
        }
        seen = look(&daemon, &endpoint).await;
        match seen {
            Seen::Lives => {
                daemon.knowledge.with(|local_view| {
                    local_view.unresolved_requests.confirmed_alive(&incarnation, now_ms)
                });
                tracing::info!(endpoint = %incarnation.name, born_ms = incarnation.started_unix_ms, "endpoint: It lives; nothing ended it.");
                pause_ms = MAX_CRASH_DELAY_MS;
            }
            Seen::Nothing => pause_ms = (2 * pause_ms).min(MOST_PAUSE_MS),
            Seen::Ended(_) => {}
        }
    }
}

/// Whether anything listens at an endpoint's address.
async fn listens(endpoint: &Endpoint) -> Seen {
    match connect::open(endpoint.address, CONNECT_MS).await {
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            Seen::Ended(Evidence::Refused)
        }
        // Something does, or it cannot be reached.
        Ok(_) | Err(_) => Seen::Nothing,
    }
}

/// Looks which endpoint listens at the address of one.
async fn look(daemon: &Daemon, endpoint: &Endpoint) -> Seen {
    let Some(catalog) = daemon.knowledge.catalog() else { return listens(endpoint).await };
    let Some(service) = catalog.services.get(&endpoint.service) else {
        return listens(endpoint).await;
    };
    let wire = &daemon.wire.endpoint;
    let client = CallClient::new(endpoint.address);
    // Starts under one name are told apart by engines' reports alone.
    if endpoint.has_start_time() {
        if service.engine.is_none() {
            return listens(endpoint).await;
        }
        return seen_by(client.exchange((wire.report_call)(), ANSWER_MS).await, |answer| {
            let report = (wire.report_answer)(answer.status, &answer.body).ok()?;
            let is_known = report.started_unix_ms != 0;
            is_known.then_some((report.is_from(endpoint), Evidence::StartedAgain))
        });
    }
    let Some(path) = &service.health_path else { return listens(endpoint).await };
    let Some(call) = (wire.identity_call)(&endpoint.name, path) else {
        return listens(endpoint).await;
    };
    seen_by(client.exchange(call, ANSWER_MS).await, |answer| {
        let is_another = answer.status == StatusCode::MISDIRECTED_REQUEST.as_u16();
        let named = (wire.identity_answer)(&answer.headers);
        match (is_another, named) {
            (true, _) => Some((false, Evidence::Replaced)),
            (false, named) => Some((named? == endpoint.name, Evidence::Replaced)),
        }
    })
}

/// What an answer shows; `read` says whether it is the endpoint's own, and what follows if not.
fn seen_by(
    answer: Result<Answer, Error>,
    read: impl FnOnce(Answer) -> Option<(bool, Evidence)>,
) -> Seen {
    match answer {
        Ok(answer) => match read(answer) {
            Some((true, _)) => Seen::Lives,
            Some((false, evidence)) => Seen::Ended(evidence),
            None => Seen::Nothing,
        },
        Err(error) if error.is_refused() => Seen::Ended(Evidence::Refused),
        Err(_) => Seen::Nothing,
    }
}

/// Notes a request that was still open at an endpoint when that was found to have ended.
fn note_late(daemon: &Daemon, incarnation: &Incarnation, request: Fingerprint) {
    note_ended(daemon, incarnation, "known_before", &BTreeSet::from([request]));
}

fn note_ended(
    daemon: &Daemon,
    incarnation: &Incarnation,
    known_by: &str,
    requests: &BTreeSet<Fingerprint>,
) {
    let count = requests.len();
    if count == 0 {
        return;
    }
    let named: Vec<String> = requests.iter().take(MOST_LOGGED).map(ToString::to_string).collect();
    let (endpoint, born_ms) = (&incarnation.name, incarnation.started_unix_ms);
    tracing::warn!(
        %endpoint, born_ms, known_by, count, requests = ?named, "endpoint: It ended under requests."
    );
    crashes::ended(daemon, incarnation, requests);
}
