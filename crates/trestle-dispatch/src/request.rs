//! The head of one request, as far as decisions depend on it.

use crate::{fingerprint::Fingerprint, identity::Identity, team::Credential};
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// The head of one request.
#[trestle_macros::plain]
#[derive(Default)]
pub struct RequestHead {
    /// The id that the caller gave this attempt.
    pub id: String,
    /// Time that the caller will wait, from its arrival here.
    pub deadline_ms: Option<u64>,
    /// The model it asks for.
    pub model: Option<ModelName>,
    /// The adapter of that model.
    pub adapter: Option<AdapterName>,
    /// The last event that the caller already has of this stream.
    pub last_event_id: Option<u64>,
    /// Tokens of the prompt and of the longest answer, if it says so.
    pub tokens: Option<u64>,
    /// What the caller gave to say who asks.
    pub credential: Credential,
    /// What all attempts of the request have in common, once its body is there.
    pub fingerprint: Option<Fingerprint>,
}

/// What the system sets on a request that it passes on.
#[derive(Debug, Clone, Copy)]
pub struct Forwarded<'a> {
    /// The endpoint that must answer.
    pub endpoint: &'a EndpointName,
    /// Time that is left.
    pub deadline_ms: u64,
    /// Urgency; 0 goes first.
    pub priority: u8,
    /// The last event that the caller already has.
    pub last_event_id: Option<u64>,
    /// Who asks.
    pub identity: &'a Identity,
}

/// The head of an endpoint's answer, as far as decisions depend on it.
#[trestle_macros::plain]
#[derive(Default)]
pub struct AnswerHead {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether it says that the request did not run and never will.
    pub is_not_run: bool,
    /// Whether the endpoint has signed it.
    pub is_signed: bool,
    /// Whether the body was encoded on the way, so that it is not the endpoint's own.
    pub is_encoded: bool,
    /// For how long the endpoint keeps the idle connection, if it says so.
    pub idle_ms: Option<u64>,
}
