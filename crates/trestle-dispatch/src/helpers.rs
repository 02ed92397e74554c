//! Daemons that open detours for those that are cut off from endpoints.
//!
//! The load that this answers: most daemons of a failure domain lose their links to all endpoints at
//! the same moment, while their callers go on sending. Each needs helpers at once, also if the store
//! is away or the leader is lost in that moment, so every daemon knows a few before it needs them,
//! and which ones is drawn at random for each, so that the load spreads over all that still reach
//! the endpoints. A leader knows which daemons are alive and which of them are cut off; what a daemon
//! receives and remembers does not grow with the number of daemons.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use trestle_core::names::{DomainName, ServiceName, VmName};
use xxhash_rust::xxh3::xxh3_64;

/// Most helpers that a daemon knows.
const MAX_KNOWN: usize = 8;
/// Helpers that a leader names for one service in one answer.
const PER_ANSWER: usize = 4;
/// Daemons of each failure domain that a leader names as keepers of what must outlive one daemon.
const KEEPERS_PER_DOMAIN: usize = 8;
/// Time after a daemon's last report for which a leader names it: several intervals between reports.
const REPORT_VALID_MS: u64 = 10_000;
/// Time for which a helper that did not answer, or has no capacity left, is not asked.
const FAILED_PAUSE_MS: u64 = 2_000;

/// A daemon that may open detours.
#[trestle_macros::key]
pub struct Helper {
    /// The address at which it serves other daemons.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
}

/// The helpers that one daemon knows.
#[derive(Debug, Default)]
pub struct Helpers {
    /// The known helpers, with the number of the answer that last named each.
    known: BTreeMap<SocketAddr, u64>,
    answers: u64,
    /// Until when a helper is not asked at all.
    failed_until_ms: BTreeMap<SocketAddr, u64>,
    /// Until when a helper is not asked for endpoints of a service.
    cut_off_until_ms: BTreeMap<(SocketAddr, ServiceName), u64>,
}

impl Helpers {
    /// Adds helpers that a leader has named. The newest ones are kept.
    pub fn add(&mut self, named: impl IntoIterator<Item = Helper>) {
        self.answers += 1;
        self.known.extend(named.into_iter().map(|helper| (helper.address, self.answers)));
        while self.known.len() > MAX_KNOWN {
            let oldest = self.known.iter().min_by_key(|(_, answer)| **answer);
            let Some(oldest) = oldest.map(|(address, _)| *address) else { return };
            self.known.remove(&oldest);
        }
    }

    /// Records that a helper did not answer, or has no capacity left.
    pub fn failed(&mut self, address: SocketAddr, now_ms: u64) {
        self.failed_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.failed_until_ms.insert(address, now_ms + FAILED_PAUSE_MS);
    }

    /// Records that a helper does not reach the endpoints of a service either.
    pub fn cut_off(&mut self, address: SocketAddr, service: &ServiceName, now_ms: u64) {
        self.cut_off_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.cut_off_until_ms.insert((address, service.clone()), now_ms + FAILED_PAUSE_MS);
    }

    /// Returns up to `count` helpers for endpoints of a service, in a random order.
    pub fn pick(
        &self,
        service: &ServiceName,
        count: usize,
        random: u64,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let is_over = |until_ms: Option<&u64>| until_ms.is_none_or(|until_ms| now_ms >= *until_ms);
        let may_ask = |address: &SocketAddr| {
            is_over(self.failed_until_ms.get(address))
                && is_over(self.cut_off_until_ms.get(&(*address, service.clone())))
        };
        let usable = self.known.keys().copied().filter(may_ask);
        shuffled(usable, random).into_iter().take(count).collect()
    }
}

/// The daemons that report to one leader.
#[derive(Debug, Default)]
pub struct HelperRoster {
    members: BTreeMap<VmName, HelperReport>,
}

