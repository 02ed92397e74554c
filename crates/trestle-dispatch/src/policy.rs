//! Mechanisms that can be left out, so that each one's worth can be measured.

use std::{collections::BTreeSet, fmt, str::FromStr};

/// A mechanism that can be left out.
#[trestle_macros::key]
#[derive(Copy)]
pub enum Mechanism {
    /// Of two endpoints picked at random the less loaded gets a request; left out, the least
    /// loaded of all does.
    TwoChoices,
    /// A request waits where its model will be ready while its caller stays; left out, only
    /// where it will be ready within the objective.
    WaitWhileCallerStays,
    /// What a refused caller will ask for again is kept for it.
    KeepForReturning,
    /// A model makes way only for one that is worth more; left out, for any that somebody
    /// waits for.
    GuardedEviction,
    /// Busy models get further replicas.
    FurtherReplicas,
    /// Loads from the weight store go to what most wait for; left out, to the most urgent.
    FarLoadsByValue,
    /// A model with a copy near an engine waits for room there rather than for the weight store.
    WaitForNearCopies,
    /// Without a leader, a request waits for the next one where its caller stays as long.
    AwaitLeader,
    /// Of what could make way, the largest goes first among equals.
    EvictionBySize,
    /// Times of unloads are learnt; left out, they are as once measured.
    LearntTimes,
    /// Demand that rises within two seconds counts at once.
    Surges,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Self; 11] = [
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
    ];

    /// Its name in settings and tables.
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
        }
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// No mechanism has this name.
#[trestle_macros::plain]
pub struct UnknownMechanism {
    /// The name.
    pub name: String,
}

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = Mechanism::ALL.iter().map(|mechanism| mechanism.name()).collect();
        write!(formatter, "no mechanism `{}`; there are {}", self.name, names.join(", "))
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

/// Which mechanisms decide; all but those that are left out.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Policy {
    without: BTreeSet<Mechanism>,
}

impl Policy {
    /// All but these.
    pub fn without(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self { without: mechanisms.into_iter().collect() }
    }

    /// Whether a mechanism decides.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }
}
