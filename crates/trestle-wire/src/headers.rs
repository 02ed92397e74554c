//! HTTP headers towards callers and endpoints.

/// Time until the whole answer is due, in milliseconds.
pub const DEADLINE_MS: &str = "trestle-deadline-ms";
/// The class of the request.
pub const CLASS: &str = "trestle-class";
/// Identifies the request; answers carry it back.
pub const REQUEST_ID: &str = "x-request-id";
/// `true` where the caller has sent the idempotency key before.
pub const REPEATED: &str = "trestle-repeated";
/// What became of the request: `done`, `not_run` or `unknown`.
pub const OUTCOME: &str = "trestle-outcome";
/// Time the request waited for a permit, in milliseconds.
pub const WAITED_MS: &str = "trestle-waited-ms";
/// `true` where the request waited for its model to be loaded.
pub const COLD: &str = "trestle-cold";
/// Time to come back after, in whole seconds, rounded up.
pub const RETRY_AFTER: &str = "retry-after";
/// The priority an engine may honour, 0 for the most urgent.
pub const PRIORITY: &str = "trestle-priority";
/// The adapter an engine applies.
pub const ADAPTER: &str = "trestle-adapter";
