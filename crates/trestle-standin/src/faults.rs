//! Faults that are set at run time over the control address.

use std::{collections::BTreeMap, net::SocketAddr};

/// Faults of the platform.
#[trestle_macros::wire]
#[serde(default, deny_unknown_fields)]
#[derive(Default)]
pub(crate) struct PlatformFaults {
    /// Whether the platform rejects every request.
    pub(crate) down: bool,
    /// Delay before the platform handles a request.
    pub(crate) slow_ms: u64,
    /// Number of next commits whose answer is lost after they took effect.
    pub(crate) lose_answers: u32,
    /// Whether the platform rejects commits while reads succeed.
    pub(crate) writes_down: bool,
    /// Addresses of the platform at which every request is rejected.
    pub(crate) cut: Vec<SocketAddr>,
}

/// Faults of one engine.
#[trestle_macros::wire]
#[serde(default, deny_unknown_fields)]
#[derive(Default)]
pub(crate) struct EngineFaults {
    /// Whether the engine answers no request until this is unset.
    pub(crate) frozen: bool,
    /// Delay of every answer to an order; the order itself takes effect at once.
    pub(crate) order_slow_ms: u64,
    /// Number of next answers that are truncated to half.
    pub(crate) cut_answers: u32,
    /// Number of next answers that carry another request's id and text.
    pub(crate) cross_answers: u32,
    /// Number of next requests that are answered with a server error.
    pub(crate) fail_answers: u32,
}

/// Faults of plain services.
#[trestle_macros::wire]
#[serde(default, deny_unknown_fields)]
#[derive(Default)]
pub(crate) struct ServiceFaults {
    /// Number of next calls that run and whose answer then ends without its body.
    pub(crate) cut_after_run: u32,
    /// Time that every call takes to run.
    pub(crate) slow_ms: u64,
}

/// All faults that the stand-in injects.
#[trestle_macros::wire]
#[serde(default, deny_unknown_fields)]
#[derive(Default)]
pub(crate) struct Faults {
    /// Faults of the platform.
    pub(crate) platform: PlatformFaults,
    /// Faults of engines, by name.
    pub(crate) engines: BTreeMap<String, EngineFaults>,
    /// Faults of plain services.
    pub(crate) services: ServiceFaults,
    /// Factor by which the weight store is slower; `None` is 1.
    pub(crate) weights_slower: Option<f64>,
}

/// Decrements a number of remaining faults; returns whether one was left.
pub(crate) fn consume_one(remaining: &mut u32) -> bool {
    let is_faulty = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_faulty
}
