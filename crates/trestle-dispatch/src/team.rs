//! Teams, their keys and their limits, as a configuration has them.
//!
//! Keys are known by digests alone. A digest says nothing of its key, so neither a comparison
//! that ends early nor a line of log gives anything of one away.

use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};
use trestle_core::names::TeamName;

/// Bytes of a digest.
const BYTES: usize = 32;

/// The digest of a team's key. It does not print itself.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// What a caller gave to say who asks.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// A key, by its digest.
    Key(KeyDigest),
    /// Something that is no single key.
    Malformed,
}

/// What a team's limit counts.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum LimitUnit {
    /// Requests.
    Requests,
    /// Tokens of a prompt and of the longest answer.
    Tokens {
        /// What a request counts that does not say how many it has.
        default_tokens: u64,
    },
}

/// What all callers of a team may ask for together.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct TeamLimit {
    /// What is counted.
    pub unit: LimitUnit,
    /// Units a second.
    pub per_s: u64,
    /// Units that may come at once after a pause.
    pub burst: u64,
}

impl TeamLimit {
    /// Units a millisecond.
    pub fn units_per_ms(&self) -> f64 {
        self.per_s as f64 / 1e3
    }

    /// What a request with so many tokens counts.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { default_tokens: of_plain } => tokens.unwrap_or(of_plain),
        }
    }
}

/// One team.
#[trestle_macros::plain]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Urgency of its requests, in place of their routes'; 0 goes first.
    pub priority: Option<u8>,
    /// Its limit, if it has one.
    pub limit: Option<TeamLimit>,
}

/// All teams, found by key and by name.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Teams {
    by_key: BTreeMap<KeyDigest, Arc<Team>>,
    by_name: BTreeMap<TeamName, Arc<Team>>,
}

impl Teams {
    /// The teams with their keys.
    pub fn new(teams: impl IntoIterator<Item = (Team, BTreeSet<KeyDigest>)>) -> Self {
        let mut all = Self::default();
        for (team, keys) in teams {
            let team = Arc::new(team);
            all.by_key.extend(keys.into_iter().map(|key| (key, Arc::clone(&team))));
            all.by_name.insert(team.name.clone(), team);
        }
        all
    }

    /// The team that holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }

    /// The team with a name.
    pub fn get(&self, name: &TeamName) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// All teams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.by_name.values()
    }

    /// Whether requests need no keys.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
