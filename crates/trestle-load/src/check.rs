//! Checks an answer against its request.

use serde_json::Value;

/// A received answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) request_id: Option<String>,
    pub(crate) outcome: Option<String>,
    pub(crate) retry_after: Option<String>,
    pub(crate) cold: bool,
    pub(crate) waited_ms: u64,
    pub(crate) body: Vec<u8>,
}

/// The expected content of an answer.
pub(crate) struct Expected<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) text: &'a str,
    pub(crate) is_stream: bool,
    pub(crate) is_model: bool,
}

/// The result of checking the answer to a request.
#[trestle_macros::key]
pub(crate) enum Verdict {
    /// The answer is complete and belongs to the request.
    Done,
    /// The daemon reports that the request was not run, with an error code.
    NotRun(String),
    /// The daemon cannot tell whether the request ran, and gives an error code.
    Unknown(String),
    /// The answer breaks a rule that must always hold; the text says which.
    Violation(String),
    /// The connection failed, or no answer arrived in time; the text says why.
    Broken(String),
}

/// Checks an answer against the expected content.
pub(crate) fn check_answer(answer: &Answer, expected: &Expected<'_>) -> Verdict {
    if answer.request_id.as_deref() != Some(expected.request_id) {
        return Verdict::Violation(
            "crossed: the request id of the answer is missing or different".to_owned(),
        );
    }
    match answer.outcome.as_deref() {
        Some("done") if answer.status == 200 => check_content(answer, expected),
        Some("not_run") => error_code(answer).map_or_else(Verdict::Violation, Verdict::NotRun),
        Some("unknown") => error_code(answer).map_or_else(Verdict::Violation, Verdict::Unknown),
        _ => Verdict::Violation(format!(
            "the outcome header of the answer with status {} is missing or does not fit the status",
            answer.status
        )),
    }
}

fn error_code(answer: &Answer) -> Result<String, String> {
    let body: Value = serde_json::from_slice(&answer.body).map_err(|error| error.to_string())?;
    let code = body["error"]["code"].as_str().ok_or("an error answer has no error code")?;
    let needs_retry_after = matches!(answer.status, 429 | 503);
    if needs_retry_after && answer.retry_after.is_none() {
        return Err(format!("the error answer {code} has no retry-after header"));
    }
    Ok(code.to_owned())
}

fn check_content(answer: &Answer, expected: &Expected<'_>) -> Verdict {
    let text = if expected.is_stream {
        match streamed_text(&answer.body, expected.request_id) {
            Ok(text) => text,
            Err(StreamError::Reported) => return Verdict::Unknown("answer_cut".to_owned()),
            Err(StreamError::Unreported(message)) => return Verdict::Violation(message),
        }
    } else {
        match serde_json::from_slice::<Value>(&answer.body) {
            Ok(body) => text_of(&body, expected.is_model),
            Err(_) => return Verdict::Violation("cut: the answer is not complete JSON".to_owned()),
        }
    };
    if text == expected.text {
        return Verdict::Done;
    }
    Verdict::Violation(format!("crossed: expected the text `{}`, found `{text}`", expected.text))
}

fn text_of(body: &Value, is_model: bool) -> String {
    let text = if is_model { &body["choices"][0]["message"]["content"] } else { &body["echo"] };
    text.as_str().unwrap_or("").to_owned()
}

/// Why a stream is not a complete answer.
enum StreamError {
    /// The daemon reported with an error event that the answer is incomplete.
    Reported,
    /// The answer ends early or holds an invalid event, and the daemon did not report it.
    Unreported(String),
}

fn streamed_text(body: &[u8], request_id: &str) -> Result<String, StreamError> {
    let mut text = String::new();
    for event in String::from_utf8_lossy(body).split("\n\n") {
        if event.starts_with("event: error") {
            return Err(StreamError::Reported);
        }
        let Some(data) = event.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return Ok(text);
        }
        let Ok(content) = serde_json::from_str::<Value>(data) else {
            return Err(StreamError::Unreported("cut: an event is not complete JSON".to_owned()));
        };
        if content["id"].as_str() != Some(request_id) {
            return Err(StreamError::Unreported(
                "crossed: the id of an event is missing or different".to_owned(),
            ));
        }
        text.push_str(content["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
    }
    Err(StreamError::Unreported("cut: the stream ended without its `[DONE]` event".to_owned()))
}
