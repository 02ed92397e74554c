//! Slots of endpoints that crash if they have to reject too many requests, as daemons request them
//! from leaders.

use trestle_dispatch::{
    brittle::SlotReport,
    endpoint::{Endpoint, Incarnation},
    slot_allocator::Slot,
};

/// Report of a daemon on the slots of an endpoint that it uses, and request for another one.
#[trestle_macros::wire]
pub struct WireSlotRequest {
    /// VM of the daemon.
    pub vm: String,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Time at which this incarnation of the endpoint started, in Unix milliseconds on its own clock.
    pub born_ms: u64,
    /// Group that the endpoint belongs to.
    pub group: String,
    /// Number of slots that the endpoint has.
    pub slots: u32,
    /// Slots that the daemon uses.
    pub used: u32,
    /// Slots that leaders have lent to the daemon so far.
    pub received: u64,
    /// Requests that the endpoint has rejected since the last report.
    pub rejections: u32,
    /// Rejections in a second that the endpoint survives.
    pub max_rejections: u32,
    /// Whether the daemon only reports and requests no slot.
    pub is_report: bool,
    /// Whether the leader of another group forwards this request, so that it is not forwarded again.
    pub is_passed_on: bool,
}

/// Answer to a request for a slot.
#[trestle_macros::wire]
#[derive(Copy)]
pub enum WireSlot {
    /// The slot is lent for one request.
    Lent,
    /// No slot is left.
    Full {
        /// Time after which another request may succeed, in milliseconds.
        in_ms: u64,
    },
    /// The daemon that received the request does not lend slots of the endpoint.
    NotLending,
}

impl WireSlotRequest {
    /// Creates the request of a VM for a slot of an endpoint.
    pub fn new(vm: &str, endpoint: &Endpoint, report: SlotReport) -> Self {
        let Incarnation { name, started_unix_ms } = endpoint.incarnation();
        Self {
            vm: vm.to_owned(),
            endpoint: name.to_string(),
            born_ms: started_unix_ms,
            group: endpoint.domain.to_string(),
            slots: endpoint.slots,
            used: report.used,
            received: report.received,
            rejections: report.rejections,
            max_rejections: report.max_rejections,
            is_report: false,
            is_passed_on: false,
        }
    }

    /// Returns the incarnation of the endpoint.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { name: self.endpoint.as_str().into(), started_unix_ms: self.born_ms }
    }

    /// Returns what the daemon reports.
    pub fn report(&self) -> SlotReport {
        SlotReport {
            used: self.used,
            received: self.received,
            rejections: self.rejections,
            max_rejections: self.max_rejections,
        }
    }
}

impl From<Slot> for WireSlot {
    fn from(slot: Slot) -> Self {
        match slot {
            Slot::Lent => Self::Lent,
            Slot::Full { in_ms } => Self::Full { in_ms },
            Slot::NotLending => Self::NotLending,
        }
    }
}

impl From<WireSlot> for Slot {
    fn from(wire: WireSlot) -> Self {
        match wire {
            WireSlot::Lent => Self::Lent,
            WireSlot::Full { in_ms } => Self::Full { in_ms },
            WireSlot::NotLending => Self::NotLending,
        }
    }
}
