//! Executes the actions that the control state returns, and reports their results as events.

use crate::daemon::Daemon;
use std::{collections::BTreeMap, sync::Arc};
use trestle_core::{
    event::{Action, CommitPurpose, Event, ReadPurpose},
    names::{DomainName, EndpointName, ModelName, VmName},
    order::{Order, OrderOutcome},
    row::{CommitOutcome, RowKey, Txn},
    usage_profile::UsageProfile,
};
use trestle_wire::usage_profile::{WireUsageProfiles, usage_profiles_object};

/// Executes an action. Actions that take time run in a task of their own.
pub(crate) fn execute(daemon: &Arc<Daemon>, domain: &DomainName, action: Action) {
    let daemon = Arc::clone(daemon);
    let domain = domain.clone();
    match action {
        Action::Read(purpose, keys) => smol::spawn(read(daemon, domain, purpose, keys)).detach(),
        Action::Commit(purpose, txn) => smol::spawn(commit(daemon, domain, purpose, txn)).detach(),
        Action::Probe { vm, address, endpoint } => {
            smol::spawn(probe(daemon, vm, address, endpoint)).detach();
        }
        Action::Notify { address, endpoint, .. } => {
            smol::spawn(notify(daemon, address, endpoint)).detach();
        }
        Action::Order(endpoint, order) => smol::spawn(send_order(daemon, endpoint, order)).detach(),
        Action::Members(row) => {
            let members = row.members.len();
            tracing::info!(
                "member: Failure domain {domain} has {members} members at epoch {}.",
                row.epoch
            );
            daemon.metrics.record_epoch(domain.as_str(), row.epoch);
            daemon.change_routing(|routing| routing.apply_members(domain, row));
        }
        Action::Ownership { endpoint, fence: Some(fence) } => {
            let (epoch, rank) = (fence.epoch(), fence.rank());
            tracing::info!(
                "owner: Claiming endpoint {endpoint} at epoch {epoch} with rank {rank}."
            );
        }
        Action::Ownership { endpoint, fence: None } => {
            tracing::info!("owner: Gave up endpoint {endpoint}.");
        }
        Action::FetchUsageProfiles(endpoint) => {
            smol::spawn(fetch_usage_profiles(daemon, endpoint)).detach()
        }
        Action::StoreUsageProfiles(endpoint, profiles) => {
            smol::spawn(store_usage_profiles(daemon, endpoint, profiles)).detach();
        }
        Action::Left => {
            tracing::info!("member: Left failure domain {domain}.");
            if domain.as_str() == daemon.settings.domain {
                daemon.record_left();
            }
        }
        Action::Answer(..) => {}
    }
}

async fn read(daemon: Arc<Daemon>, domain: DomainName, purpose: ReadPurpose, keys: Vec<RowKey>) {
    daemon.metrics.record_table_read();
    let rows = match daemon.platform.read(&keys).await {
        Ok(rows) => {
            daemon.record_platform_answer();
            Some(rows)
        }
        Err(error) => {
            tracing::warn!("platform: A read of the table failed: {error}.");
            None
        }
    };
    daemon.send_domain_event(domain, Event::Read(purpose, rows));
}

async fn commit(daemon: Arc<Daemon>, domain: DomainName, purpose: CommitPurpose, txn: Txn) {
    daemon.metrics.record_table_write();
    let outcome = daemon.platform.commit(&txn).await;
    if outcome == CommitOutcome::Unknown {
        tracing::warn!("platform: The outcome of a write is unknown; it will be read back.");
    } else {
        daemon.record_platform_answer();
    }
    daemon.send_domain_event(domain, Event::Committed(purpose, outcome));
}

async fn probe(daemon: Arc<Daemon>, vm: VmName, address: String, endpoint: EndpointName) {
    let owns = daemon.peers.owns(&address, endpoint.as_str()).await.ok();
    daemon.send_event(Event::Probed { vm, endpoint, owns });
}

async fn fetch_usage_profiles(daemon: Arc<Daemon>, endpoint: EndpointName) {
    let content = daemon.platform.get_object(&usage_profiles_object(endpoint.as_str())).await;
    let wire =
        content.ok().and_then(|content| serde_json::from_slice::<WireUsageProfiles>(&content).ok());
    if let Some(wire) = wire {
        daemon.send_event(Event::UsageProfiles(endpoint, wire.into()));
    }
}

async fn store_usage_profiles(
    daemon: Arc<Daemon>,
    endpoint: EndpointName,
    profiles: BTreeMap<ModelName, UsageProfile>,
) {
    let Ok(content) = serde_json::to_vec(&WireUsageProfiles::from(&profiles)) else { return };
    let stored =
        daemon.platform.put_object(&usage_profiles_object(endpoint.as_str()), &content).await;
    if let Err(error) = stored {
        tracing::debug!(
            "owner: The usage profiles of endpoint {endpoint} could not be stored: {error}."
        );
    }
}

async fn notify(daemon: Arc<Daemon>, address: String, endpoint: EndpointName) {
    if let Err(error) = daemon.peers.row_changed(&address, endpoint.as_str()).await {
        tracing::debug!(
            "owner: A successor could not be notified of a change at endpoint {endpoint}: {error}."
        );
    }
}

async fn send_order(daemon: Arc<Daemon>, endpoint: EndpointName, order: Order) {
    tracing::debug!("owner: Sending the order {:?} to endpoint {endpoint}.", order.kind);
    let url = daemon.routing().config.engine_urls.get(&endpoint).cloned();
    let outcome = match url {
        Some(url) => daemon.engine.order(&url, &order).await,
        None => OrderOutcome::Unknown,
    };
    match &outcome {
        OrderOutcome::Accepted(_) => {}
        OrderOutcome::Refused(fence) => {
            tracing::warn!(
                "owner: Endpoint {endpoint} refused an order; it has accepted fencing number {}.",
                fence.as_u64()
            );
        }
        OrderOutcome::Impossible(_) => {
            tracing::warn!("owner: Endpoint {endpoint} cannot execute the order {:?}.", order.kind);
        }
        OrderOutcome::Unknown => {
            tracing::warn!("owner: Endpoint {endpoint} did not answer an order.")
        }
    }
    daemon.send_event(Event::OrderResult { endpoint, fence: order.fence, outcome });
}
