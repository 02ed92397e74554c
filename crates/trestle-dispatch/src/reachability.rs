//! Which endpoints accept connections of this daemon.
//!
//! An endpoint that accepts no connection may have terminated, or only this daemon has no path to
//! it. The outcomes at all endpoints of a service together show more than those at one: a daemon
//! that reaches none of them is probably cut off itself.

use crate::endpoint::{Endpoint, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::ServiceName;

/// Number of endpoints that accept no connection, with none that does, from which on a service
/// counts as unreachable. One endpoint alone may have terminated.
const MIN_UNREACHED: usize = 2;

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

/// The outcomes of this daemon's connection attempts, by endpoint.
#[derive(Debug, Default)]
pub struct Reachability {
    /// Endpoints whose last connection attempt failed, and how.
    unreached: BTreeMap<Incarnation, ConnectFailure>,
    failing: BTreeMap<ServiceName, FailingService>,
}

/// A service of which no endpoint has accepted a connection since a failure.
#[derive(Debug)]
struct FailingService {
    since_ms: u64,
    endpoints: BTreeSet<Incarnation>,
    is_reported: bool,
}

impl Reachability {
    /// Records that an endpoint accepted a connection.
    pub fn connected(&mut self, endpoint: &Endpoint, now_ms: u64) -> Option<ServiceChange> {
        self.unreached.remove(&endpoint.incarnation());
        let failing = self.failing.remove(&endpoint.service)?;
        let after_ms = now_ms.saturating_sub(failing.since_ms);
        failing.is_reported.then_some(ServiceChange::Regained { after_ms })
    }

    /// Records that an endpoint did not accept a connection.
    pub fn failed(
        &mut self,
        endpoint: &Endpoint,
        failure: ConnectFailure,
        now_ms: u64,
    ) -> Option<ServiceChange> {
        let incarnation = endpoint.incarnation();
        self.unreached.insert(incarnation.clone(), failure);
        let first =
            || FailingService { since_ms: now_ms, endpoints: BTreeSet::new(), is_reported: false };
        let failing = self.failing.entry(endpoint.service.clone()).or_insert_with(first);
        failing.endpoints.insert(incarnation);
        let endpoints = failing.endpoints.len();
        let is_lost = endpoints >= MIN_UNREACHED;
        let is_new = is_lost && !std::mem::replace(&mut failing.is_reported, is_lost);
        is_new.then_some(ServiceChange::Lost { endpoints })
    }

    /// Returns how the last connection attempt to an endpoint failed; `None` if it did not.
    pub fn failure(&self, incarnation: &Incarnation) -> Option<ConnectFailure> {
        self.unreached.get(incarnation).copied()
    }

    /// Returns the number of endpoints whose last connection attempt failed.
    pub fn unreached(&self) -> usize {
        self.unreached.len()
    }

    /// Drops endpoints that are not live.
    pub fn retain(&mut self, is_live: impl Fn(&Incarnation) -> bool) {
        self.unreached.retain(|incarnation, _| is_live(incarnation));
        self.failing.retain(|_, failing| {
            failing.endpoints.retain(&is_live);
            !failing.endpoints.is_empty()
        });
    }
}
