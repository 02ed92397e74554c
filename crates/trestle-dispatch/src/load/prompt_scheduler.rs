//! The leader's decision on which engine reads a prompt, and when.
//!
//! The load that this answers: long and short prompts that arrive at many daemons at once, for models
//! with a few replicas each. No daemon knows what the others have just sent, so without a common
//! decision several long prompts meet at one engine while others are idle, and the streams there
//! stall. The leader of a group of engines sees all prompts for them. It assigns each to the engine
//! where its first event is due soonest, taking into account what the engine keeps of it, and gives no
//! engine more to read at a time than the streams there bear. Only a prompt that would be late by waiting
//! is assigned beyond that, where it stalls less than one other stream.
//!
//! What is known here is lost with the leader. It is rebuilt within the time that the assigned prompts
//! take to be read, and from the requests that ask again.

use crate::{
    catalog::Catalog,
    endpoint::Incarnation,
    load::{
        kept_parts::KeptParts,
        model_work::ModelWork,
        reading_queue::ReadingQueue,
        reading_speeds::ReadingSpeeds,
        request_size::{PromptPart, RequestSize},
    },
    policy::{Mechanism, Policy},
    waiting::line::{Line, PLACE_GRACE_MS, WaitingRequest},
};
use std::collections::BTreeMap;
use trestle_core::names::{AdapterName, ModelName, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// Shortest and longest time after which a request that found no room asks again. A longer one would
/// leave room unused that others gave up.
const ASK_AGAIN_MS: (f64, f64) = (15.0, 200.0);
/// Time for which the place of a refused request is kept beyond its announced retry. Callers retry over a
/// new connection.
const RETURN_GRACE_MS: u64 = 1_000;
/// Cost, as time to the first event, of an engine that reads all the time; between two engines that would
/// answer equally soon, the less used one keeps room for a prompt to come.
const READING_COST_MS: f64 = 50.0;
/// Cost, as time to the first event, of each stream that a run of prompts stalls.
const STALL_COST_MS: f64 = 100.0;
/// Decayed tokens to write that count as one stream: those of a chat of some 300 tokens in the middle of
/// its time.
const TOKENS_PER_STREAM: f64 = 200.0;
/// Shares of a pause between which a run of prompts begins to stall streams and stalls all of them.
const STALL_RANGE: (f64, f64) = (0.5, 1.0);
/// Cost, as time to the first event, of each failure of an engine since its last first event. Nothing is
/// assigned to an engine that has just crashed, so it would seem to be the least loaded one.
const FAILURE_COST_MS: f64 = 250.0;
/// Time in which that cost decays to 1/e: an engine that started again has no entry for about as long.
const FAILURE_DECAY_MS: f64 = 3_000.0;
/// Time in which the weight of tokens to write decays to 1/e: the length of some streams.
const WRITING_DECAY_MS: f64 = 2_000.0;
/// Tokens that an engine keeps if the configuration does not tell its capacity.
const DEFAULT_CACHE_TOKENS: u64 = 100_000;
/// Time without a prompt after which an engine is forgotten.
const UNUSED_MS: u64 = 60_000;

/// The bounds that a configuration sets for the engines of a service.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct EngineBounds {
    /// Longest pause with which all streams of the service are on time.
    pub shortest_pause_ms: u64,
    /// Tokens that an engine's KV cache holds.
    pub cache_tokens: u64,
}

impl EngineBounds {
    /// Returns the bounds of a service's engines; `None` if it has no stream routes with a bound.
    pub fn of(catalog: &Catalog, service: &ServiceName) -> Option<Self> {
        let spec = catalog.services.get(service)?.engine.as_ref()?;
        Some(Self {
            shortest_pause_ms: catalog.routes.shortest_pause_ms(service)?,
            cache_tokens: spec.cache_tokens.unwrap_or(DEFAULT_CACHE_TOKENS),
        })
    }
}

/// A prompt that an engine is to read.
#[derive(Debug, Clone, Copy)]
pub struct Prompt<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The adapter of the model, if the request names one.
    pub adapter: Option<&'a AdapterName>,
    /// The size of the request.
    pub size: RequestSize,
    /// The parts of the prompt, in their order.
    pub parts: &'a [PromptPart],
}

