//! Why a stream ended early: what ended it at its endpoint, and why it was not resumed.

use crate::traffic::answer::Failure;
use http::StatusCode;
use trestle_dispatch::{read_budget::AnswerBound, sends::NextSend};

/// Why a stream failed at an endpoint.
#[derive(Debug)]
pub(crate) enum StreamError {
    /// The connection was lost, for this reason.
    Connection(String),
    /// No event came, and another endpoint has accepted the stream.
    Silent,
    /// No event came until the time of the request was used up.
    OutOfTime,
    /// The bytes of the answer, or of an event, passed a bound.
    PassedBound(AnswerBound),
    /// Others held too many bytes until the time of the request was used up.
    NoRoom,
    /// There is no endpoint to read from.
    NoSource,
}

impl StreamError {
    /// Returns the reason as a text, for logs.
    pub(crate) fn reason(&self) -> &str {
        match self {
            Self::Connection(reason) => reason,
            Self::Silent => "no event came for too long",
            Self::OutOfTime => "the time was used up",
            Self::PassedBound(AnswerBound::AnswerBytes) => "an event is too large",
            Self::PassedBound(_) => "too many bytes came without a part of an answer",
            Self::NoRoom => "too many bytes were held for others",
            Self::NoSource => "there is no source",
        }
    }

    /// Returns a short name, for logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Connection(_) => "connection_lost",
            Self::Silent => "silence",
            Self::OutOfTime => "out_of_time",
            Self::PassedBound(_) => "bound",
            Self::NoRoom => "memory_full",
            Self::NoSource => "no_source",
        }
    }
}

/// Why a stream was not resumed at another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotResumed {
    /// The route does not allow it.
    NotIdempotent,
    /// The time of the request is used up.
    OutOfTime,
    /// It is not known which version of the software began the stream.
    VersionUnknown,
    /// The request has run as often as its route allows.
    NoAttemptLeft,
    /// This daemon's share of the retry budget is used up.
    NoRetryLeft,
    /// No endpoint could be selected, for this reason.
    NotSelected(Failure),
    /// The endpoint that was tried answered with this status.
    Answered(StatusCode),
}

impl NotResumed {
    /// Returns a short name, for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not_idempotent",
            Self::OutOfTime => "out_of_time",
            Self::VersionUnknown => "version_unknown",
            Self::NoAttemptLeft => "no_attempt_left",
            Self::NoRetryLeft => "retries_spent",
            Self::NotSelected(Failure::NotRun { why, .. }) => why,
            Self::NotSelected(failure) => failure.name(),
            Self::Answered(_) => "endpoint_failed",
        }
    }

    /// Returns why the next send may not be made; `None` if it may.
    pub(crate) fn from_next_send(next: NextSend) -> Option<Self> {
        match next {
            NextSend::Allowed => None,
            NextSend::NoAttemptLeft => Some(Self::NoAttemptLeft),
            NextSend::NoRetryLeft => Some(Self::NoRetryLeft),
        }
    }
}

/// How a stream ended early, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BrokenStream {
    /// Name of the error that ended it at its endpoint.
    pub(crate) broken_by: &'static str,
    /// Why it was not resumed.
    pub(crate) not_resumed: NotResumed,
}
