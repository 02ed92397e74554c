//! Prints how the cost of one daemon's control state grows with the size of a deployment.
//!
//! `cargo run --release -p trestle-core --example scale`

use std::{collections::BTreeMap, sync::Arc, time::Instant};
use trestle_core::{
    catalog::{Catalog, EngineSpec, Fencing, ModelSpec},
    control_state::ControlState,
    endpoint_row::{EndpointRow, Placement},
    event::{Action, CommitPurpose, Event, ReadPurpose},
    membership_row::{Member, MembershipRow},
    order::{OrderOutcome, Report},
    row::{CommitOutcome, Row, RowKey, Rows, Versioned},
    timing::Timing,
};

/// Sizes at which each figure is measured: engines, daemons, models.
const SIZES: [(usize, usize, usize); 4] =
    [(9, 7, 50), (960, 46, 210), (3_850, 185, 210), (7_700, 370, 210)];
const DOMAINS: usize = 6;
const TICKS: u64 = 2_000;
const TICK_MS: u64 = 50;

fn main() {
    println!("engines daemons models: candidates of all, of one changed | tick | membership read");
    for (engines, daemons, models) in SIZES {
        let catalog = catalog(engines, models);
        let started = Instant::now();
        let first = catalog.clone().at_version(1, &Catalog::default());
        let all = started.elapsed();
        let mut changed = catalog;
        if let Some(spec) = changed.models.values_mut().next() {
            spec.keep_ms += 1;
        }
        let started = Instant::now();
        let second = changed.at_version(2, &first);
        let one = started.elapsed();
        let (tick_us, read_us, owned) = measure_control(Arc::new(second), daemons);
        println!(
            "{engines:5} {daemons:4} {models:4}: {:8.2} ms, {:6.3} ms | {tick_us:6.1} us with \
             {owned} endpoints | {read_us:6.1} us",
            all.as_secs_f64() * 1e3,
            one.as_secs_f64() * 1e3,
        );
    }
}

fn catalog(engines: usize, models: usize) -> Catalog {
    let engine = |index: usize| {
        let spec = EngineSpec {
            domain: format!("domain-{}", index % DOMAINS).into(),
            memory_bytes: 80,
            slots: 8,
            fencing: Fencing::Checked,
        };
        (format!("engine-{index}").into(), spec)
    };
    let model = |index: usize| {
        let spec = ModelSpec {
            memory_bytes: 20,
            max_replicas: 40,
            load_ms: 8_000,
            service_ms: 500,
            keep_ms: 60_000,
            windows: Vec::new(),
        };
        (format!("model-{index}").into(), spec)
    };
    Catalog {
        idle_per_wait: 50,
        full_speed_loads: 4,
        engines: (0..engines).map(engine).collect(),
        models: (0..models).map(model).collect(),
        ..Catalog::default()
    }
}

/// Returns the time of a tick and of a membership read, and the number of owned endpoints.
fn measure_control(catalog: Arc<Catalog>, daemons: usize) -> (f64, f64, usize) {
    let own_vm = "vm-0";
    let member = |index: usize| {
        let member =
            Member { address: format!("10.0.0.{index}"), incarnation: 1, is_adopter: false };
        (format!("vm-{index}").into(), member)
    };
    let members: BTreeMap<_, _> = (0..daemons.div_ceil(DOMAINS)).map(member).collect();
    let own = members[own_vm].clone();
    let row = MembershipRow { epoch: 1, members, ..MembershipRow::default() };
    let read: Rows = BTreeMap::from([(
        RowKey::Membership("domain-0".into()),
        Versioned { version: 1, row: Some(Row::Membership(row)) },
    )]);
    let mut control = ControlState::new(own_vm.into(), own, "domain-0".into(), Timing::default());
    let mut events = vec![
        Event::Catalog(Arc::clone(&catalog)),
        Event::Read(ReadPurpose::Membership, Some(read.clone())),
    ];
    let mut now_ms = 0;
    while let Some(event) = events.pop() {
        let actions = control.handle(event, now_ms);
        events.extend(actions.into_iter().filter_map(|action| answer(action, &catalog)));
    }
    let started = Instant::now();
    for _ in 0..TICKS {
        now_ms += TICK_MS;
        for action in control.handle(Event::Tick, now_ms) {
            if let Some(event) = answer(action, &catalog) {
                control.handle(event, now_ms);
            }
        }
    }
    let tick_us = started.elapsed().as_secs_f64() * 1e6 / TICKS as f64;
    let started = Instant::now();
    for _ in 0..TICKS {
        control.handle(Event::Read(ReadPurpose::Membership, Some(read.clone())), now_ms);
    }
    let read_us = started.elapsed().as_secs_f64() * 1e6 / TICKS as f64;
    let owned = control
        .chain_positions()
        .values()
        .filter(|position| position.owned_endpoint().is_some())
        .count();
    (tick_us, read_us, owned)
}

/// Returns the answer of a platform and of engines without faults.
fn answer(action: Action, catalog: &Catalog) -> Option<Event> {
    match action {
        Action::Read(ReadPurpose::Placements { epoch }, keys) => {
            let rows = keys.into_iter().map(|key| (key, full_endpoint_row(catalog))).collect();
            Some(Event::Read(ReadPurpose::Placements { epoch }, Some(rows)))
        }
        Action::Read(ReadPurpose::Review, keys) => {
            let full = keys.into_iter().map(|key| (key, full_endpoint_row(catalog))).collect();
            Some(Event::Read(ReadPurpose::Review, Some(full)))
        }
        Action::Commit(CommitPurpose::Renewal, _) => {
            Some(Event::Committed(CommitPurpose::Renewal, CommitOutcome::Committed))
        }
        Action::Order(endpoint, order) => {
            let outcome = OrderOutcome::Accepted(Report::default());
            Some(Event::OrderResult { endpoint, fence: order.fence, outcome })
        }
        _ => None,
    }
}

fn full_endpoint_row(catalog: &Catalog) -> Versioned {
    let placement = || Placement { memory_bytes: 20, retiring: None };
    let models = catalog.models.keys().take(16);
    let placed = models.map(|model| (model.clone(), placement())).collect();
    Versioned { version: 1, row: Some(Row::Endpoint(EndpointRow { placed })) }
}
