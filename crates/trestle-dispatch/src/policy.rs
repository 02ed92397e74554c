//! Mechanisms that can be disabled, to measure the value of each.

use std::{collections::BTreeSet, fmt, str::FromStr};

/// A mechanism that can be disabled.
#[trestle_macros::key]
#[derive(Copy)]
pub enum Mechanism {
    /// Of two endpoints picked at random, the less loaded one gets a request; without it, the least
    /// loaded endpoint of all does.
    TwoChoices,
    /// A request waits if its model will be ready before its caller gives up; without it, only if
    /// the model will be ready within the objective.
    WaitWhileCallerStays,
    /// The demand of a refused caller is kept until it retries.
    KeepForReturning,
    /// A model is evicted only for one of more value; without it, for any model in demand.
    GuardedEviction,
    /// Busy models get further replicas.
    FurtherReplicas,
    /// Loads from the weight store go to the models with the largest demand; without it, to the
    /// most urgent.
    FarLoadsByValue,
    /// A model with a local copy at an engine waits for room there rather than for the weight
    /// store.
    WaitForNearCopies,
    /// Without a leader, a request waits for the next one if its caller stays that long.
    AwaitLeader,
    /// Among models of equal value, the largest is evicted first.
    EvictionBySize,
    /// Unload times are observed and averaged; without it, they are constant.
    LearntTimes,
    /// Demand that rises within two seconds counts at once.
    Surges,
    /// Leaders schedule large prompts.
    ScheduledPrompts,
    /// Replicas are valued by the reading that requests cause, too.
    ReplicasByWork,
    /// The scheduler takes into account what engines keep of a prompt.
    KeptParts,
    /// The scheduler takes into account how fast each engine reads.
    EngineSpeeds,
    /// The scheduler serves waiting requests by rank and share; without it, in any order.
    OrderedWaiting,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 16] = [
        Self::TwoChoices,
        Self::WaitWhileCallerStays,
        Self::KeepForReturning,
        Self::GuardedEviction,
        Self::FurtherReplicas,
        Self::FarLoadsByValue,
        Self::WaitForNearCopies,
        Self::AwaitLeader,
        Self::EvictionBySize,
        Self::LearntTimes,
        Self::Surges,
        Self::ScheduledPrompts,
        Self::ReplicasByWork,
        Self::KeptParts,
        Self::EngineSpeeds,
        Self::OrderedWaiting,
    ];

    /// Returns the name of the mechanism in settings and tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::TwoChoices => "two_choices",
            Self::WaitWhileCallerStays => "wait_while_caller_stays",
            Self::KeepForReturning => "keep_for_returning",
            Self::GuardedEviction => "guarded_eviction",
            Self::FurtherReplicas => "further_replicas",
            Self::FarLoadsByValue => "far_loads_by_value",
            Self::WaitForNearCopies => "wait_for_near_copies",
            Self::AwaitLeader => "await_leader",
            Self::EvictionBySize => "eviction_by_size",
            Self::LearntTimes => "learnt_times",
            Self::Surges => "surges",
            Self::ScheduledPrompts => "scheduled_prompts",
            Self::ReplicasByWork => "replicas_by_work",
            Self::KeptParts => "kept_parts",
            Self::EngineSpeeds => "engine_speeds",
            Self::OrderedWaiting => "ordered_waiting",
        }
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// The error for a name that no mechanism has.
#[trestle_macros::plain]
pub struct UnknownMechanism {
    /// The name.
    pub name: String,
}

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = Mechanism::ALL.iter().map(|mechanism| mechanism.name()).collect();
        write!(formatter, "no mechanism `{}`; expected one of {}", self.name, names.join(", "))
    }
}

impl std::error::Error for UnknownMechanism {}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, UnknownMechanism> {
        let found = Self::ALL.into_iter().find(|mechanism| mechanism.name() == name);
        found.ok_or_else(|| UnknownMechanism { name: name.to_owned() })
    }
}

/// The mechanisms in use: all but the disabled ones.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Policy {
    without: BTreeSet<Mechanism>,
}

impl Policy {
    /// Returns a policy with all mechanisms but these.
    pub fn without(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self { without: mechanisms.into_iter().collect() }
    }

    /// Returns whether a mechanism is in use.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }
}
