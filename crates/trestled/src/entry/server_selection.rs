//! Selection of a server for a call to a plain service.

use crate::daemon::Daemon;
use std::sync::Arc;
use trestle_config::Service;
use trestle_core::names::EndpointName;

/// One of the concurrent calls that this daemon may send to a server. It is released when the value
/// is dropped.
pub(crate) struct ServerSlot {
    pub(crate) endpoint: EndpointName,
    pub(crate) url: String,
    daemon: Arc<Daemon>,
}

/// Returns the servers that may receive a call, best first.
///
/// Servers that are avoided after failures come last, and before them those that are at their limit
/// of concurrent calls. The others are sorted by failure domain, the daemon's own first, and then
/// by the number of this daemon's calls in flight.
pub(crate) fn ranked(daemon: &Daemon, service: &Service) -> Vec<EndpointName> {
    let routing = daemon.routing();
    let now_ms = daemon.now_ms();
    let traffic = daemon.traffic();
    let mut servers: Vec<_> = service
        .endpoints
        .iter()
        .filter(|(name, _)| !routing.draining.contains(name.as_str()))
        .map(|(name, server)| {
            let health = traffic.health.get(name);
            let is_avoided = health.is_some_and(|health| health.is_avoided(now_ms));
            let is_remote = server.domain.as_str() != daemon.settings.domain;
            let in_flight = traffic.calls_by_endpoint.get(name).copied().unwrap_or(0);
            (is_avoided, in_flight >= service.slots, is_remote, in_flight, name)
        })
        .collect();
    servers.sort();
    servers.into_iter().map(|(.., name)| name.clone()).collect()
}

/// Reserves a slot at a server; `None` if the service does not list the server, or if the daemon
/// has reached its limit of concurrent calls there.
pub(crate) fn acquire(
    daemon: &Arc<Daemon>,
    service: &Service,
    name: &EndpointName,
) -> Option<ServerSlot> {
    let url = service.endpoints.get(name)?.url.clone();
    let mut traffic = daemon.traffic();
    let in_flight = traffic.calls_by_endpoint.entry(name.clone()).or_default();
    if *in_flight >= service.slots {
        return None;
    }
    *in_flight += 1;
    Some(ServerSlot { endpoint: name.clone(), url, daemon: Arc::clone(daemon) })
}

impl ServerSlot {
    /// Records whether the server returned a complete answer.
    pub(crate) fn record_outcome(&self, succeeded: bool) {
        let now_ms = self.daemon.now_ms();
        let mut traffic = self.daemon.traffic();
        let health = traffic.health.entry(self.endpoint.clone()).or_default();
        if succeeded {
            health.record_success();
        } else {
            health.record_failure(now_ms);
        }
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        if let Some(in_flight) = self.daemon.traffic().calls_by_endpoint.get_mut(&self.endpoint) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }
}
