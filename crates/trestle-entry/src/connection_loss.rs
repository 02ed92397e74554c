//! Checks of endpoints after connections to them were lost.
//!
//! After a connection is lost, this module checks at once whether a process listens at the
//! endpoint's address. After that it asks repeatedly which endpoint listens there, until an answer
//! shows that the endpoint has survived. So a real crash is detected however many connections were
//! lost before it, and an endpoint that survives is not counted as crashed. An endpoint that does not
//! answer may have crashed; the requests that were open there are suspected until it answers.

use crate::{
    answer_bounds, crashes,
    daemon::Daemon,
    net::exchange::{Answer, Error},
    paths::{self, Ways},
};
use futures_lite::future;
use http::StatusCode;
use smol::Timer;
use std::{collections::BTreeMap, io::ErrorKind, sync::Arc, time::Duration};
use trestle_dispatch::{
    endpoint::{Endpoint, Incarnation},
    fingerprint::Fingerprint,
    request::RequestHead,
    unresolved_requests::{ConnectionLoss, Evidence, MAX_CRASH_DELAY_MS},
};

/// Most requests listed in one log line: all that one engine runs at a time.
const MAX_LOGGED: usize = 64;
/// Time limit for an endpoint's answer about its identity.
const ANSWER_MS: u64 = 400;
/// Pause of a request while another one has an endpoint checked.
const CHECK_WAIT_MS: u64 = 50;
/// Longest pause between two checks of an endpoint that cannot be reached.
const MAX_PAUSE_MS: u64 = 2_000;

/// The result of a check.
enum CheckResult {
    /// The endpoint is alive.
    Alive,
    /// The endpoint has terminated.
    Terminated(Evidence),
    /// The endpoint gave no answer from which its state is known.
    NoSign,
    /// Some process answers or accepts connections at the address; which one is not known.
    Accepts,
}

/// Records that the connection of a request that was sent at `sent_ms` was lost. The first loss at
/// an endpoint starts a task that finds out whether the endpoint has terminated; later ones start
/// no further task.
pub(crate) fn record_lost(
    daemon: &Arc<Daemon>,
    endpoint: &Endpoint,
    request: Fingerprint,
    sent_ms: u64,
) {
    let now_ms = daemon.shared_view.now_ms();
    let loss =
        daemon.shared_view.with(|local_view| local_view.connection_lost(endpoint, request, now_ms));
    match loss {
        Some(ConnectionLoss::CheckNeeded) => {
            smol::spawn(check_lost(Arc::clone(daemon), endpoint.clone())).detach();
        }
        Some(ConnectionLoss::Terminated) => {
            record_late(daemon, &endpoint.incarnation(), request, sent_ms);
        }
        Some(ConnectionLoss::CheckRunning) | None => {}
    }
}

/// Records that the caller no longer waits for a request that was sent to an endpoint at `sent_ms`
/// and still runs there. If the endpoint has sent nothing of an answer, it may have crashed behind a
/// broken link, so it is checked.
pub(crate) fn record_abandoned(
    daemon: &Arc<Daemon>,
    endpoint: &Endpoint,
    request: Fingerprint,
    sent_ms: u64,
    has_answered: bool,
) {
    let now_ms = daemon.shared_view.now_ms();
    let is_terminated = daemon
        .shared_view
        .with(|local_view| local_view.request_abandoned(endpoint, request, now_ms));
    if is_terminated {
        record_late(daemon, &endpoint.incarnation(), request, sent_ms);
    }
    if !has_answered {
        ensure_check(daemon, endpoint);
    }
}

/// Records that an endpoint is silent on a request that runs there and is sent to another endpoint
/// besides. If the endpoint has sent nothing of an answer, it is checked.
pub(crate) fn record_silent(
    daemon: &Arc<Daemon>,
    endpoint: &Endpoint,
    head: &RequestHead,
    has_answered: bool,
) {
    let now_ms = daemon.shared_view.now_ms();
    daemon.shared_view.with(|local_view| local_view.endpoint_is_silent(endpoint, head, now_ms));
    if !has_answered {
        ensure_check(daemon, endpoint);
    }
}

