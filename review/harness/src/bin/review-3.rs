//! Case 3: another writer adds an entry to the list of servers. It lacks a field that the entries of
//! all servers have, and its key ends with a line end.

use review_cases::{Daemon, Record, has_trouble, limit_run};
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use trestle_platform_standin::{
    SAFE, STREAM,
    caller::{get, post},
    configured_store,
    endpoint::{Room, Server},
    http::Reader,
    next_ip, wait_for,
};

const DAEMONS: usize = 3;
/// Callers of plain requests at each daemon, each with a kept connection.
const CALLERS: usize = 12;
/// The models that a caller asks for in turn.
const MODELS: [&str; 4] = ["b", "c", "d", "e"];
/// Time from the end of a process to its restart by the platform.
const RESTART_AFTER: Duration = Duration::from_secs(1);
/// Time for which the entry stands in the store.
const WATCHED: Duration = Duration::from_secs(60);
/// Requests that may be lost so, by the rule.
const MAX_LOST: usize = 3;

/// A request of which the connection ended without an answer.
struct Lost {
    id: String,
    daemon: String,
}

fn main() {
    limit_run();
    let record = Arc::new(Record::default());
    let ip = next_ip();
    let store = configured_store(ip);
    let servers: Vec<Server> = (0..2).map(|_| Server::plain(ip, "web")).collect();
    for server in &servers {
        let run_time = Duration::from_millis(60);
        server.set_room(Room { slots: 24, queue: 24, run_time });
    }
    let engines: Vec<Server> = (0..2).map(|_| Server::engine(ip, &["a"])).collect();
    servers.iter().chain(&engines).for_each(|server| server.register(&store));
    // A copy from before any load: the engine has room.
    let (name, entry) = foreign_entry(&engines[0]);
    let mut daemons: Vec<Daemon> =
        (0..DAEMONS).map(|number| Daemon::start(ip, store.address, number, |_| {})).collect();
    daemons.iter().for_each(Daemon::wait_ready);
    wait_for("a daemon leads", || {
        daemons.iter().any(|daemon| daemon.has_logged("This daemon leads."))
    });
    thread::sleep(Duration::from_secs(2));

    let ends = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for daemon in &daemons {
        for _ in 0..CALLERS {
            callers.push(start_caller(&record, &ends, &lost, &daemon.vm, daemon.callers));
        }
    }
    thread::sleep(Duration::from_secs(4));
    if has_trouble() {
        record.add(format!("another writer adds the row servers/{name:?}: {entry}"));
        store.put("servers", &name, &entry);
    }
    thread::sleep(Duration::from_secs(2));
    record.add("callers begin to ask for models that no engine holds");
    for daemon in &daemons {
        callers.push(start_model_caller(&record, &ends, daemon.callers));
    }
    let watched_from = Instant::now();
    let mut ended: BTreeMap<String, usize> = BTreeMap::new();
    while watched_from.elapsed() < WATCHED {
        for daemon in &mut daemons {
            if let Some(status) = daemon.ended() {
                record.add(format!("{} ended by itself: {status}", daemon.vm));
                *ended.entry(daemon.vm.clone()).or_default() += 1;
                daemon.restart_after(RESTART_AFTER);
            }
            daemon.restart_if_due();
        }
        thread::sleep(Duration::from_millis(10));
    }
    ends.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller failed"));

    let ran: BTreeSet<String> = servers
        .iter()
        .flat_map(Server::received)
        .filter(|received| received.ran)
        .map(|received| received.id)
        .collect();
    let lost = lost.lock().unwrap();
    let passed_on: Vec<&Lost> = lost.iter().filter(|lost| ran.contains(&lost.id)).collect();
    for lost in &passed_on {
        record.add(format!("{} was passed on by {} and got no answer", lost.id, lost.daemon));
    }
    record.add(format!("{} requests ran at plain servers", ran.len()));
    if ran.len() < 100 {
        record.give_up("too few requests were served");
    }
    let mut broken = Vec::new();
    if passed_on.len() > MAX_LOST {
        let count = passed_on.len();
        broken.push(format!(
            "{count} requests of kept connections were passed on to sound servers, and their \
             connections were closed without an answer; {MAX_LOST} may be"
        ));
    }
    for (vm, count) in &ended {
        record.add(format!("{vm} ended by itself {count} times"));
    }
    drop(daemons);
    record.finish(&broken);
}

/// Returns an entry as another writer makes it: a copy of an engine's entry that lacks the time of
/// its start, under the engine's name with a line end behind it.
fn foreign_entry(engine: &Server) -> (String, Value) {
    let mut entry = engine.next_entry("ready", engine.address);
    entry.as_object_mut().expect("an entry is an object").remove("born");
    (format!("{}\n", engine.name), entry)
}

/// Sends plain requests over a kept connection until the run ends. A connection that ends is replaced.
fn start_caller(
    record: &Arc<Record>,
    ends: &Arc<AtomicBool>,
    lost: &Arc<Mutex<Vec<Lost>>>,
    daemon: &str,
    address: SocketAddr,
) -> thread::JoinHandle<()> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (record, ends, lost) = (Arc::clone(record), Arc::clone(ends), Arc::clone(lost));
    let daemon = daemon.to_owned();
    thread::spawn(move || {
        while !ends.load(Ordering::SeqCst) {
            let Ok(mut stream) = TcpStream::connect(address) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let mut reader = Reader::new(stream.try_clone().expect("the socket was not cloned"));
            let mut is_kept = false;
            while !ends.load(Ordering::SeqCst) {
                let id = format!("p-{}", NEXT.fetch_add(1, Ordering::SeqCst));
                let request = get(SAFE, &id, "Deadline-Ms: 1500\r\n");
                if stream.write_all(request.as_bytes()).is_err() {
                    break;
                }
                let Ok(Some(answer)) = reader.answer() else {
                    record.add(format!("{id} at {daemon}: no answer, kept connection: {is_kept}"));
                    if is_kept {
                        lost.lock().unwrap().push(Lost { id, daemon: daemon.clone() });
                    }
                    break;
                };
                record.add(format!("{id} at {daemon}: {}", answer.status()));
                is_kept = true;
                thread::sleep(Duration::from_millis(10));
            }
        }
    })
}

/// Asks for one model after the other until the run ends.
fn start_model_caller(
    record: &Arc<Record>,
    ends: &Arc<AtomicBool>,
    address: SocketAddr,
) -> thread::JoinHandle<()> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (record, ends) = (Arc::clone(record), Arc::clone(ends));
    thread::spawn(move || {
        while !ends.load(Ordering::SeqCst) {
            let number = NEXT.fetch_add(1, Ordering::SeqCst);
            let id = format!("m-{number}");
            let model = MODELS[number as usize % MODELS.len()];
            let headers = format!("Model: {model}\r\nDeadline-Ms: 3000\r\n");
            let status = try_once(address, &post(STREAM, &id, &headers, &id));
            record.add(format!("{id} for model {model}: {status:?}"));
            thread::sleep(Duration::from_millis(100));
        }
    })
}

/// Sends one request over a connection of its own. Returns the status of the answer, if there is one.
fn try_once(address: SocketAddr, request: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    Some(Reader::new(stream).answer().ok()??.status())
}
