//! Simulation of a deployment under a policy, in virtual time.

use crate::{
    policy::Policy,
    workload::{Deployment, HOUR_MS, MINUTE_MS, ModelWorkload, civil},
};
use hdrhistogram::Histogram;
use std::collections::BTreeSet;
use trestle_core::{
    keep::Gaps,
    usage_profile::{BIN_MS, Bin, UsageProfile},
};

/// Gap since the previous request after which a request counts as a first one.
const FIRST_REQUEST_GAP_MS: u64 = MINUTE_MS;
/// Interval between two starts of loads at the weight store.
const START_INTERVAL_MS: u64 = 333;
/// Number of concurrent loads that the weight store serves at full speed.
const FULL_SPEED_LOADS: u64 = 4;
const HISTOGRAM_DIGITS: u8 = 3;

/// Outcome of a policy.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Outcome {
    /// Number of first requests.
    pub first_requests: u64,
    /// Number of first requests that found their model not loaded.
    pub cold: u64,
    /// Median of the cold wait of first requests.
    pub p50_ms: u64,
    /// 90th percentile of the cold wait of first requests.
    pub p90_ms: u64,
    /// 99th percentile of the cold wait of first requests.
    pub p99_ms: u64,
    /// Total cold wait of all first requests.
    pub total_wait_ms: u64,
    /// Idle accelerator time.
    pub idle_ms: u64,
}

impl Outcome {
    /// Returns the idle accelerator time in hours.
    pub fn idle_hours(&self) -> f64 {
        self.idle_ms as f64 / HOUR_MS as f64
    }
}

/// A request that finds its model not loaded.
struct ColdStart {
    at_ms: u64,
    urgency: u8,
    load_ms: u64,
    is_measured: bool,
}

/// Simulates a deployment under a policy and returns the outcome.
pub fn simulate(deployment: &Deployment, policy: &Policy) -> Outcome {
    let mut cold_starts = Vec::new();
    let mut idle_ms = 0;
    let mut first_requests = 0;
    for model in &deployment.models {
        let outcome = simulate_model(model, deployment, policy, &mut cold_starts);
        idle_ms += outcome.idle_ms;
        first_requests += outcome.first_requests;
    }
    let waits = waits(cold_starts);
    summary(first_requests, &waits, idle_ms)
}

/// Outcome for one model.
#[derive(Default)]
struct ModelOutcome {
    idle_ms: u64,
    first_requests: u64,
}

fn simulate_model(
    model: &ModelWorkload,
    deployment: &Deployment,
    policy: &Policy,
    cold_starts: &mut Vec<ColdStart>,
) -> ModelOutcome {
    let mut outcome = ModelOutcome::default();
    let mut gaps = Gaps::default();
    let expected = expected_spans(model, deployment, policy);
    let mut last_ms = None;
    let from_ms = deployment.measured_from_ms;
    for at_ms in model.requests_ms.iter().copied() {
        let gap_ms = last_ms.map_or(u64::MAX, |last_ms| at_ms - last_ms);
        let keep_ms = policy.keep_ms(model, &gaps, gap_ms);
        let kept =
            last_ms.map_or((0, 0), |last_ms: u64| (last_ms, last_ms.saturating_add(keep_ms)));
        let since_ms = last_ms.unwrap_or(0);
        outcome.idle_ms += idle_within(model, &expected, kept, since_ms.max(from_ms), at_ms);
        let is_loaded = at_ms < kept.1 || is_in_span(&expected, at_ms);
        let is_measured = at_ms >= from_ms;
        let is_first = gap_ms > FIRST_REQUEST_GAP_MS;
        outcome.first_requests += u64::from(is_first && is_measured);
        if !is_loaded {
            let (urgency, load_ms) = (model.urgency, model.load_ms);
            let is_measured = is_first && is_measured;
            cold_starts.push(ColdStart { at_ms, urgency, load_ms, is_measured });
        }
        if last_ms.is_some() && gap_ms > model.load_ms {
            gaps.record(gap_ms);
        }
        last_ms = Some(at_ms);
    }
    let last_ms = last_ms.unwrap_or(0);
    let kept = (last_ms, last_ms.saturating_add(policy.keep_ms(model, &gaps, u64::MAX)));
    let end_ms = deployment.end_ms;
    outcome.idle_ms += idle_within(model, &expected, kept, last_ms.max(from_ms), end_ms);
    outcome
}

