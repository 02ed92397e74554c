//! Send permits for endpoints that have reported limits. For each request a daemon obtains one
//! permit from the leader of the endpoint's group.

use crate::{
    control::message::{Leader, Message},
    daemon::Daemon,
    peer::calls,
};
use std::net::SocketAddr;
use trestle_core::names::DomainName;
use trestle_dispatch::{
    endpoint::{Endpoint, Incarnation},
    endpoint_limits::PERMIT_VALID_MS,
};
use trestle_wire::{
    replicas::ReplicasClient,
    send_permits::{WireSendPermit, WireSendPermitRequest},
};

/// Requests a send permit for an endpoint. Returns until when the permit is valid. Returns `None`
/// if no permit is granted, after recording the reason in the local view.
pub(crate) async fn request(daemon: &Daemon, endpoint: &Endpoint, id: &str) -> Option<u64> {
    let requested_ms = daemon.shared_view.now_ms();
    let incarnation = endpoint.incarnation();
    let observed = daemon
        .shared_view
        .with(|local_view| local_view.backpressure.permit_requested(&incarnation, requested_ms))?;
    let request = WireSendPermitRequest {
        endpoint: incarnation.name.to_string(),
        born_ms: incarnation.started_unix_ms,
        group: endpoint.domain.to_string(),
        per_ks: observed.per_ks,
        heard_ago_ms: requested_ms.saturating_sub(observed.observed_ms),
        silent: observed.answers_without_limit,
        silent_ago_ms: requested_ms.saturating_sub(observed.last_without_ms),
        is_passed_on: false,
    };
    let permit = request_from_leader(daemon, request).await;
    let now_ms = daemon.shared_view.now_ms();
    tracing::debug!(id, endpoint = %incarnation.name, place = ?permit, "endpoint: A send permit was requested.");
    let change = |local_view: &mut trestle_dispatch::local_view::LocalView| {
        let backpressure = &mut local_view.backpressure;
        match permit {
            WireSendPermit::Lent => {}
            WireSendPermit::Refused { in_ms } => {
                backpressure.permit_refused(&incarnation, in_ms, now_ms)
            }
            WireSendPermit::NotLending => backpressure.allocator_unreachable(&incarnation, now_ms),
            WireSendPermit::Lifted => return backpressure.limit_lifted(&incarnation, requested_ms),
        }
        false
    };
    if daemon.shared_view.with(change) {
        tracing::info!(endpoint = %incarnation.name, "endpoint: The endpoint names no limit any more.");
    }
    (permit == WireSendPermit::Lent).then_some(requested_ms + PERMIT_VALID_MS)
}

/// Asks the leader of an endpoint's group. If this daemon does not know that leader, its own
/// leader passes the request on.
async fn request_from_leader(daemon: &Daemon, request: WireSendPermitRequest) -> WireSendPermit {
    match leader_of(daemon, &request.group).await {
        Leader::At { address, .. } => request_at(daemon, address, request).await,
        // This daemon may have led until a moment ago.
        Leader::Here { .. } => grant_here(daemon, &request),
        Leader::Nobody => match calls::leader(daemon, 0).await {
            Leader::At { address, .. } => request_at(daemon, address, request).await,
            Leader::Here { .. } | Leader::Nobody => grant_here(daemon, &request),
        },
    }
}

pub(crate) async fn leader_of(daemon: &Daemon, group: &str) -> Leader {
    let group = DomainName::from(group);
    let leader = daemon.query(|reply| Message::GroupLeader { group, reply }).await;
    leader.unwrap_or(Leader::Nobody)
}

async fn request_at(
    daemon: &Daemon,
    address: SocketAddr,
    request: WireSendPermitRequest,
) -> WireSendPermit {
    let call = async |client: ReplicasClient, context| client.lend_place(context, request).await;
    daemon.calls.call(address, call).await.unwrap_or(WireSendPermit::NotLending)
}

/// Answers a request of another daemon: decides if this daemon leads the endpoint's group, and
/// otherwise returns the answer of the leader that does.
pub(crate) async fn grant(daemon: &Daemon, request: WireSendPermitRequest) -> WireSendPermit {
    let permit = grant_here(daemon, &request);
    if permit != WireSendPermit::NotLending || request.is_passed_on {
        return permit;
    }
    match leader_of(daemon, &request.group).await {
        Leader::At { address, .. } => {
            request_at(daemon, address, WireSendPermitRequest { is_passed_on: true, ..request })
                .await
        }
        Leader::Here { .. } | Leader::Nobody => permit,
    }
}

/// Decides on a send permit by the lease that this daemon holds at this moment.
fn grant_here(daemon: &Daemon, request: &WireSendPermitRequest) -> WireSendPermit {
    let group = DomainName::from(request.group.as_str());
    let incarnation =
        Incarnation { name: request.endpoint.as_str().into(), started_unix_ms: request.born_ms };
    let permit = daemon.with_endpoint_limits(|limits| {
        let now_ms = daemon.shared_view.now_ms();
        let lease = daemon.order_permits.held(now_ms).remove(&group);
        limits.request_permit(&incarnation, &group, lease, request.observed_limit(now_ms), now_ms)
    });
    permit.into()
}
