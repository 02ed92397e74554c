//! HTTP headers towards callers and endpoints.

/// Time until the complete answer is due, in milliseconds; sent by callers.
pub const DEADLINE_MS: &str = "trestle-deadline-ms";
/// Class of the request; sent by callers.
pub const CLASS: &str = "trestle-class";
/// Identifier of the request; the answer repeats it.
pub const REQUEST_ID: &str = "x-request-id";
/// `true` if the caller has sent the idempotency key before.
pub const REPEATED: &str = "trestle-repeated";
/// Outcome of the request: `done`, `not_run` or `unknown`.
pub const OUTCOME: &str = "trestle-outcome";
/// Time for which the request waited for a permit, in milliseconds.
pub const WAITED_MS: &str = "trestle-waited-ms";
/// `true` if the request waited for its model to be loaded.
pub const COLD: &str = "trestle-cold";
/// Delay after which the caller may retry, in whole seconds, rounded up.
pub const RETRY_AFTER: &str = "retry-after";
/// Priority that an engine may honour; 0 is the most urgent.
pub const PRIORITY: &str = "trestle-priority";
/// Adapter that the engine applies to the model.
pub const ADAPTER: &str = "trestle-adapter";
