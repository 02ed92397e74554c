//! Follows the members of the other failure domains.

use crate::daemon::Daemon;
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_core::{
    names::DomainName,
    row::{Row, RowKey, Versioned},
};

/// Follows the members of other domains until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let interval = Duration::from_millis(daemon.settings.intervals.lease_ms);
    loop {
        follow(&daemon).await;
        Timer::after(interval).await;
    }
}

async fn follow(daemon: &Daemon) {
    let own = DomainName::from(daemon.settings.domain.as_str());
    let names = daemon.routing().domain_names();
    let keys: Vec<RowKey> =
        names.into_iter().filter(|name| *name != own).map(RowKey::Membership).collect();
    if keys.is_empty() {
        return;
    }
    daemon.metrics.table_read();
    match daemon.platform.read(&keys).await {
        Ok(rows) => daemon.change_routing(|routing| {
            for (key, Versioned { row, .. }) in rows {
                if let (RowKey::Membership(domain), Some(Row::Membership(row))) = (key, row) {
                    routing.take_members(domain, row);
                }
            }
        }),
        Err(error) => tracing::debug!("member: Other domains cannot be read: {error}."),
    }
}
