//! Follows the list of live endpoints.

use crate::{
    broken,
    daemon::Daemon,
    departures,
    store::follow::{self, Followed},
};
use std::sync::Arc;
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    endpoint::Endpoint,
    listing::{ListUpdate, ListedEntry, Source},
    local_view::{ListOrigin, ListSource, LocalView},
    store::{Row, RowChange, RowPage},
};

/// Pause of a leader after each answer for each hundred endpoints; far below the time in which
/// a leaving endpoint must get no more work. Among more of them something changes all the time.
const GATHER_MS: u64 = 120;
/// Longest such pause.
const MOST_GATHER_MS: u64 = 400;
/// The same for a daemon that follows the list only until it hears from a leader again:
/// all daemons do so at once then, and the store's calls are shared by all.
const ALONE_GATHER_MS: u64 = 450;
/// Endpoints that the line about a whole list names.
const MOST_NAMED: usize = 8;

/// Follows the list until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    departures::wait_for_rows(&daemon).await;
    let followed = Followed {
        table: daemon.wire.store.endpoint_table,
        gather_ms: || match daemon.freshness.is_leader() {
            true => leader_gather_ms(&daemon),
            false => ALONE_GATHER_MS,
        },
        after: |last: Option<u64>| {
            let version = daemon.knowledge.with(|local_view| local_view.listing.version());
            last.filter(|_| !daemon.freshness.must_reread()).map(|_| version)
        },
        on_read: |page: RowPage, _| {
            let version = page.version;
            match read(&daemon, to_news(&daemon, page.rows.into_iter(), version)) {
                true => daemon.freshness.whole_list_read(),
                false => tracing::info!(version, "endpoint: An older list was read."),
            }
        },
        on_changes: |changes, version, _| {
            read(&daemon, changed(&daemon, changes, version));
        },
        on_failure: || {
            let now_ms = daemon.knowledge.now_ms();
            daemon.knowledge.with(|local_view| local_view.directory.record_read(false, now_ms));
        },
    };
    follow::run(&daemon, followed).await;
}

fn leader_gather_ms(daemon: &Daemon) -> u64 {
    let endpoints = daemon.knowledge.with(|local_view| local_view.directory.iter().count()) as u64;
    (GATHER_MS * endpoints / 100).clamp(GATHER_MS, MOST_GATHER_MS)
}

/// Takes what this daemon has read of endpoints; returns whether it is a whole list that is not
/// older than what is known.
fn read(daemon: &Daemon, news: ListUpdate) -> bool {
    let now_ms = daemon.knowledge.now_ms();
    daemon.freshness.endpoints_read(now_ms);
    take(daemon, news, Source::Store, ListOrigin { source: ListSource::Store, known_ms: now_ms })
}

/// Takes what another daemon passes on of endpoints, without what engines hold.
pub(crate) fn take_passed_on(daemon: &Daemon, news: ListUpdate, age_ms: u64) {
    let known_ms = daemon.knowledge.now_ms().saturating_sub(age_ms);
    take(daemon, news, Source::Leader, ListOrigin { source: ListSource::Leader, known_ms });
}

fn take(daemon: &Daemon, news: ListUpdate, source: Source, heard: ListOrigin) -> bool {
    let now_ms = daemon.knowledge.now_ms();
    let mut came = Vec::new();
    let (is_whole, is_news) = daemon.knowledge.with(|local_view| {
        local_view.directory.record_read(true, now_ms);
        local_view.list_origin = heard;
        let fresh = local_view.listing.apply(news, source);
        let is_whole = fresh.is_whole;
        let is_news = is_whole || !fresh.written.is_empty() || !fresh.removed.is_empty();
        came = apply(local_view, fresh, source, now_ms);
        (is_whole, is_news)
    });
    if is_news {
        came.iter().for_each(|endpoint| broken::note_came(daemon, endpoint));
        broken::note_gone(daemon);
        daemon.knowledge.change(|local_view| local_view.forget_unlisted());
    }
    is_whole
}

