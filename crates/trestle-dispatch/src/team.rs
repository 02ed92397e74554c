//! The teams of a configuration, with their keys and limits.
//!
//! Only digests of keys are stored. A digest reveals nothing about its key, so neither the
//! duration of a comparison nor a log line leaks a part of a key.

use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};
use trestle_core::names::TeamName;

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 32;

/// The digest of a team's key. Its debug format does not show the digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// The credential that a caller sent.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub enum Credential {
    /// The caller sent none.
    #[default]
    Missing,
    /// A key, by its digest.
    Key(KeyDigest),
    /// A value that is not exactly one key.
    Malformed,
}

/// The unit of a team's limit.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum LimitUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest possible answer.
    Tokens {
        /// Tokens that are counted for a request that does not report their number.
        default_tokens: u64,
    },
}

/// Limit on the requests of all callers of a team together.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct TeamLimit {
    /// The unit that is counted.
    pub unit: LimitUnit,
    /// Units per second.
    pub per_s: u64,
    /// Units that may be spent at once after a pause.
    pub burst: u64,
}

impl TeamLimit {
    /// Returns the limit in units per millisecond.
    pub fn units_per_ms(&self) -> f64 {
        self.per_s as f64 / 1e3
    }

    /// Returns the units that a request with this number of tokens counts.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
        }
    }
}

/// One team.
#[trestle_macros::plain]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Urgency of the team's requests, in place of their routes' urgency; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Limit of the team, if it has one.
    pub limit: Option<TeamLimit>,
}

/// All teams, indexed by key and by name.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Teams {
    by_key: BTreeMap<KeyDigest, Arc<Team>>,
    by_name: BTreeMap<TeamName, Arc<Team>>,
}

impl Teams {
    /// Creates the index of teams and their keys.
    pub fn new(teams: impl IntoIterator<Item = (Team, BTreeSet<KeyDigest>)>) -> Self {
        let mut all = Self::default();
        for (team, keys) in teams {
            let team = Arc::new(team);
            all.by_key.extend(keys.into_iter().map(|key| (key, Arc::clone(&team))));
            all.by_name.insert(team.name.clone(), team);
        }
        all
    }

    /// Returns the team that holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }

    /// Returns the team with a name.
    pub fn get(&self, name: &TeamName) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// Iterates over all teams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.by_name.values()
    }

    /// Returns whether there are no teams, so that requests need no keys.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
