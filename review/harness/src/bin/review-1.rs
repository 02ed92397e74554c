//! Case 1: a daemon that is cut off from one engine reaches it through other daemons, which are
//! restarted one after the other. Engines send streams without a length.

use review_cases::{Daemon, Record, has_trouble, limit_run};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use trestle_platform_standin::{
    EVENTS_TOTAL, STREAM,
    caller::{Caller, post},
    configured_store,
    endpoint::{Partition, Server},
    next_ip, wait_for,
};

/// The number of daemons. One of them is cut off, the others are restarted in turn.
const DAEMONS: usize = 4;
/// The models of the engines, which have room for two each. The first engine is cut off from that
/// daemon; it alone has the model that callers ask for.
const ENGINES: [[&str; 2]; 5] = [["a", "b"], ["c", "d"], ["c", "d"], ["c", "e"], ["d", "e"]];
/// Callers that have a stream open at the same time.
const CALLERS: usize = 16;
/// Length of each cut.
const CUT: Duration = Duration::from_secs(5);
/// Time from the beginning of a cut to the stop of a daemon.
const STOP_AFTER: Duration = Duration::from_millis(1_500);
/// Time from the end of a cut to the next.
const CUT_GAP: Duration = Duration::from_secs(2);
/// The number of restarts.
const RESTARTS: usize = 9;

/// An answer as a caller saw it.
struct Answer {
    status: u16,
    /// Whether the answer looked complete: its last chunk came.
    is_whole: bool,
    ids: Vec<u64>,
}

fn main() {
    limit_run();
    let record = Arc::new(Record::default());
    let ip = next_ip();
    let store = configured_store(ip);
    let engines: Vec<Server> = ENGINES.iter().map(|models| Server::engine(ip, models)).collect();
    for engine in &engines {
        engine.set_unframed();
        engine.register(&store);
    }
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let vm_ip = next_ip();
        // On the loopback interface, only the source address tells at a server which VM connects.
        let daemon = Daemon::start(vm_ip, store.address, number, |settings| {
            settings["source_address"] = vm_ip.to_string().into();
        });
        daemon.wait_ready();
        daemons.push((vm_ip, daemon));
    }
    wait_for("a daemon leads", || {
        daemons.iter().any(|(_, daemon)| daemon.has_logged("This daemon leads."))
    });
    // Helpers are named in answers to reports, which go out every 3 s.
    thread::sleep(Duration::from_secs(4));
    let ends = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let address = daemons[0].1.callers;
    let callers: Vec<_> =
        (0..CALLERS).map(|_| start_caller(&record, &ends, &answers, address)).collect();
    thread::sleep(Duration::from_secs(1));
    for restart in 0..RESTARTS {
        let cut_at = Instant::now();
        if has_trouble() {
            record.add(format!("{} is cut off from vm-0: nothing passes", engines[0].name));
            engines[0].cut_off_from(daemons[0].0, Partition::Silent);
        }
        thread::sleep(STOP_AFTER);
        let (_, daemon) = &mut daemons[1 + restart % (DAEMONS - 1)];
        record.add(format!("SIGTERM to {}", daemon.vm));
        daemon.signal("-TERM");
        daemon.wait_ended();
        record.add(format!("{} has ended and starts again", daemon.vm));
        daemon.start_again();
        daemon.wait_ready();
        thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
        engines[0].heal();
        record.add("the cut is over");
        thread::sleep(CUT_GAP);
    }
    ends.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller failed"));

    for engine in &engines {
        for received in engine.received() {
            let line = format!("{} ran {}: {}", engine.name, received.id, received.ran);
            record.add_at(received.at, line);
        }
    }
    let answers = answers.lock().unwrap();
    let complete = answers.values().filter(|answer: &&Answer| answer.is_full()).count();
    record.add(format!("{} requests, {complete} complete streams", answers.len()));
    if complete < 50 {
        record.give_up("too few streams were served");
    }
    let broken: Vec<String> = answers
        .iter()
        .filter(|(_, answer)| answer.status == 200 && answer.is_whole && !answer.is_full())
        .map(|(id, answer)| {
            let ids = &answer.ids;
            format!("the stream {id} ended as complete with events {ids:?} of 1 to {EVENTS_TOTAL}")
        })
        .collect();
    drop(daemons);
    record.finish(&broken);
}

impl Answer {
    /// Returns whether all events came, in order.
    fn is_full(&self) -> bool {
        self.is_whole && self.ids.iter().copied().eq(1..=EVENTS_TOTAL)
    }
}

/// Asks for one stream after the other until the run ends.
fn start_caller(
    record: &Arc<Record>,
    ends: &Arc<AtomicBool>,
    answers: &Arc<Mutex<BTreeMap<String, Answer>>>,
    address: SocketAddr,
) -> thread::JoinHandle<()> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (record, ends, answers) = (Arc::clone(record), Arc::clone(ends), Arc::clone(answers));
    thread::spawn(move || {
        while !ends.load(Ordering::SeqCst) {
            let id = format!("r-{}", NEXT.fetch_add(1, Ordering::SeqCst));
            let mut caller = Caller::connect(address);
            caller.send(&post(STREAM, &id, "Model: a\r\nDeadline-Ms: 4000\r\n", &id));
            let Some(message) = caller.answer() else {
                record.add(format!("{id}: the connection ended"));
                continue;
            };
            let text = message.text();
            let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
            let (status, is_whole, ids) = (message.status(), message.is_whole, ids.collect());
            record.add(format!("{id}: {status}, whole: {is_whole}, events {ids:?}"));
            answers.lock().unwrap().insert(id, Answer { status, is_whole, ids });
            thread::sleep(Duration::from_millis(20));
        }
    })
}