/// Starts a check of an endpoint at which a request was aborted, unless one is running.
pub(crate) fn ensure_check(daemon: &Arc<Daemon>, endpoint: &Endpoint) {
    let incarnation = endpoint.incarnation();
    let must_start = daemon
        .shared_view
        .with(|local_view| local_view.unresolved_requests.start_check(&incarnation));
    if must_start {
        smol::spawn(check_until_known(Arc::clone(daemon), endpoint.clone())).detach();
    }
}

/// Handles endpoints that the list shows to have terminated.
pub(crate) fn handle_removed(daemon: &Daemon) {
    let removed = daemon.shared_view.with(|local_view| local_view.terminated_by_list());
    for (incarnation, evidence) in &removed {
        record_terminated(daemon, incarnation, *evidence);
    }
}

/// Handles an endpoint that is new at an address where others may have been.
pub(crate) fn handle_new_endpoint(daemon: &Daemon, endpoint: &Endpoint) {
    let replaced = daemon.shared_view.with(|local_view| local_view.replaced_by(endpoint));
    for incarnation in &replaced {
        record_terminated(daemon, incarnation, Evidence::Replaced);
    }
}

/// Records that an incarnation of an endpoint has terminated, and attributes a crash to the
/// requests that were open there.
pub(crate) fn record_terminated(daemon: &Daemon, incarnation: &Incarnation, evidence: Evidence) {
    let now_ms = daemon.shared_view.now_ms();
    let requests = daemon
        .shared_view
        .with(|local_view| local_view.incarnation_terminated(incarnation, evidence, now_ms));
    record_crashes(daemon, incarnation, evidence.name(), &requests);
}

/// Checks an endpoint that has lost a connection.
async fn check_lost(daemon: Arc<Daemon>, endpoint: Endpoint) {
    if let CheckResult::Terminated(evidence) = check_port(&daemon, &endpoint).await {
        record_terminated(&daemon, &endpoint.incarnation(), evidence);
    }
    check_until_known(daemon, endpoint).await;
}

/// Checks an endpoint until its state is known or nothing depends on it.
async fn check_until_known(daemon: Arc<Daemon>, endpoint: Endpoint) {
    let incarnation = endpoint.incarnation();
    let mut pause_ms = MAX_CRASH_DELAY_MS;
    loop {
        Timer::after(Duration::from_millis(pause_ms)).await;
        let now_ms = daemon.shared_view.now_ms();
        if !daemon
            .shared_view
            .with(|local_view| local_view.unresolved_requests.needs_check(&incarnation, now_ms))
        {
            return;
        }
        match check_identity(&daemon, &endpoint).await {
            CheckResult::Alive => {
                let answered_ms = daemon.shared_view.now_ms();
                daemon.shared_view.with(|local_view| {
                    local_view.endpoint_is_alive(&incarnation, now_ms, answered_ms);
                });
                tracing::info!(endpoint = %incarnation.name, born_ms = incarnation.started_unix_ms, "endpoint: The endpoint is alive; no request crashed it.");
                pause_ms = MAX_CRASH_DELAY_MS;
            }
            CheckResult::NoSign => {
                record_no_sign(&daemon, &incarnation, now_ms);
                pause_ms = (2 * pause_ms).min(MAX_PAUSE_MS);
            }
            CheckResult::Accepts => {
                daemon.shared_view.with(|local_view| {
                    local_view.records.gave_sign(&incarnation.name, now_ms);
                    local_view.unresolved_requests.gave_sign(&incarnation);
                });
                pause_ms = (2 * pause_ms).min(MAX_PAUSE_MS);
            }
            CheckResult::Terminated(evidence) => record_terminated(&daemon, &incarnation, evidence),
        }
    }
}

