//! Claims on calls that must not run twice.

/// Stored claim on one call.
#[trestle_macros::wire]
pub struct WireClaim {
    /// Identifier of the attempt that may send the call.
    pub attempt: String,
    /// SHA-256 of method, path and body, in hexadecimal.
    pub digest: String,
    /// State of the call.
    pub state: WireClaimState,
}

/// State of a claimed call.
#[trestle_macros::wire]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum WireClaimState {
    /// The attempt may have sent the call.
    Claimed,
    /// The attempt ended before it could send the call.
    NotRun,
    /// The call was answered.
    Answered {
        /// Answer to the call.
        answer: WireKeptAnswer,
    },
}

/// Answer that is kept for callers who repeat the call.
#[trestle_macros::wire]
pub struct WireKeptAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body of the answer, or the place where it is stored.
    pub body: WireAnswerBody,
}

/// Place where the body of a kept answer is stored.
#[trestle_macros::wire]
#[serde(tag = "kept", rename_all = "snake_case")]
pub enum WireAnswerBody {
    /// The claim itself holds the body, in hexadecimal.
    Here {
        /// Hexadecimal digits of the body.
        hex: String,
    },
    /// The object store holds the body.
    Object {
        /// Name of the object.
        name: String,
    },
}

/// Returns the key of the row that holds the claim on a call.
pub fn claim_key(service: &str, tenant: &str, idempotency_key: &str) -> String {
    format!("claim/{service}/{tenant}/{idempotency_key}")
}
