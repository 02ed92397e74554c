//! Tests that invalid or excessive input gets a clear error and the daemon keeps serving.

mod common;

use common::{assert_no_breach, fleet};
use serde_json::{Value, json};
use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};
use trestle_session::Session;

const CHAT: &str = "/v1/chat/completions";
const TOKEN: &str = "riders-token";

/// An invalid request and the expected error.
struct Case {
    name: &'static str,
    token: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    code: &'static str,
}

fn good_body() -> String {
    let message = json!({"role": "user", "content": "hello"});
    json!({"model": "unlock-help-1", "messages": [message]}).to_string()
}

fn cases() -> Vec<Case> {
    let case = |name, status, code| Case {
        name,
        token: TOKEN,
        path: CHAT,
        headers: Vec::new(),
        body: good_body(),
        status,
        code,
    };
    let unknown_model = json!({"model": "no-such-model", "messages": []}).to_string();
    let deadline = |text: &str| vec![("trestle-deadline-ms", text.to_owned())];
    vec![
        Case { body: "{ not json".into(), ..case("broken JSON", 400, "bad_json") },
        Case { body: String::new(), ..case("empty body", 400, "bad_json") },
        Case { body: unknown_model, ..case("unknown model", 404, "unknown_model") },
        Case { body: "x".repeat(2 << 20), ..case("oversize body", 413, "body_too_long") },
        Case { token: "wrong", ..case("wrong token", 401, "unknown_token") },
        Case { headers: deadline("5s"), ..case("deadline with a unit", 400, "bad_deadline") },
        Case { headers: deadline("-1"), ..case("negative deadline", 400, "bad_deadline") },
        Case { headers: deadline("999999999"), ..case("endless deadline", 400, "bad_deadline") },
        Case {
            headers: vec![("trestle-class", "planning".into())],
            ..case("class of another tenant", 400, "unknown_class")
        },
        Case {
            headers: vec![("x-request-id", "a b".into())],
            ..case("request id with a space", 400, "bad_request_id")
        },
        Case { path: "/v2/chat", ..case("unknown path", 404, "unknown_path") },
        Case { path: "/services/none/x", ..case("unknown service", 404, "unknown_service") },
        Case {
            headers: deadline("1"),
            ..case("deadline too close for a cold model", 503, "deadline_too_close")
        },
    ]
}

#[test]
fn invalid_input_gets_a_clear_error() {
    let session = fleet(20.0);
    for case in cases() {
        let answer =
            session.post("caxias-1", case.token, case.path, &case.headers, case.body.clone());
        let answer = answer.unwrap_or_else(|error| panic!("{}: {error}", case.name));
        let error = &answer.body["error"];
        assert_eq!(answer.status, case.status, "{}: {}", case.name, answer.body);
        assert_eq!(error["code"], case.code, "{}", case.name);
        assert_eq!(error["outcome"], "not_run", "{}", case.name);
        assert!(error["message"].as_str().is_some_and(|text| text.len() > 10), "{}", case.name);
        assert_serves(&session);
    }
    assert_no_breach(&session);
}

/// A request whose deadline is too close for a load is rejected without waiting, with a time
/// after which to retry.
#[test]
fn rejection_is_immediate_with_a_retry_time() {
    let session = fleet(1.0);
    let started = Instant::now();
    let answer = session.complete("caxias-1", TOKEN, "depot-planner-1", "soon", 3_000);
    let answer = answer.expect("the daemon answers");
    assert_eq!(answer.body["error"]["code"], "deadline_too_close", "{}", answer.body);
    assert!(answer.body["error"]["retry_after_ms"].as_u64().is_some_and(|ms| ms > 0));
    assert!(started.elapsed() < Duration::from_millis(2_500), "the rejection came late");
}

