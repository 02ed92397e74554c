//! Simulation of a small deployment: the control states of several daemons, a table, engines and
//! entry daemons run under a virtual clock, and each message gets a random delay.
//!
//! The checks are in the simulated engines and in the table. A run fails at any overcommit of
//! memory, at a load of a model that the table does not record as placed, and at an unload that
//! aborts a request.

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

/// Time after which a sender stops waiting for an answer.
const TIMEOUT_MS: u64 = 1_000;
/// Interval of the ticks that each control state gets.
const TICK_MS: u64 = 50;

/// Event of the simulation that is scheduled for a time.
#[derive(Debug)]
enum ScheduledEvent {
    Tick(VmName),
    /// An event reaches one run of a daemon.
    Event(VmName, u64, Event),
    /// A transaction of one run of a daemon reaches the table.
    Commit(VmName, u64, CommitPurpose, Txn),
    /// A read of one run of a daemon reaches the table.
    Read(VmName, u64, ReadPurpose, Vec<RowKey>),
    /// An order of one run of a daemon reaches an engine.
    Order(VmName, u64, EndpointName, Order),
    /// A load or unload at an engine completes.
    Loaded(EndpointName, ModelName),
    Unloaded(EndpointName, ModelName),
    /// A request with a permit reaches an engine, or ends there.
    Begin {
        endpoint: EndpointName,
        model: ModelName,
        owner: VmName,
        ticket: Ticket,
        use_by_ms: u64,
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
    control: ControlState,
    run: u64,
    domain: DomainName,
    is_alive: bool,
    frozen_until_ms: u64,
}

/// Numbers of requests of one urgency that have ended.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Completed {
    pub(crate) in_time: u64,
    pub(crate) late: u64,
}

/// Simulation of a small deployment.
pub(crate) struct Simulation {
    pub(crate) faults: Faults,
    pub(crate) table: Table,
    pub(crate) engines: BTreeMap<EndpointName, Engine>,
    pub(crate) catalog: Catalog,
    pub(crate) granted: u64,
    pub(crate) refused: u64,
    pub(crate) loads: u64,
    pub(crate) now_ms: u64,
    /// Time after its deadline from which on the end of a request counts as late.
    pub(crate) late_after_ms: u64,
    /// Numbers of requests that have ended, by urgency.
    pub(crate) completed: BTreeMap<u8, Completed>,
    /// Urgency and deadline of each request that has a permit and has not ended.
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
    /// Creates a simulation of the daemons and of the engines in the catalog.
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
            completed: BTreeMap::new(),
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

    /// Starts a daemon, or restarts it.
    pub(crate) fn start(&mut self, vm: &str, domain: &str) {
        self.next_run += 1;
        let name = VmName::from(vm);
        let domain = DomainName::from(domain);
        let member =
            Member { address: vm.to_owned(), incarnation: self.next_run, is_adopter: false };
        let control = ControlState::new(name.clone(), member, domain.clone(), timing());
        let run = self.next_run;
        let is_known = self.vms.contains_key(&name);
        self.vms
            .insert(name.clone(), Vm { control, run, domain, is_alive: true, frozen_until_ms: 0 });
        self.listed.insert(vm.to_owned(), VmState::Live);
        let catalog = Arc::new(self.catalog.clone());
        self.schedule_event(&name, run, Event::Catalog(catalog));
        if !is_known {
            self.queue.push(self.now_ms, ScheduledEvent::Tick(name));
        }
    }

    /// Kills a daemon.
    pub(crate) fn kill(&mut self, vm: &str) {
        self.vm(vm).is_alive = false;
    }

    /// Suspends a daemon for a time.
    pub(crate) fn freeze(&mut self, vm: &str, time_ms: u64) {
        let until_ms = self.now_ms + time_ms;
        self.vm(vm).frozen_until_ms = until_ms;
    }

    /// Asks a daemon to stop in the regular way.
    pub(crate) fn stop(&mut self, vm: &str) {
        let name = VmName::from(vm);
        let run = self.vms[&name].run;
        self.schedule_event(&name, run, Event::Stop);
    }

    /// Notifies a daemon that the row of an engine has changed, so that it reads the placements.
    pub(crate) fn row_changed(&mut self, vm: &VmName, engine: &str) {
        let run = self.vms[vm].run;
        self.schedule_event(vm, run, Event::RowChanged(engine.into()));
    }