impl Prompt<'_> {
    /// Returns the prompt with no more tokens than an engine can hold; callers may claim any number.
    fn within(self, bounds: EngineBounds) -> Self {
        let RequestSize { prompt_tokens, answer_tokens } = self.size;
        let size = RequestSize {
            prompt_tokens: prompt_tokens.min(bounds.cache_tokens),
            answer_tokens: answer_tokens.min(bounds.cache_tokens),
        };
        Self { size, ..self }
    }
}

/// The time to the first event of a request, as it was expected and as it was.
#[trestle_macros::plain]
pub struct ObservedStart {
    /// The model.
    pub model: ModelName,
    /// The engine.
    pub engine: Incarnation,
    /// The time that the scheduler expected.
    pub expected_ms: u64,
    /// The time from the send to the first event; `None` if the engine failed before.
    pub observed_ms: Option<u64>,
}

/// The decision on a prompt.
#[trestle_macros::plain]
pub enum Schedule {
    /// An engine is to read it now.
    Assigned {
        /// The engine.
        engine: Incarnation,
        /// Expected time to the first event.
        expected_ms: u64,
        /// Tokens of the prompt that the engine does not keep.
        unread_tokens: u64,
    },
    /// No engine has room. The request keeps its place.
    Later {
        /// Time after which it should ask again.
        in_ms: u64,
    },
    /// No engine will have room in time. When the request first arrived is remembered until its caller
    /// retries.
    Refused {
        /// Time after which the caller should retry.
        in_ms: u64,
    },
}

/// Assigns prompts to the engines of the groups that this daemon leads.
#[derive(Debug, Default)]
pub struct PromptScheduler {
    services: BTreeMap<ServiceName, ServiceScheduler>,
}

#[derive(Debug, Default)]
struct ServiceScheduler {
    engines: BTreeMap<Incarnation, EngineLoad>,
    speeds: ReadingSpeeds,
    work: ModelWork,
    line: Line,
    /// Failures since the last first event, and when the last one was reported.
    failures: BTreeMap<Incarnation, (u32, u64)>,
}

/// What one engine has been assigned.
#[derive(Debug)]
struct EngineLoad {
    queue: ReadingQueue,
    kept: KeptParts,
    /// Tokens to write, each decayed by the time since it was assigned.
    writing_tokens: f64,
    assigned_ms: u64,
}

/// An engine that could read a prompt.
struct EngineOption<'a> {
    engine: &'a Incarnation,
    unread_tokens: u64,
    read_ms: f64,
    /// Expected time to the first event.
    expected_ms: f64,
    /// Expected time to the first event, and what else speaks against the engine.
    cost_ms: f64,
    /// Time until the engine has room for the prompt.
    room_in_ms: f64,
    /// Number of streams that the prompt is expected to stall if it is assigned now.
    stalled: f64,
}

impl PromptScheduler {
    /// Decides on a prompt of a request, which names the engines that may read it. An assignment counts
    /// once it is committed.
    pub fn schedule(
        &mut self,
        service: &ServiceName,
        prompt: Prompt<'_>,
        request: &WaitingRequest,
        bounds: EngineBounds,
        policy: &Policy,
        now_ms: u64,
    ) -> Schedule {
        self.services.entry(service.clone()).or_default().schedule(
            prompt.within(bounds),
            request,
            bounds,
            policy,
            now_ms,
        )
    }

    /// Records that a prompt is sent to the engine that it was assigned to.
    pub fn commit(
        &mut self,
        service: &ServiceName,
        prompt: Prompt<'_>,
        request: &WaitingRequest,
        engine: &Incarnation,
        bounds: EngineBounds,
        now_ms: u64,
    ) {
        let scheduler = self.services.entry(service.clone()).or_default();
        scheduler.commit(prompt.within(bounds), request, engine, bounds, now_ms);
    }

