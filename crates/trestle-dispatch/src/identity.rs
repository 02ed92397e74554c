//! The identity of callers, and whether the daemon knows enough to determine it.
//!
//! The load that this answers: keys that are revoked while daemons are cut off from the store and
//! from leaders, at any moment, also while requests wait. A key is valid only if the
//! configuration was certainly the newest a short time before the request arrived. Otherwise the
//! daemon cannot know, and answers so instead of serving or rejecting the caller.

use crate::{
    catalog::Catalog,
    route::Route,
    team::{Credential, KeyDigest, Team},
};
use std::sync::Arc;

/// The identity of a caller.
#[trestle_macros::plain]
#[derive(Default)]
pub enum Identity {
    /// The configuration has no teams; the caller's headers are forwarded unchanged.
    #[default]
    NotRequired,
    /// An unknown caller, on a public route.
    Anonymous,
    /// A caller that belongs to a team.
    Team {
        /// The team.
        team: Arc<Team>,
        /// The key that the caller sent.
        key: KeyDigest,
    },
}

/// Why a caller is not admitted.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum NotAdmitted {
    /// The caller sent no known key.
    UnknownKey,
    /// The daemon cannot know whether the caller's key is valid now.
    Uncertain,
}

/// How current the configuration is known to be.
#[derive(Debug, Clone, Copy)]
pub struct ConfigCertainty {
    /// Whether the configuration was the newest recently enough to accept its keys.
    pub can_accept_keys: bool,
    /// Whether a newer configuration may be in force that this daemon has not received yet.
    pub may_lack_newer: bool,
}

impl Identity {
    /// Determines the identity of a caller on a route.
    ///
    /// # Errors
    ///
    /// Fails if the route needs the key of a team and the caller sent none that is certainly
    /// valid.
    pub fn of(
        catalog: &Catalog,
        route: &Route,
        credential: Credential,
        certainty: ConfigCertainty,
    ) -> Result<Self, NotAdmitted> {
        if catalog.teams.is_empty() {
            return Ok(Self::NotRequired);
        }
        let holder = match credential {
            Credential::Key(key) => catalog.teams.holder(&key).map(|team| (team, key)),
            Credential::Missing | Credential::Malformed => None,
        };
        match (holder, credential) {
            _ if route.is_public && holder.is_none() => Ok(Self::Anonymous),
            (Some(_), _) if !certainty.can_accept_keys && !route.is_public => {
                Err(NotAdmitted::Uncertain)
            }
            (Some((team, key)), _) => Ok(Self::Team { team: Arc::clone(team), key }),
            // A key that was issued just before may not have reached this daemon yet.
            (None, Credential::Key(_)) if certainty.may_lack_newer => Err(NotAdmitted::Uncertain),
            (None, _) => Err(NotAdmitted::UnknownKey),
        }
    }

    /// Returns whether the caller's key is still valid in a newer configuration.
    pub fn is_still_valid(&self, catalog: &Catalog) -> bool {
        match self {
            Self::NotRequired | Self::Anonymous => true,
            Self::Team { team, key } => {
                catalog.teams.holder(key).is_some_and(|holder| holder.name == team.name)
            }
        }
    }

    /// Returns the caller's team.
    pub fn team(&self) -> Option<&Arc<Team>> {
        match self {
            Self::NotRequired | Self::Anonymous => None,
            Self::Team { team, .. } => Some(team),
        }
    }
}