    /// Activates a changed configuration.
    pub(crate) fn configure(&mut self, change: impl FnOnce(&mut Catalog)) {
        change(&mut self.catalog);
        let before = self.catalog.clone();
        self.catalog = self.catalog.clone().at_version(before.version + 1, &before);
        let catalog = Arc::new(self.catalog.clone());
        for (name, run) in self.running() {
            self.schedule_event(&name, run, Event::Catalog(Arc::clone(&catalog)));
        }
    }

    /// Sets the state of a VM in the platform's list; `None` removes the VM from it.
    pub(crate) fn set_listed(&mut self, name: &str, state: Option<VmState>) {
        match state {
            Some(state) => self.listed.insert(name.to_owned(), state),
            None => self.listed.remove(name),
        };
    }

    /// Returns the VM whose daemon considers itself the owner of an endpoint; `None` if there is
    /// none.
    pub(crate) fn owner_of(&self, endpoint: &str) -> Option<VmName> {
        let endpoint = EndpointName::from(endpoint);
        let owns = |vm: &Vm| vm.is_alive && vm.control.owns(&endpoint);
        self.vms.iter().find(|(_, vm)| owns(vm)).map(|(name, _)| name.clone())
    }

    /// Returns the chain of an engine, as a daemon computes it.
    pub(crate) fn chain(&self, vm: &VmName, engine: &str) -> Vec<VmName> {
        let row = self.vms[vm].control.membership().row();
        row.chain(&EndpointName::from(engine)).into_iter().cloned().collect()
    }

    /// Returns the epoch that a daemon has read last.
    pub(crate) fn epoch(&self, vm: &str) -> u64 {
        self.vms[vm].control.membership().row().epoch
    }

    /// Describes what each daemon knows of an endpoint, for the message of a failed check.
    pub(crate) fn describe(&self, endpoint: &str) -> String {
        let describe = |(name, vm): (&VmName, &Vm)| {
            let position = vm.control.chain_positions().get(endpoint);
            let position = position.map(|position| {
                (position.epoch, position.rank, position.owned_endpoint().map(|o| o.fence()))
            });
            let epoch = vm.control.membership().row().epoch;
            format!("{name}: alive {}, epoch {epoch}, position {position:?}", vm.is_alive)
        };
        self.vms.iter().map(describe).collect::<Vec<_>>().join("; ")
    }

    /// Requests a permit from a daemon, as an entry daemon would.
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

    /// Sends a permit request to a daemon under a new ticket and returns the ticket.
    pub(crate) fn submit(&mut self, vm: &str, mut request: PermitRequest) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        request.ticket = ticket;
        self.requests.insert(ticket, request.clone());
        let name = VmName::from(vm);
        let run = self.vms[&name].run;
        self.schedule_event(&name, run, Event::PermitRequested(request));
        ticket
    }

    /// Runs the simulation for a time.
    pub(crate) fn run_for(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while let Some((at_ms, scheduled)) = self.queue.pop_before(end_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            self.process(scheduled);
        }
        self.now_ms = end_ms;
    }

    /// Returns a random number below a bound.
    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.rng.u64(..below.max(1))
    }

    /// Returns the names of all VMs.
    pub(crate) fn vm_names(&self) -> Vec<String> {
        self.vms.keys().map(ToString::to_string).collect()
    }

    /// Returns whether the daemon of a VM runs.
    pub(crate) fn is_alive(&self, vm: &str) -> bool {
        self.vms[vm].is_alive
    }

    /// Returns the failure domain of a VM.
    pub(crate) fn domain_of(&self, vm: &str) -> String {
        self.vms[vm].domain.to_string()
    }

    fn vm(&mut self, name: &str) -> &mut Vm {
        self.vms.get_mut(name).expect("the simulation contains the VM")
    }

    fn engine(&mut self, name: &EndpointName) -> &mut Engine {
        self.engines.get_mut(name).expect("the simulation contains the engine")
    }
}

/// Returns shorter intervals than the defaults, so that more happens in a run.
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

/// Returns a catalog of three engines in two domains, one of which ignores fencing numbers, and
/// five models.
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

/// Returns the models that the table records as replicas at an endpoint.
pub(crate) fn recorded_in(
    rows: &BTreeMap<RowKey, Row>,
    endpoint: &EndpointName,
) -> BTreeSet<ModelName> {
    let models = rows.iter().filter_map(|(key, row)| match (key, row) {
        (RowKey::Model(model), Row::Model(row)) if row.replicas.contains(endpoint) => Some(model),
        _ => None,
    });
    models.cloned().collect()
}
