//! Requests permits from the owners of endpoints.
//!
//! The chain of owners of an endpoint follows from the membership of its failure domain. The
//! request goes to the first owner of the chain. If that one does not answer or reports that it is
//! not the owner, the request goes to the next one, along with the number of owners before it that
//! failed. While a request waits, the daemon checks at intervals whether the owner still answers,
//! so a frozen owner is detected long before the deadline.

use crate::{daemon::Daemon, message::Message};
use futures_lite::FutureExt;
use smol::Timer;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use trestle_core::{
    control_state::CHAIN_LENGTH,
    event::Event,
    names::{EndpointName, ModelName, TeamName},
    permit::{PERMIT_USE_MS, Ticket},
};
use trestle_wire::peer::{WirePermitAnswer, WirePermitRequest, WireRefusal};

/// Interval at which the daemon checks that the owner of a waiting request still answers.
const LIVENESS_INTERVAL_MS: u64 = 500;
/// Retry delay for a request whose deadline passed before any owner could be reached; the caller
/// should allow more time.
const DEADLINE_RETRY_MS: u64 = 1_000;
/// Number of consecutive checks without an answer after which an owner counts as lost.
const MAX_UNANSWERED: u32 = 2;

/// The parameters of a permit request.
#[derive(Clone, Copy)]
pub(crate) struct PermitParams<'a> {
    pub(crate) model: &'a ModelName,
    pub(crate) tenant: &'a TeamName,
    pub(crate) urgency: u8,
    /// When the complete answer is due.
    pub(crate) deadline: Instant,
    /// The longest wait that the request accepts at the endpoint; `None` if it waits until its
    /// deadline.
    pub(crate) wait_limit_ms: Option<u64>,
}

/// A permit to send one request to an endpoint. It is released when the value is dropped.
pub(crate) struct Permit {
    pub(crate) endpoint: EndpointName,
    /// Whether the request waited for its model to be loaded.
    pub(crate) is_cold: bool,
    received: Instant,
    daemon: Arc<Daemon>,
    /// The address of the owner; `None` if this daemon owns the endpoint.
    owner_address: Option<String>,
    ticket: Ticket,
}

/// The outcome of a permit request.
pub(crate) enum PermitOutcome {
    /// The request may be sent.
    Granted(Permit),
    /// An owner answered, and granted no permit. If the deadline passed before any owner could be
    /// reached, the answer is a refusal that this daemon makes itself.
    Declined(WirePermitAnswer),
    /// No owner could be reached.
    NoOwner,
}

/// Requests a permit from the owner of an endpoint, trying its chain of owners in order.
pub(crate) async fn request_permit(
    daemon: &Arc<Daemon>,
    endpoint: &EndpointName,
    params: PermitParams<'_>,
) -> PermitOutcome {
    let owners = daemon.routing().owners(endpoint);
    let mut rank = 0;
    while rank < owners.len().min(usize::from(CHAIN_LENGTH)) {
        let (vm, address) = &owners[rank];
        let ranks_lost = rank as u8;
        let is_local = *vm == daemon.own_vm;
        let answer = if is_local {
            request_locally(daemon, endpoint, params, ranks_lost).await
        } else {
            request_from_peer(daemon, address, endpoint, params, ranks_lost).await
        };
        match answer {
            Some(WirePermitAnswer::Granted { ticket, cold }) => {
                return PermitOutcome::Granted(Permit {
                    endpoint: endpoint.clone(),
                    is_cold: cold,
                    received: Instant::now(),
                    daemon: Arc::clone(daemon),
                    owner_address: (!is_local).then(|| address.clone()),
                    ticket: Ticket(ticket),
                });
            }
            Some(WirePermitAnswer::NotOwner { owner_rank: Some(owner) })
                if usize::from(owner) > rank =>
            {
                rank = usize::from(owner);
            }
            // The owner is alive, but this daemon cannot reach it.
            Some(WirePermitAnswer::NotOwner { owner_rank: Some(_) }) => {
                return PermitOutcome::NoOwner;
            }
            Some(WirePermitAnswer::NotOwner { owner_rank: None }) | None => rank += 1,
            Some(answer) => return PermitOutcome::Declined(answer),
        }
    }
    if params.deadline <= Instant::now() {
        // The deadline passed before any owner was reached, which does not show that the owners
        // failed.
        let reason = WireRefusal::DeadlineTooClose;
        return PermitOutcome::Declined(WirePermitAnswer::Refused {
            reason,
            retry_after_ms: DEADLINE_RETRY_MS,
        });
    }
    PermitOutcome::NoOwner
}

