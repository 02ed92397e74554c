//! Which endpoints accept connections of this daemon, and which way its connections take.
//!
//! An endpoint that accepts no connection may have terminated, or only this daemon has no path to
//! it. A daemon that has none must not turn away callers whom every other daemon could serve, so it
//! also tries to connect by a detour: through another daemon. If that works, the endpoint counts as
//! blocked here. Connections then take the detour at once, since a caller with a short objective
//! cannot wait for a timeout first, and probes find out when the direct path works again. If the
//! detour fails as well, the endpoint is the cause, and the detour is not tried again for a time, so
//! that an endpoint that is down costs the other daemons little.

use crate::endpoint::{Endpoint, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::ServiceName;

/// Number of endpoints that accept no connection, with none that does, from which on a service
/// counts as unreachable. One endpoint alone may have terminated.
const MIN_UNREACHED: usize = 2;
/// Time after which a connection that is not established is also tried by a detour. Several round
/// trips of a region fit in, and so does a short pause of a small VM's processor.
const DETOUR_AFTER_MS: u64 = 100;
/// Time between two probes of the direct path to a blocked endpoint.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time for which no detour is tried to an endpoint that another daemon did not reach either.
const FAILED_DETOUR_PAUSE_MS: u64 = 1_000;
/// Time for which an accepted connection or an answer shows that an endpoint is reached.
const REACHED_VALID_MS: u64 = 3_000;
/// Time for which an endpoint must be blocked before this daemon counts as cut off from it, so that
/// a leader does not give up its lease for a short interruption.
const CUT_OFF_AFTER_MS: u64 = 1_000;

/// How an endpoint did not accept a connection.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum ConnectFailure {
    /// The connection was refused or reset.
    Refused,
    /// There was no response in time.
    Silent,
}

impl ConnectFailure {
    /// Returns the name of the failure in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// What an outcome changes for a service.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum ServiceChange {
    /// None of the service's endpoints accepts connections any more.
    Lost {
        /// Number of endpoints that have accepted none since the last that did.
        endpoints: usize,
    },
    /// An endpoint of the service accepts connections again.
    Regained {
        /// Time for which none did, in milliseconds.
        after_ms: u64,
    },
}

/// The way that a new connection to an endpoint takes.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Route {
    /// Directly; also by a detour once the direct attempt has failed or taken this long.
    DirectFirst {
        /// Time after which the detour is tried, in milliseconds.
        detour_after_ms: u64,
    },
    /// Directly only, since other daemons did not reach the endpoint either.
    Direct,
    /// By a detour.
    Detour {
        /// Whether the direct path is probed beside it.
        with_probe: bool,
    },
}

/// The outcomes of this daemon's connection attempts, by endpoint.
#[derive(Debug, Default)]
pub struct Reachability {
    paths: BTreeMap<Incarnation, Path>,
    failing: BTreeMap<ServiceName, FailingService>,
}

/// What is known of the path to one endpoint.
#[derive(Debug, Default, Clone, Copy)]
struct Path {
    /// How the last direct attempt failed; `None` if it did not.
    failure: Option<ConnectFailure>,
    /// When the endpoint last accepted a direct connection, or answered over one.
    answered_ms: Option<u64>,
    /// Whether direct connections were reset as soon as they were accepted.
    is_reset: bool,
    /// Since when a detour has worked while direct attempts fail.
    blocked_since_ms: Option<u64>,
    /// Whether the last detour worked.
    has_detour: bool,
    /// Until when no detour is tried.
    no_detour_until_ms: u64,
    probe_due_ms: u64,
}

/// A service of which no endpoint has accepted a connection since a failure.
#[derive(Debug)]
struct FailingService {
    since_ms: u64,
    endpoints: BTreeSet<Incarnation>,
    is_reported: bool,
}

impl Reachability {
    /// Records that an endpoint accepted a direct connection. Unless the connection also `has_held`,
    /// this shows nothing about an endpoint whose connections are reset once they are accepted.
    pub fn connected(
        &mut self,
        endpoint: &Endpoint,
        has_held: bool,
        now_ms: u64,
    ) -> Option<ServiceChange> {
        let is_reset = self.paths.get(&endpoint.incarnation()).is_some_and(|path| path.is_reset);
        if is_reset && !has_held {
            return None;
        }
        let path = Path { answered_ms: Some(now_ms), ..Path::default() };
        self.paths.insert(endpoint.incarnation(), path);
        let failing = self.failing.remove(&endpoint.service)?;
        let after_ms = now_ms.saturating_sub(failing.since_ms);
        failing.is_reported.then_some(ServiceChange::Regained { after_ms })
    }

    /// Records that an endpoint answered over a direct connection, which may be an old one.
    pub fn answered(&mut self, endpoint: &Endpoint, now_ms: u64) {
        self.paths.entry(endpoint.incarnation()).or_default().answered_ms = Some(now_ms);
    }

    /// Records that a direct connection was reset as soon as it was accepted.
    pub fn reset(&mut self, endpoint: &Endpoint, now_ms: u64) -> Option<ServiceChange> {
        self.paths.entry(endpoint.incarnation()).or_default().is_reset = true;
        self.failed(endpoint, ConnectFailure::Refused, now_ms)
    }