/// Returns whether an endpoint answers now, whichever incarnation it is; `None` if another request
/// has just had it checked.
pub(crate) async fn gives_sign_of_life(daemon: &Arc<Daemon>, endpoint: &Endpoint) -> Option<bool> {
    let begun_ms = daemon.shared_view.now_ms();
    let is_first = daemon.shared_view.with(|local_view| {
        local_view.records.begin_check(&endpoint.name, begun_ms, begun_ms + ANSWER_MS)
    });
    if !is_first {
        Timer::after(Duration::from_millis(CHECK_WAIT_MS)).await;
        return None;
    }
    let has_answered = answers(daemon, endpoint).await;
    let now_ms = daemon.shared_view.now_ms();
    daemon.shared_view.with(|local_view| match has_answered {
        true => local_view.records.gave_sign(&endpoint.name, now_ms),
        false => _ = local_view.records.gave_no_sign(&endpoint.name, now_ms),
    });
    tracing::info!(endpoint = %endpoint.name, has_answered, "endpoint: It was checked before a request that may crash it is sent.");
    Some(has_answered)
}

/// Returns whether the process at an endpoint's address answers a call that waits for no slot.
async fn answers(daemon: &Arc<Daemon>, endpoint: &Endpoint) -> bool {
    let client = paths::call_client(daemon, endpoint, Ways::Any);
    let wire = &daemon.wire.endpoint;
    let service = daemon.shared_view.catalog().and_then(|catalog| {
        let service = catalog.services.get(&endpoint.service)?;
        Some((service.engine.is_some(), service.health_path.clone()))
    });
    let call = match service {
        Some((true, _)) => Some((wire.report_call)()),
        Some((false, Some(path))) => (wire.identity_call)(&endpoint.name, &path),
        _ => None,
    };
    match call {
        // A process that sends bytes which are no answer is there.
        Some(call) => matches!(
            answer_bounds::exchange(daemon, endpoint, &client, call, ANSWER_MS).await,
            Ok(_) | Err(Error::PassedBound { .. })
        ),
        None => matches!(check_port(daemon, endpoint).await, CheckResult::Accepts),
    }
}

/// Checks whether a process listens at an endpoint's address.
async fn check_port(daemon: &Arc<Daemon>, endpoint: &Endpoint) -> CheckResult {
    match paths::open(daemon, endpoint).await {
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            CheckResult::Terminated(Evidence::Refused)
        }
        Ok(_) => CheckResult::Accepts,
        Err(_) => CheckResult::NoSign,
    }
}

/// Checks which endpoint listens at an endpoint's address.
async fn check_identity(daemon: &Arc<Daemon>, endpoint: &Endpoint) -> CheckResult {
    let Some(catalog) = daemon.shared_view.catalog() else {
        return check_port(daemon, endpoint).await;
    };
    let Some(service) = catalog.services.get(&endpoint.service) else {
        return check_port(daemon, endpoint).await;
    };
    let wire = &daemon.wire.endpoint;
    let client = paths::call_client(daemon, endpoint, Ways::Any);
    // Only an engine's report distinguishes several incarnations with the same name.
    if endpoint.has_start_time() {
        if service.engine.is_none() {
            return check_port(daemon, endpoint).await;
        }
        let call = (wire.report_call)();
        let answer = answer_bounds::exchange(daemon, endpoint, &client, call, ANSWER_MS).await;
        return evaluate(answer, |answer| {
            let report = (wire.report_answer)(answer.status, &answer.body).ok()?;
            let is_known = report.started_unix_ms != 0;
            is_known.then_some((report.is_from(endpoint), Evidence::StartedAgain))
        });
    }
    let Some(path) = &service.health_path else { return check_port(daemon, endpoint).await };
    let Some(call) = (wire.identity_call)(&endpoint.name, path) else {
        return check_port(daemon, endpoint).await;
    };
    // An engine without a free slot does not say who it is in time, but it reports its state.
    let reports = async { service.engine.is_some() && answers(daemon, endpoint).await };
    let answer = answer_bounds::exchange(daemon, endpoint, &client, call, ANSWER_MS);
    let (answer, has_reported) = future::zip(answer, reports).await;
    let result = evaluate(answer, |answer| {
        let is_another = answer.status == StatusCode::MISDIRECTED_REQUEST.as_u16();
        let named = (wire.identity_answer)(&answer.headers);
        match (is_another, named) {
            (true, _) => Some((false, Evidence::Replaced)),
            (false, named) => Some((named? == endpoint.name, Evidence::Replaced)),
        }
    });
    match result {
        CheckResult::NoSign if has_reported => CheckResult::Accepts,
        known => known,
    }
}

