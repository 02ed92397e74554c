//! Follows the list of live endpoints.

use crate::{
    daemon::Daemon,
    store::follow::{self, Followed},
};
use std::sync::Arc;
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    endpoint::Endpoint,
    store::{Row, RowChange, RowPage},
};

/// Pause after each answer; far below the time in which a leaving endpoint must get no
/// more work.
const GATHER_MS: u64 = 120;

/// Follows the list until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let followed = Followed {
        table: daemon.wire.store.endpoint_table,
        gather_ms: GATHER_MS,
        on_read: |page| replace(&daemon, &page),
        on_changes: |changes, version| take(&daemon, changes, version),
        on_failure: || {
            let now_ms = daemon.knowledge.now_ms();
            daemon.knowledge.with(|beliefs| beliefs.directory.read(false, now_ms));
        },
    };
    follow::run(&daemon, followed).await;
}

fn replace(daemon: &Daemon, page: &RowPage) {
    let endpoints: Vec<Endpoint> =
        page.rows.iter().filter_map(|row| understood(daemon, row)).collect();
    let now_ms = daemon.knowledge.now_ms();
    let count = endpoints.len();
    daemon.knowledge.change(|beliefs| {
        beliefs.directory.read(true, now_ms);
        beliefs.directory.replaced(endpoints, now_ms);
        beliefs.is_listed = true;
    });
    tracing::info!(count, version = page.version, "endpoint: The list was read.");
}

fn take(daemon: &Daemon, changes: Vec<RowChange>, version: u64) {
    let now_ms = daemon.knowledge.now_ms();
    daemon.knowledge.with(|beliefs| beliefs.directory.read(true, now_ms));
    if changes.is_empty() {
        return;
    }
    daemon.knowledge.change(|beliefs| {
        for change in changes {
            match change {
                RowChange::Written(row) => {
                    let Some(endpoint) = understood(daemon, &row) else { continue };
                    log_change(beliefs.directory.get(&endpoint.name), &endpoint, version);
                    beliefs.directory.written(endpoint);
                }
                RowChange::Removed(key) => {
                    let name = EndpointName::from(key.key);
                    tracing::info!(endpoint = %name, version, "endpoint: Gone from the list.");
                    beliefs.directory.removed(&name, now_ms);
                }
            }
        }
        beliefs.forget_gone();
    });
}

fn understood(daemon: &Daemon, row: &Row) -> Option<Endpoint> {
    match (daemon.wire.store.read_endpoint)(&row.key.key, &row.value) {
        Ok(endpoint) => Some(endpoint),
        Err(error) => {
            tracing::error!(%error, key = row.key.key, "endpoint: An entry is not understood.");
            None
        }
    }
}

fn log_change(known: Option<&Endpoint>, now: &Endpoint, version: u64) {
    let was_leaving = known.map(|known| known.is_leaving);
    if was_leaving != Some(now.is_leaving) {
        let (endpoint, address, leaving) = (&now.name, now.address, now.is_leaving);
        tracing::info!(%endpoint, %address, leaving, version, "endpoint: Listed.");
    }
    if known.is_some_and(|known| known.held.keys().ne(now.held.keys())) {
        let held: Vec<&str> = now.held.keys().map(AsRef::as_ref).collect();
        let endpoint = &now.name;
        tracing::debug!(%endpoint, ?held, version, "endpoint: Holds other models.");
    }
}
