//! The result of one send.

use bytes::Bytes;
use http::{Response, StatusCode};
use trestle_dispatch::{read_budget::AnswerBound, sends::SendEnd};

/// An answer of an endpoint whose body was read completely.
#[derive(Debug)]
pub(crate) struct CompleteAnswer {
    pub(crate) response: Response<Bytes>,
}

/// Why a send got no answer that can be passed on to the caller.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// No connection could be opened, so the endpoint did not receive the request.
    Unreachable(String),
    /// The request was not sent: the endpoint began to drain, or limited its requests, meanwhile.
    NotSent,
    /// The request was not sent: meanwhile it became known that endpoints crash under it.
    Restricted,
    /// The endpoint answered with this status that it did not run the request.
    NotRun(StatusCode),
    /// The connection was lost, for this reason. The request may have run.
    ConnectionLost(String),
    /// The answer cannot be passed on, for this reason. The request may have run.
    InvalidAnswer(String),
    /// The answer passed a bound. The request may have run.
    PassedBound(AnswerBound),
    /// No answer arrived within this time, in milliseconds. The request may have run.
    TimedOut(u64),
}

impl AttemptError {
    /// Returns what the failure means for further sends of the request.
    pub(crate) fn send_end(&self) -> SendEnd {
        match self {
            Self::Unreachable(_) => SendEnd::Unreachable,
            Self::NotSent | Self::Restricted => SendEnd::NotSent,
            Self::NotRun(_) => SendEnd::NotRun,
            Self::ConnectionLost(_) | Self::InvalidAnswer(_) | Self::PassedBound(_) => {
                SendEnd::MayHaveRun
            }
            Self::TimedOut(_) => SendEnd::TimedOut,
        }
    }

    /// Returns whether the failure speaks against the endpoint.
    pub(crate) fn is_endpoint_failure(&self) -> bool {
        match self {
            Self::NotSent | Self::Restricted => false,
            Self::NotRun(status) => *status != StatusCode::MISDIRECTED_REQUEST,
            Self::Unreachable(_)
            | Self::ConnectionLost(_)
            | Self::InvalidAnswer(_)
            | Self::PassedBound(_)
            | Self::TimedOut(_) => true,
        }
    }

    /// Returns a short reason, for logs.
    pub(crate) fn reason(&self) -> String {
        match self {
            Self::Unreachable(reason) => format!("not reached: {reason}"),
            Self::NotSent => "it has left, or takes less".to_owned(),
            Self::Restricted => "endpoints crash under the request".to_owned(),
            Self::NotRun(status) => format!("refused with {status}"),
            Self::ConnectionLost(reason) | Self::InvalidAnswer(reason) => reason.clone(),
            Self::PassedBound(bound) => format!("the answer passes the bound on {bound}"),
            Self::TimedOut(timeout_ms) => format!("no answer within {timeout_ms} ms"),
        }
    }
}
