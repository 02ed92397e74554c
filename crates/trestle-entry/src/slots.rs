//! Slots of brittle endpoints. For each request a daemon obtains one from the leader of the
//! endpoint's group, and reports when it uses fewer.

use crate::{control::message::Leader, daemon::Daemon, peer::calls, send_permits};
use smol::Timer;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use trestle_core::names::DomainName;
use trestle_dispatch::{
    endpoint::Endpoint, endpoint_limits::PERMIT_VALID_MS, slot_allocator::Slot,
};
use trestle_wire::{
    replicas::ReplicasClient,
    slots::{WireSlot, WireSlotRequest},
};

/// Time between two reports on slots that stay in use.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Requests a slot of an endpoint for the request with this id. Returns until when it may be used;
/// `None` if none is lent, after recording the reason in the local view.
pub(crate) async fn request(daemon: &Daemon, endpoint: &Endpoint, id: &str) -> Option<u64> {
    let requested_ms = daemon.shared_view.now_ms();
    let report = daemon.shared_view.with(|local_view| {
        let in_flight = local_view.records.of(&endpoint.name).in_flight;
        local_view.brittle.slot_report(endpoint, in_flight, requested_ms)
    })?;
    let request = WireSlotRequest::new(&daemon.settings.vm, endpoint, report);
    let slot = send(daemon, request).await;
    tracing::debug!(id, endpoint = %endpoint.name, ?slot, "endpoint: A slot was requested.");
    let now_ms = daemon.shared_view.now_ms();
    daemon.shared_view.with(|local_view| match slot {
        Slot::Lent => local_view.brittle.slot_received(endpoint),
        Slot::Full { in_ms } => local_view.brittle.slot_refused(endpoint, in_ms, now_ms),
        Slot::NotLending => local_view.brittle.leader_unreachable(endpoint, now_ms),
    });
    (slot == Slot::Lent).then_some(requested_ms + PERMIT_VALID_MS)
}

/// Reports to the leader that this daemon uses fewer slots of a brittle endpoint.
pub(crate) fn report_free(daemon: &Arc<Daemon>, endpoint: &Endpoint) {
    let now_ms = daemon.shared_view.now_ms();
    let is_lent =
        daemon.shared_view.with(|local_view| local_view.brittle.needs_slot(endpoint, now_ms));
    if is_lent {
        smol::spawn(report(Arc::clone(daemon), endpoint.clone())).detach();
    }
}

/// Reports on slots that stay in use until the process terminates.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    loop {
        Timer::after(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        let now_ms = daemon.shared_view.now_ms();
        let in_use: Vec<Endpoint> = daemon.shared_view.with(|local_view| {
            if local_view.brittle.is_empty() {
                return Vec::new();
            }
            let used = local_view.directory.iter().filter(|endpoint| {
                local_view.records.of(&endpoint.name).in_flight > 0
                    && local_view.brittle.needs_slot(endpoint, now_ms)
            });
            used.cloned().collect()
        });
        for endpoint in in_use {
            report(Arc::clone(&daemon), endpoint).await;
        }
    }
}

async fn report(daemon: Arc<Daemon>, endpoint: Endpoint) {
    let now_ms = daemon.shared_view.now_ms();
    let report = daemon.shared_view.with(|local_view| {
        let in_flight = local_view.records.of(&endpoint.name).in_flight;
        local_view.brittle.slot_report(&endpoint, in_flight, now_ms)
    });
    let Some(report) = report else { return };
    let request = WireSlotRequest::new(&daemon.settings.vm, &endpoint, report);
    // A lost report is corrected by the next one.
    let _ = send(&daemon, WireSlotRequest { is_report: true, ..request }).await;
}

/// Sends a request to the leader of the endpoint's group. If this daemon does not know that leader,
/// its own leader passes the request on.
async fn send(daemon: &Daemon, request: WireSlotRequest) -> Slot {
    match send_permits::leader_of(daemon, &request.group).await {
        Leader::At { address, .. } => send_to(daemon, address, request).await,
        Leader::Here { .. } => answer_here(daemon, &request),
        Leader::Nobody => match calls::leader(daemon, 0).await {
            Leader::At { address, .. } => send_to(daemon, address, request).await,
            Leader::Here { .. } | Leader::Nobody => answer_here(daemon, &request),
        },
    }
}

async fn send_to(daemon: &Daemon, address: SocketAddr, request: WireSlotRequest) -> Slot {
    let call = async |client: ReplicasClient, context| client.request_slot(context, request).await;
    // Daemons of earlier releases close the connection, on which other calls may be waiting.
    let answer = daemon.slot_calls.call(address, call).await;
    answer.unwrap_or(WireSlot::NotLending).into()
}

/// Answers a request of another daemon: decides if this daemon leads the endpoint's group, and
/// otherwise returns the answer of the leader that does.
pub(crate) async fn answer(daemon: &Daemon, request: WireSlotRequest) -> Slot {
    let slot = answer_here(daemon, &request);
    let is_led_here = slot != Slot::NotLending || leads(daemon, &request);
    if is_led_here || request.is_passed_on {
        return slot;
    }
    match send_permits::leader_of(daemon, &request.group).await {
        Leader::At { address, .. } => {
            send_to(daemon, address, WireSlotRequest { is_passed_on: true, ..request }).await
        }
        Leader::Here { .. } | Leader::Nobody => slot,
    }
}

fn leads(daemon: &Daemon, request: &WireSlotRequest) -> bool {
    let now_ms = daemon.shared_view.now_ms();
    daemon.order_permits.held(now_ms).contains_key(&DomainName::from(request.group.as_str()))
}

/// Decides on a request by the lease that this daemon holds at this moment.
fn answer_here(daemon: &Daemon, request: &WireSlotRequest) -> Slot {
    let now_ms = daemon.shared_view.now_ms();
    let group = DomainName::from(request.group.as_str());
    let token = daemon.order_permits.held(now_ms).remove(&group).map(|lease| lease.token);
    let (incarnation, vm) = (request.incarnation(), request.vm.as_str().into());
    daemon.with_slot_allocator(|allocator| match request.is_report {
        true => {
            allocator.report(&incarnation, &vm, request.report(), token, now_ms);
            Slot::NotLending
        }
        false => {
            let slots = request.slots;
            allocator.request(&incarnation, &vm, request.report(), slots, token, now_ms)
        }
    })
}
