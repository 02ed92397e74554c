//! An engine over HTTP.

use crate::{
    engine::{Carried, Started},
    faults::{EngineFaults, take_one},
    http::{body_of, json, sleep_ms},
    world::World,
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

/// Time that unloading a model takes.
const UNLOAD_MS: u64 = 200;
/// Time between two looks whether an engine is still frozen.
const FROZEN_MS: u64 = 50;
/// Characters of a prompt that the answer repeats.
const ECHO_CHARS: usize = 64;

pub(crate) async fn handle(world: Arc<World>, name: EndpointName, conn: Conn) -> Conn {
    while faults(&world, &name).frozen {
        sleep_ms(FROZEN_MS).await;
    }
    match (conn.method(), conn.path()) {
        (Method::Post, "/orders") => order(world, name, conn).await,
        (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
            complete(world, name, conn).await
        }
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn faults(world: &World, name: &EndpointName) -> EngineFaults {
    world.lock().faults.engines.get(name.as_str()).cloned().unwrap_or_default()
}

async fn order(world: Arc<World>, name: EndpointName, mut conn: Conn) -> Conn {
    let Some(order) = body_of::<WireOrder>(&mut conn).await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let carried = carry_out(&world, &name, order);
    if let Some(started) = carried.started {
        smol::spawn(go_on(Arc::clone(&world), name.clone(), started)).detach();
    }
    sleep_ms(faults(&world, &name).order_slow_ms).await;
    json(conn, Status::Ok, &carried.answer)
}

fn carry_out(world: &World, name: &EndpointName, order: WireOrder) -> Carried {
    let now_ms = world.now_ms();
    let loaded = match &order.kind {
        WireOrderKind::Load { model, .. } => Some(ModelName::from(model.as_str())),
        _ => None,
    };
    let mut state = world.lock();
    state.counts.orders += 1;
    let Some(engine) = state.engines.get_mut(name) else { unreachable!("engines are fixed") };
    let carried = engine.carry_out(order);
    if matches!(carried.answer, trestle_wire::order::WireOrderAnswer::Refused { .. }) {
        state.counts.refused_orders += 1;
    }
    if let Some(breach) = &carried.breach {
        state.breach(format!("{name}: {breach}"));
    }
    if let (Some(model), Some(Started::Load(_))) = (loaded, &carried.started) {
        state.check_leaving(name, "load", now_ms);
        *state.counts.loads.entry(model.to_string()).or_default() += 1;
        state.counts.load_order.push(model.to_string());
        let max_replicas = world.models.get(&model).map_or(0, |spec| spec.max_replicas);
        state.check_replicas(&model, max_replicas);
    }
    carried
}

async fn go_on(world: Arc<World>, name: EndpointName, started: Started) {
    match started {
        Started::Load(model) => {
            let load_ms = world.models.get(&model).map_or(0, |spec| spec.load_ms);
            let slower = world.lock().faults.weights_slower.unwrap_or(1.0);
            world.weights.load(world.scaled_ms(load_ms), slower).await;
            let mut state = world.lock();
            let engine = state.engines.get_mut(&name);
            if let Some(engine) = engine
                && let Some(model) = engine.models.get_mut(&model)
            {
                model.phase = WirePhase::Ready;
            }
        }
        Started::Unload(model) => {
            sleep_ms(world.scaled_ms(UNLOAD_MS)).await;
            let mut state = world.lock();
            state.counts.unloads += 1;
            if let Some(engine) = state.engines.get_mut(&name) {
                engine.models.remove(&model);
            }
        }
    }
}

/// A request that takes one of the engine's slots until it is dropped.
struct Running {
    world: Arc<World>,
    name: EndpointName,
    model: ModelName,
}

impl Running {
    fn start(world: &Arc<World>, name: &EndpointName, model: &ModelName) -> Option<Self> {
        let now_ms = world.now_ms();
        let mut state = world.lock();
        let engine = state.engines.get_mut(name)?;
        let loaded = engine.models.get_mut(model)?;
        if loaded.phase != WirePhase::Ready {
            return None;
        }
        loaded.running += 1;
        state.counts.engine_runs += 1;
        state.check_leaving(name, "request", now_ms);
        Some(Self { world: Arc::clone(world), name: name.clone(), model: model.clone() })
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.world.lock();
        let engine = state.engines.get_mut(&self.name);
        if let Some(loaded) = engine.and_then(|engine| engine.models.get_mut(&self.model)) {
            loaded.running = loaded.running.saturating_sub(1);
        }
    }
}

async fn complete(world: Arc<World>, name: EndpointName, mut conn: Conn) -> Conn {
    let request_id = conn.request_headers().get_str(headers::REQUEST_ID).unwrap_or("").to_owned();
    let Some(body) = body_of::<Value>(&mut conn).await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let model = ModelName::from(body["model"].as_str().unwrap_or(""));
    let Some(running) = Running::start(&world, &name, &model) else {
        return json(conn, Status::Conflict, &json!({"error": {"code": "model_not_loaded"}}));
    };
    let (cut, crossed, failed) = take_faults(&world, &name);
    if failed {
        return conn.with_status(Status::InternalServerError).halt();
    }
    let service_ms = world.models.get(&model).map_or(0, |spec| spec.service_ms);
    let service_ms = world.scaled_ms(service_ms * sharing(&world, &name));
    let answer_id = if crossed { "another-request" } else { &request_id };
    let conn = conn.with_response_header(headers::REQUEST_ID, answer_id.to_owned());
    let text = if crossed { "another text".to_owned() } else { echo_of(&body) };
    if body["stream"].as_bool() == Some(true) {
        return stream(conn, running, &model, answer_id, &text, service_ms, cut);
    }
    sleep_ms(service_ms).await;
    drop(running);
    let mut answer = completion(&model, answer_id, &text).to_string();
    if cut {
        // The length promises more than the body holds, as when a connection breaks.
        let length = answer.len() as u64;
        answer.truncate(answer.len() / 2);
        let body = Body::new_streaming(Cursor::new(answer.into_bytes()), Some(length));
        return conn.with_status(Status::Ok).with_body(body).halt();
    }
    conn.with_response_header("content-type", "application/json").ok(answer)
}

fn take_faults(world: &World, name: &EndpointName) -> (bool, bool, bool) {
    let mut state = world.lock();
    let Some(faults) = state.faults.engines.get_mut(name.as_str()) else {
        return (false, false, false);
    };
    let cut = take_one(&mut faults.cut_answers);
    let crossed = take_one(&mut faults.cross_answers);
    (cut, crossed, take_one(&mut faults.fail_answers))
}

/// How many requests share each of the engine's slots.
fn sharing(world: &World, name: &EndpointName) -> u64 {
    let state = world.lock();
    let Some(engine) = state.engines.get(name) else { return 1 };
    let running: usize = engine.models.values().map(|model| model.running).sum();
    running.div_ceil(engine.slots().max(1)) as u64
}

fn echo_of(body: &Value) -> String {
    let chat = body["messages"].as_array().and_then(|messages| messages.last());
    let prompt = chat.map_or(&body["prompt"], |message| &message["content"]);
    prompt.as_str().unwrap_or("").chars().take(ECHO_CHARS).collect()
}

fn completion(model: &ModelName, id: &str, text: &str) -> Value {
    let message = json!({"role": "assistant", "content": text});
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model.as_str(),
        "choices": [{"index": 0, "message": message, "text": text, "finish_reason": "stop"}],
    })
}

/// Answers word by word, as server-sent events.
fn stream(
    conn: Conn,
    running: Running,
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
    let body = Paced { running: Some(running), events, interval_ms, timer: None, left: Vec::new() };
    conn.with_response_header("content-type", "text/event-stream")
        .with_status(Status::Ok)
        .with_body(Body::new_streaming(body, None))
        .halt()
}

/// A body whose events come one after another.
///
/// The request has run once its last event is there, before a reader takes it.
struct Paced {
    running: Option<Running>,
    events: Vec<String>,
    interval_ms: u64,
    timer: Option<smol::Timer>,
    left: Vec<u8>,
}

impl AsyncRead for Paced {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.left.is_empty() {
            let interval = std::time::Duration::from_millis(this.interval_ms);
            let timer = this.timer.get_or_insert_with(|| smol::Timer::after(interval));
            let timer = Pin::new(timer);
            if std::future::Future::poll(timer, cx).is_pending() {
                return Poll::Pending;
            }
            this.timer = None;
            let Some(event) = this.events.pop() else { return Poll::Ready(Ok(0)) };
            this.left = event.into_bytes();
            if this.events.is_empty() {
                this.running = None;
            }
        }
        let count = this.left.len().min(buffer.len());
        buffer[..count].copy_from_slice(&this.left[..count]);
        this.left.drain(..count);
        Poll::Ready(Ok(count))
    }
}
