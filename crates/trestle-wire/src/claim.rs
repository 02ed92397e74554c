//! Claims of calls that may not be repeated.

/// The stored claim of one call.
#[trestle_macros::wire]
pub struct WireClaim {
    /// Identifies the attempt that may send the call.
    pub attempt: String,
    /// SHA-256 of method, path and body, in hexadecimal.
    pub digest: String,
    /// What became of the call.
    pub state: WireClaimState,
}

/// What became of a claimed call.
#[trestle_macros::wire]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum WireClaimState {
    /// The attempt may have sent it.
    Claimed,
    /// The attempt ended before it could send anything.
    NotRun,
    /// It was answered.
    Answered {
        /// The answer.
        answer: WireKeptAnswer,
    },
}

/// An answer that is kept for callers who ask again.
#[trestle_macros::wire]
pub struct WireKeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: WireAnswerBody,
}

/// Where the body of a kept answer is.
#[trestle_macros::wire]
#[serde(tag = "kept", rename_all = "snake_case")]
pub enum WireAnswerBody {
    /// In the claim, in hexadecimal.
    Here {
        /// The body.
        hex: String,
    },
    /// In the object store.
    Object {
        /// Name of the object.
        name: String,
    },
}

/// Key of the row that holds the claim of a call.
pub fn claim_key(service: &str, tenant: &str, idempotency_key: &str) -> String {
    format!("claim/{service}/{tenant}/{idempotency_key}")
}
