//! What daemons and the leader tell each other.

use crate::relay::{WireHave, WireRelay};
use std::{collections::BTreeMap, net::SocketAddr};
use trestle_core::names::{AdapterName, EndpointName, ModelName, ServiceName};
use trestle_dispatch::{
    demand::{DemandDigest, Waiting},
    lease::{LeaseRow, Resignation},
    loadable::Loadable,
    rates::PastArrivals,
    replicas::{EngineNote, ReplicaView},
};

/// The service between daemons and the leader.
#[tarpc::service]
pub trait Replicas {
    /// Tells what callers ask for, and learns where models are.
    async fn sync(vm: String, digests: Vec<WireDigest>, have: WireHave) -> WireSynced;
}

/// What the leader answers.
#[trestle_macros::wire]
pub struct WireSynced {
    /// The lease as it last wrote it, with the version of the row.
    pub lease: Option<(WireLease, u64)>,
    /// Whether it holds the lease.
    pub is_leader: bool,
    /// Said once it has stepped down.
    pub resigned: Option<WireResigned>,
    /// What it knows, by service.
    pub views: BTreeMap<String, WireView>,
    /// Number of the asker's last digest that the plan of a service has looked at.
    pub planned: BTreeMap<String, u64>,
    /// What has changed in the store since what the asker has.
    pub relay: Option<WireRelay>,
}

/// What a leader says that has stepped down.
#[trestle_macros::wire]
pub struct WireResigned {
    /// The fencing number under which it gives no order any more.
    pub token: u64,
    /// Time for which nobody may give any order.
    pub quiet_for_ms: u64,
    /// Time after which its orders no longer matter anywhere.
    pub settled_for_ms: u64,
    /// For how long each engine must be left alone, in ms.
    pub engines: BTreeMap<String, u64>,
}

/// The lease on giving orders, as the store's row holds it.
#[trestle_macros::wire]
pub struct WireLease {
    /// The machine that holds it.
    pub holder: String,
    /// Where its daemon answers others.
    pub address: SocketAddr,
    /// Processor of that machine, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
    /// The start of that daemon.
    pub incarnation: u64,
    /// The fencing number.
    pub token: u64,
    /// Renewals of this holder.
    pub renewals: u64,
    /// Whether the quiet time after the holder before is over.
    pub has_begun: bool,
    /// Whether it has been given up.
    pub is_released: bool,
}

/// What one daemon tells of one service.
#[trestle_macros::wire]
pub struct WireDigest {
    /// The service.
    pub service: String,
    /// Number of the digest.
    pub number: u64,
    /// Requests that arrived, by model.
    pub arrivals: Vec<(String, u32)>,
    /// All that arrived until now, for a leader that has not heard of it: model, weight in
    /// thousandths, time since the last in ms.
    pub past: Option<Vec<(String, u32, u64)>>,
    /// Requests that wait.
    pub waiting: Vec<WireWaiting>,
    /// Requests that run, by engine and model.
    pub running: Vec<(String, Vec<(String, u32)>)>,
    /// Adapters in use, by engine, with their models.
    pub adapters: Vec<(String, Vec<(String, String)>)>,
}

/// Requests that wait for the same thing.
#[trestle_macros::wire]
pub struct WireWaiting {
    /// Urgency; 0 goes first.
    pub priority: u8,
    /// Time until the first of them is no longer on time.
    pub due_in_ms: u64,
    /// The model.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
    /// How many.
    pub count: u32,
}

/// What the leader knows of one service.
#[trestle_macros::wire]
pub struct WireView {
    /// By engine.
    pub engines: Vec<(String, WireNote)>,
    /// When models, or their adapters, will be ready.
    pub ready_in_ms: Vec<(String, Option<String>, u64)>,
    /// Daemons that told something lately.
    pub daemons: usize,
}

/// What the leader knows of one engine.
#[trestle_macros::wire]
pub struct WireNote {
    /// Models that are going.
    pub retiring: Vec<String>,
    /// Models that have arrived and are not in its entry yet.
    pub arrived: Vec<String>,
    /// Adapters that are there, with their models, if they differ from its entry.
    pub adapters: Option<Vec<(String, String)>>,
    /// Requests that run there.
    pub running: u32,
}

impl WireResigned {
    /// The wire form of what a leader says that has stepped down.
    pub fn new(resignation: Resignation, engines: BTreeMap<EndpointName, u64>) -> Self {
        Self {
            token: resignation.token,
            quiet_for_ms: resignation.quiet_for_ms,
            settled_for_ms: resignation.settled_for_ms,
            engines: engines.into_iter().map(|(name, ms)| (name.to_string(), ms)).collect(),
        }
    }
}

impl From<WireResigned> for (Resignation, BTreeMap<EndpointName, u64>) {
    fn from(wire: WireResigned) -> Self {
        let resignation = Resignation {
            token: wire.token,
            quiet_for_ms: wire.quiet_for_ms,
            settled_for_ms: wire.settled_for_ms,
        };
        let engines = wire.engines.into_iter().map(|(name, ms)| (name.into(), ms));
        (resignation, engines.collect())
    }
}

impl From<&LeaseRow> for WireLease {
    fn from(row: &LeaseRow) -> Self {
        Self {
            holder: row.holder.clone(),
            address: row.address,
            millicores: row.millicores,
            incarnation: row.incarnation,
            token: row.token,
            renewals: row.renewals,
            has_begun: row.has_begun,
            is_released: row.is_released,
        }
    }
}

