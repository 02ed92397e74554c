//! Checking an answer against its request.

use serde_json::Value;

/// An answer as it came.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) request_id: Option<String>,
    pub(crate) outcome: Option<String>,
    pub(crate) retry_after: Option<String>,
    pub(crate) cold: bool,
    pub(crate) waited_ms: u64,
    pub(crate) body: Vec<u8>,
}

/// What a right answer must hold.
pub(crate) struct Expected<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) text: &'a str,
    pub(crate) is_stream: bool,
    pub(crate) is_model: bool,
}

/// How a request ended.
#[trestle_macros::key]
pub(crate) enum Verdict {
    /// With its own whole answer.
    Done,
    /// Not run, for the reason given.
    NotRun(String),
    /// Nobody can tell, for the reason given.
    Unknown(String),
    /// With something that must never happen.
    Violation(String),
    /// With a connection that broke.
    Broken(String),
}

/// Checks an answer.
pub(crate) fn verdict(answer: &Answer, expected: &Expected<'_>) -> Verdict {
    if answer.request_id.as_deref() != Some(expected.request_id) {
        return Verdict::Violation("crossed: the answer has another request's id".to_owned());
    }
    match answer.outcome.as_deref() {
        Some("done") if answer.status == 200 => whole(answer, expected),
        Some("not_run") => refusal(answer).map_or_else(Verdict::Violation, Verdict::NotRun),
        Some("unknown") => refusal(answer).map_or_else(Verdict::Violation, Verdict::Unknown),
        _ => Verdict::Violation(format!("no outcome in an answer with status {}", answer.status)),
    }
}

fn refusal(answer: &Answer) -> Result<String, String> {
    let body: Value = serde_json::from_slice(&answer.body).map_err(|error| error.to_string())?;
    let code = body["error"]["code"].as_str().ok_or("a refusal without a code")?;
    let is_overload = matches!(answer.status, 429 | 503);
    if is_overload && answer.retry_after.is_none() {
        return Err(format!("refusal {code} without a time to come back"));
    }
    Ok(code.to_owned())
}

fn whole(answer: &Answer, expected: &Expected<'_>) -> Verdict {
    let text = if expected.is_stream {
        match streamed_text(&answer.body, expected.request_id) {
            Ok(text) => text,
            Err(Cut::Told) => return Verdict::Unknown("answer_cut".to_owned()),
            Err(Cut::Silent(message)) => return Verdict::Violation(message),
        }
    } else {
        match serde_json::from_slice::<Value>(&answer.body) {
            Ok(body) => text_of(&body, expected.is_model),
            Err(_) => return Verdict::Violation("cut: the answer is not whole".to_owned()),
        }
    };
    if text == expected.text {
        return Verdict::Done;
    }
    Verdict::Violation(format!("crossed: `{text}` came where `{}` is right", expected.text))
}

fn text_of(body: &Value, is_model: bool) -> String {
    let text = if is_model { &body["choices"][0]["message"]["content"] } else { &body["echo"] };
    text.as_str().unwrap_or("").to_owned()
}

enum Cut {
    /// The daemon said that the answer is not whole.
    Told,
    /// The answer just ended, or holds something foreign.
    Silent(String),
}

fn streamed_text(body: &[u8], request_id: &str) -> Result<String, Cut> {
    let mut text = String::new();
    for event in String::from_utf8_lossy(body).split("\n\n") {
        if event.starts_with("event: error") {
            return Err(Cut::Told);
        }
        let Some(data) = event.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return Ok(text);
        }
        let Ok(content) = serde_json::from_str::<Value>(data) else {
            return Err(Cut::Silent("cut: an event is not whole".to_owned()));
        };
        if content["id"].as_str() != Some(request_id) {
            return Err(Cut::Silent("crossed: an event has another request's id".to_owned()));
        }
        text.push_str(content["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
    }
    Err(Cut::Silent("cut: the stream ended without its last event".to_owned()))
}
