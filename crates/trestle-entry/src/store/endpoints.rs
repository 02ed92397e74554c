//! Follows the list of live endpoints.

use crate::{daemon::Daemon, store::client::Follower};
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    endpoint::Endpoint,
    store::{Feed, Row, RowChange},
};

/// Time for which the store holds a wait for changes; see the configuration's.
const WAIT_MS: u64 = 2_000;
/// Pause after each answer, so that changes that come close together are told in
/// one; far below the time in which a leaving endpoint must get no more work.
const GATHER_MS: u64 = 120;
/// Pause after a call that failed.
const FAILED_MS: u64 = 250;

/// Follows the list until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let follower = daemon.store.follower(daemon.wire.store.endpoint_table);
    let mut after = None;
    let mut is_lost = false;
    loop {
        let outcome = step(&daemon, &follower, after).await;
        if is_lost != outcome.is_err() {
            is_lost = outcome.is_err();
            match &outcome {
                Ok(_) => tracing::info!("endpoint: The list is followed again."),
                Err(error) => tracing::warn!(%error, "endpoint: The list cannot be followed."),
            }
        }
        let pause_ms = match outcome {
            Ok(next) => {
                after = next;
                GATHER_MS
            }
            Err(_) => {
                let now_ms = daemon.knowledge.now_ms();
                daemon.knowledge.with(|beliefs| beliefs.directory.read(false, now_ms));
                FAILED_MS
            }
        };
        Timer::after(Duration::from_millis(pause_ms)).await;
    }
}

/// One read or wait; returns where to go on, `None` if everything must be read anew.
async fn step(
    daemon: &Daemon,
    follower: &Follower<'_>,
    after: Option<u64>,
) -> Result<Option<u64>, crate::store::client::Error> {
    let Some(after) = after else {
        let page = follower.read().await?;
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
        return Ok(Some(page.version));
    };
    match follower.follow(after, WAIT_MS).await? {
        Feed::Forgotten => {
            tracing::info!(after, "endpoint: The store's history is gone; reading anew.");
            Ok(None)
        }
        Feed::Changes(changes, version) => {
            take(daemon, changes, version);
            Ok(Some(version))
        }
    }
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