    /// Records when the first event of earlier requests came.
    pub fn record_starts(&mut self, service: &ServiceName, starts: &[ObservedStart], now_ms: u64) {
        let scheduler = self.services.entry(service.clone()).or_default();
        for start in starts {
            let expected_ms = start.expected_ms as f64;
            match start.observed_ms {
                Some(observed_ms) => {
                    let observed_ms = observed_ms as f64;
                    let ObservedStart { model, engine, .. } = start;
                    scheduler.speeds.record(model, engine, expected_ms, observed_ms, now_ms);
                    scheduler.failures.remove(engine);
                }
                None => scheduler.record_failure(&start.engine, now_ms),
            }
        }
    }

    /// Returns the reading that the requests of a service cause.
    pub fn work(&self, service: &ServiceName) -> ModelWork {
        let scheduler = self.services.get(service);
        scheduler.map(|scheduler| scheduler.work.clone()).unwrap_or_default()
    }

    /// Drops everything; to be called when this daemon leads no group any more.
    pub fn clear(&mut self) {
        self.services.clear();
    }

    /// Drops engines and requests that are gone.
    pub fn cleanup(&mut self, is_live: impl Fn(&Incarnation) -> bool, now_ms: u64) {
        for scheduler in self.services.values_mut() {
            scheduler.line.drop_lapsed(now_ms);
            scheduler.work.drop_lapsed(now_ms);
            scheduler.speeds.retain(&is_live);
            scheduler.failures.retain(|engine, _| is_live(engine));
            scheduler
                .engines
                .retain(|engine, load| is_live(engine) && now_ms < load.assigned_ms + UNUSED_MS);
        }
    }
}

impl ServiceScheduler {
    fn record_failure(&mut self, engine: &Incarnation, now_ms: u64) {
        let (count, at_ms) = self.failures.entry(engine.clone()).or_default();
        *count += 1;
        *at_ms = now_ms;
    }

    /// Returns the cost of an engine that failed lately.
    fn failure_cost_ms(&self, engine: &Incarnation, now_ms: u64) -> f64 {
        let Some((count, at_ms)) = self.failures.get(engine) else { return 0.0 };
        let age_ms = now_ms.saturating_sub(*at_ms) as f64;
        FAILURE_COST_MS * f64::from(*count) * (-age_ms / FAILURE_DECAY_MS).exp()
    }