/// Applies news; returns endpoints that have come.
fn apply(
    local_view: &mut LocalView,
    fresh: ListUpdate,
    source: Source,
    now_ms: u64,
) -> Vec<Endpoint> {
    let ListUpdate { is_whole, written, removed, version } = fresh;
    let mut came = Vec::new();
    if is_whole {
        note_whole(local_view, &written, &removed, version);
        local_view.is_list_read = true;
    }
    for entry in written {
        let (endpoint, version) = (&entry.endpoint, entry.version);
        let (name, number) = (endpoint.name.clone(), endpoint.entry_number);
        // A whole list is one line: it names hundreds, at every daemon.
        if !is_whole || endpoint.is_draining {
            log_change(local_view.directory.get(&name), endpoint, version);
        }
        let new = Some(endpoint)
            .filter(|endpoint| !local_view.directory.contains(&endpoint.incarnation()));
        let new = new.cloned();
        if local_view.apply_entry(entry, source) {
            came.extend(new);
        } else {
            let message = "endpoint: An entry of before its removal came late.";
            tracing::info!(endpoint = %name, number, version, "{message}");
        }
    }
    for (name, at) in removed {
        let name = EndpointName::from(name);
        if !is_whole {
            tracing::info!(endpoint = %name, version = at, "endpoint: Gone from the list.");
        }
        local_view.directory.apply_removal(&name, now_ms);
    }
    came
}

/// Notes a whole list, and some of the endpoints that come and go with it.
fn note_whole(
    local_view: &LocalView,
    written: &[ListedEntry],
    removed: &[(String, u64)],
    version: u64,
) {
    let count = written.len();
    let is_new = |entry: &&ListedEntry| local_view.directory.get(&entry.endpoint.name).is_none();
    let new = written.iter().filter(is_new).take(MOST_NAMED);
    let came: Vec<&str> = new.map(|entry| entry.key.as_str()).collect();
    let gone: Vec<&str> = removed.iter().take(MOST_NAMED).map(|(key, _)| key.as_str()).collect();
    tracing::info!(count, version, ?came, ?gone, "endpoint: The list was read.");
}

fn to_news(daemon: &Daemon, rows: impl Iterator<Item = Row>, version: u64) -> ListUpdate {
    let written = rows.filter_map(|row| {
        let endpoint = understood(daemon, &row)?;
        Some(ListedEntry { key: row.key.key, endpoint, version: row.version })
    });
    ListUpdate { is_whole: true, written: written.collect(), removed: Vec::new(), version }
}

fn changed(daemon: &Daemon, changes: Vec<RowChange>, version: u64) -> ListUpdate {
    let mut news =
        ListUpdate { is_whole: false, written: Vec::new(), removed: Vec::new(), version };
    for change in changes {
        match change {
            RowChange::Written(row) => {
                match understood(daemon, &row) {
                    Some(endpoint) => {
                        let (key, version) = (row.key.key, row.version);
                        news.written.push(ListedEntry { key, endpoint, version });
                    }
                    // What it said before is no longer there, and this names no endpoint to use.
                    None => news.removed.push((row.key.key, row.version)),
                }
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
            daemon.metrics.unread_entry();
            let (key, version) = (&row.key.key, row.version);
            tracing::error!(%error, key, version, "endpoint: An entry is not understood.");
            None
        }
    }
}

fn log_change(known: Option<&Endpoint>, now: &Endpoint, version: u64) {
    let was_leaving = known.map(|known| known.is_draining);
    let (endpoint, born_ms) = (&now.name, now.started_unix_ms);
    if was_leaving != Some(now.is_draining) {
        let (address, leaving) = (now.address, now.is_draining);
        tracing::info!(%endpoint, born_ms, %address, leaving, version, "endpoint: Listed.");
    }
    if let Some(before) = known.filter(|known| known.started_unix_ms != born_ms) {
        let before_ms = before.started_unix_ms;
        tracing::info!(%endpoint, born_ms, before_ms, version, "endpoint: It has started again.");
    }
    if known.is_some_and(|known| known.held.keys().ne(now.held.keys())) {
        let held: Vec<&str> = now.held.keys().map(AsRef::as_ref).collect();
        tracing::debug!(%endpoint, ?held, version, "endpoint: Holds other models.");
    }
}
