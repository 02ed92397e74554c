//! Calls of a plain service that may not be repeated, as real processes.

mod common;

use common::{assert_no_breach, fleet};
use serde_json::json;
use std::{thread, time::Duration};
use trestle_session::{Answered, Session};

const KEY_HEADER: &str = "idempotency-key";

fn swap(session: &Session, vm: &str, key: &str, body: &str) -> Answered {
    let headers = [(KEY_HEADER, key.to_owned()), ("trestle-deadline-ms", "4000".to_owned())];
    let path = "/services/tickets/swap";
    let answered = session.post(vm, "mechanics-token", path, &headers, body.to_owned());
    answered.expect("the daemon answers")
}

fn runs(session: &Session, key: &str) -> u64 {
    let runs = session.runs_by_key().expect("the stand-in answers");
    runs[format!("tickets/{key}")].as_u64().unwrap_or(0)
}

fn outcome(answered: &Answered) -> (u16, &str) {
    (answered.status, answered.body["error"]["outcome"].as_str().unwrap_or(""))
}

/// What stands between the steps of a call.
#[derive(Clone, Copy)]
enum Fault {
    /// The answers to the next writes of the table are lost.
    LostAnswers(u32),
    /// The service runs the call, and its answer breaks off.
    CutAfterRun,
    /// The platform is down.
    PlatformDown,
}

macro_rules! faulted_calls {
    ($($name:ident: $fault:expr => $status:literal, $outcome:literal, runs: $runs:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let session = fleet(20.0);
                let answered = faulted_call(&session, $fault, stringify!($name));
                assert_eq!(outcome(&answered), ($status, $outcome), "{}", answered.body);
                assert_eq!(runs(&session, stringify!($name)), $runs);
                assert_no_breach(&session);
            }
        )+
    };
}

faulted_calls! {
    lost_answer_to_the_claim: Fault::LostAnswers(1) => 200, "", runs: 1;
    lost_answers_to_claim_and_record: Fault::LostAnswers(3) => 200, "", runs: 1;
    answer_cut_after_the_run: Fault::CutAfterRun => 504, "unknown", runs: 1;
    platform_down_before_the_claim: Fault::PlatformDown => 503, "not_run", runs: 0;
}

fn faulted_call(session: &Session, fault: Fault, key: &str) -> Answered {
    let faults = match fault {
        Fault::LostAnswers(count) => json!({"platform": {"lose_answers": count}}),
        Fault::CutAfterRun => json!({"services": {"cut_after_run": 1}}),
        Fault::PlatformDown => json!({"platform": {"down": true}}),
    };
    session.faults(&faults).expect("faults are switched");
    swap(session, "caxias-1", key, "battery 7")
}

#[test]
fn same_key_again_gives_the_same_answer() {
    let session = fleet(20.0);
    let first = swap(&session, "caxias-1", "again", "battery 7");
    let second = swap(&session, "poa-centro-2", "again", "battery 7");
    assert_eq!((first.status, second.status), (200, 200), "{} {}", first.body, second.body);
    assert_eq!(first.body, second.body);
    assert_eq!(runs(&session, "again"), 1);
    let other = swap(&session, "poa-centro-2", "again", "battery 8");
    assert_eq!(other.status, 409);
    assert_eq!(other.body["error"]["code"], "idempotency_key_reused");
    assert_no_breach(&session);
}

#[test]
fn daemons_racing_on_a_key_run_it_once() {
    let session = fleet(20.0);
    session.faults(&json!({"services": {"slow_ms": 300}})).expect("faults are switched");
    for round in 0..5 {
        let key = format!("race-{round}");
        let answers: Vec<Answered> = thread::scope(|scope| {
            let vms = session.daemons.keys();
            let asked: Vec<_> = vms
                .map(|vm| {
                    let (session, key) = (&session, &key);
                    scope.spawn(move || swap(session, vm, key, "battery 7"))
                })
                .collect();
            asked.into_iter().map(|asked| asked.join().expect("it is answered")).collect()
        });
        for answer in &answers {
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert_eq!(answer.body, answers[0].body);
        }
        assert_eq!(runs(&session, &key), 1);
    }
    assert_no_breach(&session);
}

#[test]
fn call_without_a_key_is_refused() {
    let session = fleet(20.0);
    let path = "/services/tickets/swap";
    let answered = session.post("caxias-1", "mechanics-token", path, &[], String::new());
    let answered = answered.expect("the daemon answers");
    assert_eq!(answered.status, 400);
    assert_eq!(answered.body["error"]["code"], "idempotency_key_missing");
    assert_eq!(answered.body["error"]["outcome"], "not_run");
}

/// Kills the daemon that handles a call at any moment, and asks another one.
#[test]
fn daemon_killed_at_any_moment_runs_a_call_at_most_once() {
    let mut session = fleet(20.0);
    session
        .faults(&json!({"platform": {"slow_ms": 40}, "services": {"slow_ms": 60}}))
        .expect("faults are switched");
    for round in 0..8_u64 {
        let key = format!("killed-{round}");
        thread::scope(|scope| {
            let (session, key) = (&session, &key);
            scope.spawn(move || {
                let headers = [(KEY_HEADER, key.clone())];
                let path = "/services/tickets/swap";
                // The daemon is killed, so there may be no answer.
                let _ = session.post("pelotas-1", "mechanics-token", path, &headers, "b".into());
            });
            thread::sleep(Duration::from_millis(25 * round));
            session.daemons["pelotas-1"].kill_by_signal();
        });
        let asked = swap(&session, "pelotas-2", &key, "b");
        let runs = runs(&session, &key);
        match outcome(&asked) {
            (200, _) => assert_eq!(runs, 1, "round {round}"),
            (_, "not_run") => assert_eq!(runs, 0, "round {round}: {}", asked.body),
            (_, "unknown") => assert!(runs <= 1, "round {round}"),
            other => panic!("round {round}: {other:?} {}", asked.body),
        }
        let daemon = session.daemon("pelotas-1");
        daemon.wait();
        daemon.restart().expect("the daemon starts again");
        session
            .wait_for("the daemon ready again", |session| {
                session.status("pelotas-1").is_ok_and(|status| status.ready)
            })
            .expect("it is ready");
    }
    assert_no_breach(&session);
}
