//! Control states of several daemons under single faults, pairs of faults and all faults, with
//! random interleavings and a virtual clock. Each seed is one run; the same seed always gives the
//! same run.

mod simulation;

use simulation::{Faults, Simulation, catalog};
use trestle_core::event::VmState;

const DAEMONS: [(&str, &str); 5] =
    [("a-1", "a"), ("a-2", "a"), ("a-3", "a"), ("b-1", "b"), ("b-2", "b")];
const ENGINES: [&str; 3] = ["a1", "a2", "b1"];
const MODELS: [&str; 5] = ["m1", "m2", "m3", "m4", "m5"];
/// Number of steps of a run. Each step sends a few requests and may start a fault.
const STEPS: u64 = 120;

/// Kind of fault that a run may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Kill,
    Freeze,
    PlatformDown,
    WritesDown,
    LostAnswers,
    SlowOrders,
    CutFromPlatform,
    CutFromEngine,
    CutPeers,
    Draining,
    Reconfigure,
    Stop,
}

const ALL: [Fault; 12] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::PlatformDown,
    Fault::WritesDown,
    Fault::LostAnswers,
    Fault::SlowOrders,
    Fault::CutFromPlatform,
    Fault::CutFromEngine,
    Fault::CutPeers,
    Fault::Draining,
    Fault::Reconfigure,
    Fault::Stop,
];

macro_rules! runs {
    ($($name:ident: $faults:expr, $seeds:expr;)+) => {
        $(
            #[test]
            fn $name() {
                for seed in 0..seeds($seeds) {
                    run(seed, &$faults);
                }
            }
        )+
    };
}

runs! {
    no_fault: [], 20;
    kill: [Fault::Kill], 30;
    freeze: [Fault::Freeze], 30;
    platform_down: [Fault::PlatformDown], 30;
    writes_down: [Fault::WritesDown], 30;
    lost_answers: [Fault::LostAnswers], 30;
    slow_orders: [Fault::SlowOrders], 30;
    cut_from_platform: [Fault::CutFromPlatform], 30;
    cut_from_engine: [Fault::CutFromEngine], 30;
    cut_peers: [Fault::CutPeers], 30;
    draining: [Fault::Draining], 30;
    reconfigure: [Fault::Reconfigure], 30;
    stop: [Fault::Stop], 30;
    all_together: ALL, 60;
}

#[test]
fn every_pair() {
    for (index, first) in ALL.iter().enumerate() {
        for second in &ALL[index + 1..] {
            for seed in 0..seeds(4) {
                run(1_000 + seed, &[*first, *second]);
            }
        }
    }
}

/// Returns the number of seeds to run; the variable `TRESTLE_SEEDS` multiplies it for longer
/// searches.
fn seeds(count: u64) -> u64 {
    let factor = std::env::var("TRESTLE_SEEDS").ok().and_then(|text| text.parse().ok());
    count * factor.unwrap_or(1)
}

fn run(seed: u64, faults: &[Fault]) {
    if std::env::var("TRESTLE_TRACE").is_ok() {
        eprintln!("seed {seed}, faults {faults:?}");
    }
    let mut simulation = Simulation::new(seed, catalog(), &DAEMONS);
    simulation.run_for(5_000);
    for _ in 0..STEPS {
        for _ in 0..simulation.random(4) {
            request_at_random(&mut simulation);
        }
        if !faults.is_empty() && simulation.random(3) == 0 {
            let kind = faults[simulation.random(faults.len() as u64) as usize];
            start_fault(&mut simulation, kind);
        }
        if simulation.random(6) == 0 {
            simulation.faults = Faults::default();
        }
        let time_ms = 50 + simulation.random(800);
        simulation.run_for(time_ms);
    }
    check_recovery(&mut simulation);
}

/// Checks that every model has a replica and every engine an owner once all faults are gone.
fn check_recovery(simulation: &mut Simulation) {
    simulation.faults = Faults::default();
    for engine in ENGINES {
        simulation.set_listed(engine, Some(VmState::Live));
    }
    // Daemons that were asked to stop need some time for it.
    simulation.run_for(10_000);
    for (vm, domain) in DAEMONS {
        if !simulation.is_alive(vm) {
            simulation.start(vm, domain);
        }
    }
    simulation.run_for(60_000);
    for model in MODELS {
        assert!(
            simulation.table.replicas(model) > 0,
            "{model} has no replica after all faults are gone"
        );
    }
    for engine in ENGINES {
        let owner = simulation.owner_of(engine);
        assert!(
            owner.is_some(),
            "{engine} has no owner after all faults are gone: {}",
            simulation.describe(engine)
        );
    }
}

fn request_at_random(simulation: &mut Simulation) {
    let vm = pick_vm(simulation);
    let engine = ENGINES[simulation.random(3) as usize];
    let model = MODELS[simulation.random(5) as usize];
    let ranks_lost = simulation.random(3) as u8;
    if simulation.is_alive(&vm) {
        simulation.request_permit(&vm, engine, model, ranks_lost);
    }
}

fn pick_vm(simulation: &mut Simulation) -> String {
    let names = simulation.vm_names();
    names[simulation.random(names.len() as u64) as usize].clone()
}

fn start_fault(simulation: &mut Simulation, kind: Fault) {
    let vm = pick_vm(simulation);
    let engine = ENGINES[simulation.random(3) as usize];
    match kind {
        Fault::Kill if simulation.is_alive(&vm) => simulation.kill(&vm),
        Fault::Kill | Fault::Stop if !simulation.is_alive(&vm) => {
            let domain = simulation.domain_of(&vm);
            simulation.start(&vm, &domain);
        }
        Fault::Stop => simulation.stop(&vm),
        Fault::Kill => {}
        Fault::Freeze => {
            let time_ms = 200 + simulation.random(8_000);
            simulation.freeze(&vm, time_ms);
        }
        Fault::PlatformDown => simulation.faults.platform_down = true,
        Fault::WritesDown => simulation.faults.writes_down = true,
        Fault::LostAnswers => simulation.faults.lost_answers_percent = 40,
        Fault::SlowOrders => {
            simulation.faults.slow_orders_percent = 30;
            simulation.faults.slow_order_ms = 6_000;
        }
        Fault::CutFromPlatform => {
            simulation.faults.platform_cut.insert(vm.as_str().into());
        }
        Fault::CutFromEngine => {
            simulation.faults.engine_cut.insert((vm.as_str().into(), engine.into()));
        }
        Fault::CutPeers => {
            let other = pick_vm(simulation);
            simulation.faults.peers_cut.insert((vm.as_str().into(), other.as_str().into()));
        }
        Fault::Draining => {
            let state = if simulation.random(2) == 0 { VmState::Draining } else { VmState::Live };
            simulation.set_listed(engine, Some(state));
        }
        Fault::Reconfigure => {
            let model = MODELS[simulation.random(5) as usize];
            let max_replicas = 1 + simulation.random(2) as usize;
            simulation.configure(|catalog| {
                if let Some(spec) = catalog.models.get_mut(model) {
                    spec.max_replicas = max_replicas;
                }
            });
        }
    }
}
