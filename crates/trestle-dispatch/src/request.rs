//! The parts of a request and of its answer that decisions depend on.

use crate::{
    fingerprint::Fingerprint,
    identity::Identity,
    load::request_size::{PromptPart, RequestSize},
    team::Credential,
};
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// The parts of a request's head that decisions depend on.
#[trestle_macros::plain]
#[derive(Default)]
pub struct RequestHead {
    /// Id that the caller gave this attempt.
    pub id: String,
    /// Time for which the caller waits, in milliseconds from the arrival of the request; `None`
    /// if the request does not say.
    pub deadline_ms: Option<u64>,
    /// The requested model, if the request names one.
    pub model: Option<ModelName>,
    /// The requested adapter of the model, if the request names one.
    pub adapter: Option<AdapterName>,
    /// Id of the last event of the stream that the caller has received, if it resumes one.
    pub last_event_id: Option<u64>,
    /// Id of the caller's attempt that began the stream, if the request continues one.
    pub continues: Option<String>,
    /// The size of the request, if it reports it.
    pub size: Option<RequestSize>,
    /// All parts of the prompt, in their order.
    pub prompt_parts: Vec<PromptPart>,
    /// Ids of the parts of the prompt that other requests may share, in their order.
    pub shared_parts: Vec<String>,
    /// The credential that the caller sent.
    pub credential: Credential,
    /// Fingerprint of the request, once its body was read.
    pub fingerprint: Option<Fingerprint>,
    /// Fingerprints of the shared parts of its prompt, once its service is known.
    pub part_fingerprints: Vec<Fingerprint>,
}

impl RequestHead {
    /// Returns the tokens of the prompt and of the longest answer together, if the request reports
    /// them.
    pub fn tokens(&self) -> Option<u64> {
        self.size.map(RequestSize::total_tokens)
    }
}

/// Values that the daemon sets on a request that it forwards.
#[derive(Debug, Clone, Copy)]
pub struct Forwarded<'a> {
    /// The endpoint that must answer.
    pub endpoint: &'a EndpointName,
    /// Remaining time until the deadline.
    pub deadline_ms: u64,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Identity of the caller.
    pub identity: &'a Identity,
}

/// The parts of an answer's head that decisions depend on.
#[trestle_macros::plain]
#[derive(Default)]
pub struct AnswerHead {
    /// Id of the request that the answer belongs to, if it names one.
    pub request_id: Option<String>,
    /// Whether the answer states that the request did not run and never will.
    pub is_not_run: bool,
    /// Whether the answer is signed by the endpoint.
    pub is_signed: bool,
    /// Whether the body was encoded in transit and is not the endpoint's own.
    pub is_encoded: bool,
    /// Time for which the endpoint keeps the idle connection open, if the answer states it.
    pub idle_ms: Option<u64>,
}
