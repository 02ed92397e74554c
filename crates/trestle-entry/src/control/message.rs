//! What the control thread takes.

use async_channel::Sender;
use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::{DomainName, EndpointName, ServiceName};
use trestle_dispatch::{
    endpoint::Incarnation,
    lease::{LeaseRow, LeaseWrite, Resignation},
    orders::OrderChain,
    store::WriteOutcome,
};
use trestle_wire::replicas::{WireAsking, WireGroupLease, WireSynced};

/// What the control thread takes.
#[derive(Debug)]
pub(crate) enum Message {
    /// Time has passed.
    Tick,
    /// A daemon tells what its callers ask for.
    Sync {
        /// What it tells, and what it has.
        asking: WireAsking,
        /// Takes the answer.
        reply: Sender<WireSynced>,
    },
    /// Leases were told by their holder.
    LeasesTold(Vec<WireGroupLease>),
    /// Leases were read, by group, with their versions.
    LeasesRead(BTreeMap<DomainName, (Option<LeaseRow>, u64)>),
    /// Leases could not be read.
    LeasesUnread,
    /// A write of the lease has ended.
    LeaseWritten {
        /// The group whose lease it is.
        group: DomainName,
        /// The write.
        write: LeaseWrite,
        /// Its outcome.
        outcome: WriteOutcome,
        /// When it was sent.
        sent_ms: u64,
    },
    /// A leader has stepped down.
    Resigned {
        /// The group that it led.
        group: DomainName,
        /// What it says of the lease.
        resignation: Resignation,
        /// For how long each engine must be left alone, in ms.
        engines: BTreeMap<EndpointName, u64>,
    },
    /// The leader does not answer.
    LeaderSilent,
    /// Asks where the leader is; after so many in a row that did not answer, another one.
    Leader {
        /// Leaders that did not answer.
        attempt: usize,
        /// Takes the answer.
        reply: Sender<Leader>,
    },
    /// Asks where the leader is that decides for all daemons on something.
    LeaderFor {
        /// The name of that.
        name: String,
        /// Takes the answer, and since when that one decides on it, if another one may have
        /// before.
        reply: Sender<(Leader, Option<u64>)>,
    },
    /// Asks where the leader of a group is.
    LeaderOf {
        /// The group.
        group: DomainName,
        /// Takes the answer.
        reply: Sender<Leader>,
    },
    /// Asks where other leaders answer, if this daemon leads, each with a group that it leads and
    /// its fencing number there.
    OtherLeaders(Sender<BTreeMap<SocketAddr, (DomainName, u64)>>),
    /// Asks what another leader is to be told.
    AskOther {
        /// Where it answers.
        address: SocketAddr,
        /// A group that it leads.
        group: DomainName,
        /// Takes that, and whether it has not planned with it yet.
        reply: Sender<(WireAsking, bool)>,
    },
    /// Another leader has answered, or not.
    OtherAnswered {
        /// Where it answers.
        address: SocketAddr,
        /// What it says.
        answer: Option<WireSynced>,
    },
    /// A change at an engine has ended.
    ChangeEnded {
        /// The engine's service.
        service: ServiceName,
        /// The start of the engine to which its orders went.
        engine: Incarnation,
        /// Its orders, as far as they came.
        chain: OrderChain,
    },
    /// The quiet time between orders of two VMs is now this long, in ms.
    QuietTime(u64),
    /// The daemon is about to stop; answered once the lease is given up.
    Stop(Sender<()>),
}

/// Where the leader is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Leader {
    /// This daemon.
    Here {
        /// A group that it leads.
        group: DomainName,
        /// Its fencing number there.
        token: u64,
    },
    /// Another daemon.
    At {
        /// Where it answers.
        address: SocketAddr,
        /// A group that it leads.
        group: DomainName,
        /// Its fencing number there.
        token: u64,
    },
    /// Not known, or nobody at the moment.
    Nobody,
}
