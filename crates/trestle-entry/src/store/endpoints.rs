//! Follows the list of live endpoints in the store.

use crate::{
    connection_loss,
    daemon::Daemon,
    departures, logs,
    store::follow::{self, FollowedTable},
};
use std::{collections::BTreeSet, fmt::Display, sync::Arc};
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    endpoint::Endpoint,
    listing::{ListUpdate, ListedEntry, Source},
    local_view::{ListOrigin, ListSource, LocalView},
    store::{Row, RowChange, RowPage},
    store_version::StoreVersion,
};

/// A leader's pause after each answer, per 100 listed endpoints, and its shortest pause. The pause
/// lets one answer hold several changes: the more endpoints there are, the more often one changes.
/// It is far below the time after which a draining endpoint must get no more work.
const LEADER_PAUSE_MS: u64 = 120;
/// Longest pause of a leader after an answer.
const MAX_LEADER_PAUSE_MS: u64 = 400;
/// Pause after each answer of a daemon that follows the list only until it receives updates from a
/// leader again. All daemons do so at the same time then, and they share the calls that the store
/// can serve.
const OUTAGE_PAUSE_MS: u64 = 450;
/// Most added and most removed endpoints that the log line about a whole list names.
const MAX_LOGGED_NAMES: usize = 8;

/// Follows the list until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    departures::wait_for_rows(&daemon).await;
    let followed = FollowedTable {
        table: daemon.wire.store.endpoint_table,
        pause_ms: || match daemon.freshness.is_leader() {
            true => leader_pause_ms(&daemon),
            false => OUTAGE_PAUSE_MS,
        },
        after: |last: Option<StoreVersion>| {
            let version = daemon.shared_view.with(|local_view| local_view.listing.version());
            last.filter(|_| !daemon.freshness.must_reread()).map(|_| version)
        },
        on_read: |page: RowPage, _| {
            let version = page.version;
            match apply_read(&daemon, parse_list(&daemon, page.rows.into_iter(), version)) {
                true => daemon.freshness.record_full_list_read(),
                false => {
                    let known = daemon.shared_view.with(|local_view| local_view.listing.version());
                    tracing::info!(
                        version = version.number,
                        era = version.era,
                        known = known.number,
                        known_era = known.era,
                        "endpoint: An older list was read."
                    );
                }
            }
        },
        on_changes: |changes, version, _| {
            apply_read(&daemon, parse_changes(&daemon, changes, version));
        },
        on_failure: || {
            let now_ms = daemon.shared_view.now_ms();
            daemon.shared_view.with(|local_view| local_view.directory.record_read(false, now_ms));
        },
    };
    follow::run(&daemon, followed).await;
}

/// Returns a leader's pause after each answer, by the number of listed endpoints.
fn leader_pause_ms(daemon: &Daemon) -> u64 {
    let endpoints =
        daemon.shared_view.with(|local_view| local_view.directory.iter().count()) as u64;
    (LEADER_PAUSE_MS * endpoints / 100).clamp(LEADER_PAUSE_MS, MAX_LEADER_PAUSE_MS)
}

/// Applies what this daemon has read about endpoints from the store. Returns whether it is a whole
/// list that is not older than the one known here.
fn apply_read(daemon: &Daemon, update: ListUpdate) -> bool {
    let now_ms = daemon.shared_view.now_ms();
    daemon.freshness.record_endpoints_read(now_ms);
    apply_update(
        daemon,
        update,
        Source::Store,
        ListOrigin { source: ListSource::Store, known_ms: now_ms },
    )
}

/// Applies an update of the list that a leader passed on, which leaves out the models that engines
/// hold. The update was current `age_ms` ago.
pub(crate) fn apply_relayed(daemon: &Daemon, update: ListUpdate, age_ms: u64) {
    let known_ms = daemon.shared_view.now_ms().saturating_sub(age_ms);
    apply_update(
        daemon,
        update,
        Source::Leader,
        ListOrigin { source: ListSource::Leader, known_ms },
    );
}

