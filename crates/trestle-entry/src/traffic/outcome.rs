//! What came of one send.

use bytes::Bytes;
use http::{Response, StatusCode};
use trestle_dispatch::sends::SendEnd;

/// A whole answer of an endpoint.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) response: Response<Bytes>,
}

/// Why a send led to no answer that can be passed on.
#[derive(Debug)]
pub(crate) enum Unanswered {
    /// The endpoint could not be connected to; it knows nothing of the request.
    Unreachable(String),
    /// The endpoint left, or asked for less, before the request left.
    NotSent,
    /// The endpoint says that it did not run the request.
    NotRun(StatusCode),
    /// The connection broke; it may have run.
    Broke(String),
    /// There is an answer that cannot be passed on; it may have run.
    MayHaveRun(String),
    /// It may have run, and took too long, in ms.
    TimedOut(u64),
}

impl Unanswered {
    /// What that says of the request.
    pub(crate) fn end(&self) -> SendEnd {
        match self {
            Self::Unreachable(_) => SendEnd::Unreachable,
            Self::NotSent => SendEnd::NotSent,
            Self::NotRun(_) => SendEnd::NotRun,
            Self::Broke(_) | Self::MayHaveRun(_) => SendEnd::MayHaveRun,
            Self::TimedOut(_) => SendEnd::TimedOut,
        }
    }

    /// A short reason, for logs.
    pub(crate) fn reason(&self) -> String {
        match self {
            Self::Unreachable(reason) => format!("not reached: {reason}"),
            Self::NotSent => "it has left, or takes less".to_owned(),
            Self::NotRun(status) => format!("refused with {status}"),
            Self::Broke(reason) | Self::MayHaveRun(reason) => reason.clone(),
            Self::TimedOut(timeout_ms) => format!("no answer within {timeout_ms} ms"),
        }
    }
}