impl From<WireLease> for LeaseRow {
    fn from(wire: WireLease) -> Self {
        Self {
            holder: wire.holder,
            address: wire.address,
            millicores: wire.millicores,
            incarnation: wire.incarnation,
            token: wire.token,
            renewals: wire.renewals,
            has_begun: wire.has_begun,
            is_released: wire.is_released,
        }
    }
}

impl WireDigest {
    /// The wire form of what one daemon tells of a service.
    pub fn new(service: &ServiceName, digest: DemandDigest) -> Self {
        let running = digest.running.into_iter().map(|(endpoint, models)| {
            (endpoint.to_string(), models.into_iter().map(|(m, n)| (m.to_string(), n)).collect())
        });
        let adapters = digest
            .adapters_in_use
            .into_iter()
            .map(|(endpoint, keys)| (endpoint.to_string(), to_pairs(keys)));
        Self {
            service: service.to_string(),
            number: digest.number,
            arrivals: digest.arrivals.into_iter().map(|(m, n)| (m.to_string(), n)).collect(),
            past: digest.past.map(|past| past.into_iter().map(to_past).collect()),
            waiting: digest.waiting.into_iter().map(WireWaiting::from).collect(),
            running: running.collect(),
            adapters: adapters.collect(),
        }
    }
}

impl From<WireDigest> for (ServiceName, DemandDigest) {
    fn from(wire: WireDigest) -> Self {
        let running = wire.running.into_iter().map(|(endpoint, models)| {
            let models = models.into_iter().map(|(m, n)| (ModelName::from(m), n)).collect();
            (EndpointName::from(endpoint), models)
        });
        let adapters = wire
            .adapters
            .into_iter()
            .map(|(endpoint, keys)| (EndpointName::from(endpoint), from_pairs(keys)));
        let digest = DemandDigest {
            number: wire.number,
            arrivals: wire.arrivals.into_iter().map(|(m, n)| (ModelName::from(m), n)).collect(),
            past: wire.past.map(|past| past.into_iter().map(from_past).collect()),
            waiting: wire.waiting.into_iter().map(Waiting::from).collect(),
            running: running.collect(),
            adapters_in_use: adapters.collect(),
        };
        (wire.service.into(), digest)
    }
}

impl From<Waiting> for WireWaiting {
    fn from(waiting: Waiting) -> Self {
        Self {
            priority: waiting.priority,
            due_in_ms: waiting.due_in_ms,
            model: waiting.model.to_string(),
            adapter: waiting.adapter.map(|adapter| adapter.to_string()),
            count: waiting.count,
        }
    }
}

impl From<WireWaiting> for Waiting {
    fn from(wire: WireWaiting) -> Self {
        Self {
            priority: wire.priority,
            due_in_ms: wire.due_in_ms,
            model: wire.model.into(),
            adapter: wire.adapter.map(AdapterName::from),
            count: wire.count,
        }
    }
}

impl From<&ReplicaView> for WireView {
    fn from(view: &ReplicaView) -> Self {
        let engines =
            view.engines.iter().map(|(name, note)| (name.to_string(), WireNote::from(note)));
        Self {
            engines: engines.collect(),
            ready_in_ms: view.ready_in_ms.iter().map(to_ready).collect(),
            daemons: view.daemons,
        }
    }
}

impl From<WireView> for ReplicaView {
    fn from(wire: WireView) -> Self {
        let engines = wire.engines.into_iter().map(|(name, note)| (name.into(), note.into()));
        Self {
            engines: engines.collect(),
            ready_in_ms: wire.ready_in_ms.into_iter().map(from_ready).collect(),
            daemons: wire.daemons,
        }
    }
}

impl From<&EngineNote> for WireNote {
    fn from(note: &EngineNote) -> Self {
        Self {
            retiring: note.retiring.iter().map(ToString::to_string).collect(),
            arrived: note.arrived.iter().map(ToString::to_string).collect(),
            adapters: note.adapters.as_ref().map(|keys| to_pairs(keys.iter().cloned())),
            running: note.running,
        }
    }
}

impl From<WireNote> for EngineNote {
    fn from(wire: WireNote) -> Self {
        Self {
            retiring: wire.retiring.into_iter().map(ModelName::from).collect(),
            arrived: wire.arrived.into_iter().map(ModelName::from).collect(),
            adapters: wire.adapters.map(from_pairs),
            running: wire.running,
        }
    }
}

fn to_ready((loadable, ms): (&Loadable, &u64)) -> (String, Option<String>, u64) {
    (loadable.model.to_string(), loadable.adapter.as_ref().map(ToString::to_string), *ms)
}

fn from_ready((model, adapter, ms): (String, Option<String>, u64)) -> (Loadable, u64) {
    (Loadable { model: model.into(), adapter: adapter.map(AdapterName::from) }, ms)
}

fn to_past(past: PastArrivals) -> (String, u32, u64) {
    (past.model.to_string(), past.weight_milli, past.age_ms)
}

fn from_past((model, weight_milli, age_ms): (String, u32, u64)) -> PastArrivals {
    PastArrivals { model: model.into(), weight_milli, age_ms }
}

fn to_pairs(keys: impl IntoIterator<Item = (ModelName, AdapterName)>) -> Vec<(String, String)> {
    keys.into_iter().map(|(model, adapter)| (model.to_string(), adapter.to_string())).collect()
}

fn from_pairs<C: FromIterator<(ModelName, AdapterName)>>(keys: Vec<(String, String)>) -> C {
    keys.into_iter().map(|(model, adapter)| (model.into(), adapter.into())).collect()
}
