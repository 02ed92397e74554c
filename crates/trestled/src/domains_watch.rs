//! Keeps the members of the other failure domains up to date.
//!
//! They are read from the platform's table or, while that cannot be read, requested from a member
//! of each domain.

use crate::daemon::Daemon;
use futures_lite::FutureExt;
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_core::{
    names::DomainName,
    row::{Row, RowKey, Versioned},
};

/// Interval of the reads, in lease intervals. Requests that find no owner cause an earlier read.
const LEASES_PER_READ: u32 = 3;
/// Delay of a read that was requested, which limits how often such reads are made.
const REFRESH_DELAY: Duration = Duration::from_millis(100);

/// Reads the members of other failure domains until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let interval = LEASES_PER_READ * Duration::from_millis(daemon.settings.intervals.lease_ms);
    loop {
        update(&daemon).await;
        let due = async {
            Timer::after(interval).await;
        };
        let requested = async {
            let _ = daemon.domain_refresh_requests.recv().await;
            Timer::after(REFRESH_DELAY).await;
        };
        due.or(requested).await;
    }
}

async fn update(daemon: &Daemon) {
    let own_domain = DomainName::from(daemon.settings.domain.as_str());
    let names = daemon.routing().domain_names();
    let others: Vec<DomainName> = names.into_iter().filter(|name| *name != own_domain).collect();
    if others.is_empty() {
        return;
    }
    daemon.metrics.record_table_read();
    let keys: Vec<RowKey> = others.iter().cloned().map(RowKey::Membership).collect();
    match daemon.platform.read(&keys).await {
        Ok(rows) => daemon.change_routing(|routing| {
            for (key, Versioned { row, .. }) in rows {
                if let (RowKey::Membership(domain), Some(Row::Membership(row))) = (key, row) {
                    routing.apply_members(domain, row);
                }
            }
        }),
        Err(error) => {
            tracing::debug!(
                "member: The members of other failure domains cannot be read: {error}."
            );
            for domain in others {
                fetch_from_member(daemon, domain).await;
            }
        }
    }
}

/// Requests the members of a failure domain from one of them.
async fn fetch_from_member(daemon: &Daemon, domain: DomainName) {
    let routing = daemon.routing();
    let known = routing.domains.get(&domain).map(|row| row.members.values());
    let addresses: Vec<&str> =
        known.into_iter().flatten().map(|member| member.address.as_str()).collect();
    let Some(address) = addresses.get(fastrand::usize(..addresses.len().max(1))) else { return };
    match daemon.peers.members(address).await {
        Ok(Some(row)) => daemon.change_routing(|routing| routing.apply_members(domain, row)),
        Ok(None) => {}
        Err(error) => {
            tracing::debug!("member: A member of failure domain {domain} does not answer: {error}.")
        }
    }
}
