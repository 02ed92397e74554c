//! A deployment to simulate, as its file describes it.

use crate::{error::Result, file};
use std::path::Path;

/// A deployment, with the faults to inject.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Time for which callers make requests.
    pub duration_s: f64,
    /// Number of failure domains; daemons and engines are spread over them evenly.
    pub domains: usize,
    /// Number of daemons.
    pub daemons: usize,
    /// One-way delay between a caller and a daemon.
    pub caller_way_ms: f64,
    /// One-way delay between two VMs.
    pub way_ms: f64,
    /// Time between the change of an entry in the store and the earliest read that returns it.
    pub entry_lag_ms: f64,
    /// The engines.
    pub engines: Engines,
    /// The weight store.
    pub weight_store: WeightStore,
    /// The models.
    pub models: Models,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The engines, which are all alike.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Number of engines.
    pub count: usize,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Requests that an engine queues beyond those it runs.
    pub queue: usize,
    /// Memory of an engine for weights and adapters.
    pub memory_mb: u64,
    /// Adapters that an engine can hold.
    pub adapter_slots: u32,
    /// Tokens of running requests and cached prompt prefixes that fit an engine's memory.
    pub kv_tokens: u64,
    /// Duration of a step, in which each running request generates a token.
    pub step_us: f64,
    /// Time that each running request adds to a step.
    pub step_request_us: f64,
    /// Prompt tokens that an engine reads in a ms.
    pub prompt_tokens_per_ms: f64,
    /// Maximum number of prompt tokens that are read in one step.
    pub piece_tokens: u32,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Interval between two writes of an engine's entry to the store.
    pub heartbeat_ms: f64,
    /// Number of models with a copy on each engine's disk at the start, besides those loaded.
    pub on_disk: usize,
}

/// The weight store, and loads from local copies.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Number of concurrent loads that run at full speed; more slow each other down.
    pub full_speed_loads: usize,
    /// Duration of a load from the weight store.
    pub load_ms: u64,
    /// Duration of a load from an engine's disk.
    pub disk_load_ms: u64,
    /// Duration of a load from the memory of an engine's host.
    pub memory_load_ms: u64,
}

/// The models.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Models {
    /// Number of models.
    pub count: usize,
    /// Size of the smallest model.
    pub least_mb: u64,
    /// Size of the largest model.
    pub most_mb: u64,
    /// Shares of requests for the busiest models; the other models share the rest evenly.
    pub busy_shares: Vec<f64>,
    /// Number of adapters, spread over the models by their share of requests at the start.
    pub adapters: usize,
    /// Share of requests that name an adapter, among those whose model has any.
    pub adapter_share: f64,
}

/// One class of requests.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Requests per second.
    pub per_s: f64,
    /// Time from a caller's first attempt within which the first event is on time.
    pub objective_ms: u64,
    /// Time from a caller's first attempt to its deadline.
    pub deadline_ms: u64,
    /// Longest pause between two events with which an answer is still on time.
    pub pause_ms: u64,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Value of an answer that is on time.
    pub worth: f64,
    /// Value of a late answer.
    pub worth_late: f64,
    /// Tokens of the prompt prefix that all requests of the class for a model share.
    pub shared_tokens: u32,
    /// Other tokens of the prompt.
    pub own_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Number of times that a rejected caller retries.
    pub retries: u32,
    /// Number of endpoints to which one attempt of a caller may be sent.
    pub attempts: u32,
}

