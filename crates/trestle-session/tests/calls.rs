//! Calls of a plain service that must run at most once, with real processes and faults.

mod common;

use common::{assert_no_breach, fleet};
use serde_json::json;
use std::{thread, time::Duration};
use trestle_session::{Answer, Session};

const KEY_HEADER: &str = "idempotency-key";

fn swap(session: &Session, vm: &str, key: &str, body: &str) -> Answer {
    let headers = [(KEY_HEADER, key.to_owned()), ("trestle-deadline-ms", "4000".to_owned())];
    let path = "/services/tickets/swap";
    let answer = session.post(vm, "mechanics-token", path, &headers, body.to_owned());
    answer.expect("the daemon answers")
}

fn runs(session: &Session, key: &str) -> u64 {
    let runs = session.runs_by_key().expect("the stand-in answers");
    runs[format!("tickets/{key}")].as_u64().unwrap_or(0)
}

fn outcome(answer: &Answer) -> (u16, &str) {
    (answer.status, answer.body["error"]["outcome"].as_str().unwrap_or(""))
}

/// A fault that occurs between the steps of a call.
#[derive(Clone, Copy)]
enum Fault {
    /// The platform's answers to this number of next table writes are lost.
    LostAnswers(u32),
    /// The service runs the call, and its answer is truncated.
    CutAfterRun,
    /// The platform is down.
    PlatformDown,
}

macro_rules! calls_with_faults {
    ($($name:ident: $fault:expr => $status:literal, $outcome:literal, runs: $runs:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let session = fleet(20.0);
                let answer = call_with_fault(&session, $fault, stringify!($name));
                assert_eq!(outcome(&answer), ($status, $outcome), "{}", answer.body);
                assert_eq!(runs(&session, stringify!($name)), $runs);
                assert_no_breach(&session);
            }
        )+
    };
}

calls_with_faults! {
    lost_answer_to_the_claim: Fault::LostAnswers(1) => 200, "", runs: 1;
    lost_answers_to_claim_and_record: Fault::LostAnswers(3) => 200, "", runs: 1;
    answer_cut_after_the_run: Fault::CutAfterRun => 504, "unknown", runs: 1;
    platform_down_before_the_claim: Fault::PlatformDown => 503, "not_run", runs: 0;
}

fn call_with_fault(session: &Session, fault: Fault, key: &str) -> Answer {
    let faults = match fault {
        Fault::LostAnswers(count) => json!({"platform": {"lose_answers": count}}),
        Fault::CutAfterRun => json!({"services": {"cut_after_run": 1}}),
        Fault::PlatformDown => json!({"platform": {"down": true}}),
    };
    session.set_faults(&faults).expect("the faults are set");
    swap(session, "caxias-1", key, "battery 7")
}

#[test]
fn repeated_key_returns_the_same_answer() {
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
fn concurrent_calls_with_one_key_run_once() {
    let session = fleet(20.0);
    session.set_faults(&json!({"services": {"slow_ms": 300}})).expect("the faults are set");
    for round in 0..5 {
        let key = format!("race-{round}");
        let answers: Vec<Answer> = thread::scope(|scope| {
            let vms = session.daemons.keys();
            let calls: Vec<_> = vms
                .map(|vm| {
                    let (session, key) = (&session, &key);
                    scope.spawn(move || swap(session, vm, key, "battery 7"))
                })
                .collect();
            calls.into_iter().map(|call| call.join().expect("the call is answered")).collect()
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
fn call_without_a_key_is_rejected() {
    let session = fleet(20.0);
    let path = "/services/tickets/swap";
    let answer = session.post("caxias-1", "mechanics-token", path, &[], String::new());
    let answer = answer.expect("the daemon answers");
    assert_eq!(answer.status, 400);
    assert_eq!(answer.body["error"]["code"], "idempotency_key_missing");
    assert_eq!(answer.body["error"]["outcome"], "not_run");
}

/// Kills the daemon that handles a call, later in each round, and then repeats the call with the
/// same key at another daemon. Guards against a call that runs twice, and against an answer that
/// contradicts the number of runs.
#[test]
fn call_of_a_killed_daemon_runs_at_most_once() {
    let mut session = fleet(20.0);
    session
        .set_faults(&json!({"platform": {"slow_ms": 40}, "services": {"slow_ms": 60}}))
        .expect("the faults are set");
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
        let repeated = swap(&session, "pelotas-2", &key, "b");
        let runs = runs(&session, &key);
        match outcome(&repeated) {
            (200, _) => assert_eq!(runs, 1, "round {round}"),
            (_, "not_run") => assert_eq!(runs, 0, "round {round}: {}", repeated.body),
            (_, "unknown") => assert!(runs <= 1, "round {round}"),
            other => panic!("round {round}: {other:?} {}", repeated.body),
        }
        let daemon = session.daemon("pelotas-1");
        daemon.wait();
        daemon.restart().expect("the daemon starts again");
        session
            .wait_for("the daemon to be ready again", |session| {
                session.status("pelotas-1").is_ok_and(|status| status.ready)
            })
            .expect("the daemon becomes ready");
    }
    assert_no_breach(&session);
}
