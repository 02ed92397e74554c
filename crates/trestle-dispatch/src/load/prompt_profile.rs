//! Decides whether the prompts of a service are large enough to be scheduled.
//!
//! The load that this answers: long prompts beside streams with a bound on their pauses. An engine
//! reads prompts between the tokens of its streams, so a few long prompts that arrive together stall
//! all of them. Where prompts are short, their number says enough, and asking a leader for each
//! would only add a call.
//!
//! The typical prompt is the average weighted by tokens: the size of the prompt to which a token that
//! is read belongs. One long prompt among many short ones thus counts by the time that it takes.

/// Time in which the weight of a prompt decays to 1/e: some 60 requests of one daemon.
const DECAY_MS: f64 = 30_000.0;
/// Weight of prompts from which on the average counts.
const MIN_WEIGHT: f64 = 8.0;
/// Tokens that a prompt counts at most; callers may claim any number.
const MAX_TOKENS: u64 = 200_000;
/// Tokens that an engine is assumed to read in a millisecond, which decides only whether prompts are
/// scheduled; the scheduler observes the speed.
const ASSUMED_TOKENS_PER_MS: f64 = 30.0;
/// Number of typical prompts that must together take longer than a pause.
const PROMPTS_IN_PAUSE: f64 = 4.0;
/// The same number while few prompts are known: a daemon that has just started must not wait for more if
/// the first ones are long.
const FEW_PROMPTS_IN_PAUSE: f64 = 2.0;

/// The sizes of the prompts of one service's requests that arrived lately at one daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptProfile {
    weight: f64,
    tokens: f64,
    squared_tokens: f64,
    recorded_ms: u64,
}

impl PromptProfile {
    /// Records the prompt of a request that arrived.
    pub fn record(&mut self, prompt_tokens: u64, now_ms: u64) {
        let decay = (-(now_ms.saturating_sub(self.recorded_ms) as f64) / DECAY_MS).exp();
        let tokens = prompt_tokens.min(MAX_TOKENS) as f64;
        self.weight = self.weight * decay + 1.0;
        self.tokens = self.tokens * decay + tokens;
        self.squared_tokens = self.squared_tokens * decay + tokens * tokens;
        self.recorded_ms = now_ms;
    }

    /// Returns the size of the prompt to which a token that is read belongs on average.
    pub fn typical_tokens(&self) -> f64 {
        self.squared_tokens / self.tokens.max(1.0)
    }

    /// Returns whether a prompt is among the large ones of the service.
    pub fn is_large(&self, prompt_tokens: u64) -> bool {
        prompt_tokens as f64 * 2.0 >= self.typical_tokens()
    }

    /// Returns whether a few prompts of the service that meet at one engine stall the streams there
    /// for longer than `shortest_pause_ms`.
    pub fn needs_scheduling(&self, shortest_pause_ms: u64) -> bool {
        let typical_ms = self.typical_tokens() / ASSUMED_TOKENS_PER_MS;
        let prompts = match self.weight >= MIN_WEIGHT {
            true => PROMPTS_IN_PAUSE,
            false => FEW_PROMPTS_IN_PAUSE,
        };
        typical_ms * prompts > shortest_pause_ms as f64
    }
}
