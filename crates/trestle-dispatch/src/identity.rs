//! Who asks, and whether the daemon knows well enough to say so.
//!
//! The load that this answers: keys that are taken away while daemons are cut off from the store
//! and from leaders, at any moment, also while requests wait. A key counts only as long as the
//! configuration was certainly the newest a short time before the request came; after that the
//! daemon cannot know, and says so, instead of serving or rejecting the caller.

use crate::{
    catalog::Catalog,
    route::Route,
    team::{Credential, KeyDigest, Team},
};
use std::sync::Arc;

/// Who asks.
#[trestle_macros::plain]
#[derive(Default)]
pub enum Identity {
    /// The configuration has no teams; whatever the caller sent is passed on.
    #[default]
    NotRequired,
    /// Nobody that is known, on a route that is open to everybody.
    Anonymous,
    /// A team.
    Team {
        /// The team.
        team: Arc<Team>,
        /// The key that the caller gave.
        key: KeyDigest,
    },
}

/// Why a caller is not let in.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum NotAdmitted {
    /// It gave no key that is known.
    UnknownKey,
    /// Whether its key is still good, or already, cannot be known now.
    Unsure,
}

/// How well the configuration is known.
#[derive(Debug, Clone, Copy)]
pub struct ConfigCertainty {
    /// Whether it was the newest so lately that keys in it count.
    pub proves_keys: bool,
    /// Whether a newer one may bind that has not come here yet.
    pub may_lack_newer: bool,
}

impl Identity {
    /// Who asks for a route.
    ///
    /// # Errors
    ///
    /// Fails where a team's key is needed and there is none that certainly counts.
    pub fn of(
        catalog: &Catalog,
        route: &Route,
        credential: Credential,
        certainty: ConfigCertainty,
    ) -> Result<Self, NotAdmitted> {
        if catalog.teams.is_empty() {
            return Ok(Self::NotRequired);
        }
        let held = match credential {
            Credential::Key(key) => catalog.teams.holder(&key).map(|team| (team, key)),
            Credential::Missing | Credential::Malformed => None,
        };
        match (held, credential) {
            _ if route.is_public && held.is_none() => Ok(Self::Anonymous),
            (Some(_), _) if !certainty.proves_keys && !route.is_public => Err(NotAdmitted::Unsure),
            (Some((team, key)), _) => Ok(Self::Team { team: Arc::clone(team), key }),
            // A key that was given a moment ago may not have come here yet.
            (None, Credential::Key(_)) if certainty.may_lack_newer => Err(NotAdmitted::Unsure),
            (None, _) => Err(NotAdmitted::UnknownKey),
        }
    }

    /// Whether the key still counts in a newer configuration.
    pub fn is_still_valid(&self, catalog: &Catalog) -> bool {
        match self {
            Self::NotRequired | Self::Anonymous => true,
            Self::Team { team, key } => {
                catalog.teams.holder(key).is_some_and(|holder| holder.name == team.name)
            }
        }
    }

    /// The team that asks.
    pub fn team(&self) -> Option<&Arc<Team>> {
        match self {
            Self::NotRequired | Self::Anonymous => None,
            Self::Team { team, .. } => Some(team),
        }
    }
}
