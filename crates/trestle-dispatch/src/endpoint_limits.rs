//! How the limits are kept that endpoints name: what the leader of a group of endpoints decides
//! on places, each of which is one request that an endpoint takes.
//!
//! The load that this answers: an endpoint in need that takes one request a second, and hundreds
//! of daemons whose callers ask for what it has. A part of the limit for each daemon would be so
//! small that nothing of it could be used, and whoever has a whole request to send would exceed
//! it. So a daemon that has heard of a limit sends nothing without a place. Places are lent by
//! the holder of the lease of the endpoint's group, of whom there is one at a time, as fast as the
//! endpoint takes requests, into a bucket that starts empty with the lease. Who cannot ask gets
//! none: the limit holds without anybody hearing of anybody else.
//!
//! A limit lasts as long as answers name it. Daemons tell with each question how many answers in a
//! row did not, and once there are some, places come faster and faster until the limit counts as
//! lifted: the daemons whose callers were turned away do not all come back at once, and an answer
//! that names it again stops that.

use crate::{
    endpoint::Incarnation,
    quota::QuotaPlan,
    quota_allocator::{Allocation, HeldLease, QuotaAllocator},
};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{DomainName, EndpointName};

/// Time for which a place can be used, from when it was asked for.
pub const PERMIT_VALID_MS: u64 = 500;
/// Places beyond one that may lie in the bucket, as a time of the limit.
const BUCKET_MS: f64 = 500.0;
/// Requests in 1,000 s that an endpoint gets which takes less: without any request nobody would
/// hear that it takes more.
const LEAST_PER_KS: u64 = 200;
/// Time for which the lowest of several limits counts, where answers name different ones.
const LOWEST_COUNTS_MS: u64 = 4_000;
/// Answers in a row without a limit after which it is being lifted: a single one may have been
/// under way.
const SILENT_ANSWERS: u32 = 3;
/// Time in which the places of a limit that is being lifted double.
const DOUBLES_MS: u64 = 500;
/// Least of what is doubled, in requests in 1,000 s.
const LIFTED_FROM_PER_KS: u64 = 1_000;
/// Times that they double at most; any limit is lifted by then.
const MOST_DOUBLED: u64 = 16;
/// Requests in 1,000 s from which on a limit that is being lifted is none any more.
const LIFTED_AT_PER_KS: u64 = 64_000;
/// Time since the last question for which a limit counts in plans.
const ASKED_LATELY_MS: u64 = 10_000;
/// Time after which a limit is forgotten of which nobody has asked.
const FORGOTTEN_MS: u64 = 120_000;

/// What one daemon knows of a limit, as it tells the leader.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct ObservedLimit {
    /// Requests in 1,000 s.
    pub per_ks: u64,
    /// When an answer last named it, on the clock of whoever decides.
    pub observed_ms: u64,
    /// Answers since, and since it last told, that did not name one.
    pub answers_without_limit: u32,
    /// When the last of these came.
    pub last_without_ms: u64,
}

/// What becomes of a question for a place.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum SendPermit {
    /// One request may be sent.
    Lent,
    /// The endpoint takes no more for now.
    Refused {
        /// Time until it will, for whoever asked.
        in_ms: u64,
    },
    /// It names no limit any more.
    Lifted,
    /// This daemon does not lead the endpoint's group.
    NotLending,
}

/// The limits of endpoints, as the leader of their groups keeps them.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    by_life: BTreeMap<Incarnation, Kept>,
    lenders: BTreeMap<DomainName, QuotaAllocator<Incarnation>>,
}

/// One limit.
#[derive(Debug)]
struct Kept {
    per_ks: u64,
    /// When this or a lower one was last named.
    lowest_ms: u64,
    heard_ms: u64,
    silent: u32,
    silent_ms: u64,
    /// Since when it is being lifted.
    lifting_ms: Option<u64>,
    asked_ms: u64,
}

