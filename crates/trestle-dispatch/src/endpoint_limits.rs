//! Enforcement of the limits that endpoints announce. The leader of a group of endpoints decides
//! on send permits, each of which allows one request.
//!
//! The load that this answers: an overloaded endpoint that accepts one request a second, and
//! hundreds of daemons whose callers send requests for it. An equal share of the limit for each
//! daemon would be less than one request, so no daemon could use its share without exceeding it.
//! So a daemon that knows of a limit sends nothing without a send permit. Permits are granted by
//! the holder of the lease of the endpoint's group, of which there is one at a time, at the rate
//! at which the endpoint accepts requests, from a bucket that starts empty with the lease. A
//! daemon that cannot reach the leader gets no permit, so the limit holds without any
//! communication among the other daemons.
//!
//! A limit lasts as long as answers announce it. With each request for a permit a daemon reports
//! the number of consecutive answers without a limit. Once there are a few, the rate of permits
//! grows step by step until the limit counts as lifted, so that daemons with rejected callers do
//! not all return at once. An answer that announces the limit again stops this.

use crate::{
    endpoint::Incarnation,
    quota::QuotaPlan,
    quota_allocator::{Allocation, HeldLease, QuotaAllocator},
};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{DomainName, EndpointName};

/// Time for which a permit is valid, from when it was requested.
pub const PERMIT_VALID_MS: u64 = 500;
/// Capacity of the bucket beyond one permit, as a time over which the limit fills it.
const BUCKET_MS: f64 = 500.0;
/// Least rate in requests per 1,000 s that an endpoint receives, also if its limit is lower:
/// without any request nobody would observe that it accepts more.
const MIN_PER_KS: u64 = 200;
/// Time for which the lowest limit is used if answers announce different ones.
const LOWEST_VALID_MS: u64 = 4_000;
/// Number of consecutive answers without a limit from which on the limit is being lifted: a single
/// answer may have been in transit when the limit was set.
const MIN_ANSWERS_WITHOUT_LIMIT: u32 = 3;
/// Time in which the rate of a limit that is being lifted doubles.
const DOUBLING_MS: u64 = 500;
/// Least rate from which the doubling starts, in requests per 1,000 s.
const LIFTING_MIN_PER_KS: u64 = 1_000;
/// Largest number of doublings; every limit is lifted by then.
const MAX_DOUBLINGS: u64 = 16;
/// Rate in requests per 1,000 s from which on a limit that is being lifted counts as lifted.
const LIFTED_PER_KS: u64 = 64_000;
/// Time since the last permit request for which plans consider a limit.
const RECENT_MS: u64 = 10_000;
/// Time since the last permit request after which a limit is dropped.
const EXPIRY_MS: u64 = 120_000;

/// What one daemon knows of a limit, as it reports it to the leader.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct ObservedLimit {
    /// Requests per 1,000 s.
    pub per_ks: u64,
    /// When an answer last announced the limit, on the clock of the daemon that decides.
    pub observed_ms: u64,
    /// Number of answers without a limit, since then and since the last report.
    pub answers_without_limit: u32,
    /// When the last of these answers arrived.
    pub last_without_ms: u64,
}

/// The leader's answer to a request for a send permit.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum SendPermit {
    /// One request may be sent.
    Lent,
    /// The endpoint accepts no more requests for now.
    Refused {
        /// Time until it will accept one from this daemon.
        in_ms: u64,
    },
    /// The endpoint announces no limit any more.
    Lifted,
    /// This daemon does not lead the endpoint's group and grants no permits.
    NotLending,
}

/// The limits of endpoints, as the leader of their groups tracks them.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    by_incarnation: BTreeMap<Incarnation, LimitState>,
    quota_allocators: BTreeMap<DomainName, QuotaAllocator<Incarnation>>,
}

/// The state of one limit.
#[derive(Debug)]
struct LimitState {
    per_ks: u64,
    /// When this limit or a lower one was last announced.
    lowest_ms: u64,
    observed_ms: u64,
    answers_without_limit: u32,
    last_without_ms: u64,
    /// Since when the limit is being lifted; `None` if it is not.
    lifting_ms: Option<u64>,
    requested_ms: u64,
}

