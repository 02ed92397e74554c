//! Which versions of its software a service may have streams of.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began
//! it. While a service has had one version only, every daemon knows where its streams began, and
//! nothing has to be recorded or asked. A version that is gone from the list counts until no stream
//! that it began can still be continued. A daemon that has just started did not see which versions
//! were listed before; the store tells it, or it learns nothing for sure until that time has passed.

use crate::endpoint::Endpoint;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{ServiceName, SoftwareVersion};

/// The versions of each service that streams may have begun at.
pub type ServiceVersions = BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>;

/// What a daemon knows of the versions that streams of a service may have begun at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownVersions<'a> {
    /// Only this one.
    Only(&'a SoftwareVersion),
    /// Several.
    Several,
    /// This one, and others that this daemon does not know.
    AtLeast(&'a SoftwareVersion),
    /// Nothing is known.
    Unknown,
}

/// The versions that have been in service, as one daemon knows them.
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    by_service: BTreeMap<ServiceName, Listed>,
    /// From when on everything before this daemon's start is known or does not matter any more;
    /// `None` until the daemon has begun to observe.
    complete_from_ms: Option<u64>,
}

/// The versions of one service.
#[derive(Debug, Default)]
struct Listed {
    last_listed_ms: BTreeMap<SoftwareVersion, u64>,
    /// Whether some listed endpoint has a version that is not known here.
    has_unknown: bool,
}

impl SoftwareVersions {
    /// Begins with what the store says of the time before; `None` if that is not known. Streams can
    /// be continued for `lifetime_ms`.
    pub fn begin(&mut self, earlier: Option<ServiceVersions>, lifetime_ms: u64, now_ms: u64) {
        self.complete_from_ms = Some(match earlier {
            Some(_) => now_ms,
            None => now_ms + lifetime_ms,
        });
        for (service, versions) in earlier.unwrap_or_default() {
            let listed = self.by_service.entry(service).or_default();
            listed.last_listed_ms.extend(versions.into_iter().map(|version| (version, now_ms)));
        }
    }

    /// Returns whether [`Self::begin`] was called.
    pub fn has_begun(&self) -> bool {
        self.complete_from_ms.is_some()
    }

    /// Records the listed endpoints, and forgets versions that were not listed for `lifetime_ms`.
    pub fn observe<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        lifetime_ms: u64,
        now_ms: u64,
    ) {
        for listed in self.by_service.values_mut() {
            listed.has_unknown = false;
            listed.last_listed_ms.retain(|_, last_ms| now_ms < *last_ms + lifetime_ms);
        }
        for endpoint in endpoints {
            if !self.by_service.contains_key(&endpoint.service) {
                self.by_service.insert(endpoint.service.clone(), Listed::default());
            }
            let Some(listed) = self.by_service.get_mut(&endpoint.service) else { continue };
            match &endpoint.software_version {
                Some(version) => match listed.last_listed_ms.get_mut(version) {
                    Some(last_ms) => *last_ms = now_ms,
                    None => _ = listed.last_listed_ms.insert(version.clone(), now_ms),
                },
                None => listed.has_unknown = true,
            }
        }
    }

    /// Returns what is known of a service.
    pub fn of(&self, service: &ServiceName, now_ms: u64) -> KnownVersions<'_> {
        let Some(listed) = self.by_service.get(service) else { return KnownVersions::Unknown };
        let mut versions = listed.last_listed_ms.keys();
        let is_complete = self.complete_from_ms.is_some_and(|from_ms| now_ms >= from_ms);
        match (versions.next(), versions.next()) {
            (Some(_), Some(_)) => KnownVersions::Several,
            (Some(version), None) if is_complete && !listed.has_unknown => {
                KnownVersions::Only(version)
            }
            (Some(version), None) => KnownVersions::AtLeast(version),
            (None, _) => KnownVersions::Unknown,
        }
    }

    /// Returns whether some listed endpoint had a version that is not known here when the list was last
    /// observed.
    pub fn has_unknown(&self) -> bool {
        self.by_service.values().any(|listed| listed.has_unknown)
    }

    /// Returns whether a service is known to have had one version only.
    pub fn has_one(&self, service: &ServiceName, now_ms: u64) -> bool {
        matches!(self.of(service, now_ms), KnownVersions::Only(_))
    }

    /// Returns all versions for daemons that start later; `None` while this daemon does not know
    /// all of them.
    pub fn complete(&self, now_ms: u64) -> Option<ServiceVersions> {
        let is_complete = self.complete_from_ms.is_some_and(|from_ms| now_ms >= from_ms);
        let versions = self.by_service.iter().map(|(service, listed)| {
            (service.clone(), listed.last_listed_ms.keys().cloned().collect())
        });
        is_complete.then(|| versions.collect())
    }
}
