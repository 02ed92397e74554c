//! Sends the requests of a plan.

use crate::{
    check::{self, Answer, Expected, Verdict},
    plan::{Plan, Stream, Work},
    report::Report,
};
use futures_lite::FutureExt;
use serde_json::json;
use smol::Timer;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use trestle_wire::headers;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// Time after the deadline from which an answer is a violation.
const LATE_GRACE: Duration = Duration::from_millis(500);
/// Time after the deadline from which an answer is missing; the request is then abandoned.
const MISSING_AFTER: Duration = Duration::from_secs(10);
/// Delay before a retry with the same idempotency key.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The result of one request.
pub(crate) struct RequestResult {
    pub(crate) verdict: Verdict,
    pub(crate) took: Duration,
    pub(crate) cold_wait_ms: Option<u64>,
}

/// Sends all requests of a plan and waits for every answer.
pub(crate) async fn run(plan: &Plan) -> Report {
    let client = Client::new(ClientConfig::default().with_nodelay(true)).with_default_pool();
    let started = Instant::now();
    let run_id = fastrand::u32(..);
    let mut tasks = Vec::new();
    for (stream_index, stream) in plan.streams.iter().enumerate() {
        let stream = Arc::new(stream.clone());
        for index in 0..stream.requests {
            let client = client.clone();
            let stream = Arc::clone(&stream);
            let target = plan.targets[index % plan.targets.len()].clone();
            let id = format!("{run_id:08x}-{stream_index}-{index}");
            let at = started + start_offset(&stream, index);
            let task = async move {
                Timer::at(at).await;
                let result = send_with_retries(&client, &target, &stream, index, &id).await;
                (stream, result)
            };
            tasks.push(smol::spawn(task));
        }
    }
    let mut report = Report::default();
    for task in tasks {
        let (stream, result) = task.await;
        report.add(&stream, &result);
    }
    report.took = started.elapsed();
    report
}

fn start_offset(stream: &Stream, index: usize) -> Duration {
    let share = index as f64 / stream.requests.max(1) as f64;
    let start = Duration::from_millis(stream.start_ms);
    start + Duration::from_millis(stream.over_ms).mul_f64(share)
}

async fn send_with_retries(
    client: &Client,
    target: &str,
    stream: &Stream,
    index: usize,
    id: &str,
) -> RequestResult {
    let mut result = send_once(client, target, stream, index, id, false).await;
    if let Work::Calls { ask_again, .. } = &stream.work {
        for _ in 0..*ask_again {
            if !matches!(result.verdict, Verdict::Unknown(_) | Verdict::Broken(_)) {
                break;
            }
            Timer::after(RETRY_DELAY).await;
            result = send_once(client, target, stream, index, id, true).await;
        }
    }
    result
}

async fn send_once(
    client: &Client,
    target: &str,
    stream: &Stream,
    index: usize,
    id: &str,
    is_retry: bool,
) -> RequestResult {
    let text = format!("text of {id}");
    let mut conn = prepare_request(client, target, stream, index, id, &text);
    if is_retry {
        conn = conn.with_request_header(headers::REPEATED, "true");
    }
    let deadline = Duration::from_millis(stream.deadline_ms);
    let started = Instant::now();
    let time_limit = async {
        Timer::after(deadline + MISSING_AFTER).await;
        Err("no answer arrived in time".to_owned())
    };
    let received = exchange(conn).or(time_limit).await;
    let took = started.elapsed();
    let (is_stream, is_model) = match &stream.work {
        Work::Models { stream, .. } => (*stream, true),
        Work::Calls { .. } | Work::Reads { .. } => (false, false),
    };
    let text = if matches!(stream.work, Work::Reads { .. }) { "" } else { &text };
    let expected = Expected { request_id: id, text, is_stream, is_model };
    match received {
        Err(message) => {
            RequestResult { verdict: Verdict::Broken(message), took, cold_wait_ms: None }
        }
        Ok(answer) => {
            let mut verdict = if stream.unchecked {
                Verdict::Done
            } else {
                check::check_answer(&answer, &expected)
            };
            if took > deadline + LATE_GRACE && !matches!(verdict, Verdict::Violation(_)) {
                verdict = Verdict::Violation(format!("late: {} ms", took.as_millis()));
            }
            let cold_wait_ms = answer.cold.then_some(answer.waited_ms);
            RequestResult { verdict, took, cold_wait_ms }
        }
    }
}

fn prepare_request(
    client: &Client,
    target: &str,
    stream: &Stream,
    index: usize,
    id: &str,
    text: &str,
) -> Conn {
    let conn = match &stream.work {
        Work::Models { names, stream } => {
            let model = &names[index % names.len()];
            let message = json!({"role": "user", "content": text});
            let body = json!({"model": model, "messages": [message], "stream": stream});
            let conn = client.post(format!("http://{target}/v1/chat/completions"));
            conn.with_body(body.to_string())
        }
        Work::Calls { path, key_header, key_prefix, .. } => client
            .post(format!("http://{target}{path}"))
            .with_request_header(key_header.clone(), format!("{key_prefix}-{index}"))
            .with_body(text.to_owned()),
        Work::Reads { path } => client.get(format!("http://{target}{path}")),
    };
    conn.with_request_header("authorization", format!("Bearer {}", stream.token))
        .with_request_header(headers::CLASS, stream.class.clone())
        .with_request_header(headers::DEADLINE_MS, stream.deadline_ms.to_string())
        .with_request_header(headers::REQUEST_ID, id.to_owned())
}

async fn exchange(conn: Conn) -> Result<Answer, String> {
    let mut conn = conn.await.map_err(|error| error.to_string())?;
    let status = conn.status().map_or(0, |status| status as u16);
    let header = |name: &str| conn.response_headers().get_str(name).map(str::to_owned);
    let request_id = header(headers::REQUEST_ID);
    let outcome = header(headers::OUTCOME);
    let retry_after = header(headers::RETRY_AFTER);
    let cold = header(headers::COLD).as_deref() == Some("true");
    let waited_ms = header(headers::WAITED_MS).and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = conn.response_body().read_bytes().await.map_err(|error| error.to_string())?;
    conn.recycle().await;
    Ok(Answer { status, request_id, outcome, retry_after, cold, waited_ms, body })
}