/// A fault to inject.
#[trestle_macros::wire]
#[serde(deny_unknown_fields, tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// The ranks of models shift by one: the busiest model becomes rare, and a rare one becomes
    /// busy.
    ModelShift {
        /// When the fault begins.
        at_s: f64,
        /// Time over which requests move to the new ranks.
        for_s: f64,
    },
    /// The rate of a class rises.
    Burst {
        /// When the fault begins.
        at_s: f64,
        /// How long the fault lasts.
        for_s: f64,
        /// Name of the class.
        class: String,
        /// Factor on the rate of requests.
        times: f64,
    },
    /// Engines crash and start again without loaded models, but with the copies on their disks.
    EngineCrash {
        /// When the fault begins.
        at_s: f64,
        /// Number of engines that crash.
        count: usize,
        /// Time until the engines start again.
        for_s: f64,
    },
    /// Engines are replaced, a batch at a time, by new engines without loaded models and copies,
    /// which start before the old ones drain.
    EngineRelease {
        /// When the first batch is replaced.
        at_s: f64,
        /// Number of engines that are replaced.
        count: usize,
        /// Number of engines in a batch.
        at_once: usize,
        /// Time between two batches.
        gap_s: f64,
        /// Time for which an engine drains before it stops.
        drain_s: f64,
    },
    /// Engines take longer for each step.
    EngineSlow {
        /// When the fault begins.
        at_s: f64,
        /// How long the fault lasts.
        for_s: f64,
        /// Number of engines affected.
        count: usize,
        /// Factor on the duration of steps.
        times: f64,
    },
    /// Engines fail a share of their requests.
    EngineFails {
        /// When the fault begins.
        at_s: f64,
        /// How long the fault lasts.
        for_s: f64,
        /// Number of engines affected.
        count: usize,
        /// Share of requests that fail.
        share: f64,
    },
    /// Messages to and from engines are lost, without an error.
    EngineSilent {
        /// When the fault begins.
        at_s: f64,
        /// How long the fault lasts.
        for_s: f64,
        /// Number of engines affected.
        count: usize,
    },
    /// The store is unavailable: entries are neither read nor written.
    StoreAway {
        /// When the fault begins.
        at_s: f64,
        /// How long the fault lasts.
        for_s: f64,
    },
    /// The leader is lost; engines get no orders until another daemon leads.
    LeaderLost {
        /// When the fault begins.
        at_s: f64,
        /// Time until another daemon leads.
        for_s: f64,
    },
    /// Daemons stop; callers use the other daemons.
    DaemonsLost {
        /// When the fault begins.
        at_s: f64,
        /// Number of daemons that stop.
        count: usize,
        /// Time until the daemons start again.
        for_s: f64,
    },
}

impl Deployment {
    /// Reads a deployment from a file and checks it.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or is invalid; the error names the position of what is
    /// invalid.
    pub fn read(path: &Path) -> Result<Self> {
        let (text, name) = file::read(path)?;
        Self::parse(&text, &name)
    }

    /// Reads a deployment from the text of a file and checks it; `name` is the file's name in
    /// errors.
    ///
    /// # Errors
    ///
    /// Fails if the text is invalid; the error names the position of what is
    /// invalid.
    pub fn parse(text: &str, name: &str) -> Result<Self> {
        let deployment: Self = file::parse(text, name)?;
        deployment.check(name)?;
        Ok(deployment)
    }

    fn check(&self, name: &str) -> Result<()> {
        let require =
            |condition, field: &str, message: &str| file::require(name, condition, field, message);
        require(self.duration_s > 0.0, "duration_s", "must be above 0")?;
        require(self.domains > 0, "domains", "must be at least 1")?;
        require(self.daemons > 0, "daemons", "must be at least 1")?;
        require(self.engines.count > 0, "engines.count", "must be at least 1")?;
        require(self.engines.slots > 0, "engines.slots", "must be at least 1")?;
        require(self.engines.step_us > 0.0, "engines.step_us", "must be above 0")?;
        let reads_prompts = self.engines.prompt_tokens_per_ms > 0.0;
        require(reads_prompts, "engines.prompt_tokens_per_ms", "must be above 0")?;
        require(self.engines.piece_tokens > 0, "engines.piece_tokens", "must be at least 1")?;
        require(self.engines.event_tokens > 0, "engines.event_tokens", "must be at least 1")?;
        require(self.models.count > 0, "models.count", "must be at least 1")?;
        let is_range = self.models.least_mb > 0 && self.models.least_mb <= self.models.most_mb;
        require(is_range, "models.least_mb", "must be above 0 and not above `most_mb`")?;
        let fits = self.models.most_mb <= self.engines.memory_mb;
        require(fits, "models.most_mb", "must not exceed `engines.memory_mb`")?;
        let busy: f64 = self.models.busy_shares.iter().sum();
        require(busy <= 1.0, "models.busy_shares", "must add up to 1 at most")?;
        let has_rare = self.models.busy_shares.len() < self.models.count;
        require(has_rare, "models.busy_shares", "must be fewer than the models")?;
        require(!self.classes.is_empty(), "classes", "must not be empty")?;
        for class in &self.classes {
            let field = format!("classes: {}", class.name);
            require(class.per_s > 0.0, &field, "`per_s` must be above 0")?;
            require(class.output_tokens > 0, &field, "`output_tokens` must be at least 1")?;
            require(class.deadline_ms > 0, &field, "`deadline_ms` must be above 0")?;
        }
        for fault in &self.faults {
            if let Fault::Burst { class, .. } = fault {
                let is_known = self.classes.iter().any(|known| known.name == *class);
                require(is_known, "faults: burst", "`class` must be one of `classes`")?;
            }
        }
        Ok(())
    }
}
