//! Places at endpoints that have named limits: daemons ask the leader of the endpoint's group for
//! one, each for one request.

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
    places::{WirePlace, WirePlaceAsking},
    replicas::ReplicasClient,
};

/// Asks for a place at an endpoint; returns until when it can be used. Where there is none, the
/// daemon knows why when this returns.
pub(crate) async fn ask(daemon: &Daemon, endpoint: &Endpoint, id: &str) -> Option<u64> {
    let asked_ms = daemon.knowledge.now_ms();
    let incarnation = endpoint.incarnation();
    let heard = daemon
        .knowledge
        .with(|local_view| local_view.backpressure.permit_requested(&incarnation, asked_ms))?;
    let asking = WirePlaceAsking {
        endpoint: incarnation.name.to_string(),
        born_ms: incarnation.started_unix_ms,
        group: endpoint.domain.to_string(),
        per_ks: heard.per_ks,
        heard_ago_ms: asked_ms.saturating_sub(heard.observed_ms),
        silent: heard.answers_without_limit,
        silent_ago_ms: asked_ms.saturating_sub(heard.last_without_ms),
        is_passed_on: false,
    };
    let place = borrow(daemon, asking).await;
    let now_ms = daemon.knowledge.now_ms();
    tracing::debug!(id, endpoint = %incarnation.name, ?place, "endpoint: A place was asked for.");
    let change = |local_view: &mut trestle_dispatch::local_view::LocalView| {
        let backpressure = &mut local_view.backpressure;
        match place {
            WirePlace::Lent => {}
            WirePlace::Refused { in_ms } => {
                backpressure.permit_refused(&incarnation, in_ms, now_ms)
            }
            WirePlace::NotLending => backpressure.allocator_unreachable(&incarnation, now_ms),
            WirePlace::Lifted => return backpressure.limit_lifted(&incarnation, asked_ms),
        }
        false
    };
    if daemon.knowledge.with(change) {
        tracing::info!(endpoint = %incarnation.name, "endpoint: It names no limit any more.");
    }
    (place == WirePlace::Lent).then_some(asked_ms + PERMIT_VALID_MS)
}

/// Asks the leader of an endpoint's group, where this daemon knows it, or else has its own leader
/// pass the question on.
async fn borrow(daemon: &Daemon, asking: WirePlaceAsking) -> WirePlace {
    match leader_of(daemon, &asking.group).await {
        Leader::At { address, .. } => borrow_at(daemon, address, asking).await,
        // It may also have led until a moment ago.
        Leader::Here { .. } => lend_here(daemon, &asking),
        Leader::Nobody => match calls::leader(daemon, 0).await {
            Leader::At { address, .. } => borrow_at(daemon, address, asking).await,
            Leader::Here { .. } | Leader::Nobody => lend_here(daemon, &asking),
        },
    }
}

async fn leader_of(daemon: &Daemon, group: &str) -> Leader {
    let group = DomainName::from(group);
    let leader = daemon.ask(|reply| Message::LeaderOf { group, reply }).await;
    leader.unwrap_or(Leader::Nobody)
}

async fn borrow_at(daemon: &Daemon, address: SocketAddr, asking: WirePlaceAsking) -> WirePlace {
    let ask = async |client: ReplicasClient, context| client.lend_place(context, asking).await;
    daemon.calls.call(address, ask).await.unwrap_or(WirePlace::NotLending)
}

/// Answers another daemon: by itself, if it leads the endpoint's group, or with what the leader of
/// that answers.
pub(crate) async fn lend(daemon: &Daemon, asking: WirePlaceAsking) -> WirePlace {
    let place = lend_here(daemon, &asking);
    if place != WirePlace::NotLending || asking.is_passed_on {
        return place;
    }
    match leader_of(daemon, &asking.group).await {
        Leader::At { address, .. } => {
            borrow_at(daemon, address, WirePlaceAsking { is_passed_on: true, ..asking }).await
        }
        Leader::Here { .. } | Leader::Nobody => place,
    }
}

/// Decides on a place, as of the lease that this daemon holds at this moment.
fn lend_here(daemon: &Daemon, asking: &WirePlaceAsking) -> WirePlace {
    let group = DomainName::from(asking.group.as_str());
    let incarnation =
        Incarnation { name: asking.endpoint.as_str().into(), started_unix_ms: asking.born_ms };
    let place = daemon.with_endpoint_limits(|limits| {
        let now_ms = daemon.knowledge.now_ms();
        let lease = daemon.order_permits.held(now_ms).remove(&group);
        limits.request_permit(&incarnation, &group, lease, asking.heard(now_ms), now_ms)
    });
    place.into()
}
