//! A small simulation around real nodes: a table, engines and entry daemons under a
//! virtual clock, with every message delayed at will.
//!
//! The checks stand at the far side: the fake engines fail the run at any
//! overcommit, at a replica that the table does not hold as decided, and at an
//! unload that cuts a request.

#![allow(dead_code, reason = "each test file uses some of it")]

mod deliver;
mod engine;
mod faults;
mod queue;
mod table;

use engine::Engine;
pub(crate) use faults::Faults;
use queue::Queue;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use table::Table;
use trestle_core::{
    catalog::{Catalog, EngineSpec, Fencing, ModelSpec},
    control_state::ControlState,
    event::{CommitPurpose, Event, ReadPurpose, VmState},
    membership_row::Member,
    names::{DomainName, EndpointName, ModelName, VmName},
    order::Order,
    permit::{PermitRequest, Ticket},
    row::{Row, RowKey, Txn},
    timing::Timing,
};

/// Time after which a sender no longer waits for an answer.
const TIMEOUT_MS: u64 = 1_000;
/// Time between two ticks of a node.
const TICK_MS: u64 = 50;

/// Something that happens in the simulation at a time.
#[derive(Debug)]
enum ScheduledEvent {
    Tick(VmName),
    /// An event reaches a run of a daemon.
    Event(VmName, u64, Event),
    /// A transaction reaches the table.
    Commit(VmName, u64, CommitPurpose, Txn),
    /// A read reaches the table.
    Read(VmName, u64, ReadPurpose, Vec<RowKey>),
    /// An order reaches an engine.
    Order(VmName, u64, EndpointName, Order),
    /// A load or unload at an engine ends.
    Loaded(EndpointName, ModelName),
    Unloaded(EndpointName, ModelName),
    /// A request that was granted reaches an engine, or ends there.
    Begin {
        endpoint: EndpointName,
        model: ModelName,
        owner: VmName,
        ticket: Ticket,
        by_ms: u64,
    },
    End {
        endpoint: EndpointName,
        model: ModelName,
        owner: VmName,
        ticket: Ticket,
    },
}

/// One VM with its daemon.
struct Vm {
    node: ControlState,
    run: u64,
    domain: DomainName,
    is_alive: bool,
    frozen_until_ms: u64,
}

/// Requests of one urgency that have run.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Ended {
    pub(crate) in_time: u64,
    pub(crate) late: u64,
}

/// A small simulation around real nodes.
pub(crate) struct Simulation {
    pub(crate) faults: Faults,
    pub(crate) table: Table,
    pub(crate) engines: BTreeMap<EndpointName, Engine>,
    pub(crate) catalog: Catalog,
    pub(crate) granted: u64,
    pub(crate) refused: u64,
    pub(crate) loads: u64,
    pub(crate) now_ms: u64,
    /// Time after its deadline from which an end counts as late.
    pub(crate) late_after_ms: u64,
    /// Requests that have run, by urgency.
    pub(crate) ended: BTreeMap<u8, Ended>,
    /// Urgency and deadline of each request that was granted and has not ended.
    running: BTreeMap<Ticket, (u8, u64)>,
    vms: BTreeMap<VmName, Vm>,
    queue: Queue<ScheduledEvent>,
    rng: fastrand::Rng,
    requests: BTreeMap<Ticket, PermitRequest>,
    next_ticket: u64,
    next_run: u64,
    listed: BTreeMap<String, VmState>,
}

impl Simulation {
    /// A simulation with daemons and engines, nothing configured yet.
    pub(crate) fn new(seed: u64, catalog: Catalog, daemons: &[(&str, &str)]) -> Self {
        let engines = catalog.engines.iter();
        let engines: BTreeMap<_, _> =
            engines.map(|(name, spec)| (name.clone(), Engine::new(spec.clone()))).collect();
        let listed = engines.keys().map(|name| (name.to_string(), VmState::Live)).collect();
        let mut simulation = Self {
            faults: Faults::default(),
            table: Table::default(),
            engines,
            catalog,
            granted: 0,
            refused: 0,
            loads: 0,
            now_ms: 0,
            late_after_ms: 0,
            ended: BTreeMap::new(),
            running: BTreeMap::new(),
            vms: BTreeMap::new(),
            queue: Queue::default(),
            rng: fastrand::Rng::with_seed(seed),
            requests: BTreeMap::new(),
            next_ticket: 0,
            next_run: 0,
            listed,
        };
        for (vm, domain) in daemons {
            simulation.start(vm, domain);
        }
        simulation
    }

