//! Follows the list of live endpoints.

use crate::{
    broken,
    daemon::Daemon,
    store::follow::{self, Followed},
};
use std::{collections::BTreeSet, sync::Arc};
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    beliefs::{Beliefs, ListHeard, ListWay},
    directory::Directory,
    endpoint::Endpoint,
    mirror::News,
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
    let followed = Followed {
        table: daemon.wire.store.endpoint_table,
        gather_ms: || match daemon.freshness.is_leader() {
            true => leader_gather_ms(&daemon),
            false => ALONE_GATHER_MS,
        },
        after: |last: Option<u64>| {
            let version = daemon.knowledge.with(|beliefs| beliefs.mirror.version());
            last.filter(|_| !daemon.freshness.must_reread()).map(|_| version)
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

fn leader_gather_ms(daemon: &Daemon) -> u64 {
    let endpoints = daemon.knowledge.with(|beliefs| beliefs.directory.iter().count()) as u64;
    (GATHER_MS * endpoints / 100).clamp(GATHER_MS, MOST_GATHER_MS)
}

fn read(daemon: &Daemon, news: News<Endpoint>) {
    daemon.freshness.endpoints_read(daemon.knowledge.now_ms());
    take(daemon, news);
}

/// Takes what this daemon has read of endpoints.
fn take(daemon: &Daemon, news: News<Endpoint>) {
    let now_ms = daemon.knowledge.now_ms();
    let is_news = daemon.knowledge.with(|beliefs| {
        beliefs.directory.read(true, now_ms);
        beliefs.list_heard = ListHeard { way: ListWay::Store, known_ms: now_ms };
        let fresh = beliefs.mirror.take(news);
        let identities = identities(beliefs, &fresh);
        beliefs.identities.take(identities);
        let is_news = has_news(&fresh);
        if is_news {
            apply(beliefs, fresh, Directory::written, now_ms);
        }
        is_news
    });
    forget_gone(daemon, is_news);
}

/// Takes what another daemon passes on of endpoints, without what engines hold.
pub(crate) fn take_passed_on(daemon: &Daemon, news: News<Endpoint>, age_ms: u64) {
    let now_ms = daemon.knowledge.now_ms();
    let is_news = daemon.knowledge.with(|beliefs| {
        beliefs.directory.read(true, now_ms);
        let known_ms = now_ms.saturating_sub(age_ms);
        beliefs.list_heard = ListHeard { way: ListWay::Leader, known_ms };
        let fresh = beliefs.identities.take(news);
        let is_news = has_news(&fresh);
        if is_news {
            apply(beliefs, fresh, Directory::listed, now_ms);
        }
        is_news
    });
    forget_gone(daemon, is_news);
}

fn has_news(fresh: &News<Endpoint>) -> bool {
    fresh.is_whole || !fresh.written.is_empty() || !fresh.removed.is_empty()
}

fn forget_gone(daemon: &Daemon, is_news: bool) {
    if is_news {
        broken::note_gone(daemon);
        daemon.knowledge.change(|beliefs| beliefs.forget_gone());
    }
}

/// Of what was read, that which is new to daemons which do not hear what engines hold.
fn identities(beliefs: &Beliefs, fresh: &News<Endpoint>) -> News<Endpoint> {
    let written =
        fresh.written.iter().map(|(key, endpoint, at)| (key.clone(), endpoint.identity(), *at));
    let is_new = |key: &str, identity: &Endpoint| beliefs.identities.get(key) != Some(identity);
    let written =
        written.filter(|(key, identity, _)| fresh.is_whole || is_new(key, identity)).collect();
    News {
        is_whole: fresh.is_whole,
        written,
        removed: fresh.removed.clone(),
        version: fresh.version,
    }
}

fn apply(
    beliefs: &mut Beliefs,
    news: News<Endpoint>,
    take: impl Fn(&mut Directory, Endpoint),
    now_ms: u64,
) {
    let version = news.version;
    let count = news.written.len();
    let listed: Option<BTreeSet<EndpointName>> = news
        .is_whole
        .then(|| news.written.iter().map(|(_, endpoint, _)| endpoint.name.clone()).collect());
    let is_new = |name: &EndpointName| beliefs.directory.get(name).is_none();
    let new = listed.iter().flatten().filter(|name| is_new(name));
    let came: Vec<String> = new.take(MOST_NAMED).map(ToString::to_string).collect();
    for (_, endpoint, _) in news.written {
        // A whole list is one line: it names hundreds, at every daemon.
        if listed.is_none() || endpoint.is_leaving {
            log_change(beliefs.directory.get(&endpoint.name), &endpoint, version);
        }
        let known = beliefs.directory.get(&endpoint.name);
        if known.is_some_and(|known| known.born_ms != endpoint.born_ms) {
            beliefs.records.started_again(&endpoint.name);
        }
        take(&mut beliefs.directory, endpoint);
    }
    if let Some(listed) = listed {
        let gone = differing(beliefs, |endpoint| !listed.contains(&endpoint.name));
        beliefs.directory.keep_listed(&listed, now_ms);
        beliefs.is_listed = true;
        tracing::info!(count, version, ?came, ?gone, "endpoint: The list was read.");
    }
    for (name, _) in news.removed {
        let name = EndpointName::from(name);
        tracing::info!(endpoint = %name, version, "endpoint: Gone from the list.");
        beliefs.directory.removed(&name, now_ms);
    }
}

/// Some of the endpoints in the directory that differ from a list.
fn differing(beliefs: &Beliefs, differs: impl Fn(&Endpoint) -> bool) -> Vec<String> {
    let differing = beliefs.directory.iter().filter(|endpoint| differs(endpoint));
    differing.take(MOST_NAMED).map(|endpoint| endpoint.name.to_string()).collect()
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
                match understood(daemon, &row) {
                    Some(endpoint) => news.written.push((row.key.key, endpoint, row.version)),
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
    let was_leaving = known.map(|known| known.is_leaving);
    let (endpoint, born_ms) = (&now.name, now.born_ms);
    if was_leaving != Some(now.is_leaving) {
        let (address, leaving) = (now.address, now.is_leaving);
        tracing::info!(%endpoint, born_ms, %address, leaving, version, "endpoint: Listed.");
    }
    if let Some(before) = known.filter(|known| known.born_ms != born_ms) {
        let before_ms = before.born_ms;
        tracing::info!(%endpoint, born_ms, before_ms, version, "endpoint: It has started again.");
    }
    if known.is_some_and(|known| known.held.keys().ne(now.held.keys())) {
        let held: Vec<&str> = now.held.keys().map(AsRef::as_ref).collect();
        tracing::debug!(%endpoint, ?held, version, "endpoint: Holds other models.");
    }
}
