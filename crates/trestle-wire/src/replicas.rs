//! What daemons and the leader tell each other.

use crate::{
    crashes::{WireCrash, WireRefused},
    departures::WireDeparture,
    lending::{WireBorrowing, WireLoan},
    placements::{WireDelta, WireName},
    places::{WirePlace, WirePlaceAsking},
    relay::{WireHave, WireRelay},
    trials::{WireTrial, WireTrialAnswer},
};
use std::{collections::BTreeMap, iter, net::SocketAddr, sync::Arc};
use trestle_core::names::{AdapterName, EndpointName, ModelName, ServiceName};
use trestle_dispatch::{
    crashes::CrashReport,
    demand::{DemandReport, Waiting},
    departures::Departure,
    lease::{LeaseRow, Resignation},
    loadable::Loadable,
    placement_log::PlacementMirror,
    rates::PastArrivals,
    replicas::{EngineSummary, ReplicaView},
};

/// The service between daemons and the leader.
#[tarpc::service]
pub trait Replicas {
    /// Tells what callers ask for, and learns where models are.
    async fn sync(asking: WireAsking) -> WireSynced;
    /// Asks whether an attempt of a request that ended endpoints may run, or says that it has ended.
    async fn try_out(trial: WireTrial) -> WireTrialAnswer;
    /// Asks for a part of a team's limit.
    async fn lend(borrowing: WireBorrowing) -> WireLoan;
    /// Asks for a place at an endpoint that has named a limit.
    async fn lend_place(asking: WirePlaceAsking) -> WirePlace;
}

/// What a daemon tells a leader, and what it has heard already.
#[trestle_macros::wire]
pub struct WireAsking {
    /// The VM that asks.
    pub vm: String,
    /// The group whose leader is asked.
    pub group: String,
    /// Whether it asks as the leader of other groups, with what its own daemons have told.
    pub is_leader: bool,
    /// Daemons that ask it, where it leads.
    pub members: u32,
    /// What is asked for, by service.
    pub digests: Vec<WireDigest>,
    /// What it has noted of requests under which endpoints ended, since it last told.
    pub crashes: Vec<WireCrash>,
    /// What it has.
    pub have: WireHave,
}

/// What the leader answers.
#[trestle_macros::wire]
#[derive(Default)]
pub struct WireSynced {
    /// Leases as it last knew them: those that it holds, and that of the group asked for.
    pub leases: Vec<WireGroupLease>,
    /// Whether it leads.
    pub is_leader: bool,
    /// The groups whose engines it orders.
    pub led: Vec<String>,
    /// Daemons that ask it; 0 while it cannot tell.
    pub members: u32,
    /// Said of groups for which it has stepped down.
    pub resigned: Vec<(String, WireResigned)>,
    /// What it knows, by service.
    pub views: BTreeMap<String, WireView>,
    /// Requests that are refused, if the asker lacks some.
    pub refused: Option<WireRefused>,
    /// What has changed in the store since what the asker has.
    pub relay: Option<WireRelay>,
}

/// The lease of one group.
#[trestle_macros::wire]
pub struct WireGroupLease {
    /// The group.
    pub group: String,
    /// The row.
    pub row: WireLease,
    /// Its version.
    pub version: u64,
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
    /// Daemons that ask its holder.
    #[serde(default)]
    pub daemons: u32,
    /// Requests that are refused, as far as they find room.
    #[serde(default)]
    pub refused: Vec<WireCrash>,
    /// Endpoints that left or are gone, as far as they find room.
    #[serde(default)]
    pub departures: Vec<WireDeparture>,
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
    /// The log whose numbers stand for names below.
    pub log: u64,
    /// Requests that run, by engine and model.
    pub running: Vec<(WireName, Vec<(WireName, u32)>)>,
    /// Adapters in use, by engine, with their models.
    pub adapters: Vec<(WireName, Vec<(WireName, WireName)>)>,
    /// Requests that run at other engines, by model.
    pub running_elsewhere: Vec<(WireName, u32)>,
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
#[derive(Default)]
pub struct WireView {
    /// What the asker lacks of where models are.
    pub placements: WireDelta,
    /// Requests that run at each engine, in the order of the engines' numbers.
    pub running: Vec<u32>,
    /// When models, or their adapters, will be ready.
    pub ready_in_ms: Vec<(String, Option<String>, u64)>,
    /// Daemons that share budgets; 0 while they have not been counted.
    pub daemons: u32,
    /// Daemons that ask this leader.
    pub askers: u32,
    /// Number of the asker's last digest that the plan has looked at.
    pub planned: u64,
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
            daemons: row.daemons,
            refused: row.refused.iter().cloned().map(WireCrash::from).collect(),
            departures: row.departures.iter().cloned().map(WireDeparture::from).collect(),
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
            daemons: wire.daemons,
            refused: wire.refused.into_iter().map(CrashReport::from).collect(),
            departures: wire.departures.into_iter().map(Departure::from).collect(),
        }
    }
}