impl EndpointLimits {
    /// Decides on a permit for an incarnation of an endpoint. `lease` is the lease of the
    /// endpoint's group, if this daemon holds it.
    pub fn request_permit(
        &mut self,
        incarnation: &Incarnation,
        group: &DomainName,
        lease: Option<HeldLease>,
        observed: ObservedLimit,
        now_ms: u64,
    ) -> SendPermit {
        let quota_allocator = self.quota_allocators.entry(group.clone()).or_default();
        let held = lease.map(|lease| (group.clone(), lease));
        quota_allocator.set_leases(&held.into_iter().collect(), now_ms);
        let state = self
            .by_incarnation
            .entry(incarnation.clone())
            .or_insert_with(|| LimitState::new(observed));
        state.apply_report(observed, now_ms);
        let Some(per_ks) = state.per_ks_now(now_ms) else { return SendPermit::Lifted };
        match quota_allocator.allocate(incarnation, 1, &plan(per_ks), now_ms) {
            Allocation::Granted(_) => SendPermit::Lent,
            Allocation::Refused { in_ms } => SendPermit::Refused { in_ms },
            Allocation::NotLeading => SendPermit::NotLending,
        }
    }

    /// Returns the endpoints with limits for which a permit was requested recently.
    pub fn limited(&self, now_ms: u64) -> BTreeSet<EndpointName> {
        let is_recent = |state: &LimitState| {
            state.lifting_ms.is_none() && now_ms < state.requested_ms + RECENT_MS
        };
        let limited = self.by_incarnation.iter().filter(|(_, state)| is_recent(state));
        limited.map(|(incarnation, _)| incarnation.name.clone()).collect()
    }

    /// Drops limits for which permits are no longer requested.
    pub fn cleanup(&mut self, now_ms: u64) {
        self.by_incarnation.retain(|_, state| now_ms < state.requested_ms + EXPIRY_MS);
        for quota_allocator in self.quota_allocators.values_mut() {
            quota_allocator.retain(|incarnation| self.by_incarnation.contains_key(incarnation));
        }
    }
}

/// Returns the plan by which the permits of a limit are granted.
fn plan(per_ks: u64) -> QuotaPlan {
    let units_per_ms = per_ks as f64 / 1e6;
    QuotaPlan { units_per_ms, most_units: 1.0 + units_per_ms * BUCKET_MS }
}

impl LimitState {
    fn new(observed: ObservedLimit) -> Self {
        let ObservedLimit { per_ks, observed_ms, .. } = observed;
        Self {
            per_ks,
            lowest_ms: observed_ms,
            observed_ms,
            answers_without_limit: 0,
            last_without_ms: 0,
            lifting_ms: None,
            requested_ms: 0,
        }
    }

    /// Applies what a daemon reports about the limit.
    fn apply_report(&mut self, observed: ObservedLimit, now_ms: u64) {
        self.requested_ms = now_ms;
        self.apply_limit(observed.per_ks, observed.observed_ms, now_ms);
        if observed.answers_without_limit > 0 && observed.last_without_ms > self.observed_ms {
            self.answers_without_limit += observed.answers_without_limit;
            self.last_without_ms = self.last_without_ms.max(observed.last_without_ms);
            if self.answers_without_limit >= MIN_ANSWERS_WITHOUT_LIMIT {
                self.lifting_ms.get_or_insert(now_ms);
            }
        }
    }

    fn apply_limit(&mut self, per_ks: u64, observed_ms: u64, now_ms: u64) {
        if observed_ms > self.last_without_ms {
            self.answers_without_limit = 0;
            self.lifting_ms = None;
        }
        let is_low = per_ks <= self.per_ks && observed_ms + LOWEST_VALID_MS > now_ms;
        let is_later = observed_ms > self.observed_ms && now_ms > self.lowest_ms + LOWEST_VALID_MS;
        if is_low || is_later {
            self.per_ks = per_ks;
            self.lowest_ms = self.lowest_ms.max(observed_ms);
        }
        self.observed_ms = self.observed_ms.max(observed_ms);
    }

    /// Returns the requests per 1,000 s that may be sent now; `None` if there is no limit any
    /// more.
    fn per_ks_now(&self, now_ms: u64) -> Option<u64> {
        let Some(lifting_ms) = self.lifting_ms else { return Some(self.per_ks.max(MIN_PER_KS)) };
        let doublings = (now_ms.saturating_sub(lifting_ms) / DOUBLING_MS).min(MAX_DOUBLINGS);
        let per_ks = self.per_ks.max(LIFTING_MIN_PER_KS) << doublings;
        (per_ks < LIFTED_PER_KS).then_some(per_ks)
    }
}
