//! Case 4: an order gets no answer, its server starts again under its id, and the order arrives then.

use review_2_cases::{Late, LateOrders};
use review_cases::{Daemon, Record, has_trouble, limit_run};
use serde_json::{Value, json};
use std::{
    sync::{Arc, Mutex},
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

/// Engines, of which one is down later: a share of less than .15. Each has room for two models.
const ENGINES: usize = 7;
/// The models that the engines hold at first, and one more.
const MODELS: usize = 2 * ENGINES + 1;
/// The model that no engine holds at first.
const NEW_MODEL: &str = "m14";
/// The order that is late. The engine has then accepted an unload and a load since its start.
const LATE: Late = Late { op: "load", model: NEW_MODEL, expect: 2, delay: Duration::from_secs(7) };
/// Time from the last load before the crash to the crash.
const CRASHES_AFTER: Duration = Duration::from_millis(800);
/// Time for which the server is down.
const DOWN: Duration = Duration::from_secs(2);
/// The time after the late order's arrival until orders are checked.
const CHECKED_AFTER: Duration = Duration::from_millis(500);
/// Attempts of a request.
const ATTEMPTS: usize = 10;

fn main() {
    limit_run();
    let record = Record::default();
    let ip = next_ip();
    let store = Store::start(ip);
    let mut configuration = config(7, 4_000);
    configuration["services"][1]["engine"]["models"] = models();
    store.put("op", "config", &configuration);
    let late = Arc::new(Mutex::new(has_trouble().then_some(LATE)));
    let engines: Vec<Server> = (0..ENGINES)
        .map(|number| Server::engine(ip, &held(number).each_ref().map(String::as_str)))
        .collect();
    let ways: Vec<LateOrders> =
        engines.iter().map(|engine| LateOrders::start(ip, engine.address, &late)).collect();
    for (engine, way) in engines.iter().zip(&ways) {
        engine.register_at(&store, "ready", way.address);
    }
    let daemon = Daemon::start(ip, store.address, 0, |_| {});
    daemon.wait_ready();
    wait_for("the daemon leads", || daemon.has_logged("This daemon leads."));
    let ask = |name: &str, model: &str| {
        for attempt in 0..ATTEMPTS {
            let id = format!("r-{name}-{attempt}");
            let headers = format!("Model: {model}\r\nDeadline-Ms: 3000\r\n");
            let status = once(daemon.callers, &post(STREAM, &id, &headers, &id)).status();
            record.add(format!("{id} for {model}: {status}"));
            if status == 200 {
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
    };

    ask("first", NEW_MODEL);
    let loaded_at = Instant::now();
    let Some(number) = engines.iter().position(|engine| !engine.orders().is_empty()) else {
        record.give_up("no engine got an order");
    };
    let (engine, way) = (&engines[number], &ways[number]);
    thread::sleep(CRASHES_AFTER);
    record.add(format!("the engine {} crashes; it holds {:?}", engine.name, engine.models()));
    engine.crash();
    thread::sleep(DOWN);
    let again = engine.restart(&[]);
    again.register_at(&store, "ready", way.address);
    record.add(format!("{} starts again under its id, empty", again.name));
    let [second, third] = held(number);
    ask("second", &second);
    ask("third", &third);
    record.add(format!("{} holds {:?}", again.name, again.models()));
    let waits = LATE.delay.saturating_sub(loaded_at.elapsed()) + CHECKED_AFTER;
    thread::sleep(waits);

    record.add(format!("{} holds {:?}", again.name, again.models()));
    way.events().into_iter().for_each(|(at, event)| record.add_at(at, event));
    for server in engines.iter().chain([&again]) {
        for (at, order) in server.orders_timed() {
            record.add_at(at, format!("order at {}: {order}", server.incarnation_name()));
        }
    }
    if has_trouble() && way.events().len() != 2 {
        record.give_up("the late order was not sent or has not arrived");
    }
    let violations = engines.iter().chain([&again]).flat_map(Server::violations);
    let broken: Vec<String> = violations.collect();
    drop(daemon);
    record.finish(&broken);
}

/// Returns the models that an engine holds at first.
fn held(engine: usize) -> [String; 2] {
    [format!("m{}", 2 * engine), format!("m{}", 2 * engine + 1)]
}

/// Returns the models of the configuration, of which an engine holds two.
fn models() -> Value {
    let model = |number: usize| {
        json!({"name": format!("m{number}"), "weights_mb": 70.0, "load_s": 0.2, "disk_s": 0.2,
            "warm_s": 0.1, "adapters": 0, "adapter_size_mb": 1.0})
    };
    (0..MODELS).map(model).collect()
}