#[test]
fn slow_callers_do_not_block_others() {
    let session = fleet(20.0);
    let address = session.daemons["caxias-1"].callers.clone();
    let mut slow: Vec<TcpStream> = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(&address).expect("the daemon listens");
        let head = format!(
            "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
             content-length: 100\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("the head is sent");
        slow.push(stream);
    }
    thread::sleep(Duration::from_millis(300));
    assert_serves(&session);
    let mut answer = String::new();
    let mut first = slow.remove(0);
    first.set_read_timeout(Some(Duration::from_secs(15))).expect("the timeout is set");
    let _ = first.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("slow_body"), "{answer}");
}

#[test]
fn adapters_are_served_and_metrics_listed() {
    let session = fleet(20.0);
    let answer = session.complete("caxias-1", TOKEN, "city-01", "adapted", 20_000);
    assert_eq!(answer.expect("the daemon answers").status, 200);
    let metrics = session.metrics("caxias-1").expect("metrics are served");
    for wanted in
        ["trestle_request_ms", "trestle_cold_wait_ms", "tenant=\"riders\"", "class=\"curb\""]
    {
        assert!(metrics.contains(wanted), "no {wanted} in the metrics");
    }
}

fn assert_serves(session: &Session) {
    let answer = session.complete("caxias-1", TOKEN, "unlock-help-1", "still there", 20_000);
    let answer = answer.expect("the daemon answers");
    let content: &Value = &answer.body["choices"][0]["message"]["content"];
    assert_eq!((answer.status, content.as_str()), (200, Some("still there")));
}

/// Number of large bodies, 100 MiB in all.
const LARGE_BODIES: usize = 100;
/// Announced size of each large body. At least one byte less is sent, so that the daemon keeps
/// holding the body.
const LARGE_BODY_BYTES: usize = 1 << 20;
/// Size by which the held bytes grow at a time, until nothing more fits.
const TOP_UP_BYTES: usize = 16 << 10;
/// Size of the request that is rejected in the end. A body that is rejected midway releases the
/// bytes that the daemon held of it, so large bodies that are read in parallel leave room; the
/// top-ups fill that room until less than this size is left.
const PROBE_BYTES: usize = 32 << 10;
/// Number of top-ups within which the daemon must reject a request; together they hold more than
/// four large bodies.
const MAX_TOP_UPS: usize = 256;

/// Beyond a limit, the daemon rejects concurrent large bodies, so that its memory stays bounded.
#[test]
fn large_bodies_are_rejected_beyond_a_limit() {
    let session = fleet(20.0);
    let mut open: Vec<TcpStream> =
        (0..LARGE_BODIES).map(|_| hold_body(&session, LARGE_BODY_BYTES - 1)).collect();
    let text = "x".repeat(PROBE_BYTES);
    let rejected = (0..MAX_TOP_UPS).find_map(|_| {
        let answer = session.complete("caxias-1", TOKEN, "unlock-help-1", &text, 20_000);
        let answer = answer.expect("the daemon answers");
        if answer.status != 200 {
            return Some(answer);
        }
        open.push(hold_body(&session, TOP_UP_BYTES));
        None
    });
    let rejected = rejected.expect("the daemon holds bodies without a limit");
    assert_eq!(rejected.body["error"]["code"], "too_many_bytes", "{}", rejected.body);
    let pid = session.daemons["caxias-1"].pid();
    let resident_kib = trestle_session::bench::memory_kib(pid);
    assert!(resident_kib < 200 << 10, "the daemon holds {resident_kib} KiB");
    drop(open);
    session
        .wait_for("room for bodies", |session| {
            let answer = session.complete("caxias-1", TOKEN, "unlock-help-1", &text, 20_000);
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .expect("the daemon serves again");
}

/// Sends the beginning of a body, which the daemon holds until the connection is closed.
fn hold_body(session: &Session, sent_bytes: usize) -> TcpStream {
    let address = &session.daemons["caxias-1"].callers;
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: {LARGE_BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    // The daemon may reject the request before it has read everything.
    let _ = stream.write_all("x".repeat(sent_bytes).as_bytes());
    stream
}