fn wire_request(
    daemon: &Daemon,
    endpoint: &EndpointName,
    params: PermitParams<'_>,
    ranks_lost: u8,
) -> Option<WirePermitRequest> {
    let due_in = params.deadline.checked_duration_since(Instant::now())?;
    Some(WirePermitRequest {
        entry: daemon.own_vm.to_string(),
        endpoint: endpoint.to_string(),
        model: params.model.to_string(),
        tenant: params.tenant.to_string(),
        urgency: params.urgency,
        due_in_ms: due_in.as_millis() as u64,
        ranks_lost,
        patience_ms: params.wait_limit_ms,
    })
}

async fn request_locally(
    daemon: &Arc<Daemon>,
    endpoint: &EndpointName,
    params: PermitParams<'_>,
    ranks_lost: u8,
) -> Option<WirePermitAnswer> {
    let request = wire_request(daemon, endpoint, params, ranks_lost)?;
    Some(handle_request(Arc::clone(daemon), request).await)
}

async fn request_from_peer(
    daemon: &Arc<Daemon>,
    address: &str,
    endpoint: &EndpointName,
    params: PermitParams<'_>,
    ranks_lost: u8,
) -> Option<WirePermitAnswer> {
    let request = wire_request(daemon, endpoint, params, ranks_lost)?;
    let answered = async { daemon.peers.request_permit(address, request).await.ok() };
    let lost = async {
        wait_until_silent(daemon, address, endpoint).await;
        None
    };
    answered.or(lost).await
}

/// Returns once the peer has left [`MAX_UNANSWERED`] consecutive checks unanswered.
async fn wait_until_silent(daemon: &Daemon, address: &str, endpoint: &EndpointName) {
    let mut unanswered = 0;
    while unanswered < MAX_UNANSWERED {
        Timer::after(Duration::from_millis(LIVENESS_INTERVAL_MS)).await;
        let answered = daemon.peers.owns(address, endpoint.as_str()).await.is_ok();
        unanswered = if answered { 0 } else { unanswered + 1 };
    }
}

/// Passes a permit request to this daemon's own control thread and waits for the answer. The
/// request is cancelled if the future is dropped before that.
pub(crate) async fn handle_request(
    daemon: Arc<Daemon>,
    request: WirePermitRequest,
) -> WirePermitAnswer {
    let ticket = daemon.next_ticket();
    let endpoint = EndpointName::from(request.endpoint.as_str());
    let (reply, answer) = async_channel::bounded(1);
    let mut guard = CancelGuard { daemon: Arc::clone(&daemon), endpoint, ticket, is_armed: true };
    daemon
        .send(Message::PermitRequest(request.into_permit_request(ticket, daemon.now_ms()), reply));
    let answer = answer.recv().await;
    guard.is_armed = false;
    match answer {
        Ok(answer) => WirePermitAnswer::new(ticket, answer),
        Err(_) => WirePermitAnswer::NotOwner { owner_rank: None },
    }
}

/// Cancels a permit request when it is dropped while armed, because the requester is gone.
struct CancelGuard {
    daemon: Arc<Daemon>,
    endpoint: EndpointName,
    ticket: Ticket,
    is_armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.daemon.send_event(Event::Cancel(self.endpoint.clone(), self.ticket));
        }
    }
}

impl Permit {
    /// Returns whether a request may still be sent under the permit.
    ///
    /// If this daemon was frozen, its permit may be outdated and the endpoint may have another
    /// owner by now.
    pub(crate) fn is_usable(&self) -> bool {
        self.received.elapsed() < Duration::from_millis(PERMIT_USE_MS)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(address) = self.owner_address.clone() else {
            self.daemon.send_event(Event::Release(self.endpoint.clone(), self.ticket));
            return;
        };
        let (daemon, endpoint, ticket) =
            (Arc::clone(&self.daemon), self.endpoint.clone(), self.ticket);
        let release = async move {
            if let Err(error) = daemon.peers.release(&address, endpoint.as_str(), ticket.0).await {
                tracing::debug!(
                    "permit: A permit for endpoint {endpoint} could not be released: {error}."
                );
            }
        };
        smol::spawn(release).detach();
    }
}
