//! Follows the operators' configuration.

use crate::{daemon::Daemon, store::client::Follower};
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_dispatch::store::{Feed, Row, RowChange};

/// Time for which the store holds a wait for changes. A wait that the store will
/// never answer is noticed soon after, well within the time in which a daemon must
/// catch up with what it missed.
const WAIT_MS: u64 = 2_000;
/// Pause after a call that failed.
const FAILED_MS: u64 = 250;

/// Follows the configuration until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let (table, _) = daemon.wire.store.config_row;
    let follower = daemon.store.follower(table);
    let mut after = None;
    let mut is_lost = false;
    loop {
        let outcome = step(&daemon, &follower, after).await;
        if is_lost != outcome.is_err() {
            is_lost = outcome.is_err();
            match &outcome {
                Ok(_) => tracing::info!("config: The store is followed again."),
                Err(error) => tracing::warn!(%error, "config: The store cannot be followed."),
            }
        }
        match outcome {
            Ok(next) => after = next,
            Err(_) => {
                Timer::after(Duration::from_millis(FAILED_MS)).await;
            }
        }
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
        page.rows.iter().for_each(|row| take(daemon, row));
        return Ok(Some(page.version));
    };
    match follower.follow(after, WAIT_MS).await? {
        Feed::Forgotten => {
            tracing::info!(after, "config: The store's history is gone; reading anew.");
            Ok(None)
        }
        Feed::Changes(changes, version) => {
            for change in &changes {
                if let RowChange::Written(row) = change {
                    take(daemon, row);
                }
            }
            Ok(Some(version))
        }
    }
}

/// Puts a configuration in force if it is newer than the one that is.
fn take(daemon: &Daemon, row: &Row) {
    let (_, key) = daemon.wire.store.config_row;
    if row.key.key != key {
        return;
    }
    let catalog = match (daemon.wire.store.read_config)(&row.value) {
        Ok(catalog) => catalog,
        Err(error) => {
            tracing::error!(%error, "config: A configuration is not understood; the old one stays.");
            return;
        }
    };
    let in_force = daemon.knowledge.catalog().map_or(0, |catalog| catalog.version);
    if catalog.version <= in_force {
        return;
    }
    let (version, routes) = (catalog.version, catalog.routes.iter().count());
    daemon.knowledge.change(|beliefs| beliefs.catalog = Some(Arc::new(catalog)));
    daemon.metrics.config_version(version);
    tracing::info!(version, routes, from = in_force, "config: A configuration is in force.");
}