impl EndpointLimits {
    /// Decides on a place at a life of an endpoint of a group, whose lease this daemon may hold.
    pub fn request_permit(
        &mut self,
        incarnation: &Incarnation,
        group: &DomainName,
        lease: Option<HeldLease>,
        heard: ObservedLimit,
        now_ms: u64,
    ) -> SendPermit {
        let quota_allocator = self.lenders.entry(group.clone()).or_default();
        let held = lease.map(|lease| (group.clone(), lease));
        quota_allocator.set_leases(&held.into_iter().collect(), now_ms);
        let kept = self.by_life.entry(incarnation.clone()).or_insert_with(|| Kept::new(heard));
        kept.hear(heard, now_ms);
        let Some(per_ks) = kept.per_ks_now(now_ms) else { return SendPermit::Lifted };
        match quota_allocator.allocate(incarnation, 1, &plan(per_ks), now_ms) {
            Allocation::Lent(_) => SendPermit::Lent,
            Allocation::Refused { in_ms } => SendPermit::Refused { in_ms },
            Allocation::NotLending => SendPermit::NotLending,
        }
    }

    /// Endpoints with limits of which somebody has asked lately.
    pub fn limited(&self, now_ms: u64) -> BTreeSet<EndpointName> {
        let is_kept =
            |kept: &Kept| kept.lifting_ms.is_none() && now_ms < kept.asked_ms + ASKED_LATELY_MS;
        let limited = self.by_life.iter().filter(|(_, kept)| is_kept(kept));
        limited.map(|(incarnation, _)| incarnation.name.clone()).collect()
    }

    /// Forgets limits of which nobody asks any more.
    pub fn cleanup(&mut self, now_ms: u64) {
        self.by_life.retain(|_, kept| now_ms < kept.asked_ms + FORGOTTEN_MS);
        for quota_allocator in self.lenders.values_mut() {
            quota_allocator.retain(|incarnation| self.by_life.contains_key(incarnation));
        }
    }
}

/// How a limit is lent of.
fn plan(per_ks: u64) -> QuotaPlan {
    let units_per_ms = per_ks as f64 / 1e6;
    QuotaPlan { units_per_ms, most_units: 1.0 + units_per_ms * BUCKET_MS }
}

impl Kept {
    fn new(heard: ObservedLimit) -> Self {
        let ObservedLimit { per_ks, observed_ms: heard_ms, .. } = heard;
        Self {
            per_ks,
            lowest_ms: heard_ms,
            heard_ms,
            silent: 0,
            silent_ms: 0,
            lifting_ms: None,
            asked_ms: 0,
        }
    }

    /// Takes what a daemon knows of it.
    fn hear(&mut self, heard: ObservedLimit, now_ms: u64) {
        self.asked_ms = now_ms;
        self.hear_limit(heard.per_ks, heard.observed_ms, now_ms);
        if heard.answers_without_limit > 0 && heard.last_without_ms > self.heard_ms {
            self.silent += heard.answers_without_limit;
            self.silent_ms = self.silent_ms.max(heard.last_without_ms);
            if self.silent >= SILENT_ANSWERS {
                self.lifting_ms.get_or_insert(now_ms);
            }
        }
    }

    fn hear_limit(&mut self, per_ks: u64, heard_ms: u64, now_ms: u64) {
        if heard_ms > self.silent_ms {
            self.silent = 0;
            self.lifting_ms = None;
        }
        let is_low = per_ks <= self.per_ks && heard_ms + LOWEST_COUNTS_MS > now_ms;
        let is_later = heard_ms > self.heard_ms && now_ms > self.lowest_ms + LOWEST_COUNTS_MS;
        if is_low || is_later {
            self.per_ks = per_ks;
            self.lowest_ms = self.lowest_ms.max(heard_ms);
        }
        self.heard_ms = self.heard_ms.max(heard_ms);
    }

    /// Requests in 1,000 s that may be sent now; `None` if as many as callers ask for.
    fn per_ks_now(&self, now_ms: u64) -> Option<u64> {
        let Some(lifting_ms) = self.lifting_ms else { return Some(self.per_ks.max(LEAST_PER_KS)) };
        let doubled = (now_ms.saturating_sub(lifting_ms) / DOUBLES_MS).min(MOST_DOUBLED);
        let per_ks = self.per_ks.max(LIFTED_FROM_PER_KS) << doubled;
        (per_ks < LIFTED_AT_PER_KS).then_some(per_ks)
    }
}