    /// Starts a daemon, or starts it anew.
    pub(crate) fn start(&mut self, vm: &str, domain: &str) {
        self.next_run += 1;
        let name = VmName::from(vm);
        let domain = DomainName::from(domain);
        let member =
            Member { address: vm.to_owned(), incarnation: self.next_run, is_adopter: false };
        let node = ControlState::new(name.clone(), member, domain.clone(), timing());
        let run = self.next_run;
        let is_known = self.vms.contains_key(&name);
        self.vms.insert(name.clone(), Vm { node, run, domain, is_alive: true, frozen_until_ms: 0 });
        self.listed.insert(vm.to_owned(), VmState::Live);
        let catalog = Arc::new(self.catalog.clone());
        self.event_soon(&name, run, Event::Catalog(catalog));
        if !is_known {
            self.queue.push(self.now_ms, ScheduledEvent::Tick(name));
        }
    }

    /// Ends a daemon without warning.
    pub(crate) fn kill(&mut self, vm: &str) {
        self.vm(vm).is_alive = false;
    }

    /// Freezes a daemon for a time.
    pub(crate) fn freeze(&mut self, vm: &str, time_ms: u64) {
        let until_ms = self.now_ms + time_ms;
        self.vm(vm).frozen_until_ms = until_ms;
    }

    /// Tells a daemon to stop as planned.
    pub(crate) fn stop(&mut self, vm: &str) {
        let name = VmName::from(vm);
        let run = self.vms[&name].run;
        self.event_soon(&name, run, Event::Stop);
    }

    /// Tells a daemon that a row has changed, so that it reads what is placed.
    pub(crate) fn row_changed(&mut self, vm: &VmName, engine: &str) {
        let run = self.vms[vm].run;
        self.event_soon(vm, run, Event::RowChanged(engine.into()));
    }

    /// Puts a changed configuration in force.
    pub(crate) fn configure(&mut self, change: impl FnOnce(&mut Catalog)) {
        change(&mut self.catalog);
        let before = self.catalog.clone();
        self.catalog = self.catalog.clone().at_version(before.version + 1, &before);
        let catalog = Arc::new(self.catalog.clone());
        for (name, run) in self.running() {
            self.event_soon(&name, run, Event::Catalog(Arc::clone(&catalog)));
        }
    }

    /// Changes what the platform lists.
    pub(crate) fn list(&mut self, name: &str, state: Option<VmState>) {
        match state {
            Some(state) => self.listed.insert(name.to_owned(), state),
            None => self.listed.remove(name),
        };
    }

    /// The VM whose daemon owns an endpoint at the moment, by its own belief.
    pub(crate) fn owner_of(&self, endpoint: &str) -> Option<VmName> {
        let endpoint = EndpointName::from(endpoint);
        let owns = |vm: &Vm| vm.is_alive && vm.node.owns(&endpoint);
        self.vms.iter().find(|(_, vm)| owns(vm)).map(|(name, _)| name.clone())
    }

    /// The chain of owners of an engine, as a daemon computes it.
    pub(crate) fn chain(&self, vm: &VmName, engine: &str) -> Vec<VmName> {
        let row = self.vms[vm].node.membership().row();
        row.chain(&EndpointName::from(engine)).into_iter().cloned().collect()
    }

    /// The epoch that a daemon has read last.
    pub(crate) fn epoch(&self, vm: &str) -> u64 {
        self.vms[vm].node.membership().row().epoch
    }

    /// What each daemon believes of an endpoint, for the message of a failed check.
    pub(crate) fn describe(&self, endpoint: &str) -> String {
        let describe = |(name, vm): (&VmName, &Vm)| {
            let position = vm.node.chain_positions().get(endpoint);
            let position = position.map(|position| {
                (position.epoch, position.rank, position.owned_endpoint().map(|o| o.fence()))
            });
            let epoch = vm.node.membership().row().epoch;
            format!("{name}: alive {}, epoch {epoch}, position {position:?}", vm.is_alive)
        };
        self.vms.iter().map(describe).collect::<Vec<_>>().join("; ")
    }