/// Applies an update of the list, records its source, and detects endpoints that crashed or were
/// replaced. Returns whether it is a whole list.
fn apply_update(
    daemon: &Daemon,
    mut update: ListUpdate,
    source: Source,
    origin: ListOrigin,
) -> bool {
    let now_ms = daemon.shared_view.now_ms();
    for (entry, error) in update.reject_unusable() {
        report_rejected(daemon, &entry.key, entry.version, &error);
    }
    let mut added = Vec::new();
    let (is_whole, has_changes) = daemon.shared_view.with(|local_view| {
        local_view.directory.record_read(true, now_ms);
        local_view.list_origin = origin;
        log_outdated(daemon, local_view, &update, origin.source);
        let is_restored = local_view.listing.begins_era(&update);
        if is_restored {
            local_view.directory.store_restored(now_ms);
        }
        let newer = local_view.listing.apply(update, source);
        let is_whole = newer.is_whole;
        let has_changes = is_whole || !newer.written.is_empty() || !newer.removed.is_empty();
        added = apply_newer(local_view, newer, source, is_restored, now_ms);
        if has_changes {
            local_view.observe_versions(now_ms);
        }
        (is_whole, has_changes)
    });
    if has_changes {
        added.iter().for_each(|endpoint| connection_loss::handle_new_endpoint(daemon, endpoint));
        connection_loss::handle_removed(daemon);
        daemon.shared_view.change(|local_view| local_view.forget_unlisted());
    }
    is_whole
}

/// Applies the entries of an update that are newer than those known here; `is_restored` says that
/// the update is the first since the store was restored from a copy. Returns the endpoints that are
/// new.
fn apply_newer(
    local_view: &mut LocalView,
    newer: ListUpdate,
    source: Source,
    is_restored: bool,
    now_ms: u64,
) -> Vec<Endpoint> {
    let ListUpdate { is_whole, written, removed, version } = newer;
    let mut added = Vec::new();
    if is_whole {
        log_whole_list(local_view, &written, &removed, version);
        local_view.is_list_read = true;
    }
    for entry in written {
        let (endpoint, version) = (&entry.endpoint, entry.version);
        let (name, number) = (endpoint.name.clone(), endpoint.entry_number);
        // A whole list may hold hundreds of endpoints, and every daemon reads it. One log line
        // covers it, except for endpoints that are draining.
        if !is_whole || endpoint.is_draining {
            log_change(local_view.directory.get(&name), endpoint, version);
        }
        let new = Some(endpoint)
            .filter(|endpoint| !local_view.directory.contains(&endpoint.incarnation()));
        let new = new.cloned();
        if is_restored && local_view.directory.has_left(endpoint) {
            tracing::info!(
                endpoint = %name, number, version = version.number, era = version.era,
                "endpoint: Ignored an entry of the restored store; the endpoint had left before."
            );
            local_view.listing.mark_unusable(&entry.key, version);
        } else if local_view.apply_entry(entry, source) {
            added.extend(new);
        } else {
            let message =
                "endpoint: Ignored an entry that was written before its removal from the list.";
            tracing::info!(
                endpoint = %name, number, version = version.number, era = version.era, "{message}"
            );
        }
    }
    for (name, removal_version) in removed {
        let name = EndpointName::from(name);
        if !is_whole {
            tracing::info!(
                endpoint = %name, version = removal_version.number, era = removal_version.era,
                "endpoint: Gone from the list."
            );
        }
        local_view.directory.apply_removal(&name, now_ms);
    }
    added
}

/// Logs and counts the entries of an update that are ignored because newer ones are known.
fn log_outdated(daemon: &Daemon, local_view: &LocalView, update: &ListUpdate, source: ListSource) {
    let mut outdated = local_view.listing.outdated(update);
    let Some((endpoint, version, known)) = outdated.next() else { return };
    let count = 1 + outdated.count();
    daemon.metrics.record_outdated_entries(count);
    tracing::info!(
        count,
        endpoint,
        version = version.number,
        era = version.era,
        known = known.number,
        known_era = known.era,
        from = source.name(),
        "endpoint: Ignored entries that are older than the known ones."
    );
}

