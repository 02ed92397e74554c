//! Case 2: a leader is stopped, and the store loses the answer of the write that releases its lease.

use review_cases::{Daemon, Record, has_trouble, limit_run, lossy_store::LossyStore};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use trestle_platform_standin::{
    STREAM,
    caller::{once, post},
    config,
    endpoint::Server,
    next_ip,
    store::Store,
    wait_for,
};

/// The quiet time between the orders of two holders, `lease_ms` of the site.
const LEASE: Duration = Duration::from_millis(3_000);
/// Callers that ask for models at the same time.
const CALLERS: usize = 3;
/// The number of models that they ask for in turn. The engines have room for two each, so the leader
/// gives orders all the time.
const MODELS: usize = 20;
const ENGINES: usize = 1;
/// Attempts of a caller, and the longest pause between two: a third of the deadline.
const ATTEMPTS: usize = 2;
const MAX_RETRY_AFTER_S: f64 = 1.0;
/// Time from the SIGTERM of the leader to the start of a machine that is added.
const ADDED_AFTER: Duration = Duration::from_millis(2_640);

fn main() {
    limit_run();
    let record = Arc::new(Record::default());
    let ip = next_ip();
    let store = Store::start(ip);
    let mut configuration = config(7, 4_000);
    configuration["services"][1]["engine"]["models"] = models();
    store.put("op", "config", &configuration);
    let engines: Vec<Server> = (0..ENGINES).map(|_| Server::engine(ip, &["m0"])).collect();
    engines.iter().for_each(|engine| engine.register(&store));
    let way = LossyStore::start(ip, store.address);
    let mut leader = Daemon::start(ip, way.address, 0, |_| {});
    leader.wait_ready();
    wait_for("the first daemon leads", || leader.has_logged("This daemon leads."));
    let other = Daemon::start(ip, store.address, 1, |_| {});
    other.wait_ready();
    wait_for("the leader is found", || other.has_logged("The leader was found"));
    record.add("the leader is vm-0; vm-1 follows it");

    let ends = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> =
        (0..CALLERS).map(|_| start_caller(&record, &ends, other.callers)).collect();
    thread::sleep(Duration::from_secs(5));

    let stopped_at = Instant::now();
    record.add("SIGTERM to vm-0");
    leader.signal("-TERM");
    if has_trouble() {
        way.lose_release();
        record.add("the store will lose the answer of one write of vm-0");
    }
    thread::sleep(ADDED_AFTER);
    record.add("vm-2 is added");
    let added = Daemon::start(ip, store.address, 2, |_| {});
    leader.wait_ended();
    record.add("vm-0 has ended");
    thread::sleep(Duration::from_secs(12).saturating_sub(stopped_at.elapsed()));
    ends.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller failed"));

    for at in way.released_at() {
        record.add_at(at, "the store carried out a write of vm-0 that releases the lease");
    }
    let mut broken = Vec::new();
    let mut turns = 0;
    for engine in &engines {
        let orders = engine.orders_timed();
        for (at, order) in &orders {
            record.add_at(*at, format!("order at {}: {order}", engine.name));
        }
        turns +=
            orders.windows(2).filter(|pair| pair[0].1["holder"] != pair[1].1["holder"]).count();
        broken.extend(check(&engine.name, &orders));
    }
    if turns == 0 {
        record.give_up("no server got orders of two machines");
    }
    drop((leader, other, added));
    record.finish(&broken);
}

/// Returns the models of the configuration, of which an engine holds two.
fn models() -> Value {
    let model = |number: usize| {
        json!({"name": format!("m{number}"), "weights_mb": 70.0, "load_s": 0.2, "disk_s": 0.2,
            "warm_s": 0.1, "adapters": 0, "adapter_size_mb": 1.0})
    };
    (0..MODELS).map(model).collect()
}

/// Returns how orders to one server break ONE.
fn check(server: &str, orders: &[(Instant, Value)]) -> Vec<String> {
    let mut broken = Vec::new();
    for pair in orders.windows(2) {
        let [(before_at, before), (at, order)] = pair else { continue };
        let gap = at.saturating_duration_since(*before_at);
        if before["holder"] != order["holder"] && gap < LEASE {
            broken.push(format!(
                "at {server} an order of {} came {} ms after one of {}; {} ms must lie between them",
                order["holder"], gap.as_millis(), before["holder"], LEASE.as_millis()
            ));
        }
        if before["holder"] != order["holder"]
            && before["fence"].as_u64() >= order["fence"].as_u64()
        {
            broken.push(format!(
                "at {server} the fencing tokens do not rise: {} and {}",
                before["fence"], order["fence"]
            ));
        }
    }
    broken
}

/// Asks for one model after the other until the run ends.
fn start_caller(
    record: &Arc<Record>,
    ends: &Arc<AtomicBool>,
    address: SocketAddr,
) -> thread::JoinHandle<()> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (record, ends) = (Arc::clone(record), Arc::clone(ends));
    thread::spawn(move || {
        while !ends.load(Ordering::SeqCst) {
            let number = NEXT.fetch_add(1, Ordering::SeqCst);
            let model = format!("m{}", number as usize % MODELS);
            for attempt in 0..ATTEMPTS {
                let id = format!("r-{number}-{attempt}");
                let headers = format!("Model: {model}\r\nDeadline-Ms: 3000\r\n");
                let answer = once(address, &post(STREAM, &id, &headers, &id));
                record.add(format!("{id} for {model}: {}", answer.status()));
                let Some(retry_after) = answer.header("retry-after") else { break };
                let retry_after = retry_after.parse().unwrap_or(0.0_f64).min(MAX_RETRY_AFTER_S);
                thread::sleep(Duration::from_secs_f64(retry_after));
            }
            thread::sleep(Duration::from_millis(30));
        }
    })
}