    /// Records that an endpoint did not accept a direct connection.
    pub fn failed(
        &mut self,
        endpoint: &Endpoint,
        failure: ConnectFailure,
        now_ms: u64,
    ) -> Option<ServiceChange> {
        let incarnation = endpoint.incarnation();
        let path = self.paths.entry(incarnation.clone()).or_default();
        path.failure = Some(failure);
        path.probe_due_ms = now_ms + PROBE_INTERVAL_MS;
        path.update_blocked(now_ms);
        let first =
            || FailingService { since_ms: now_ms, endpoints: BTreeSet::new(), is_reported: false };
        let failing = self.failing.entry(endpoint.service.clone()).or_insert_with(first);
        failing.endpoints.insert(incarnation);
        let endpoints = failing.endpoints.len();
        let is_lost = endpoints >= MIN_UNREACHED;
        let is_new = is_lost && !std::mem::replace(&mut failing.is_reported, is_lost);
        is_new.then_some(ServiceChange::Lost { endpoints })
    }

    /// Records that a detour to an endpoint worked.
    pub fn detoured(&mut self, incarnation: &Incarnation, now_ms: u64) {
        let path = self.paths.entry(incarnation.clone()).or_default();
        path.has_detour = true;
        path.update_blocked(now_ms);
    }

    /// Records that another daemon did not reach an endpoint either.
    pub fn detour_failed(&mut self, incarnation: &Incarnation, now_ms: u64) {
        let path = self.paths.entry(incarnation.clone()).or_default();
        path.has_detour = false;
        path.blocked_since_ms = None;
        path.no_detour_until_ms = now_ms + FAILED_DETOUR_PAUSE_MS;
    }

    /// Returns the way that a new connection to an endpoint takes. Each probe that it asks for is
    /// due only once.
    pub fn route(&mut self, endpoint: &Endpoint, now_ms: u64) -> Route {
        let incarnation = endpoint.incarnation();
        let Some(path) = self.paths.get_mut(&incarnation) else {
            return self.first_route(endpoint);
        };
        let may_detour = now_ms >= path.no_detour_until_ms;
        if path.blocked_since_ms.is_some() || (path.is_reset && may_detour) {
            let with_probe = now_ms >= path.probe_due_ms;
            if with_probe {
                path.probe_due_ms = now_ms + PROBE_INTERVAL_MS;
            }
            return Route::Detour { with_probe };
        }
        match may_detour {
            true => self.first_route(endpoint),
            false => Route::Direct,
        }
    }

    /// Returns how the last direct attempt to an endpoint failed; `None` if it did not.
    pub fn failure(&self, incarnation: &Incarnation) -> Option<ConnectFailure> {
        self.paths.get(incarnation)?.failure
    }

    /// Returns whether only this daemon has no direct path to an endpoint.
    pub fn is_blocked(&self, incarnation: &Incarnation) -> bool {
        self.paths.get(incarnation).is_some_and(|path| path.blocked_since_ms.is_some())
    }

    /// Returns the number of endpoints whose last direct connection attempt failed.
    pub fn unreached(&self) -> usize {
        self.paths.values().filter(|path| path.failure.is_some()).count()
    }

    /// Returns the number of endpoints to which only this daemon has no direct path.
    pub fn blocked(&self) -> usize {
        self.paths.values().filter(|path| path.blocked_since_ms.is_some()).count()
    }

    /// Returns whether this daemon is cut off from most of these endpoints, as far as its recent
    /// attempts tell, while other daemons reach them.
    pub fn is_cut_off_from<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        now_ms: u64,
    ) -> bool {
        let paths = endpoints.filter_map(|endpoint| self.paths.get(&endpoint.incarnation()));
        let (mut blocked, mut reached) = (0, 0);
        for path in paths {
            match path.blocked_since_ms {
                Some(since_ms) => blocked += u32::from(now_ms >= since_ms + CUT_OFF_AFTER_MS),
                None => reached += u32::from(path.is_reached(now_ms)),
            }
        }
        blocked > reached
    }

    /// Returns the services of which this daemon fails to reach most endpoints, as far as its recent
    /// attempts tell, whether or not other daemons reach them.
    pub fn unreached_services<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        now_ms: u64,
    ) -> BTreeSet<ServiceName> {
        let mut balance: BTreeMap<&ServiceName, i64> = BTreeMap::new();
        for endpoint in endpoints {
            let Some(path) = self.paths.get(&endpoint.incarnation()) else { continue };
            let failing = i64::from(path.failure.is_some());
            *balance.entry(&endpoint.service).or_default() +=
                failing - i64::from(path.is_reached(now_ms));
        }
        let unreached = balance.into_iter().filter(|(_, balance)| *balance > 0);
        unreached.map(|(service, _)| service.clone()).collect()
    }

    /// Drops endpoints that are not live.
    pub fn retain(&mut self, is_live: impl Fn(&Incarnation) -> bool) {
        self.paths.retain(|incarnation, _| is_live(incarnation));
        self.failing.retain(|_, failing| {
            failing.endpoints.retain(&is_live);
            !failing.endpoints.is_empty()
        });
    }

    /// Returns the way of a connection to an endpoint of which nothing speaks against the direct
    /// path but the fate of others of its service.
    fn first_route(&self, endpoint: &Endpoint) -> Route {
        let is_lost = self.failing.get(&endpoint.service).is_some_and(|failing| {
            failing.is_reported && failing.endpoints.iter().any(|other| self.is_blocked(other))
        });
        Route::DirectFirst { detour_after_ms: if is_lost { 0 } else { DETOUR_AFTER_MS } }
    }
}

impl Path {
    /// Records from when on the direct path fails while a detour works.
    fn update_blocked(&mut self, now_ms: u64) {
        let is_blocked = self.failure.is_some() && self.has_detour;
        if is_blocked && self.blocked_since_ms.is_none() {
            self.blocked_since_ms = Some(now_ms);
            self.probe_due_ms = now_ms + PROBE_INTERVAL_MS;
        }
    }

    fn is_reached(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms| now_ms < at_ms + REACHED_VALID_MS;
        self.failure.is_none() && self.answered_ms.is_some_and(is_recent)
    }
}
