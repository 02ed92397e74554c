//! What one incarnation of an engine keeps of the prompts that were assigned to it.
//!
//! The load that this answers: long prompts of which two thirds are shared. An engine that has the
//! shared parts in its KV cache prefills such a prompt in a third of the time, so the leader must know
//! which engines have them. Engines do not report their caches: the leader infers them from its own
//! assignments, and evicts the least recently used parts as engines do.
//!
//! A KV entry depends on everything before it. Each part is therefore known by the hash of the
//! weights and of all parts up to it. Within one prompt, later parts are evicted before earlier ones,
//! so a part that is kept never lacks one before it.

use super::request_size::PromptPart;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of parts remembered per engine: at 48 bytes each in trees that are two thirds full, some
/// 40 KB. Engines hold far fewer long parts, and short ones save little time.
const MAX_ENTRIES: usize = 512;

/// The parts of prompts that one incarnation of an engine keeps.
#[derive(Debug, Clone)]
pub struct KeptParts {
    capacity_tokens: u64,
    kept_tokens: u64,
    /// Higher than the use number of every entry.
    next_use: u64,
    by_prefix: BTreeMap<u64, Entry>,
    /// Prefixes by use number; the least recently used is the first.
    by_use: BTreeMap<u64, u64>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    weights: u64,
    tokens: u64,
    use_number: u64,
}

impl KeptParts {
    /// Creates the state of an engine that keeps nothing yet.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            // One prompt adds at most the capacity before others are evicted; the sum must not overflow.
            capacity_tokens: capacity_tokens.min(u64::MAX / 2),
            kept_tokens: 0,
            next_use: 0,
            by_prefix: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns the tokens of the leading parts that the engine keeps for these weights.
    pub fn kept_tokens(&self, weights: u64, parts: &[PromptPart]) -> u64 {
        // A part may be declared with another size than before; only what both have is sure.
        prefixes(weights, parts)
            .map_while(|(prefix, tokens)| Some(self.by_prefix.get(&prefix)?.tokens.min(tokens)))
            .fold(0, u64::saturating_add)
    }

    /// Records that a prompt was assigned to the engine. `weights` is a hash of the model and the
    /// adapter. Of a prompt larger than the engine's memory, the beginning is kept.
    pub fn record(&mut self, weights: u64, parts: &[PromptPart]) {
        let mut prompt_tokens = 0u64;
        self.next_use += MAX_ENTRIES as u64;
        let use_numbers = (0..self.next_use).rev().take(MAX_ENTRIES);
        for ((prefix, tokens), use_number) in prefixes(weights, parts).zip(use_numbers) {
            prompt_tokens = prompt_tokens.saturating_add(tokens);
            if prompt_tokens > self.capacity_tokens {
                break;
            }
            self.remove(prefix);
            self.by_prefix.insert(prefix, Entry { weights, tokens, use_number });
            self.by_use.insert(use_number, prefix);
            self.kept_tokens += tokens;
        }
        while self.kept_tokens > self.capacity_tokens || self.by_prefix.len() > MAX_ENTRIES {
            let Some((_, prefix)) = self.by_use.first_key_value() else { break };
            self.remove(*prefix);
        }
    }

    /// Drops what was kept for weights that were unloaded.
    pub fn forget(&mut self, weights: u64) {
        let forgotten = self.by_prefix.iter().filter(|(_, entry)| entry.weights == weights);
        let forgotten: Vec<u64> = forgotten.map(|(prefix, _)| *prefix).collect();
        for prefix in forgotten {
            self.remove(prefix);
        }
    }

    /// Returns the number of parts remembered.
    pub fn len(&self) -> usize {
        self.by_prefix.len()
    }

    /// Returns whether the engine keeps nothing.
    pub fn is_empty(&self) -> bool {
        self.by_prefix.is_empty()
    }

    fn remove(&mut self, prefix: u64) {
        if let Some(entry) = self.by_prefix.remove(&prefix) {
            self.by_use.remove(&entry.use_number);
            self.kept_tokens -= entry.tokens;
        }
    }
}

/// Returns for each part the hash of the prompt up to its end, and its tokens.
fn prefixes(weights: u64, parts: &[PromptPart]) -> impl Iterator<Item = (u64, u64)> {
    parts.iter().scan(weights, |prefix, part| {
        *prefix = xxh3_64_with_seed(&part.id.to_le_bytes(), *prefix);
        Some((*prefix, part.tokens))
    })
}
