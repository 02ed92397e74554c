//! Slots of brittle endpoints, as the leader of their group lends them.
//!
//! A slot is lent for one request. Each daemon reports how many it uses with each request for another
//! one and when it uses fewer, so a lost report is corrected by the next, and the slots of a daemon
//! that reports nothing any more are free after a time. With how many it has received until then, a
//! report shows which lent slots it does not include yet.

use crate::{brittle::SlotReport, endpoint::Incarnation};
use std::collections::{BTreeMap, VecDeque};
use trestle_core::names::VmName;

/// Time after a daemon's last report for which the slots that it used count as used. Daemons report
/// more often while they use any.
const REPORT_VALID_MS: u64 = 2_500;
/// Time after the first report at which a leader begins to lend: every daemon that uses slots has
/// reported in it, whoever lent them.
const LEARNING_MS: u64 = 1_500;
/// Time after which a daemon asks again for a slot of an endpoint that has none left.
const FULL_RETRY_MS: u64 = 25;
/// Time after which a lent slot of which the daemon does not report counts as not received.
const TRANSIT_MS: u64 = 600;
/// Time over which rejections are counted.
const WINDOW_MS: u64 = 1_000;
/// Time after a rejection for which one slot less is lent.
const REDUCED_MS: u64 = 2_000;

/// The slots of all brittle endpoints that this daemon lends.
#[derive(Debug, Default)]
pub struct SlotAllocator {
    by_endpoint: BTreeMap<Incarnation, LentSlots>,
}

/// The slots of one endpoint.
#[derive(Debug)]
struct LentSlots {
    /// The fencing number under which they are lent.
    token: u64,
    since_ms: u64,
    by_daemon: BTreeMap<VmName, DaemonSlots>,
    /// When the endpoint rejected requests, in the last [`REDUCED_MS`].
    rejected_ms: Vec<u64>,
}

/// The slots of one endpoint that one daemon uses.
#[derive(Debug)]
struct DaemonSlots {
    used: u32,
    /// Slots that the daemon has received so far, from any leader.
    received: u64,
    reported_ms: u64,
    /// When slots were lent of which the daemon has not reported yet that it received them.
    in_transit_ms: VecDeque<u64>,
}

/// The answer to a request for a slot.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Slot {
    /// The slot is lent.
    Lent,
    /// No slot is left.
    Full {
        /// Time after which another request may succeed.
        in_ms: u64,
    },
    /// This daemon does not lend slots of this endpoint, or not yet.
    NotLending,
}

impl SlotAllocator {
    /// Decides on the request of a daemon for a slot of an endpoint that has `slots`; `token` is the
    /// fencing number of the lease of the endpoint's group, if this daemon holds it.
    pub fn request(
        &mut self,
        incarnation: &Incarnation,
        vm: &VmName,
        report: SlotReport,
        slots: u32,
        token: Option<u64>,
        now_ms: u64,
    ) -> Slot {
        let Some(token) = token else {
            self.by_endpoint.remove(incarnation);
            return Slot::NotLending;
        };
        let lent = self.record(incarnation, vm, report, token, now_ms);
        if now_ms < lent.since_ms + LEARNING_MS {
            return Slot::NotLending;
        }
        let last_second = lent.rejected_ms.iter().filter(|at_ms| now_ms < **at_ms + WINDOW_MS);
        // Requests that are under way may be rejected, too.
        if 2 * last_second.count() as u32 >= report.max_rejections.max(1) {
            return Slot::Full { in_ms: WINDOW_MS / 2 };
        }
        let lendable = slots.saturating_sub(lent.rejected_ms.len() as u32).max(1);
        if lent.by_daemon.values().map(DaemonSlots::count).sum::<u32>() >= lendable {
            return Slot::Full { in_ms: FULL_RETRY_MS };
        }
        if let Some(daemon) = lent.by_daemon.get_mut(vm) {
            daemon.in_transit_ms.push_back(now_ms);
        }
        Slot::Lent
    }

    /// Records how many slots a daemon uses.
    pub fn report(
        &mut self,
        incarnation: &Incarnation,
        vm: &VmName,
        report: SlotReport,
        token: Option<u64>,
        now_ms: u64,
    ) {
        if let Some(token) = token {
            self.record(incarnation, vm, report, token, now_ms);
        }
    }

    /// Drops endpoints of which no daemon uses slots.
    pub fn cleanup(&mut self, now_ms: u64) {
        self.by_endpoint.retain(|_, lent| {
            lent.drop_outdated(now_ms);
            !lent.by_daemon.is_empty()
        });
    }

    fn record(
        &mut self,
        incarnation: &Incarnation,
        vm: &VmName,
        report: SlotReport,
        token: u64,
        now_ms: u64,
    ) -> &mut LentSlots {
        let new = || LentSlots {
            token,
            since_ms: now_ms,
            by_daemon: BTreeMap::new(),
            rejected_ms: Vec::new(),
        };
        let lent = self.by_endpoint.entry(incarnation.clone()).or_insert_with(new);
        if lent.token != token {
            *lent = new();
        }
        lent.drop_outdated(now_ms);
        let first = || DaemonSlots {
            used: 0,
            received: report.received,
            reported_ms: now_ms,
            in_transit_ms: VecDeque::new(),
        };
        lent.by_daemon.entry(vm.clone()).or_insert_with(first).update(report, now_ms);
        lent.rejected_ms.extend((0..report.rejections).map(|_| now_ms));
        lent
    }
}

impl LentSlots {
    fn drop_outdated(&mut self, now_ms: u64) {
        self.by_daemon.retain(|_, daemon| now_ms < daemon.reported_ms + REPORT_VALID_MS);
        self.rejected_ms.retain(|at_ms| now_ms < at_ms + REDUCED_MS);
    }
}

impl DaemonSlots {
    fn update(&mut self, report: SlotReport, now_ms: u64) {
        // A daemon that has started again counts anew.
        let arrived = report.received.saturating_sub(self.received) as usize;
        self.in_transit_ms.drain(..arrived.min(self.in_transit_ms.len()));
        self.in_transit_ms.retain(|lent_ms| now_ms < lent_ms + TRANSIT_MS);
        self.used = report.used;
        self.received = report.received;
        self.reported_ms = now_ms;
    }

    fn count(&self) -> u32 {
        self.used + self.in_transit_ms.len() as u32
    }
}
