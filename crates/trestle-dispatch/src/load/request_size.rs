//! The size of one request and the parts of its prompt.

use xxhash_rust::xxh3::xxh3_64;

/// The size of one request in tokens.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the longest possible answer.
    pub answer_tokens: u64,
}

impl RequestSize {
    /// Returns the tokens of the prompt and of the longest possible answer together.
    pub fn total_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}

/// One part of a prompt. Engines keep parts, and requests with the same part share them.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct PromptPart {
    /// Hash of the part's id.
    pub id: u64,
    /// Number of its tokens.
    pub tokens: u64,
}

impl PromptPart {
    /// Creates a part from its id.
    pub fn new(id: &str, tokens: u64) -> Self {
        Self { id: xxh3_64(id.as_bytes()), tokens }
    }
}
