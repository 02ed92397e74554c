//! Which parts of prompts engines have lately begun to answer.
//!
//! The load that this answers: an engine crashes under a request, and dozens of sound requests that
//! share most of its parts are open beside it. A part on which this daemon has just received a first
//! event from any engine is not taken for the cause.

use crate::fingerprint::Fingerprint;
use std::collections::BTreeMap;

/// Time after an answer for which a part is not suspected. A part may become fatal when the software
/// of engines changes; then it has no answers any more.
const VALID_MS: u64 = 4_000;
/// Most parts that are remembered, some 30 bytes each.
const MAX_PARTS: usize = 4_096;

/// The parts of prompts with answers, and when each had the last one.
#[derive(Debug, Default)]
pub struct PartAnswers {
    answered_ms: BTreeMap<Fingerprint, u64>,
}

impl PartAnswers {
    /// Records that an engine has begun to answer a request with a part.
    pub fn record(&mut self, part: Fingerprint, now_ms: u64) {
        if self.answered_ms.len() >= MAX_PARTS && !self.answered_ms.contains_key(&part) {
            self.answered_ms.retain(|_, answered_ms| now_ms < *answered_ms + VALID_MS);
        }
        if self.answered_ms.len() < MAX_PARTS || self.answered_ms.contains_key(&part) {
            self.answered_ms.insert(part, now_ms);
        }
    }

    /// Returns whether a part has had an answer lately.
    pub fn is_recent(&self, part: Fingerprint, now_ms: u64) -> bool {
        self.answered_ms.get(&part).is_some_and(|answered_ms| now_ms < *answered_ms + VALID_MS)
    }
}