    /// Asks a daemon for a permit, as an entry daemon would.
    pub(crate) fn request_permit(
        &mut self,
        vm: &str,
        endpoint: &str,
        model: &str,
        ranks_lost: u8,
    ) -> Ticket {
        let request = PermitRequest {
            ticket: Ticket(0),
            entry: "entry".into(),
            endpoint: endpoint.into(),
            model: model.into(),
            tenant: "tenant".into(),
            urgency: 0,
            deadline_ms: self.now_ms + 20_000,
            ranks_lost,
            wait_limit_ms: None,
            cold: false,
            pending_until_ms: 0,
        };
        self.submit(vm, request)
    }

    /// Asks a daemon for a permit; the ask gets a ticket of its own.
    pub(crate) fn submit(&mut self, vm: &str, mut request: PermitRequest) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        request.ticket = ticket;
        self.requests.insert(ticket, request.clone());
        let name = VmName::from(vm);
        let run = self.vms[&name].run;
        self.event_soon(&name, run, Event::PermitRequested(request));
        ticket
    }

    /// Lets time go on.
    pub(crate) fn run_for(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while let Some((at_ms, scheduled)) = self.queue.pop_before(end_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            self.process(scheduled);
        }
        self.now_ms = end_ms;
    }

    /// A random number below a bound.
    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.rng.u64(..below.max(1))
    }

    /// Every VM name.
    pub(crate) fn vm_names(&self) -> Vec<String> {
        self.vms.keys().map(ToString::to_string).collect()
    }

    /// Whether a VM's daemon runs.
    pub(crate) fn is_alive(&self, vm: &str) -> bool {
        self.vms[vm].is_alive
    }

    /// The domain of a VM.
    pub(crate) fn domain_of(&self, vm: &str) -> String {
        self.vms[vm].domain.to_string()
    }

    fn vm(&mut self, name: &str) -> &mut Vm {
        self.vms.get_mut(name).expect("the simulation has the VM")
    }

    fn engine(&mut self, name: &EndpointName) -> &mut Engine {
        self.engines.get_mut(name).expect("the simulation has the engine")
    }
}

/// Shorter intervals than by default, so that more happens in a run.
pub(crate) fn timing() -> Timing {
    Timing {
        lease_ms: 500,
        expiry_ms: 2_000,
        grant_ms: 800,
        status_probe_ms: 1_500,
        placing_ms: 200,
        review_ms: 1_000,
        refresh_ms: 5_000,
        order_ms: 300,
        order_settle_ms: 8_000,
        load_ms: 5_000,
        settle_ms: 8_000,
    }
}

/// Three engines of two domains and five models, one engine of them ignoring numbers.
pub(crate) fn catalog() -> Catalog {
    let engine = |domain: &str, fencing: Fencing| EngineSpec {
        domain: domain.into(),
        memory_bytes: 100,
        slots: 4,
        fencing,
    };
    let model = |memory_bytes: u64, max_replicas: usize| ModelSpec {
        memory_bytes,
        max_replicas,
        load_ms: 1_500,
        service_ms: 300,
        keep_ms: 3_000,
        windows: Vec::new(),
    };
    let catalog = Catalog {
        idle_per_wait: 1,
        full_speed_loads: 4,
        engines: BTreeMap::from([
            ("a1".into(), engine("a", Fencing::Checked)),
            ("a2".into(), engine("a", Fencing::Ignored)),
            ("b1".into(), engine("b", Fencing::Checked)),
        ]),
        models: BTreeMap::from([
            ("m1".into(), model(60, 1)),
            ("m2".into(), model(50, 1)),
            ("m3".into(), model(40, 2)),
            ("m4".into(), model(40, 1)),
            ("m5".into(), model(30, 2)),
        ]),
        ..Catalog::default()
    };
    catalog.at_version(1, &Catalog::default())
}

/// Models that the table holds as placed at an endpoint, in both of its rows.
pub(crate) fn decided_in(
    rows: &BTreeMap<RowKey, Row>,
    endpoint: &EndpointName,
) -> BTreeSet<ModelName> {
    let models = rows.iter().filter_map(|(key, row)| match (key, row) {
        (RowKey::Model(model), Row::Model(row)) if row.replicas.contains(endpoint) => Some(model),
        _ => None,
    });
    models.cloned().collect()
}
