//! Routes: which service answers a request, and how it may be treated.

use std::collections::BTreeMap;
use trestle_core::names::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

/// What may be done with a request a second time.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum RouteKind {
    /// A plain call that is idempotent.
    Idempotent,
    /// A plain call that may run once at most.
    Single,
    /// A stream of events.
    Stream {
        /// Whether a broken stream may go on at another endpoint.
        is_resumable: bool,
    },
}

/// One of the services that share a route.
#[trestle_macros::plain]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share, against the sum of all shares of the route.
    pub weight: u32,
}

/// One route.
#[trestle_macros::plain]
pub struct Route {
    /// The name that operators gave it.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Start of their paths, with a slash at both ends.
    pub prefix: String,
    /// What may be done a second time.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout_ms: u64,
    /// Time within which an answer, or a stream's first event, is on time.
    pub objective_ms: u64,
    /// Longest pause between two events of a stream that is on time.
    pub pause_ms: u64,
    /// Most endpoints that one request may be run on.
    pub attempts: u32,
    /// Urgency; 0 goes first.
    pub priority: u8,
    /// Whether it is open to callers without a key.
    pub is_public: bool,
    /// The services behind the route.
    pub targets: Vec<Target>,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// The service for a request; the same id always leads to the same one.
    pub fn target(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = xxh3_64(request_id.as_bytes()).checked_rem(total)?;
        for target in &self.targets {
            match point.checked_sub(u64::from(target.weight)) {
                Some(rest) => point = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}

/// All routes, found by host and longest prefix.
#[trestle_macros::plain]
#[derive(Default)]
pub struct RouteTable {
    by_host: BTreeMap<String, BTreeMap<String, Route>>,
}

impl RouteTable {
    /// A table of the routes.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: BTreeMap<String, BTreeMap<String, Route>> = BTreeMap::new();
        for route in routes {
            let of_host = by_host.entry(route.host.clone()).or_default();
            of_host.insert(route.prefix.clone(), route);
        }
        Self { by_host }
    }

    /// The route with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.by_host.get(host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(at, _)| &path[..=at]).find_map(|prefix| of_host.get(prefix))
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.by_host.values().flat_map(BTreeMap::values)
    }
}