/// Returns the spans of time in which the model is kept loaded independently of requests, in
/// ascending order.
fn expected_spans(
    model: &ModelWorkload,
    deployment: &Deployment,
    policy: &Policy,
) -> Vec<(u64, u64)> {
    let mut profile = UsageProfile::default();
    let mut spans: Vec<(u64, u64)> = Vec::new();
    let mut requests = model.requests_ms.iter().copied().peekable();
    for bin_ms in (0..deployment.end_ms).step_by(BIN_MS as usize) {
        let end_ms = bin_ms + BIN_MS;
        let bin = Bin::of(civil(bin_ms));
        let by_profile =
            policy.usage_profile_costs(model).is_some_and(|price| profile.is_expected(bin, &price));
        let is_open = |at_ms| model.windows.iter().any(|window| window.is_open(civil(at_ms)));
        let by_window = policy.uses_windows() && (is_open(bin_ms) || is_open(end_ms - 1));
        if by_profile || by_window {
            match spans.last_mut().filter(|span| span.1 == bin_ms) {
                Some(span) => span.1 = end_ms,
                None => spans.push((bin_ms.saturating_sub(model.load_ms), end_ms)),
            }
        }
        let mut was_requested = false;
        while requests.next_if(|at_ms| *at_ms < end_ms).is_some() {
            was_requested = true;
        }
        profile.record(bin, was_requested);
    }
    spans
}

/// Returns the idle time between two requests, as a share of the accelerator.
fn idle_within(
    model: &ModelWorkload,
    expected: &[(u64, u64)],
    kept: (u64, u64),
    from_ms: u64,
    to_ms: u64,
) -> u64 {
    if from_ms >= to_ms {
        return 0;
    }
    let kept_ms = kept.1.min(to_ms).saturating_sub(kept.0.max(from_ms));
    let from_ms = from_ms.max(kept.1);
    let first = expected.partition_point(|span| span.1 <= from_ms);
    let spans = expected[first..].iter().take_while(|span| span.0 < to_ms);
    let expected_ms: u64 =
        spans.map(|span| span.1.min(to_ms).saturating_sub(span.0.max(from_ms))).sum();
    (kept_ms + expected_ms) * model.share_percent / 100
}

fn is_in_span(expected: &[(u64, u64)], at_ms: u64) -> bool {
    let first = expected.partition_point(|span| span.1 <= at_ms);
    expected.get(first).is_some_and(|span| span.0 <= at_ms)
}

/// Returns the wait of each measured first request, with the weight store shared between loads.
fn waits(mut cold_starts: Vec<ColdStart>) -> Vec<u64> {
    cold_starts.sort_by_key(|cold| (cold.at_ms, cold.urgency));
    let mut next_start_ms = 0;
    let mut running_until_ms: BTreeSet<(u64, usize)> = BTreeSet::new();
    let mut waits = Vec::new();
    for (index, cold) in cold_starts.iter().enumerate() {
        let start_ms = cold.at_ms.max(next_start_ms);
        next_start_ms = start_ms + START_INTERVAL_MS;
        running_until_ms.retain(|(until_ms, _)| *until_ms > start_ms);
        let running = running_until_ms.len() as u64 + 1;
        let load_ms = cold.load_ms * running.max(FULL_SPEED_LOADS) / FULL_SPEED_LOADS;
        running_until_ms.insert((start_ms + load_ms, index));
        if cold.is_measured {
            waits.push(start_ms + load_ms - cold.at_ms);
        }
    }
    waits
}

fn summary(first_requests: u64, waits: &[u64], idle_ms: u64) -> Outcome {
    let mut histogram: Histogram<u64> =
        Histogram::new(HISTOGRAM_DIGITS).expect("three digits are allowed");
    for wait_ms in waits {
        // The histogram grows as needed; recording fails only for values longer than any run.
        let _ = histogram.record(*wait_ms);
    }
    let warm = first_requests - waits.len() as u64;
    let _ = histogram.record_n(0, warm);
    Outcome {
        first_requests,
        cold: waits.len() as u64,
        p50_ms: histogram.value_at_quantile(0.5),
        p90_ms: histogram.value_at_quantile(0.9),
        p99_ms: histogram.value_at_quantile(0.99),
        total_wait_ms: waits.iter().sum(),
        idle_ms,
    }
}