    fn schedule(
        &mut self,
        prompt: Prompt<'_>,
        request: &WaitingRequest,
        bounds: EngineBounds,
        policy: &Policy,
        now_ms: u64,
    ) -> Schedule {
        let ahead_ms = match policy.has(Mechanism::OrderedWaiting) {
            true => self.line.ahead_ms_by_engine(request, now_ms),
            false => vec![0.0; request.engines.len()],
        };
        let options = request.engines.iter().zip(ahead_ms);
        let options: Vec<EngineOption<'_>> = options
            .map(|(engine, ahead_ms)| self.option(engine, prompt, ahead_ms, bounds, now_ms))
            .collect();
        let soonest =
            options.iter().min_by(|one, other| one.room_in_ms.total_cmp(&other.room_in_ms));
        let (room_in_ms, read_ms) =
            soonest.map_or((ASK_AGAIN_MS.1, 0.0), |option| (option.room_in_ms, option.read_ms));
        let is_late_by_waiting = room_in_ms + read_ms > request.due_in_ms as f64;
        let is_open = |option: &&EngineOption<'_>| {
            let is_worth_stalls = is_late_by_waiting
                && option.stalled < 1.0
                && option.expected_ms <= request.due_in_ms as f64;
            option.room_in_ms <= 0.0 || is_worth_stalls
        };
        let open = options.iter().filter(is_open);
        let best = open.min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms));
        if let Some(best) = best {
            let (expected_ms, unread_tokens) = (best.expected_ms as u64, best.unread_tokens);
            let engine = best.engine.clone();
            return Schedule::Assigned { engine, expected_ms, unread_tokens };
        }
        let begins_ms = request.waited_ms as f64 + room_in_ms + read_ms;
        let request = WaitingRequest { work_ms: read_ms, ..request.clone() };
        if begins_ms > request.max_wait_ms as f64 {
            let in_ms = room_in_ms.ceil() as u64;
            self.line.keep_refused(request, now_ms + in_ms + RETURN_GRACE_MS, now_ms);
            return Schedule::Refused { in_ms };
        }
        let in_ms = room_in_ms.clamp(ASK_AGAIN_MS.0, ASK_AGAIN_MS.1).ceil() as u64;
        self.line.keep(request, now_ms + in_ms + PLACE_GRACE_MS, now_ms);
        Schedule::Later { in_ms }
    }

    /// Returns the tokens of a prompt that an engine does not keep.
    fn unread_tokens(&self, prompt: Prompt<'_>, engine: &Incarnation) -> u64 {
        let load = self.engines.get(engine);
        let kept_tokens =
            load.map_or(0, |load| load.kept.kept_tokens(weights_key(prompt), prompt.parts));
        prompt.size.prompt_tokens.saturating_sub(kept_tokens).max(1)
    }

    fn read_ms(&self, prompt: Prompt<'_>, engine: &Incarnation) -> f64 {
        let unread_tokens = self.unread_tokens(prompt, engine);
        unread_tokens as f64 * self.speeds.ms_per_token(prompt.model, engine)
    }

    fn option<'a>(
        &self,
        engine: &'a Incarnation,
        prompt: Prompt<'_>,
        ahead_ms: f64,
        bounds: EngineBounds,
        now_ms: u64,
    ) -> EngineOption<'a> {
        let load = self.engines.get(engine);
        let unread_tokens = self.unread_tokens(prompt, engine);
        let read_ms = self.read_ms(prompt, engine);
        let queue = load.map(|load| load.queue).unwrap_or_default();
        let pause_ms = bounds.shortest_pause_ms;
        let room_in_ms = queue.room_in_ms(read_ms, ahead_ms, pause_ms, now_ms);
        let expected_ms = queue.expected_ms(now_ms) + read_ms;
        let writing_tokens = load.map_or(0.0, |load| load.writing_tokens(now_ms));
        let run_ms = queue.run_ms(read_ms, pause_ms, now_ms);
        let stalled = writing_tokens / TOKENS_PER_STREAM * stalled_share(run_ms, pause_ms);
        let cost_ms = expected_ms
            + STALL_COST_MS * stalled
            + READING_COST_MS * self.work.reading_share(&engine.name, now_ms)
            + self.failure_cost_ms(engine, now_ms);
        EngineOption { engine, unread_tokens, read_ms, expected_ms, cost_ms, room_in_ms, stalled }
    }

    fn commit(
        &mut self,
        prompt: Prompt<'_>,
        request: &WaitingRequest,
        engine: &Incarnation,
        bounds: EngineBounds,
        now_ms: u64,
    ) {
        let read_ms = self.read_ms(prompt, engine);
        self.line.remove(&request.id);
        self.line.record_served(request.team.as_ref(), request.route_rank, read_ms, now_ms);
        let new = || EngineLoad {
            queue: ReadingQueue::default(),
            kept: KeptParts::new(bounds.cache_tokens),
            writing_tokens: 0.0,
            assigned_ms: now_ms,
        };
        let load = self.engines.entry(engine.clone()).or_insert_with(new);
        load.writing_tokens = load.writing_tokens(now_ms) + prompt.size.answer_tokens as f64;
        load.assigned_ms = now_ms;
        load.queue.add(read_ms, bounds.shortest_pause_ms, now_ms);
        load.kept.record(weights_key(prompt), prompt.parts);
        self.work.record(&engine.name, prompt.model, read_ms, now_ms);
    }
}

impl EngineLoad {
    fn writing_tokens(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.assigned_ms) as f64;
        self.writing_tokens * (-age_ms / WRITING_DECAY_MS).exp()
    }
}

/// Returns the share of an engine's streams that a run of prompts stalls.
fn stalled_share(run_ms: f64, pause_ms: u64) -> f64 {
    let (begins, ends) = STALL_RANGE;
    ((run_ms / pause_ms.max(1) as f64 - begins) / (ends - begins)).clamp(0.0, 1.0)
}

/// Returns the key of the weights that a prompt is read with: engines keep parts for each model and
/// adapter apart.
fn weights_key(prompt: Prompt<'_>) -> u64 {
    let adapter = prompt.adapter.map_or("", AdapterName::as_str);
    xxh3_64(format!("{}/{adapter}", prompt.model).as_bytes())
}
