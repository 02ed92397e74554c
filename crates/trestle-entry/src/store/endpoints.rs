//! Follows the list of live endpoints.

use crate::{
    daemon::Daemon,
    store::follow::{self, Followed},
};
use std::sync::Arc;
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    beliefs::Beliefs,
    endpoint::Endpoint,
    mirror::News,
    store::{Row, RowChange, RowPage},
};

/// Pause of the leader after each answer; far below the time in which a leaving
/// endpoint must get no more work.
const GATHER_MS: u64 = 120;
/// The same for a daemon that follows the list only until it hears from a leader again:
/// all daemons do so at once then, and the store's calls are shared by all.
const ALONE_GATHER_MS: u64 = 450;

/// Follows the list until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let followed = Followed {
        table: daemon.wire.store.endpoint_table,
        gather_ms: || if daemon.freshness.is_leader() { GATHER_MS } else { ALONE_GATHER_MS },
        after: |_| {
            let version = daemon.knowledge.with(|beliefs| beliefs.mirror.version());
            (version > 0 && !daemon.freshness.must_reread()).then_some(version)
        },
        on_read: |page: RowPage| {
            read(&daemon, to_news(&daemon, page.rows.into_iter(), page.version));
            daemon.freshness.whole_list_read();
        },
        on_changes: |changes, version| read(&daemon, changed(&daemon, changes, version)),
        on_failure: || {
            let now_ms = daemon.knowledge.now_ms();
            daemon.knowledge.with(|beliefs| beliefs.directory.read(false, now_ms));
        },
    };
    follow::run(&daemon, followed).await;
}

fn read(daemon: &Daemon, news: News<Endpoint>) {
    daemon.freshness.endpoints_read(daemon.knowledge.now_ms());
    take(daemon, news);
}

/// Takes what the store says of endpoints, by whatever way it came.
pub(crate) fn take(daemon: &Daemon, news: News<Endpoint>) {
    let now_ms = daemon.knowledge.now_ms();
    let is_news = daemon.knowledge.with(|beliefs| {
        beliefs.directory.read(true, now_ms);
        let fresh = beliefs.mirror.take(news);
        let is_news = fresh.is_whole || !fresh.written.is_empty() || !fresh.removed.is_empty();
        if is_news {
            apply(beliefs, fresh, now_ms);
        }
        is_news
    });
    if is_news {
        daemon.knowledge.change(|beliefs| beliefs.forget_gone());
    }
}

fn apply(beliefs: &mut Beliefs, news: News<Endpoint>, now_ms: u64) {
    let version = news.version;
    if news.is_whole {
        let count = news.written.len();
        let endpoints = news.written.into_iter().map(|(_, endpoint, _)| endpoint).collect();
        beliefs.directory.replaced(endpoints, now_ms);
        beliefs.is_listed = true;
        tracing::info!(count, version, "endpoint: The list was read.");
        return;
    }
    for (_, endpoint, _) in news.written {
        log_change(beliefs.directory.get(&endpoint.name), &endpoint, version);
        beliefs.directory.written(endpoint);
    }
    for (name, _) in news.removed {
        let name = EndpointName::from(name);
        tracing::info!(endpoint = %name, version, "endpoint: Gone from the list.");
        beliefs.directory.removed(&name, now_ms);
    }
}

fn to_news(daemon: &Daemon, rows: impl Iterator<Item = Row>, version: u64) -> News<Endpoint> {
    let written = rows.filter_map(|row| {
        let endpoint = understood(daemon, &row)?;
        Some((row.key.key, endpoint, row.version))
    });
    News { is_whole: true, written: written.collect(), removed: Vec::new(), version }
}

fn changed(daemon: &Daemon, changes: Vec<RowChange>, version: u64) -> News<Endpoint> {
    let mut news = News { is_whole: false, written: Vec::new(), removed: Vec::new(), version };
    for change in changes {
        match change {
            RowChange::Written(row) => {
                let Some(endpoint) = understood(daemon, &row) else { continue };
                news.written.push((row.key.key, endpoint, row.version));
            }
            // A removal without a version of its own is as new as the answer.
            RowChange::Removed(key, 0) => news.removed.push((key.key, version)),
            RowChange::Removed(key, at) => news.removed.push((key.key, at)),
        }
    }
    news
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