/// The report of one daemon.
#[trestle_macros::plain]
pub struct HelperReport {
    /// The daemon itself, as a helper.
    pub helper: Helper,
    /// Services of which it fails to reach most endpoints.
    pub unreached: BTreeSet<ServiceName>,
    /// When it has reported.
    pub reported_ms: u64,
}

impl HelperRoster {
    /// Records the report of a daemon, and returns helpers for it, drawn by `random`: for each
    /// service that it does not reach, daemons that do.
    pub fn report(&mut self, vm: VmName, report: HelperReport, random: u64) -> Vec<Helper> {
        let now_ms = report.reported_ms;
        self.members.retain(|_, member| now_ms < member.reported_ms + REPORT_VALID_MS);
        let (domain, unreached) = (report.helper.domain.clone(), report.unreached.clone());
        self.members.insert(vm.clone(), report);
        let needs: Vec<Option<&ServiceName>> = match unreached.is_empty() {
            true => vec![None],
            false => unreached.iter().map(Some).collect(),
        };
        let per_need = MAX_KNOWN / needs.len().clamp(MAX_KNOWN / PER_ANSWER, MAX_KNOWN);
        let named = needs.into_iter().flat_map(|service| {
            shuffled(self.candidates(&vm, &domain, service), random).into_iter().take(per_need)
        });
        let named: BTreeSet<Helper> = named.cloned().collect();
        named.into_iter().take(MAX_KNOWN).collect()
    }

    /// Returns some daemons of each failure domain. The choice depends only on the names of their VMs,
    /// so leaders agree on it, and it hardly changes when daemons come and go.
    pub fn keepers(&self, now_ms: u64) -> Vec<Helper> {
        let mut by_domain: BTreeMap<&DomainName, Vec<(u64, &Helper)>> = BTreeMap::new();
        let live =
            self.members.iter().filter(|(_, member)| now_ms < member.reported_ms + REPORT_VALID_MS);
        for (vm, member) in live {
            let rank = xxh3_64(vm.as_str().as_bytes());
            by_domain.entry(&member.helper.domain).or_default().push((rank, &member.helper));
        }
        let keepers = by_domain.into_values().flat_map(|mut members| {
            members.sort();
            members.into_iter().take(KEEPERS_PER_DOMAIN).map(|(_, helper)| helper.clone())
        });
        keepers.collect()
    }

    /// Returns the daemons that can help a daemon of a failure domain to reach a service; `None`
    /// stands for all services.
    ///
    /// They are of its own failure domain where that has more daemons that reach the service than
    /// others, since the way there is short and the load of each at most doubles; else of all.
    fn candidates<'a>(
        &'a self,
        vm: &'a VmName,
        domain: &'a DomainName,
        service: Option<&'a ServiceName>,
    ) -> impl Iterator<Item = &'a Helper> {
        let reaches = move |member: &HelperReport| match service {
            Some(service) => !member.unreached.contains(service),
            None => member.unreached.is_empty(),
        };
        let others = move || self.members.iter().filter(move |(other, _)| *other != vm);
        let near = others().filter(|(_, member)| member.helper.domain == *domain);
        let (reaching, cut_off): (Vec<_>, Vec<_>) = near.partition(|(_, member)| reaches(member));
        let stays_near = reaching.len() > cut_off.len();
        // Where no daemon reaches most endpoints of a service, each may still reach some.
        let has_reaching = others().any(|(_, member)| reaches(member));
        let reaching = others().filter(move |(_, member)| reaches(member) || !has_reaching);
        let candidates = reaching.map(|(_, member)| &member.helper);
        candidates.filter(move |helper| !stays_near || helper.domain == *domain)
    }
}

/// Returns items in an order that differs with `random`.
fn shuffled<T>(items: impl Iterator<Item = T>, random: u64) -> Vec<T> {
    let mut items: Vec<T> = items.collect();
    fastrand::Rng::with_seed(random).shuffle(&mut items);
    items
}
