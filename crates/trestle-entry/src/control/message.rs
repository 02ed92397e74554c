//! Messages to the control thread.

use async_channel::Sender;
use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::{DomainName, EndpointName, ServiceName};
use trestle_dispatch::{
    endpoint::Incarnation,
    lease::{LeaseRow, LeaseWrite, Resignation},
    orders::OrderChain,
    store::WriteOutcome,
    store_version::StoreVersion,
};
use trestle_wire::replicas::{WireGroupLease, WireSyncRequest, WireSyncResponse};

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// The time for periodic work has come.
    Tick,
    /// A sync request from another daemon, or from this one.
    Sync {
        /// The reported demand, and what the sender already has.
        request: WireSyncRequest,
        /// The channel for the answer.
        reply: Sender<WireSyncResponse>,
    },
    /// Lease rows as sent by their holder.
    LeasesReceived(Vec<WireGroupLease>),
    /// Lease rows as read from the store, by group, with their versions.
    LeasesRead(BTreeMap<DomainName, (Option<LeaseRow>, StoreVersion)>),
    /// The lease rows could not be read from the store.
    LeaseReadFailed,
    /// A write of a lease row has finished.
    LeaseWritten {
        /// The group whose lease it is.
        group: DomainName,
        /// The write.
        write: LeaseWrite,
        /// The outcome of the write.
        outcome: WriteOutcome,
        /// When the write was sent.
        sent_ms: u64,
    },
    /// A leader has stepped down.
    Resigned {
        /// The group that it led.
        group: DomainName,
        /// The state in which it left the lease.
        resignation: Resignation,
        /// Time for which each engine must not receive orders, in ms.
        engines: BTreeMap<EndpointName, u64>,
    },
    /// A leader does not answer.
    LeaderUnresponsive,
    /// Asks which leader this daemon should sync with.
    LeaderToQuery {
        /// Number of consecutive leaders that did not answer; each selects the next leader.
        attempt: usize,
        /// The channel for the answer.
        reply: Sender<Leader>,
    },
    /// Asks which leader makes the decisions on a name for all daemons.
    DecisionLeader {
        /// The name.
        name: String,
        /// The channel for the answer: the leader, and since when it makes these decisions if
        /// another leader may have made them before.
        reply: Sender<(Leader, Option<u64>)>,
    },
    /// Asks where the leader of a group is.
    GroupLeader {
        /// The group.
        group: DomainName,
        /// The channel for the answer.
        reply: Sender<Leader>,
    },
    /// Asks for the addresses of other leaders if this daemon leads; each with a group that the
    /// other leader leads, and the other leader's fencing number there.
    OtherLeaders(Sender<BTreeMap<SocketAddr, (DomainName, u64)>>),
    /// Asks for the sync request to another leader.
    OtherLeaderRequest {
        /// The address of the other leader.
        address: SocketAddr,
        /// A group that the other leader leads.
        group: DomainName,
        /// The channel for the request, and whether it holds demand with which the other leader
        /// has not planned yet.
        reply: Sender<(WireSyncRequest, bool)>,
    },
    /// Another leader has answered a sync request, or failed to.
    OtherLeaderAnswered {
        /// The address of the other leader.
        address: SocketAddr,
        /// The answer; `None` if there was none.
        answer: Option<WireSyncResponse>,
    },
    /// A change at an engine has finished.
    ChangeFinished {
        /// The engine's service.
        service: ServiceName,
        /// The incarnation of the engine to which the orders were sent.
        engine: Incarnation,
        /// The orders, up to the last that was sent.
        chain: OrderChain,
    },
    /// Sets the quiet time between orders from two VMs, in ms.
    QuietTime(u64),
    /// The daemon is about to stop; answered once the leases are released.
    Stop(Sender<()>),
}

/// The location of a leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Leader {
    /// This daemon is the leader.
    Here {
        /// A group that it leads.
        group: DomainName,
        /// Its fencing number there.
        token: u64,
    },
    /// Another daemon is the leader.
    At {
        /// The address at which it serves daemons.
        address: SocketAddr,
        /// A group that it leads.
        group: DomainName,
        /// Its fencing number there.
        token: u64,
    },
    /// No leader is known, or there is none at the moment.
    Nobody,
}
