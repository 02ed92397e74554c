//! A deployment to play, as its file describes it.

use crate::{error::Result, file};
use std::path::Path;

/// A deployment, with what goes wrong in it.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Length of the day.
    pub duration_s: f64,
    /// Failure domains; daemons and engines are spread over them evenly.
    pub domains: usize,
    /// Daemons.
    pub daemons: usize,
    /// One way between a caller and a daemon.
    pub caller_way_ms: f64,
    /// One way between two VMs.
    pub way_ms: f64,
    /// Time between an entry's change in the store and its being known to the leader.
    pub entry_lag_ms: f64,
    /// The engines.
    pub engines: Engines,
    /// The weight store.
    pub weight_store: WeightStore,
    /// The models.
    pub models: Models,
    /// Kinds of requests.
    pub classes: Vec<Class>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The engines; all are alike.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// How many.
    pub count: usize,
    /// Requests that one runs at once.
    pub slots: u32,
    /// Requests that one queues beyond them.
    pub queue: usize,
    /// Memory for weights and adapters.
    pub memory_mb: u64,
    /// Adapters that one can hold.
    pub adapter_slots: u32,
    /// Tokens of running requests and kept prompt parts.
    pub kv_tokens: u64,
    /// Time of a step, in which each running request makes a token.
    pub step_us: f64,
    /// What each running request adds to a step.
    pub step_request_us: f64,
    /// Tokens of a prompt that are read in a ms.
    pub prompt_tokens_per_ms: f64,
    /// Tokens of prompts that are read in one step at most.
    pub piece_tokens: u32,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Time between two entries in the store.
    pub heartbeat_ms: f64,
    /// Models with a copy on each disk at the start.
    pub on_disk: usize,
}

/// The weight store, and loads from nearer copies.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Loads at once that keep their full speed.
    pub full_speed_loads: usize,
    /// Time of a load from it.
    pub load_ms: u64,
    /// Time of a load from an engine's disk.
    pub disk_load_ms: u64,
    /// Time of a load from the memory of its host.
    pub memory_load_ms: u64,
}

/// The models.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Models {
    /// How many.
    pub count: usize,
    /// Size of the smallest.
    pub least_mb: u64,
    /// Size of the largest.
    pub most_mb: u64,
    /// Shares of requests that the busiest get; the others share the rest evenly.
    pub busy_shares: Vec<f64>,
    /// Adapters, spread over the models by how busy they are at the start.
    pub adapters: usize,
    /// Share of requests that name an adapter, where their model has any.
    pub adapter_share: f64,
}

/// One kind of requests.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Requests a second.
    pub per_s: f64,
    /// Time from a caller's first try within which the first event is on time.
    pub objective_ms: u64,
    /// Time that a caller has in all.
    pub deadline_ms: u64,
    /// Longest pause between two events that is on time.
    pub pause_ms: u64,
    /// Urgency; 0 goes first.
    pub priority: u8,
    /// What an answer on time is worth.
    pub worth: f64,
    /// What a late one is worth.
    pub worth_late: f64,
    /// Tokens at the beginning of the prompt that all requests for a model share.
    pub shared_tokens: u32,
    /// Other tokens of the prompt.
    pub own_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// How often a refused caller comes back.
    pub retries: u32,
    /// Endpoints that one try may be sent to.
    pub attempts: u32,
}