impl WireDigest {
    /// The wire form of what one daemon tells of a service, with the numbers of a log.
    pub fn new(
        service: &ServiceName,
        digest: DemandReport,
        log: u64,
        number: impl Fn(&str) -> Option<u32>,
    ) -> Self {
        let named = |name: &str| WireName::new(name, &number);
        let counted = |models: BTreeMap<ModelName, u32>| {
            models.into_iter().map(|(model, count)| (named(model.as_str()), count)).collect()
        };
        let running = digest
            .running
            .into_iter()
            .map(|(endpoint, models)| (named(endpoint.as_str()), counted(models)));
        let adapters = digest.adapters_in_use.into_iter().map(|(endpoint, keys)| {
            let keys = keys
                .iter()
                .map(|(model, adapter)| (named(model.as_str()), named(adapter.as_str())));
            (named(endpoint.as_str()), keys.collect())
        });
        Self {
            service: service.to_string(),
            number: digest.number,
            arrivals: digest.arrivals.into_iter().map(|(m, n)| (m.to_string(), n)).collect(),
            past: digest.past.map(|past| past.into_iter().map(to_past).collect()),
            waiting: digest.waiting.into_iter().map(WireWaiting::from).collect(),
            log,
            running: running.collect(),
            adapters: adapters.collect(),
            running_elsewhere: counted(digest.running_elsewhere),
        }
    }

    /// What it says, given the names that numbers stand for. What has a number without a name
    /// is left out: the asker learnt it from another leader, and tells it anew next time.
    pub fn into_digest(
        self,
        name: impl Fn(u32) -> Option<Arc<str>>,
    ) -> (ServiceName, DemandReport) {
        let named = |wire: WireName| match wire {
            WireName::Number(number) => name(number),
            WireName::Name(name) => Some(name.into()),
        };
        let counted = |models: Vec<(WireName, u32)>| {
            let known = models
                .into_iter()
                .filter_map(|(model, count)| Some((ModelName::from(named(model)?), count)));
            known.collect::<BTreeMap<_, _>>()
        };
        let running = self.running.into_iter().filter_map(|(endpoint, models)| {
            Some((EndpointName::from(named(endpoint)?), counted(models)))
        });
        let adapters = self.adapters.into_iter().filter_map(|(endpoint, keys)| {
            let keys = keys.into_iter().filter_map(|(model, adapter)| {
                Some((ModelName::from(named(model)?), AdapterName::from(named(adapter)?)))
            });
            Some((EndpointName::from(named(endpoint)?), keys.collect()))
        });
        let digest = DemandReport {
            number: self.number,
            arrivals: self.arrivals.into_iter().map(|(m, n)| (ModelName::from(m), n)).collect(),
            past: self.past.map(|past| past.into_iter().map(from_past).collect()),
            waiting: self.waiting.into_iter().map(Waiting::from).collect(),
            running: running.collect(),
            adapters_in_use: adapters.collect(),
            running_elsewhere: counted(self.running_elsewhere),
        };
        (self.service.into(), digest)
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

impl WireView {
    /// What it says, given where models are by the asker's copy of the leader's log.
    pub fn into_view(self, placements: &PlacementMirror) -> ReplicaView {
        let engines = placements.engines().zip(self.running.iter().chain(iter::repeat(&0)));
        let engines = engines.map(|((name, holds), running)| {
            (name.clone(), EngineSummary { holds: holds.clone(), running: *running })
        });
        ReplicaView {
            engines: engines.collect(),
            ready_in_ms: self.ready_in_ms.into_iter().map(from_ready).collect(),
            daemons: self.daemons as usize,
            leader_clients: self.askers as usize,
        }
    }
}

/// The wire form of when something will be ready.
pub fn to_ready((loadable, ms): (&Loadable, &u64)) -> (String, Option<String>, u64) {
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
