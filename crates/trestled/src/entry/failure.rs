//! Failures as they are reported to callers.

use serde_json::json;
use trestle_wire::headers;
use trillium::{Conn, Status};

/// The reason why a request got no answer of its own.
#[trestle_macros::plain]
pub(crate) struct Failure {
    /// The HTTP status of the response.
    pub(crate) status: u16,
    /// A stable identifier for programs.
    pub(crate) code: &'static str,
    /// A description for people.
    pub(crate) message: String,
    /// Whether the request was run.
    pub(crate) outcome: Outcome,
    /// The delay after which the caller should retry; `None` if the failure names no delay.
    pub(crate) retry_after_ms: Option<u64>,
}

/// Whether a request that failed was run.
#[trestle_macros::plain]
#[derive(Copy)]
pub(crate) enum Outcome {
    /// The request was not run and will not be.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Failure {
    /// Returns a failure of a request that was not run.
    pub(crate) fn not_run(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        let outcome = Outcome::NotRun;
        Self { status, code, message: message.into(), outcome, retry_after_ms: None }
    }

    /// Returns a failure of a request that may have run.
    pub(crate) fn unknown(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        let outcome = Outcome::Unknown;
        Self { status, code, message: message.into(), outcome, retry_after_ms: None }
    }

    /// Returns the failure with a retry delay.
    pub(crate) fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the JSON body that describes the failure.
    pub(crate) fn to_json(&self, request_id: &str) -> serde_json::Value {
        json!({"error": {
            "code": self.code,
            "message": self.message,
            "outcome": self.outcome_text(),
            "retry_after_ms": self.retry_after_ms,
            "request_id": request_id,
        }})
    }

    /// Writes the failure into the response.
    pub(crate) fn into_answer(self, conn: Conn, request_id: &str) -> Conn {
        let body = self.to_json(request_id).to_string();
        let status = Status::try_from(self.status).unwrap_or(Status::InternalServerError);
        let mut conn = conn
            .with_status(status)
            .with_response_header("content-type", "application/json")
            .with_response_header(headers::OUTCOME, self.outcome_text())
            .with_response_header(headers::REQUEST_ID, request_id.to_owned())
            .with_body(body);
        if let Some(retry_ms) = self.retry_after_ms {
            let retry_s = retry_ms.div_ceil(1_000).to_string();
            conn = conn.with_response_header(headers::RETRY_AFTER, retry_s);
        }
        conn.halt()
    }

    fn outcome_text(&self) -> &'static str {
        match self.outcome {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        }
    }
}
