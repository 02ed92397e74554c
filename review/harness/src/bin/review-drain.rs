//! An entry of KNOWN-RED.txt: the store carries out a late write of a server's earlier start after
//! that server has started again under its name and says that it drains.

use review_cases::{Daemon, Record, has_trouble, limit_run};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use trestle_platform_standin::{
    SAFE,
    caller::{get, once},
    configured_store,
    endpoint::Server,
    next_ip, wait_for,
};

/// `heartbeat_ms` and `drain_ms` of the site.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DRAIN: Duration = Duration::from_millis(2_000);

fn main() {
    limit_run();
    let record = Arc::new(Record::default());
    let ip = next_ip();
    let store = configured_store(ip);
    let servers: Vec<Server> = (0..3).map(|_| Server::plain(ip, "web")).collect();
    servers.iter().for_each(|server| server.register(&store));
    let daemons: Vec<Daemon> =
        (0..2).map(|number| Daemon::start(ip, store.address, number, |_| {})).collect();
    daemons.iter().for_each(Daemon::wait_ready);
    wait_for("a daemon leads", || {
        daemons.iter().any(|daemon| daemon.has_logged("This daemon leads."))
    });
    thread::sleep(Duration::from_secs(3));
    // A heartbeat of the first start, of which the store loses the answer and which it carries out
    // 6 s later.
    let late = servers[0].next_entry("ready", servers[0].address);
    let late_at = Instant::now() + Duration::from_secs(6);
    record.add("a heartbeat of the first start is lost on its way into the store");
    thread::sleep(Duration::from_millis(200));
    servers[0].crash();
    record.add("the server crashes");
    thread::sleep(Duration::from_millis(800));
    let again = servers[0].restart(&[]);
    again.register(&store);
    record.add("it has started again under its name");
    thread::sleep(Duration::from_millis(2_300));
    again.register_as(&store, "draining");
    let drained_at = Instant::now();
    record.add("it says that it drains, and the store has accepted that");
    let mut next_beat = drained_at + HEARTBEAT;
    let mut is_late_done = !has_trouble();
    let mut number = 0;
    while drained_at.elapsed() < Duration::from_secs(8) {
        if Instant::now() >= next_beat {
            again.register_as(&store, "draining");
            next_beat += HEARTBEAT;
        }
        if !is_late_done && Instant::now() >= late_at {
            is_late_done = true;
            store.put("servers", &again.name, &late);
            record.add("the store carries out the heartbeat of the first start");
        }
        let daemon = &daemons[number % 2];
        let _ = once(daemon.callers, &get(SAFE, &format!("d-{number}"), ""));
        number += 1;
        thread::sleep(Duration::from_millis(10));
    }
    let mut broken = Vec::new();
    for received in again.received() {
        if received.at > drained_at + DRAIN {
            let ms = received.at.duration_since(drained_at).as_millis();
            broken.push(format!("{} reached the server {ms} ms after it said so", received.id));
        }
    }
    drop(daemons);
    record.finish(&broken);
}
