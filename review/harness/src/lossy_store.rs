//! A way to the store on which single answers are lost.
//!
//! The store has carried out the call; its answer does not arrive, and the connection delivers
//! nothing further.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::Value;
use std::{
    io::Write,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use trestle_platform_standin::http::{Message, Reader};

/// A way to the store, for one daemon.
pub struct LossyStore {
    /// The address that the daemon uses as the store's.
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    store: SocketAddr,
    /// Whether the answer of the next write that releases a lease is lost.
    loses_release: AtomicBool,
    /// When the store had carried out the writes that release a lease.
    released_at: Mutex<Vec<Instant>>,
}

impl LossyStore {
    /// Starts a way to a store that loses nothing yet.
    pub fn start(ip: IpAddr, store: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("no port is free");
        let address = listener.local_addr().expect("the listener has no address");
        let state =
            State { store, loses_release: AtomicBool::new(false), released_at: Mutex::default() };
        let state = Arc::new(state);
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || state.serve(stream));
            }
        });
        Self { address, state }
    }

    /// Loses the answer of the next write by which the daemon releases a lease; one answer only.
    pub fn lose_release(&self) {
        self.state.loses_release.store(true, Ordering::SeqCst);
    }

    /// Returns when the store had carried out the writes that release a lease.
    pub fn released_at(&self) -> Vec<Instant> {
        self.state.released_at.lock().unwrap().clone()
    }
}

impl State {
    fn serve(&self, mut client: TcpStream) -> Option<()> {
        let mut upstream = TcpStream::connect(self.store).ok()?;
        let mut requests = Reader::new(client.try_clone().ok()?);
        let mut answers = Reader::new(upstream.try_clone().ok()?);
        while let Ok(Some(request)) = requests.request() {
            upstream.write_all(&to_bytes(&format!("{} HTTP/1.1", request.start), &request)).ok()?;
            let answer = answers.answer().ok()??;
            if answer.status() == 200 && releases(&request) {
                self.released_at.lock().unwrap().push(Instant::now());
                if self.loses_release.swap(false, Ordering::SeqCst) {
                    // The connection stays open and delivers nothing further.
                    while let Ok(Some(_)) = requests.request() {}
                    thread::sleep(Duration::from_secs(1));
                    return None;
                }
            }
            client.write_all(&to_bytes(&format!("HTTP/1.1 {} x", answer.start), &answer)).ok()?;
        }
        None
    }
}

/// Returns whether a call writes the row of a lease as released.
fn releases(request: &Message) -> bool {
    if !request.start.contains("/v1/rows-tx") {
        return false;
    }
    let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let value = call["writes"][0]["value"].as_str().and_then(|text| STANDARD.decode(text).ok());
    let row: Value =
        value.and_then(|value| serde_json::from_slice(&value).ok()).unwrap_or_default();
    row["is_released"] == true
}

fn to_bytes(start: &str, message: &Message) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in &message.headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend(&message.body);
    bytes
}