/// Logs that a whole list was read, with some of the endpoints that it adds and removes.
fn log_whole_list(
    local_view: &LocalView,
    written: &[ListedEntry],
    removed: &[(String, StoreVersion)],
    version: StoreVersion,
) {
    let count = written.len();
    let is_new = |entry: &&ListedEntry| local_view.directory.get(&entry.endpoint.name).is_none();
    let new = written.iter().filter(is_new).take(MAX_LOGGED_NAMES);
    let added: Vec<&str> = new.map(|entry| entry.key.as_str()).collect();
    let removed: Vec<&str> =
        removed.iter().take(MAX_LOGGED_NAMES).map(|(key, _)| key.as_str()).collect();
    let software: BTreeSet<(&str, &str)> = written
        .iter()
        .filter_map(|ListedEntry { endpoint, .. }| {
            Some((endpoint.service.as_str(), endpoint.software_version.as_ref()?.as_str()))
        })
        .collect();
    let software: Vec<_> = software.into_iter().take(MAX_LOGGED_NAMES).collect();
    tracing::info!(
        count, version = version.number, era = version.era, came = ?added, gone = ?removed,
        ?software, "endpoint: The list was read."
    );
}

/// Converts the rows of a whole list. Rows that cannot be read are left out.
fn parse_list(
    daemon: &Daemon,
    rows: impl Iterator<Item = Row>,
    version: StoreVersion,
) -> ListUpdate {
    let written = rows.filter_map(|row| {
        let endpoint = parse_entry(daemon, &row)?;
        Some(ListedEntry { key: row.key.key, endpoint, version: row.version })
    });
    ListUpdate { is_whole: true, written: written.collect(), removed: Vec::new(), version }
}

/// Converts changes of the list that lead up to a version.
fn parse_changes(daemon: &Daemon, changes: Vec<RowChange>, version: StoreVersion) -> ListUpdate {
    let mut update =
        ListUpdate { is_whole: false, written: Vec::new(), removed: Vec::new(), version };
    for change in changes {
        match change {
            RowChange::Written(row) => {
                match parse_entry(daemon, &row) {
                    Some(endpoint) => {
                        let (key, version) = (row.key.key, row.version);
                        update.written.push(ListedEntry { key, endpoint, version });
                    }
                    // The entry replaces the previous one and cannot be used, so the endpoint
                    // counts as removed.
                    None => update.removed.push((row.key.key, row.version)),
                }
            }
            // A removal without a version of its own gets the version of the answer.
            RowChange::Removed(key, removal_version) => {
                let has_version = removal_version.number > 0;
                let version = if has_version { removal_version } else { version };
                update.removed.push((key.key, version));
            }
        }
    }
    update
}

/// Parses an entry of the list. Returns `None` after logging the error if that fails.
fn parse_entry(daemon: &Daemon, row: &Row) -> Option<Endpoint> {
    match (daemon.wire.store.read_endpoint)(&row.key.key, &row.value) {
        Ok(endpoint) => Some(endpoint),
        Err(error) => {
            report_rejected(daemon, &row.key.key, row.version, &error);
            None
        }
    }
}

/// Logs and counts an entry that names no usable endpoint, once for each time that it is written.
fn report_rejected(daemon: &Daemon, key: &str, version: StoreVersion, error: &impl Display) {
    let is_new =
        daemon.shared_view.with(|local_view| local_view.rejected_entries.record(key, version));
    if is_new {
        daemon.metrics.record_unreadable_entry();
        let (error, version) = (logs::shortened(error), version.number);
        tracing::error!(error, key, version, "endpoint: An entry is not understood.");
    }
}

/// Logs what a new entry changes: that its endpoint is listed, is draining, has started again, or
/// holds other models.
fn log_change(known: Option<&Endpoint>, new: &Endpoint, version: StoreVersion) {
    let StoreVersion { era, number: version } = version;
    let was_draining = known.map(|known| known.is_draining);
    let (endpoint, started_unix_ms) = (&new.name, new.started_unix_ms);
    if was_draining != Some(new.is_draining) {
        let (address, is_draining) = (new.address, new.is_draining);
        let software = new.software_version.as_ref().map(AsRef::<str>::as_ref);
        tracing::info!(
            %endpoint, born_ms = started_unix_ms, %address, software, leaving = is_draining, version, era,
            "endpoint: Listed."
        );
    }
    if let Some(before) = known.filter(|known| known.started_unix_ms != started_unix_ms) {
        let before_ms = before.started_unix_ms;
        tracing::info!(
            %endpoint, born_ms = started_unix_ms, before_ms, version, era,
            "endpoint: It has started again."
        );
    }
    if known.is_some_and(|known| known.held.keys().ne(new.held.keys())) {
        let held: Vec<&str> = new.held.keys().map(AsRef::as_ref).collect();
        tracing::debug!(%endpoint, ?held, version, "endpoint: It holds other models now.");
    }
}