/// Evaluates an answer. `read` returns whether it comes from the endpoint itself, and the evidence
/// if it does not.
fn evaluate(
    answer: Result<Answer, Error>,
    read: impl FnOnce(Answer) -> Option<(bool, Evidence)>,
) -> CheckResult {
    match answer {
        Ok(answer) => match read(answer) {
            Some((true, _)) => CheckResult::Alive,
            Some((false, evidence)) => CheckResult::Terminated(evidence),
            None => CheckResult::Accepts,
        },
        Err(error) if error.is_refused() => CheckResult::Terminated(Evidence::Refused),
        Err(Error::PassedBound { .. }) => CheckResult::Accepts,
        Err(_) => CheckResult::NoSign,
    }
}

/// Records that a check at `checked_ms` got no answer from an endpoint, and reports the requests that
/// are suspected for it to the leader.
fn record_no_sign(daemon: &Daemon, incarnation: &Incarnation, checked_ms: u64) {
    let now_ms = daemon.shared_view.now_ms();
    let (is_new, suspected) = daemon.shared_view.with(|local_view| {
        let is_new = local_view.records.gave_no_sign(&incarnation.name, now_ms);
        if local_view.is_brittle(incarnation) {
            return (is_new, Vec::new());
        }
        (is_new, local_view.endpoint_gave_no_sign(incarnation, checked_ms, now_ms))
    });
    if is_new {
        tracing::info!(endpoint = %incarnation.name, "endpoint: It does not answer checks; others are preferred until it does.");
    }
    let count = suspected.len();
    if count == 0 {
        return;
    }
    let named: Vec<String> = suspected.iter().take(MAX_LOGGED).map(ToString::to_string).collect();
    let (endpoint, started_unix_ms) = (&incarnation.name, incarnation.started_unix_ms);
    tracing::warn!(
        %endpoint, born_ms = started_unix_ms, count, requests = ?named,
        "endpoint: It has given no sign of life since these requests were sent there; they may have crashed it."
    );
    daemon.shared_view.notify_demand();
}

/// Handles a request that was still open at an endpoint when the endpoint was found to have
/// terminated.
fn record_late(daemon: &Daemon, incarnation: &Incarnation, request: Fingerprint, sent_ms: u64) {
    let was_terminated = daemon
        .shared_view
        .with(|local_view| local_view.unresolved_requests.was_terminated_at(incarnation, sent_ms));
    if was_terminated {
        return;
    }
    record_crashes(daemon, incarnation, "known_before", &BTreeMap::from([(request, sent_ms)]));
}

/// Records that an endpoint crashed under requests; the map holds when each was last sent there.
fn record_crashes(
    daemon: &Daemon,
    incarnation: &Incarnation,
    known_by: &str,
    requests: &BTreeMap<Fingerprint, u64>,
) {
    let count = requests.len();
    if count == 0 {
        return;
    }
    let (endpoint, started_unix_ms) = (&incarnation.name, incarnation.started_unix_ms);
    if daemon.shared_view.with(|local_view| local_view.is_brittle(incarnation)) {
        tracing::info!(%endpoint, born_ms = started_unix_ms, known_by, count, "endpoint: It ended while it was brittle; no request is taken for the cause.");
        return;
    }
    let named: Vec<String> = requests.keys().take(MAX_LOGGED).map(ToString::to_string).collect();
    tracing::warn!(
        %endpoint, born_ms = started_unix_ms, known_by, count, requests = ?named,
        "endpoint: It ended under requests."
    );
    crashes::record_crash(daemon, incarnation, requests);
}
