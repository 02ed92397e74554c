//! Decisions on which engine reads a prompt, as daemons request them from leaders.

use std::net::SocketAddr;
use trestle_core::names::{EndpointName, ModelName};
use trestle_dispatch::{
    endpoint::Incarnation,
    load::{
        prompt_scheduler::{ObservedStart, Schedule},
        request_size::PromptPart,
    },
};

/// Request of a daemon for a decision on a prompt.
#[trestle_macros::wire]
pub struct WireScheduleRequest {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the request names one.
    pub adapter: Option<String>,
    /// Engines that the daemon may use.
    pub engines: Vec<WireEngine>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the longest possible answer.
    pub answer_tokens: u64,
    /// Parts of the prompt: the hash of each id, and its tokens.
    pub parts: Vec<(u64, u64)>,
    /// Fingerprint of the request.
    pub request: [u8; 16],
    /// Name of the caller's team, if it has one.
    pub team: Option<String>,
    /// Rank of the caller's team, if it has one; 0 goes first.
    pub team_rank: Option<u8>,
    /// Rank of the route; 0 goes first.
    pub route_rank: u8,
    /// Time for which the request has waited, in milliseconds.
    pub waited_ms: u64,
    /// Time for which its caller waits for the first event, in milliseconds from its arrival.
    pub max_wait_ms: u64,
    /// Time until the request is no longer on time, in milliseconds.
    pub due_in_ms: u64,
    /// Units that the request counts against its team's limit, if they must be allocated with the
    /// decision; 0 if not.
    pub units: u64,
    /// First events of earlier requests of the service that the daemon has not reported yet.
    pub starts: Vec<WireStart>,
}

/// One incarnation of an engine.
#[trestle_macros::wire]
pub struct WireEngine {
    /// Name of the engine.
    pub name: String,
    /// Time at which this incarnation started, in Unix milliseconds on its own clock.
    pub born_ms: u64,
}

/// The time to the first event of a request.
#[trestle_macros::wire]
pub struct WireStart {
    /// The engine.
    pub engine: WireEngine,
    /// Name of the model.
    pub model: String,
    /// The time that the leader expected, in milliseconds.
    pub expected_ms: u64,
    /// The time from the send to the first event, in milliseconds; `None` if the engine failed before.
    pub observed_ms: Option<u64>,
}

/// Answer to a request for a decision on a prompt.
#[trestle_macros::wire]
pub enum WireSchedule {
    /// This engine is to read the prompt now.
    Assigned {
        /// The engine.
        engine: WireEngine,
        /// Expected time to the first event, in milliseconds.
        expected_ms: u64,
        /// Tokens of the prompt that the engine does not keep.
        unread_tokens: u64,
        /// Whether the units were allocated.
        has_units: bool,
    },
    /// The limit of the team is used up.
    OverLimit {
        /// Time until enough units will be available, in milliseconds.
        in_ms: u64,
    },
    /// No engine has room; the daemon should ask again.
    Later {
        /// Time after which it should, in milliseconds.
        in_ms: u64,
    },
    /// No engine will have room in time.
    Refused {
        /// Time after which the caller should retry, in milliseconds.
        in_ms: u64,
    },
    /// Another daemon leads the engines.
    AskAt {
        /// The address at which that daemon serves other daemons.
        address: SocketAddr,
    },
    /// The daemon that received the request leads none of the engines, and knows no daemon that does.
    NotScheduling,
}

impl From<&Incarnation> for WireEngine {
    fn from(incarnation: &Incarnation) -> Self {
        Self { name: incarnation.name.to_string(), born_ms: incarnation.started_unix_ms }
    }
}

impl From<WireEngine> for Incarnation {
    fn from(wire: WireEngine) -> Self {
        Self { name: EndpointName::from(wire.name), started_unix_ms: wire.born_ms }
    }
}

impl From<ObservedStart> for WireStart {
    fn from(start: ObservedStart) -> Self {
        Self {
            engine: WireEngine::from(&start.engine),
            model: start.model.to_string(),
            expected_ms: start.expected_ms,
            observed_ms: start.observed_ms,
        }
    }
}

impl From<WireStart> for ObservedStart {
    fn from(wire: WireStart) -> Self {
        Self {
            model: ModelName::from(wire.model),
            engine: wire.engine.into(),
            expected_ms: wire.expected_ms,
            observed_ms: wire.observed_ms,
        }
    }
}

impl From<Schedule> for WireSchedule {
    fn from(schedule: Schedule) -> Self {
        match schedule {
            Schedule::Assigned { engine, expected_ms, unread_tokens } => {
                let engine = WireEngine::from(&engine);
                Self::Assigned { engine, expected_ms, unread_tokens, has_units: false }
            }
            Schedule::Later { in_ms } => Self::Later { in_ms },
            Schedule::Refused { in_ms } => Self::Refused { in_ms },
        }
    }
}

impl WireScheduleRequest {
    /// Returns the parts of the prompt.
    pub fn prompt_parts(&self) -> Vec<PromptPart> {
        self.parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect()
    }
}
