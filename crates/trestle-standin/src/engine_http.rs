//! HTTP interface of one simulated engine: orders and completions.

use crate::{
    engine::{OrderOutcome, StartedChange},
    faults::{EngineFaults, consume_one},
    http::{json_response, read_json, sleep_ms},
    simulation::Simulation,
};
use futures_lite::{AsyncRead, io::Cursor};
use serde_json::{Value, json};
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};
use trestle_core::names::{EndpointName, ModelName};
use trestle_wire::{
    headers,
    order::{WireOrder, WireOrderKind, WirePhase},
};
use trillium::{Body, Conn, Method, Status};

/// Time that unloading a model takes, at speed 1.
const UNLOAD_MS: u64 = 200;
/// Interval between checks of whether an engine is still frozen.
const FROZEN_POLL_MS: u64 = 50;
/// Characters of the prompt that the answer echoes.
const MAX_ECHO_CHARS: usize = 64;

pub(crate) async fn handle(simulation: Arc<Simulation>, name: EndpointName, conn: Conn) -> Conn {
    while faults(&simulation, &name).frozen {
        sleep_ms(FROZEN_POLL_MS).await;
    }
    match (conn.method(), conn.path()) {
        (Method::Post, "/orders") => handle_order(simulation, name, conn).await,
        (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
            handle_completion(simulation, name, conn).await
        }
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn faults(simulation: &Simulation, name: &EndpointName) -> EngineFaults {
    simulation.lock().faults.engines.get(name.as_str()).cloned().unwrap_or_default()
}

async fn handle_order(simulation: Arc<Simulation>, name: EndpointName, mut conn: Conn) -> Conn {
    let Some(order) = read_json::<WireOrder>(&mut conn).await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let outcome = execute_order(&simulation, &name, order);
    if let Some(started_change) = outcome.started_change {
        smol::spawn(finish_change(Arc::clone(&simulation), name.clone(), started_change)).detach();
    }
    sleep_ms(faults(&simulation, &name).order_slow_ms).await;
    json_response(conn, Status::Ok, &outcome.answer)
}

fn execute_order(simulation: &Simulation, name: &EndpointName, order: WireOrder) -> OrderOutcome {
    let now_ms = simulation.now_ms();
    let model_to_load = match &order.kind {
        WireOrderKind::Load { model, .. } => Some(ModelName::from(model.as_str())),
        _ => None,
    };
    let mut state = simulation.lock();
    state.counts.orders += 1;
    let Some(engine) = state.engines.get_mut(name) else { unreachable!("engines are fixed") };
    let outcome = engine.execute_order(order);
    if matches!(outcome.answer, trestle_wire::order::WireOrderAnswer::Refused { .. }) {
        state.counts.refused_orders += 1;
    }
    if let Some(breach) = &outcome.breach {
        state.record_breach(format!("{name}: {breach}"));
    }
    if let (Some(model), Some(StartedChange::Load(_))) = (model_to_load, &outcome.started_change) {
        state.check_draining(name, "load", now_ms);
        *state.counts.loads.entry(model.to_string()).or_default() += 1;
        state.counts.load_order.push(model.to_string());
        let max_replicas = simulation.models.get(&model).map_or(0, |spec| spec.max_replicas);
        state.check_replicas(&model, max_replicas);
    }
    outcome
}

async fn finish_change(
    simulation: Arc<Simulation>,
    name: EndpointName,
    started_change: StartedChange,
) {
    match started_change {
        StartedChange::Load(model) => {
            let load_ms = simulation.models.get(&model).map_or(0, |spec| spec.load_ms);
            let slowdown = simulation.lock().faults.weights_slower.unwrap_or(1.0);
            simulation.weight_store.load(simulation.scaled_ms(load_ms), slowdown).await;
            let mut state = simulation.lock();
            let engine = state.engines.get_mut(&name);
            if let Some(engine) = engine
                && let Some(model) = engine.models.get_mut(&model)
            {
                model.phase = WirePhase::Ready;
            }
        }
        StartedChange::Unload(model) => {
            sleep_ms(simulation.scaled_ms(UNLOAD_MS)).await;
            let mut state = simulation.lock();
            state.counts.unloads += 1;
            if let Some(engine) = state.engines.get_mut(&name) {
                engine.models.remove(&model);
            }
        }
    }
}

/// A running request, counted at its model until this guard is dropped.
struct RunningRequest {
    simulation: Arc<Simulation>,
    name: EndpointName,
    model: ModelName,
}

impl RunningRequest {
    fn start(simulation: &Arc<Simulation>, name: &EndpointName, model: &ModelName) -> Option<Self> {
        let now_ms = simulation.now_ms();
        let mut state = simulation.lock();
        let engine = state.engines.get_mut(name)?;
        let loaded = engine.models.get_mut(model)?;
        if loaded.phase != WirePhase::Ready {
            return None;
        }
        loaded.running += 1;
        state.counts.engine_runs += 1;
        state.check_draining(name, "request", now_ms);
        Some(Self { simulation: Arc::clone(simulation), name: name.clone(), model: model.clone() })
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.simulation.lock();
        let engine = state.engines.get_mut(&self.name);
        if let Some(loaded) = engine.and_then(|engine| engine.models.get_mut(&self.model)) {
            loaded.running = loaded.running.saturating_sub(1);
        }
    }
}

async fn handle_completion(
    simulation: Arc<Simulation>,
    name: EndpointName,
    mut conn: Conn,
) -> Conn {
    let request_id = conn.request_headers().get_str(headers::REQUEST_ID).unwrap_or("").to_owned();
    let Some(body) = read_json::<Value>(&mut conn).await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let model = ModelName::from(body["model"].as_str().unwrap_or(""));
    let Some(running) = RunningRequest::start(&simulation, &name, &model) else {
        return json_response(
            conn,
            Status::Conflict,
            &json!({"error": {"code": "model_not_loaded"}}),
        );
    };
    let (cut, cross, fail) = consume_faults(&simulation, &name);
    if fail {
        return conn.with_status(Status::InternalServerError).halt();
    }
    let service_ms = simulation.models.get(&model).map_or(0, |spec| spec.service_ms);
    let service_ms = simulation.scaled_ms(service_ms * requests_per_slot(&simulation, &name));
    let answer_id = if cross { "another-request" } else { &request_id };
    let conn = conn.with_response_header(headers::REQUEST_ID, answer_id.to_owned());
    let text = if cross { "another text".to_owned() } else { echoed_prompt(&body) };
    if body["stream"].as_bool() == Some(true) {
        return stream_response(conn, running, &model, answer_id, &text, service_ms, cut);
    }
    sleep_ms(service_ms).await;
    drop(running);
    let mut answer = completion_body(&model, answer_id, &text).to_string();
    if cut {
        // The body is shorter than its announced length, as after a connection loss.
        let length = answer.len() as u64;
        answer.truncate(answer.len() / 2);
        let body = Body::new_streaming(Cursor::new(answer.into_bytes()), Some(length));
        return conn.with_status(Status::Ok).with_body(body).halt();
    }
    conn.with_response_header("content-type", "application/json").ok(answer)
}

/// Uses up one of each fault of the engine's answers; returns whether this answer is truncated,
/// carries another request's id and text, and is a server error.
fn consume_faults(simulation: &Simulation, name: &EndpointName) -> (bool, bool, bool) {
    let mut state = simulation.lock();
    let Some(faults) = state.faults.engines.get_mut(name.as_str()) else {
        return (false, false, false);
    };
    let cut = consume_one(&mut faults.cut_answers);
    let cross = consume_one(&mut faults.cross_answers);
    (cut, cross, consume_one(&mut faults.fail_answers))
}

/// Returns how many running requests share each of the engine's slots, rounded up; 0 if
/// none runs.
fn requests_per_slot(simulation: &Simulation, name: &EndpointName) -> u64 {
    let state = simulation.lock();
    let Some(engine) = state.engines.get(name) else { return 1 };
    let running: usize = engine.models.values().map(|model| model.running).sum();
    running.div_ceil(engine.slots().max(1)) as u64
}

fn echoed_prompt(body: &Value) -> String {
    let chat = body["messages"].as_array().and_then(|messages| messages.last());
    let prompt = chat.map_or(&body["prompt"], |message| &message["content"]);
    prompt.as_str().unwrap_or("").chars().take(MAX_ECHO_CHARS).collect()
}

fn completion_body(model: &ModelName, id: &str, text: &str) -> Value {
    let message = json!({"role": "assistant", "content": text});
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model.as_str(),
        "choices": [{"index": 0, "message": message, "text": text, "finish_reason": "stop"}],
    })
}