/// Something that goes wrong.
#[trestle_macros::wire]
#[serde(deny_unknown_fields, tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// The busiest model falls silent, the others move up, and a rare one joins them.
    ModelShift {
        /// When it begins.
        at_s: f64,
        /// How long it takes.
        for_s: f64,
    },
    /// More requests of a class come.
    Burst {
        /// When it begins.
        at_s: f64,
        /// How long it lasts.
        for_s: f64,
        /// The class.
        class: String,
        /// How many times as many.
        times: f64,
    },
    /// Engines crash, and come back empty with their disks.
    EngineCrash {
        /// When.
        at_s: f64,
        /// How many.
        count: usize,
        /// How long they are away.
        for_s: f64,
    },
    /// Engines are replaced by empty ones without copies, which start first.
    EngineRelease {
        /// When the first are.
        at_s: f64,
        /// How many.
        count: usize,
        /// At once.
        at_once: usize,
        /// Time between two groups.
        gap_s: f64,
        /// Time for which one that is leaving goes on.
        drain_s: f64,
    },
    /// Engines take longer for everything.
    EngineSlow {
        /// When it begins.
        at_s: f64,
        /// How long it lasts.
        for_s: f64,
        /// How many engines.
        count: usize,
        /// How many times as long.
        times: f64,
    },
    /// Engines fail a share of their requests.
    EngineFails {
        /// When it begins.
        at_s: f64,
        /// How long it lasts.
        for_s: f64,
        /// How many engines.
        count: usize,
        /// The share.
        share: f64,
    },
    /// Engines fall silent: what is sent to them is lost, and nothing says so.
    EngineSilent {
        /// When it begins.
        at_s: f64,
        /// How long it lasts.
        for_s: f64,
        /// How many engines.
        count: usize,
    },
    /// Nothing is read from the store: entries are not renewed.
    StoreAway {
        /// When it begins.
        at_s: f64,
        /// How long it lasts.
        for_s: f64,
    },
    /// The leader is lost; nobody orders until another leads.
    LeaderLost {
        /// When.
        at_s: f64,
        /// Time until another leads.
        for_s: f64,
    },
    /// Daemons are gone; callers find others.
    DaemonsLost {
        /// When.
        at_s: f64,
        /// How many.
        count: usize,
        /// How long.
        for_s: f64,
    },
}

impl Deployment {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails with the place of everything that is wrong.
    pub fn read(path: &Path) -> Result<Self> {
        let (text, name) = file::read(path)?;
        Self::parse(&text, &name)
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    ///
    /// Fails with the place of everything that is wrong.
    pub fn parse(text: &str, name: &str) -> Result<Self> {
        let deployment: Self = file::parse(text, name)?;
        deployment.check(name)?;
        Ok(deployment)
    }

    fn check(&self, name: &str) -> Result<()> {
        let need = |holds, field: &str, message: &str| file::need(name, holds, field, message);
        need(self.duration_s > 0.0, "duration_s", "must be above 0")?;
        need(self.domains > 0, "domains", "must be at least 1")?;
        need(self.daemons > 0, "daemons", "must be at least 1")?;
        need(self.engines.count > 0, "engines.count", "must be at least 1")?;
        need(self.engines.slots > 0, "engines.slots", "must be at least 1")?;
        need(self.engines.step_us > 0.0, "engines.step_us", "must be above 0")?;
        let reads = self.engines.prompt_tokens_per_ms > 0.0;
        need(reads, "engines.prompt_tokens_per_ms", "must be above 0")?;
        need(self.engines.piece_tokens > 0, "engines.piece_tokens", "must be at least 1")?;
        need(self.engines.event_tokens > 0, "engines.event_tokens", "must be at least 1")?;
        need(self.models.count > 0, "models.count", "must be at least 1")?;
        let is_range = self.models.least_mb > 0 && self.models.least_mb <= self.models.most_mb;
        need(is_range, "models.least_mb", "must be above 0 and not above `most_mb`")?;
        let fits = self.models.most_mb <= self.engines.memory_mb;
        need(fits, "models.most_mb", "must not exceed `engines.memory_mb`")?;
        let busy: f64 = self.models.busy_shares.iter().sum();
        need(busy <= 1.0, "models.busy_shares", "must add up to 1 at most")?;
        let has_busy = self.models.busy_shares.len() < self.models.count;
        need(has_busy, "models.busy_shares", "must be fewer than the models")?;
        need(!self.classes.is_empty(), "classes", "must not be empty")?;
        for class in &self.classes {
            let field = format!("classes: {}", class.name);
            need(class.per_s > 0.0, &field, "`per_s` must be above 0")?;
            need(class.output_tokens > 0, &field, "`output_tokens` must be at least 1")?;
            need(class.deadline_ms > 0, &field, "`deadline_ms` must be above 0")?;
        }
        for fault in &self.faults {
            if let Fault::Burst { class, .. } = fault {
                let is_known = self.classes.iter().any(|known| known.name == *class);
                need(is_known, "faults: burst", "`class` must be one of `classes`")?;
            }
        }
        Ok(())
    }
}
