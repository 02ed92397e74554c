//! Routes, which determine the service that answers a request and how it may be retried.

use std::collections::BTreeMap;
use trestle_core::names::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

/// Whether and how a request may run a second time.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum RouteKind {
    /// An idempotent plain call.
    Idempotent,
    /// A plain call that may run at most once.
    Single,
    /// A stream of events.
    Stream {
        /// Whether an interrupted stream may resume at another endpoint.
        is_resumable: bool,
    },
}

/// One of the services that share a route.
#[trestle_macros::plain]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the service, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// One route.
#[trestle_macros::plain]
pub struct Route {
    /// Name that the operators gave the route.
    pub name: String,
    /// Host of its requests.
    pub host: String,
    /// Prefix of their paths, with a slash at both ends.
    pub prefix: String,
    /// Whether and how its requests may run a second time.
    pub kind: RouteKind,
    /// Longest time until the end of an answer.
    pub timeout_ms: u64,
    /// Time within which an answer, or a stream's first event, is on time.
    pub objective_ms: u64,
    /// Longest pause between two events of a stream that is on time.
    pub pause_ms: u64,
    /// Largest number of endpoints that one request may run on.
    pub attempts: u32,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Whether the route is open to callers without a key.
    pub is_public: bool,
    /// The services that answer its requests.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::Stream { is_resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// Returns the service for a request; the same id always yields the same service.
    pub fn target(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = xxh3_64(request_id.as_bytes()).checked_rem(total)?;
        for target in &self.targets {
            match point.checked_sub(u64::from(target.weight)) {
                Some(remainder) => point = remainder,
                None => return Some(&target.service),
            }
        }
        None
    }
}

/// All routes, indexed by host and path prefix.
#[trestle_macros::plain]
#[derive(Default)]
pub struct RouteTable {
    by_host: BTreeMap<String, BTreeMap<String, Route>>,
    /// Shortest bound on pauses among the stream routes to each service.
    shortest_pauses_ms: BTreeMap<ServiceName, u64>,
}

impl RouteTable {
    /// Creates a table of routes.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: BTreeMap<String, BTreeMap<String, Route>> = BTreeMap::new();
        let mut shortest_pauses_ms = BTreeMap::new();
        for route in routes {
            let targets = route.targets.iter().filter(|_| route.is_stream() && route.pause_ms > 0);
            for target in targets {
                let shortest_ms =
                    shortest_pauses_ms.entry(target.service.clone()).or_insert(route.pause_ms);
                *shortest_ms = route.pause_ms.min(*shortest_ms);
            }
            let of_host = by_host.entry(route.host.clone()).or_default();
            of_host.insert(route.prefix.clone(), route);
        }
        Self { by_host, shortest_pauses_ms }
    }

    /// Returns the shortest bound on pauses among the stream routes to a service; `None` if none has
    /// a bound.
    pub fn shortest_pause_ms(&self, service: &ServiceName) -> Option<u64> {
        self.shortest_pauses_ms.get(service).copied()
    }

    /// Returns the route of a host with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.by_host.get(host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(index, _)| &path[..=index]).find_map(|prefix| of_host.get(prefix))
    }

    /// Iterates over all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.by_host.values().flat_map(BTreeMap::values)
    }
}