/// Streams the answer word by word, as server-sent events.
fn stream_response(
    conn: Conn,
    running: RunningRequest,
    model: &ModelName,
    id: &str,
    text: &str,
    service_ms: u64,
    cut: bool,
) -> Conn {
    let mut events: Vec<String> = text
        .split_inclusive(' ')
        .map(|word| {
            let choice = json!({"index": 0, "delta": {"content": word}, "text": word});
            let event = json!({"id": id, "model": model.as_str(), "choices": [choice]});
            format!("data: {event}\n\n")
        })
        .collect();
    if cut {
        events.truncate(events.len() / 2);
    } else {
        events.push("data: [DONE]\n\n".to_owned());
    }
    let interval_ms = service_ms / events.len().max(1) as u64;
    events.reverse();
    let body =
        PacedBody { running: Some(running), events, interval_ms, timer: None, unread: Vec::new() };
    conn.with_response_header("content-type", "text/event-stream")
        .with_status(Status::Ok)
        .with_body(Body::new_streaming(body, None))
        .halt()
}

/// A response body that yields one event per interval.
///
/// The request counts as finished once its last event is due, before a reader consumes it.
struct PacedBody {
    running: Option<RunningRequest>,
    events: Vec<String>,
    interval_ms: u64,
    timer: Option<smol::Timer>,
    unread: Vec<u8>,
}

impl AsyncRead for PacedBody {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.unread.is_empty() {
            let interval = std::time::Duration::from_millis(this.interval_ms);
            let timer = this.timer.get_or_insert_with(|| smol::Timer::after(interval));
            let timer = Pin::new(timer);
            if std::future::Future::poll(timer, cx).is_pending() {
                return Poll::Pending;
            }
            this.timer = None;
            let Some(event) = this.events.pop() else { return Poll::Ready(Ok(0)) };
            this.unread = event.into_bytes();
            if this.events.is_empty() {
                this.running = None;
            }
        }
        let count = this.unread.len().min(buffer.len());
        buffer[..count].copy_from_slice(&this.unread[..count]);
        this.unread.drain(..count);
        Poll::Ready(Ok(count))
    }
}
