//! Helpers that the session tests share.

#![allow(dead_code, reason = "each test program uses only some helpers")]

use serde_json::{Value, json};
use std::collections::BTreeMap;
use trestle_session::{
    Session, SessionPlan,
    fleet::{CONFIG, DAEMONS, PLACEMENTS},
};

/// Starts the example fleet with short intervals, applies its configuration, and waits until every
/// model is placed and ownership is settled.
pub(crate) fn fleet(speed: f64) -> Session {
    let plan =
        SessionPlan { config: CONFIG, daemons: &DAEMONS, speed, intervals: short_intervals() };
    let session = Session::start(&plan).expect("the session starts");
    session.apply().expect("the configuration is accepted");
    session.wait_for("every model to be placed", all_placed).expect("every model is placed");
    session.wait_for("ownership to settle", is_settled).expect("ownership settles");
    session
}

/// Returns whether all daemons of each domain are its members in the same epoch, and every
/// endpoint has exactly one owner, which the endpoint has confirmed. Placed models do not imply
/// this: models are placed as soon as each domain has a first daemon, and endpoints change owners
/// while the other daemons join.
pub(crate) fn is_settled(session: &Session) -> bool {
    let statuses: Vec<_> = session.daemons.keys().map(|vm| session.status(vm)).collect();
    let Ok(statuses) = statuses.into_iter().collect::<Result<Vec<_>, _>>() else { return false };
    let all_joined = statuses.iter().all(|status| {
        let of_domain = statuses.iter().filter(|other| other.domain == status.domain);
        of_domain.clone().count() == status.members.len()
            && of_domain.clone().all(|other| other.epoch == status.epoch)
    });
    let mut owners: BTreeMap<&str, Vec<bool>> = BTreeMap::new();
    for (endpoint, state) in statuses.iter().flat_map(|status| &status.endpoints) {
        let owners = owners.entry(endpoint).or_default();
        owners.extend((state.role == "owner").then_some(state.confirmed));
    }
    all_joined && owners.values().all(|confirmed| confirmed == &[true])
}

/// Returns intervals that are shorter than in operation, so that tests take seconds.
pub(crate) fn short_intervals() -> Value {
    json!({
        "config_poll_ms": 200, "vm_list_ms": 200, "lease_ms": 500, "expiry_ms": 2500,
        "look_ms": 1000, "settle_ms": 3000, "stop_ms": 20000,
    })
}

/// Returns whether every model is placed, and all daemons agree on the number of placements at
/// each endpoint.
fn all_placed(session: &Session) -> bool {
    let statuses = session.daemons.keys().filter_map(|vm| session.status(vm).ok());
    let mut placed: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (endpoint, state) in statuses.flat_map(|status| status.endpoints) {
        placed.entry(endpoint).or_default().push(state.placed.len());
    }
    let all_agree = placed.values().all(|counts| counts.iter().all(|count| *count == counts[0]));
    all_agree && placements(session) >= PLACEMENTS
}

/// Returns the number of placements that the owners of all endpoints report.
pub(crate) fn placements(session: &Session) -> usize {
    let statuses = session.daemons.keys().filter_map(|vm| session.status(vm).ok());
    let endpoints = statuses.flat_map(|status| status.endpoints.into_values());
    endpoints.filter(|state| state.role == "owner").map(|state| state.placed.len()).sum()
}

/// Returns a stream of completions for the load tool.
pub(crate) fn completions(names: &[String], requests: usize, over_ms: u64) -> Value {
    json!({
        "tenant": "riders", "token": "riders-token", "class": "curb", "requests": requests,
        "over_ms": over_ms, "deadline_ms": 30_000,
        "work": {"models": {"names": names, "stream": false}},
    })
}

/// Fails if the stand-in has recorded a breach, that is a violated invariant.
pub(crate) fn assert_no_breach(session: &Session) {
    let breaches = session.breaches().expect("the stand-in answers");
    assert!(breaches.is_empty(), "breaches: {breaches:#?}");
}

/// Fails if the report of the load tool holds a violation.
pub(crate) fn assert_no_violation(report: &Value) {
    let violations = report["violations"].as_array().expect("a report has violations");
    assert!(violations.is_empty(), "violations: {violations:#?}");
}

/// Fails unless every request of a report was answered.
pub(crate) fn assert_all_done(report: &Value, requests: u64) {
    assert_no_violation(report);
    let groups = report["groups"].as_array().expect("a report has groups");
    let counts: Vec<&Value> = groups.iter().map(|group| &group["verdicts"]).collect();
    assert_eq!(verdicts(report, "done"), requests, "{counts:?}");
}

/// Returns how many requests of a report have a verdict that starts with `name`.
pub(crate) fn verdicts(report: &Value, name: &str) -> u64 {
    let groups = report["groups"].as_array().expect("a report has groups");
    let counts = groups.iter().flat_map(|group| group["verdicts"].as_object());
    let matching = counts.flatten().filter(|(verdict, _)| verdict.starts_with(name));
    matching.filter_map(|(_, count)| count.as_u64()).sum()
}
