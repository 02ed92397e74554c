//! What the control thread takes.

use async_channel::Sender;
use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::{EndpointName, ServiceName, VmName};
use trestle_dispatch::{
    demand::DemandDigest,
    lease::{LeaseRow, LeaseWrite, Resignation},
    orders::OrderChain,
    store::WriteOutcome,
};
use trestle_wire::replicas::WireSynced;

/// What the control thread takes.
#[derive(Debug)]
pub(crate) enum Message {
    /// Time has passed.
    Tick,
    /// A daemon tells what its callers ask for.
    Sync {
        /// Where it runs.
        vm: VmName,
        /// What they ask for, by service.
        digests: Vec<(ServiceName, DemandDigest)>,
        /// Takes the answer.
        reply: Sender<WireSynced>,
    },
    /// The lease was read, or told by its holder.
    LeaseSeen {
        /// The row, if there is one.
        row: Option<LeaseRow>,
        /// Its version; 0 if there is none.
        version: u64,
    },
    /// The lease could not be read.
    LeaseUnread,
    /// A write of the lease has ended.
    LeaseWritten {
        /// The write.
        write: LeaseWrite,
        /// Its outcome.
        outcome: WriteOutcome,
        /// When it was sent.
        sent_ms: u64,
    },
    /// The leader has stepped down.
    Resigned {
        /// What it says of the lease.
        resignation: Resignation,
        /// For how long each engine must be left alone, in ms.
        engines: BTreeMap<EndpointName, u64>,
    },
    /// The leader does not answer.
    LeaderSilent,
    /// Asks where the leader is.
    Leader(Sender<Leader>),
    /// A change at an engine has ended.
    ChangeEnded {
        /// The engine's service.
        service: ServiceName,
        /// The engine.
        endpoint: EndpointName,
        /// Its orders, as far as they came.
        chain: OrderChain,
    },
    /// The quiet time between orders of two VMs is now this long, in ms.
    QuietTime(u64),
    /// The daemon is about to stop; answered once the lease is given up.
    Stop(Sender<()>),
}

/// Where the leader is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Leader {
    /// This daemon.
    Here {
        /// Its fencing number.
        token: u64,
    },
    /// Another daemon.
    At {
        /// Where it answers.
        address: SocketAddr,
        /// Its fencing number.
        token: u64,
    },
    /// Not known, or nobody at the moment.
    Nobody,
}
