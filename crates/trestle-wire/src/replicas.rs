//! The service between daemons and leaders, where the state is in an outside store.

use crate::{
    allocation::{WireAllocation, WireAllocationRequest},
    crashes::{WireCrashReport, WireRestrictedRequests},
    departures::WireDeparture,
    detours::{WireHelper, WireHelperReport},
    placements::{WireName, WirePlacementDelta},
    relay::{WireRelay, WireSyncPosition},
    schedule::{WireSchedule, WireScheduleRequest},
    send_permits::{WireSendPermit, WireSendPermitRequest},
    slots::{WireSlot, WireSlotRequest},
    store_version::WireStoreVersion,
    streams::{WireIncarnation, WireStreamKnowledge, WireStreamOrigin, WireStreamQuestion},
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

/// Service of a leader towards daemons and other leaders.
#[tarpc::service]
pub trait Replicas {
    /// Reports the demand of callers, and returns where models are loaded.
    async fn sync(asking: WireSyncRequest) -> WireSyncResponse;
    /// Requests permission for an attempt of a request that may crash endpoints, or reports the
    /// attempt's end.
    async fn try_out(trial: WireTrial) -> WireTrialAnswer;
    /// Requests units of a team's limit.
    async fn lend(borrowing: WireAllocationRequest) -> WireAllocation;
    /// Requests a send permit for an endpoint that has announced a limit.
    async fn lend_place(asking: WireSendPermitRequest) -> WireSendPermit;
    /// Reports whether this daemon is cut off from endpoints, and returns daemons through which it
    /// can open detours. Daemons of earlier releases close the connection.
    async fn find_helpers(report: WireHelperReport) -> Vec<WireHelper>;
    /// Reports which slots of a brittle endpoint are used, and requests another one. Daemons of
    /// earlier releases close the connection.
    async fn request_slot(request: WireSlotRequest) -> WireSlot;
    /// Returns the versions of the software that incarnations of endpoints run; `None` for each that
    /// this daemon does not know. Daemons of earlier releases close the connection.
    async fn endpoint_versions(of: Vec<WireIncarnation>) -> Vec<Option<String>>;
    /// Reports as [`Self::find_helpers`] does, and returns daemons of each failure domain that keep where
    /// streams began. Daemons of earlier releases close the connection.
    async fn stream_keepers(report: WireHelperReport) -> Vec<WireHelper>;
    /// Tells where streams began. Daemons of earlier releases close the connection.
    async fn keep_streams(streams: Vec<WireStreamOrigin>);
    /// Returns where a stream began. Daemons of earlier releases close the connection.
    async fn find_stream(question: WireStreamQuestion) -> WireStreamKnowledge;
    /// Requests a decision on which engine reads a prompt, and when. Daemons of earlier releases close
    /// the connection.
    async fn schedule_prompt(request: WireScheduleRequest) -> WireSchedule;
}

/// Report of a daemon to a leader, with the position up to which the daemon has the leader's data.
#[trestle_macros::wire]
pub struct WireSyncRequest {
    /// VM of the daemon.
    pub vm: String,
    /// Group whose leader the daemon syncs with.
    pub group: String,
    /// Whether the daemon reports as the leader of other groups, for the daemons that sync with it.
    pub is_leader: bool,
    /// Number of daemons that sync with the reporting daemon, if it leads.
    pub members: u32,
    /// Demand reports, one per service.
    pub digests: Vec<WireDemandReport>,
    /// Requests under which endpoints crashed, as recorded since the last report.
    pub crashes: Vec<WireCrashReport>,
    /// Contents of the store and of the leader that the daemon has already.
    pub have: WireSyncPosition,
}

/// Answer of a leader to a sync request.
#[trestle_macros::wire]
#[derive(Default)]
pub struct WireSyncResponse {
    /// Leases as the answering daemon last knew them: those that it holds, and that of the
    /// requested group.
    pub leases: Vec<WireGroupLease>,
    /// Whether the answering daemon leads.
    pub is_leader: bool,
    /// Groups to whose engines the answering daemon sends orders.
    pub led: Vec<String>,
    /// Number of daemons that sync with the leader; 0 while it is unknown.
    pub members: u32,
    /// Resignations of the answering daemon, by group.
    pub resigned: Vec<(String, WireResignation)>,
    /// State of each service as the leader knows it, by name.
    pub views: BTreeMap<String, WireServiceView>,
    /// Restricted requests; `None` if the requesting daemon knows all of them.
    pub refused: Option<WireRestrictedRequests>,
    /// Changes of the store that the requesting daemon lacks; `None` for a leader, which follows
    /// the store itself, and if the answering daemon does not lead.
    pub relay: Option<WireRelay>,
}

/// Lease of one group.
#[trestle_macros::wire]
pub struct WireGroupLease {
    /// Name of the group.
    pub group: String,
    /// Content of the lease's row.
    pub row: WireLeaseRow,
    /// Version of the row.
    pub version: WireStoreVersion,
}

/// Resignation of a leader that has stepped down.
#[trestle_macros::wire]
pub struct WireResignation {
    /// Fencing number under which the former leader sends no more orders.
    pub token: u64,
    /// Time for which no daemon may send any order, in milliseconds.
    pub quiet_for_ms: u64,
    /// Time after which the former leader's orders have no effect anywhere any more, in
    /// milliseconds.
    pub settled_for_ms: u64,
    /// Time for which each engine must get no order, in milliseconds.
    pub engines: BTreeMap<String, u64>,
}

/// Row of the lease that permits its holder to send orders.
#[trestle_macros::wire]
pub struct WireLeaseRow {
    /// VM that holds the lease.
    pub holder: String,
    /// Address at which the holder's daemon serves other daemons.
    pub address: SocketAddr,
    /// Processor of the holder's VM, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
    /// Random number that identifies the start of the holder's daemon.
    pub incarnation: u64,
    /// Fencing number; grows with each holder.
    pub token: u64,
    /// Number of renewals by this holder.
    pub renewals: u64,
    /// Whether the quiet time after the previous holder is over.
    pub has_begun: bool,
    /// Whether the holder has released the lease.
    pub is_released: bool,
    /// Number of daemons that sync with the holder.
    #[serde(default)]
    pub daemons: u32,
    /// Requests rejected because endpoints crashed under them, as many as fit into the row.
    #[serde(default)]
    pub refused: Vec<WireCrashReport>,
    /// Endpoints that are draining or gone, as many as fit into the row.
    #[serde(default)]
    pub departures: Vec<WireDeparture>,
}

/// Demand of one daemon's callers for one service.
#[trestle_macros::wire]
pub struct WireDemandReport {
    /// Name of the service.
    pub service: String,
    /// Number of the report; each daemon counts its own.
    pub number: u64,
    /// Number of requests that arrived since the last report, by model.
    pub arrivals: Vec<(String, u32)>,
    /// Arrivals until now, for a leader that does not know them: the model, the weight of its
    /// arrivals in thousandths, and the time since the last one in milliseconds. `None` if the
    /// leader knows them.
    pub past: Option<Vec<(String, u32, u64)>>,
    /// Requests that wait for a model or an adapter.
    pub waiting: Vec<WireWaiting>,
    /// Random number that identifies the placement log whose numbers stand for names below.
    pub log: u64,
    /// Number of running requests, by engine and model.
    pub running: Vec<(WireName, Vec<(WireName, u32)>)>,
    /// Adapters in use, by engine, each after its model.
    pub adapters: Vec<(WireName, Vec<(WireName, WireName)>)>,
    /// Number of requests that run at engines not named in `running`, by model.
    pub running_elsewhere: Vec<(WireName, u32)>,
}

/// Requests that wait for the same model or adapter.
#[trestle_macros::wire]
pub struct WireWaiting {
    /// Urgency of the most urgent request; 0 is the most urgent.
    pub priority: u8,
    /// Time until the first of the requests is no longer on time, in milliseconds.
    pub due_in_ms: u64,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` if the requests wait for the model itself.
    pub adapter: Option<String>,
    /// Number of requests.
    pub count: u32,
}

/// State of one service as the leader knows it.
#[trestle_macros::wire]
#[derive(Default)]
pub struct WireServiceView {
    /// Part of the placement log that the requesting daemon lacks.
    pub placements: WirePlacementDelta,
    /// Number of requests that run at each engine, in the order of the engines' numbers in the
    /// placement log; engines past the end have none.
    pub running: Vec<u32>,
    /// Models and adapters that will be ready: the model, the adapter, and the time until then in
    /// milliseconds.
    pub ready_in_ms: Vec<(String, Option<String>, u64)>,
    /// Number of daemons that share budgets; 0 while they have not been counted.
    pub daemons: u32,
    /// Number of daemons that sync with this leader.
    pub askers: u32,
    /// Number of the requesting daemon's last demand report that the leader's plan has considered.
    pub planned: u64,
}

impl WireResignation {
    /// Creates the wire form of a resignation; `engines` holds the time, in milliseconds, for which
    /// each engine must get no order.
    pub fn new(resignation: Resignation, engines: BTreeMap<EndpointName, u64>) -> Self {
        Self {
            token: resignation.token,
            quiet_for_ms: resignation.quiet_for_ms,
            settled_for_ms: resignation.settled_for_ms,
            engines: engines.into_iter().map(|(name, ms)| (name.to_string(), ms)).collect(),
        }
    }
}

impl From<WireResignation> for (Resignation, BTreeMap<EndpointName, u64>) {
    fn from(wire: WireResignation) -> Self {
        let resignation = Resignation {
            token: wire.token,
            quiet_for_ms: wire.quiet_for_ms,
            settled_for_ms: wire.settled_for_ms,
        };
        let engines = wire.engines.into_iter().map(|(name, ms)| (name.into(), ms));
        (resignation, engines.collect())
    }
}

impl From<&LeaseRow> for WireLeaseRow {
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
            refused: row.refused.iter().cloned().map(WireCrashReport::from).collect(),
            departures: row.departures.iter().cloned().map(WireDeparture::from).collect(),
        }
    }
}

impl From<WireLeaseRow> for LeaseRow {
    fn from(wire: WireLeaseRow) -> Self {
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

impl WireDemandReport {
    /// Creates the wire form of a demand report. `log` is the random number that identifies a
    /// placement log, and `number` returns the number that stands for a name in it.
    pub fn new(
        service: &ServiceName,
        report: DemandReport,
        log: u64,
        number: impl Fn(&str) -> Option<u32>,
    ) -> Self {
        let named = |name: &str| WireName::new(name, &number);
        let counted = |models: BTreeMap<ModelName, u32>| {
            models.into_iter().map(|(model, count)| (named(model.as_str()), count)).collect()
        };
        let running = report
            .running
            .into_iter()
            .map(|(endpoint, models)| (named(endpoint.as_str()), counted(models)));
        let adapters = report.adapters_in_use.into_iter().map(|(endpoint, keys)| {
            let keys = keys
                .iter()
                .map(|(model, adapter)| (named(model.as_str()), named(adapter.as_str())));
            (named(endpoint.as_str()), keys.collect())
        });
        Self {
            service: service.to_string(),
            number: report.number,
            arrivals: report.arrivals.into_iter().map(|(m, n)| (m.to_string(), n)).collect(),
            past: report.past.map(|past| past.into_iter().map(to_past).collect()),
            waiting: report.waiting.into_iter().map(WireWaiting::from).collect(),
            log,
            running: running.collect(),
            adapters: adapters.collect(),
            running_elsewhere: counted(report.running_elsewhere),
        }
    }

    /// Returns the service and the demand report; `name` returns the name that a number stands for.
    /// Entries whose numbers have no name are left out: the sender received the numbers from
    /// another leader, and reports the entries again next time.
    pub fn into_report(
        self,
        name: impl Fn(u32) -> Option<Arc<str>>,
    ) -> (ServiceName, DemandReport) {
        let named = |wire: WireName| match wire {
            WireName::Number(number) => name(number),
            WireName::Name(name) => Some(name.into()),
        };
        let counted = |models: Vec<(WireName, u32)>| {
            let counts = models
                .into_iter()
                .filter_map(|(model, count)| Some((ModelName::from(named(model)?), count)));
            counts.collect::<BTreeMap<_, _>>()
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
        let report = DemandReport {
            number: self.number,
            arrivals: self.arrivals.into_iter().map(|(m, n)| (ModelName::from(m), n)).collect(),
            past: self.past.map(|past| past.into_iter().map(from_past).collect()),
            waiting: self.waiting.into_iter().map(Waiting::from).collect(),
            running: running.collect(),
            adapters_in_use: adapters.collect(),
            running_elsewhere: counted(self.running_elsewhere),
        };
        (self.service.into(), report)
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

impl WireServiceView {
    /// Returns the view of the service; `placements` is the requesting daemon's copy of the
    /// leader's placement log.
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

/// Returns the wire form of the time, in milliseconds, until a model or adapter will be ready.
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
