//! Which daemons are told where a stream began, and which are asked.
//!
//! Daemons must be found from the caller's id alone, by any daemon, while the one that served the
//! stream is dead and no leader is known. So each daemon knows some daemons of each failure domain,
//! as leaders last named them, and ranks them by a hash of the id. The lists of two daemons may
//! differ for a while, and some of those named may be dead, so more are asked than told. What a
//! daemon sends grows with its own streams only.

use crate::helpers::Helper;
use std::{collections::BTreeMap, net::SocketAddr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Daemons that are told of a stream.
const TOLD: usize = 3;
/// Daemons that are asked about a stream.
const ASKED: usize = 5;
/// Time for which a daemon is known after a leader last named it. A new leader names few until all
/// daemons have reported to it.
const KNOWN_MS: u64 = 15_000;
/// Time for which a daemon that did not answer is not told.
const FAILED_PAUSE_MS: u64 = 2_000;

/// The daemons that keep where streams began, as one daemon knows them.
#[derive(Debug, Default)]
pub struct StreamKeepers {
    named_ms: BTreeMap<SocketAddr, u64>,
    failed_until_ms: BTreeMap<SocketAddr, u64>,
}

impl StreamKeepers {
    /// Records which daemons a leader names, other than the one at `own_address`.
    pub fn named(
        &mut self,
        keepers: impl IntoIterator<Item = Helper>,
        own_address: SocketAddr,
        now_ms: u64,
    ) {
        let others = keepers.into_iter().filter(|keeper| keeper.address != own_address);
        let before = self.named_ms.len();
        self.named_ms.extend(others.map(|keeper| (keeper.address, now_ms)));
        if before > 0 {
            self.named_ms.retain(|_, named_ms| now_ms < *named_ms + KNOWN_MS);
        }
    }

    /// Returns whether this daemon knows none.
    pub fn is_empty(&self) -> bool {
        self.named_ms.is_empty()
    }

    /// Records that a daemon did not answer.
    pub fn failed(&mut self, address: SocketAddr, now_ms: u64) {
        self.failed_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.failed_until_ms.insert(address, now_ms + FAILED_PAUSE_MS);
    }

    /// Returns the daemons to tell of a stream.
    pub fn to_tell(&self, id: &str, now_ms: u64) -> Vec<SocketAddr> {
        let answers = |address: &SocketAddr| {
            self.failed_until_ms.get(address).is_none_or(|until_ms| now_ms >= *until_ms)
        };
        self.ranked(id).into_iter().filter(answers).take(TOLD).collect()
    }

    /// Returns the daemons to ask about a stream.
    pub fn to_ask(&self, id: &str) -> Vec<SocketAddr> {
        self.ranked(id).into_iter().take(ASKED).collect()
    }

    fn ranked(&self, id: &str) -> Vec<SocketAddr> {
        let seed = xxh3_64_with_seed(id.as_bytes(), 0);
        let rank = |address: &SocketAddr| xxh3_64_with_seed(address.to_string().as_bytes(), seed);
        let mut ranked: Vec<SocketAddr> = self.named_ms.keys().copied().collect();
        ranked.sort_by_cached_key(rank);
        ranked
    }
}
