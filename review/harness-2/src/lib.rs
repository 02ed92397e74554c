//! Ways to engines, on one of which one order is late.
//!
//! The order gets no answer, and the engine receives it seconds later over a connection of its own.

use serde_json::Value;
use std::{
    io::{self, Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};
use trestle_platform_standin::http::{Message, Reader};

/// The request line of an order.
const ORDER: &str = "POST /v1/order";

/// The order that is late: the one of an operation on a model at an expected count.
#[derive(Debug, Clone)]
pub struct Late {
    pub op: &'static str,
    pub model: &'static str,
    pub expect: u64,
    /// Time from its sending to its arrival.
    pub delay: Duration,
}

/// The next order that is to be late, shared by the ways to all engines.
pub type NextLate = Arc<Mutex<Option<Late>>>;

/// A way to one engine.
pub struct LateOrders {
    /// The address under which the engine is registered.
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    engine: SocketAddr,
    /// The order that is to be late on one of all ways; `None` once it is under way.
    late: NextLate,
    /// What happened to it.
    events: Mutex<Vec<(Instant, String)>>,
}

impl LateOrders {
    /// Starts a way to an engine.
    pub fn start(ip: IpAddr, engine: SocketAddr, late: &NextLate) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("no port is free");
        let address = listener.local_addr().expect("the listener has no address");
        let state = State { engine, late: Arc::clone(late), events: Mutex::default() };
        let state = Arc::new(state);
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || state.serve(&stream));
            }
        });
        Self { address, state }
    }

    /// Returns what happened to the late order.
    pub fn events(&self) -> Vec<(Instant, String)> {
        lock(&self.state.events).clone()
    }
}

impl State {
    /// Forwards a connection; both sides end with the other one.
    fn serve(self: Arc<Self>, client: &TcpStream) {
        let Ok(engine) = TcpStream::connect(self.engine) else { return };
        if let (Ok(from), Ok(to)) = (engine.try_clone(), client.try_clone()) {
            thread::spawn(move || copy(from, to));
        }
        let _ = self.forward_requests(client, &engine);
        let _ = engine.shutdown(Shutdown::Both);
        let _ = client.shutdown(Shutdown::Both);
    }

    fn forward_requests(
        self: &Arc<Self>,
        client: &TcpStream,
        mut engine: &TcpStream,
    ) -> io::Result<()> {
        let mut requests = Reader::new(client.try_clone()?);
        while let Some(request) = requests.request()? {
            let bytes = to_bytes(&request);
            match self.take_late(&request) {
                Some(late) => self.deliver_later(late, bytes),
                None => engine.write_all(&bytes)?,
            }
        }
        Ok(())
    }

    /// Returns the late order if a request is that one, the first time.
    fn take_late(&self, request: &Message) -> Option<Late> {
        if request.start != ORDER {
            return None;
        }
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        lock(&self.late).take_if(|late| {
            order["op"] == late.op
                && order["model"] == late.model
                && order["expect"] == late.expect
                && order["adapter"].is_null()
        })
    }

    /// Has the engine receive an order once its delay is over; nothing waits for the answer.
    fn deliver_later(self: &Arc<Self>, late: Late, bytes: Vec<u8>) {
        let body = String::from_utf8_lossy(&bytes).replace("\r\n", " ");
        self.add(format!("the late order is sent and gets no answer: {body}"));
        let state = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(late.delay);
            let status = TcpStream::connect(state.engine).and_then(|mut stream| {
                stream.write_all(&bytes)?;
                Reader::new(stream).answer()
            });
            let status = status.ok().flatten().map_or(0, |answer| answer.status());
            state.add(format!("the engine receives the late order and answers {status}"));
        });
    }

    fn add(&self, event: String) {
        lock(&self.events).push((Instant::now(), event));
    }
}

/// Copies bytes until either side ends, and ends both.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 << 10];
    while let Ok(length @ 1..) = from.read(&mut bytes) {
        if to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn to_bytes(request: &Message) -> Vec<u8> {
    let mut text = format!("{} HTTP/1.1\r\n", request.start);
    for (name, value) in &request.headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend(&request.body);
    bytes
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
