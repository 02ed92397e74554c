//! At which version of the software streams began.
//!
//! The load that this answers: callers whose streams have broken off, all at once, and who continue
//! them at other daemons while a service runs several versions. A caller names the attempt that
//! brought the first event. A daemon records the version of its streams and, where a service has had
//! several, tells a few other daemons that all daemons compute from that attempt's id (see
//! [`crate::stream_keepers`]). Where the version cannot be known the stream is refused: continued at
//! another version it would be worthless and look sound.

use crate::software_versions::KnownVersions;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{ServiceName, SoftwareVersion};

/// Most streams that are remembered; those that can be continued for the shortest time are dropped
/// first. With ids of 16 bytes they take some 10 MB.
const MAX_STREAMS: usize = 32_768;
/// Most streams that are told to other daemons at once.
const MAX_TOLD: usize = 256;

/// The version that began a stream.
#[trestle_macros::plain]
pub struct StreamOrigin {
    /// Id of the caller's attempt that brought the first event.
    pub id: String,
    /// The service of the stream.
    pub service: ServiceName,
    /// The version that began it.
    pub version: SoftwareVersion,
    /// Time for which the stream can still be continued.
    pub valid_for_ms: u64,
}

/// The streams that one daemon knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    by_id: BTreeMap<String, KnownStream>,
    by_end: BTreeSet<(u64, String)>,
    /// Streams of this daemon's callers that no other daemon was told of.
    untold: BTreeSet<String>,
}

#[derive(Debug)]
struct KnownStream {
    service: ServiceName,
    version: SoftwareVersion,
    until_ms: u64,
}

/// What a daemon that was asked knows of a stream.
#[trestle_macros::plain]
#[derive(Default)]
pub struct StreamKnowledge {
    /// The version that began the stream.
    pub version: Option<SoftwareVersion>,
    /// The only version that streams of the service can have begun at.
    pub only_version: Option<SoftwareVersion>,
}

/// The answers of the daemons that were asked about a stream.
#[derive(Debug, Clone, Copy)]
pub struct Answers<'a> {
    /// Number of daemons that were asked.
    pub asked: usize,
    /// What those know that have answered.
    pub received: &'a [StreamKnowledge],
}

impl StreamOrigins {
    /// Records a stream of this daemon's caller.
    pub fn record_own(&mut self, origin: StreamOrigin, now_ms: u64) {
        self.untold.insert(origin.id.clone());
        self.record(origin, now_ms);
    }

    /// Records a stream that another daemon told of.
    pub fn record(&mut self, origin: StreamOrigin, now_ms: u64) {
        let StreamOrigin { id, service, version, valid_for_ms } = origin;
        let until_ms = now_ms + valid_for_ms;
        let known = KnownStream { service, version, until_ms };
        if let Some(before) = self.by_id.insert(id.clone(), known) {
            self.by_end.remove(&(before.until_ms, id.clone()));
        }
        self.by_end.insert((until_ms, id));
        while self.by_id.len() > MAX_STREAMS {
            let Some((_, id)) = self.by_end.pop_first() else { return };
            self.by_id.remove(&id);
            self.untold.remove(&id);
        }
    }

    /// Returns the version that began a stream.
    pub fn version(
        &self,
        service: &ServiceName,
        id: &str,
        now_ms: u64,
    ) -> Option<&SoftwareVersion> {
        let known = self.by_id.get(id)?;
        (known.service == *service && now_ms < known.until_ms).then_some(&known.version)
    }

    /// Returns streams of which other daemons must be told, once each: those of services for which
    /// `has_one_version` is false.
    pub fn take_untold(
        &mut self,
        has_one_version: impl Fn(&ServiceName) -> bool,
        now_ms: u64,
    ) -> Vec<StreamOrigin> {
        let is_due = |id: &&String| {
            self.by_id.get(*id).is_some_and(|known| !has_one_version(&known.service))
        };
        let due: Vec<String> = self.untold.iter().filter(is_due).take(MAX_TOLD).cloned().collect();
        let told = due.into_iter().filter_map(|id| {
            self.untold.remove(&id);
            let known = self.by_id.get(&id)?;
            let (service, version) = (known.service.clone(), known.version.clone());
            let valid_for_ms = known.until_ms.saturating_sub(now_ms);
            Some(StreamOrigin { id, service, version, valid_for_ms })
        });
        told.collect()
    }

    /// Forgets streams that can no longer be continued.
    pub fn cleanup(&mut self, now_ms: u64) {
        while self.by_end.first().is_some_and(|(until_ms, _)| *until_ms <= now_ms) {
            let Some((_, id)) = self.by_end.pop_first() else { return };
            self.by_id.remove(&id);
            self.untold.remove(&id);
        }
    }
}

/// Returns the version at which a stream goes on that this daemon has no record of, from its own
/// list of endpoints alone. A list that is older than `max_age_ms` may lack a version.
pub fn version_from_list(
    known: KnownVersions<'_>,
    list_age_ms: u64,
    max_age_ms: u64,
) -> Option<&SoftwareVersion> {
    match known {
        KnownVersions::Only(version) if list_age_ms <= max_age_ms => Some(version),
        _ => None,
    }
}

/// Returns the version at which a stream goes on, by the answers of other daemons.
///
/// If none of them has a record of the stream, it is only known if more than half of those asked
/// have answered, they all know of one version only, and this daemon knows of no other.
pub fn version_from_answers(
    known: KnownVersions<'_>,
    answers: Answers<'_>,
) -> Option<SoftwareVersion> {
    let recorded = answers.received.iter().find_map(|knowledge| knowledge.version.as_ref());
    if recorded.is_some() {
        return recorded.cloned();
    }
    let own = match known {
        KnownVersions::Several => return None,
        KnownVersions::Only(version) | KnownVersions::AtLeast(version) => Some(version),
        KnownVersions::Unknown => None,
    };
    if 2 * answers.received.len() <= answers.asked {
        return None;
    }
    let mut named = answers.received.iter().map(|knowledge| knowledge.only_version.as_ref());
    let version = named.next().flatten()?;
    let all_agree = named.all(|other| other == Some(version));
    (all_agree && own.is_none_or(|own| own == version)).then(|| version.clone())
}
