//! Failures that the daemon answers itself, and the type of all answers' bodies.

use crate::wire::HeadWire;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use std::convert::Infallible;

/// Why the body of an answer is aborted. The connection is closed then, so that the caller sees
/// that the answer is incomplete.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Shortest retry-after time that a rejected caller is given.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// Authentication scheme by which callers send their keys.
const KEY_SCHEME: &str = "Bearer";

/// Retry-after time for callers when no further send can be made for this request.
pub(crate) const RETRY_SOON_MS: u64 = 250;

/// A failure that the daemon answers itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request is malformed and cannot be forwarded.
    BadRequest,
    /// The request carries no key that is valid for its route.
    NoKey,
    /// The team has used up its limit. The request did not run and will not.
    OverLimit {
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
    /// No route matches the request.
    NoRoute,
    /// The body is larger than the configuration allows.
    TooLarge,
    /// The request did not run and will not. The caller may retry.
    NotRun {
        /// Time after which the caller should retry.
        retry_after_ms: u64,
        /// The cause, for logs.
        why: &'static str,
    },
    /// The request may have run, and there is no answer to pass on.
    MayHaveRun,
    /// The request may have run, and its time is used up.
    OutOfTime,
}

impl Failure {
    /// Returns the short name that logs, metrics and the answer's body carry.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoKey => "no_key",
            Self::OverLimit { .. } => "over_limit",
            Self::NoRoute => "no_route",
            Self::TooLarge => "too_large",
            Self::NotRun { .. } => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::OutOfTime => "out_of_time",
        }
    }

    /// Returns the answer to the request with this id; `None` if the id could not be read.
    pub(crate) fn answer(self, wire: &HeadWire, request_id: Option<&str>) -> Response<Body> {
        let status = match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
            Self::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        };
        let mut response = Response::new(full_body(Bytes::from_static(self.name().as_bytes())));
        *response.status_mut() = status;
        if self == Self::NoKey {
            let scheme = HeaderValue::from_static(KEY_SCHEME);
            response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        }
        if let Self::NotRun { retry_after_ms, .. } | Self::OverLimit { retry_after_ms } = self {
            let seconds = retry_after_ms.max(MIN_RETRY_AFTER_MS) as f64 / 1e3;
            if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        if let Some(id) = request_id {
            (wire.own_answer)(response.headers_mut(), id);
        }
        response
    }
}

/// Returns a body with this content.
pub(crate) fn full_body(content: Bytes) -> Body {
    Full::new(content).map_err(from_infallible).boxed_unsync()
}

fn from_infallible(error: Infallible) -> BodyError {
    match error {}
}
