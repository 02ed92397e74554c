//! Which versions of its software each service runs or has run.
//!
//! Lists that a leader relays lack the versions of endpoints, so daemons ask for them. The daemon
//! that leads the first group writes the versions that streams may have begun at to a row of the
//! store whenever they change, for daemons that start later.

use crate::{control::message::Leader, daemon::Daemon, peer::calls};
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_core::names::SoftwareVersion;
use trestle_dispatch::{
    endpoint::{Endpoint, Incarnation},
    software_versions::ServiceVersions,
    store::{ConditionalWrite, Row, RowKey, RowPage, WriteOutcome},
    store_version::StoreVersion,
};
use trestle_wire::{
    replicas::ReplicasClient,
    streams::{WireIncarnation, WireVersionsRow},
};

/// Time between two rounds.
const INTERVAL_MS: u64 = 100;
/// Rounds between two observations of the list, besides those at its changes, and between two
/// comparisons of the row with what this daemon knows.
const ROUNDS_PER_OBSERVATION: u64 = 5;
/// Rounds for which no leader may name a version until the list is read from the store.
const ROUNDS_PER_READ: u64 = 20;
/// Most endpoints whose versions are asked for at once.
const MAX_ASKED: usize = 64;
/// The table, partition and key of the row.
const TABLE: &str = "trestle";
const PARTITION: &str = "versions";
const KEY: &str = "software";

/// The row as this daemon last read or wrote it.
#[derive(Debug, Default)]
struct KnownRow {
    version: StoreVersion,
    content: Option<WireVersionsRow>,
    /// Whether the row holds something that this release does not understand.
    is_unreadable: bool,
    /// Whether the row must be read before it can be written.
    must_read: bool,
}

/// Keeps the versions up to date until the process terminates.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut row = KnownRow { must_read: true, ..KnownRow::default() };
    let mut rounds_without_version = 0;
    for round in 0_u64.. {
        if !has_begun(&daemon) {
            begin(&daemon, &mut row).await;
        }
        let is_observed = round.is_multiple_of(ROUNDS_PER_OBSERVATION);
        let unknown = unknown_versions(&daemon);
        rounds_without_version = if unknown.is_empty() { 0 } else { rounds_without_version + 1 };
        if !unknown.is_empty() {
            learn(&daemon, unknown, rounds_without_version).await;
        }
        let now_ms = daemon.shared_view.now_ms();
        if is_observed {
            daemon.shared_view.with(|local_view| {
                local_view.observe_versions(now_ms);
                local_view.stream_origins.cleanup(now_ms);
            });
        }
        if is_observed && leads_first_group(&daemon) {
            update_row(&daemon, &mut row).await;
        }
        Timer::after(Duration::from_millis(INTERVAL_MS)).await;
    }
}

fn has_begun(daemon: &Daemon) -> bool {
    daemon.shared_view.with(|local_view| local_view.software_versions.has_begun())
}

/// Begins with what the row says of the time before this daemon started.
async fn begin(daemon: &Daemon, row: &mut KnownRow) {
    daemon.store.reserve_try().await;
    let earlier = match daemon.store.read(TABLE, PARTITION).await {
        Ok(page) => {
            row.set(&page);
            row.earlier()
        }
        Err(error) => {
            tracing::warn!(%error, "stream: The versions in service cannot be read; streams of before are not continued for a time.");
            None
        }
    };
    let now_ms = daemon.shared_view.now_ms();
    tracing::info!(earlier = ?earlier, "stream: This daemon begins with these versions in service.");
    daemon.shared_view.with(|local_view| {
        let lifetime_ms = local_view.stream_lifetime_ms();
        local_view.software_versions.begin(earlier, lifetime_ms, now_ms);
    });
}

/// Returns the endpoints whose versions this daemon does not know.
fn unknown_versions(daemon: &Daemon) -> Vec<Incarnation> {
    daemon.shared_view.with(|local_view| {
        if !local_view.software_versions.has_unknown() {
            return Vec::new();
        }
        let unknown =
            local_view.directory.iter().filter(|endpoint| endpoint.software_version.is_none());
        unknown.take(MAX_ASKED).map(Endpoint::incarnation).collect()
    })
}

/// Asks the leader for versions, or reads the list if no leader has named them for some rounds.
async fn learn(daemon: &Daemon, unknown: Vec<Incarnation>, rounds: u64) {
    if let Leader::At { address, .. } = calls::leader(daemon, 0).await {
        let wire: Vec<WireIncarnation> = unknown.iter().cloned().map(Into::into).collect();
        let call =
            async |client: ReplicasClient, context| client.endpoint_versions(context, wire).await;
        let versions = daemon.stream_calls.call(address, call).await.unwrap_or_default();
        set_versions(daemon, unknown.into_iter().zip(versions));
    }
    if rounds.is_multiple_of(ROUNDS_PER_READ) && daemon.store.may_try() {
        read_list(daemon).await;
    }
}

/// Reads the versions from the list in the store.
async fn read_list(daemon: &Daemon) {
    let Ok(page) = daemon.store.read(daemon.wire.store.endpoint_table, "").await else { return };
    let read = |row: &Row| (daemon.wire.store.read_endpoint)(&row.key.key, &row.value).ok();
    let endpoints = page.rows.iter().filter_map(read);
    let versions = endpoints.map(|endpoint| {
        let version = endpoint.software_version.as_ref().map(ToString::to_string);
        (endpoint.incarnation(), version)
    });
    set_versions(daemon, versions);
}

fn set_versions(daemon: &Daemon, versions: impl Iterator<Item = (Incarnation, Option<String>)>) {
    let known = versions
        .filter_map(|(incarnation, version)| Some((incarnation, SoftwareVersion::from(version?))));
    let known: Vec<_> = known.collect();
    let now_ms = daemon.shared_view.now_ms();
    daemon.shared_view.with(|local_view| {
        for (incarnation, version) in known {
            local_view.directory.set_software_version(&incarnation, version);
        }
        local_view.observe_versions(now_ms);
    });
}

/// Returns the versions of incarnations that another daemon asks for.
pub(crate) fn answer(daemon: &Daemon, of: Vec<WireIncarnation>) -> Vec<Option<String>> {
    daemon.shared_view.with(|local_view| {
        let versions = of.into_iter().map(|wire| {
            let incarnation = Incarnation::from(wire);
            let endpoint = local_view.directory.get(&incarnation.name)?;
            let endpoint = Some(endpoint).filter(|known| known.incarnation() == incarnation)?;
            endpoint.software_version.as_ref().map(ToString::to_string)
        });
        versions.collect()
    })
}

/// Returns whether this daemon leads the group that comes first by name.
fn leads_first_group(daemon: &Daemon) -> bool {
    let now_ms = daemon.shared_view.now_ms();
    let domains = daemon.shared_view.with(|local_view| local_view.directory.domains());
    let held = daemon.order_permits.held(now_ms);
    domains.first().is_some_and(|first| held.contains_key(first))
}

/// Writes the row if it does not say what this daemon knows.
async fn update_row(daemon: &Daemon, row: &mut KnownRow) {
    let now_ms = daemon.shared_view.now_ms();
    let complete =
        daemon.shared_view.with(|local_view| local_view.software_versions.complete(now_ms));
    let Some(versions) = complete.filter(|versions| !versions.is_empty()) else { return };
    let era = daemon.store.era();
    row.must_read |= row.version.era != era;
    if row.must_read {
        match daemon.store.may_try() {
            true => match daemon.store.read(TABLE, PARTITION).await {
                Ok(page) => row.set(&page),
                Err(_) => return,
            },
            false => return,
        }
    }
    let content = WireVersionsRow::new(era, &versions);
    if row.content.as_ref() == Some(&content) || !daemon.store.may_try() {
        return;
    }
    let value = serde_json::to_vec(&content).expect("a row of texts can be written as JSON");
    let key = RowKey { table: TABLE.into(), partition: PARTITION.into(), key: KEY.into() };
    let write = ConditionalWrite { key, expected: row.version, value: Some(value) };
    match daemon.store.write(&write).await {
        WriteOutcome::Written(version) => {
            tracing::info!(versions = ?content.services, era, "stream: Stored the versions in service.");
            (row.version, row.content) = (version, Some(content));
        }
        WriteOutcome::Conflict(_) | WriteOutcome::Unknown => row.must_read = true,
        WriteOutcome::Refused => {}
    }
}

impl KnownRow {
    fn set(&mut self, page: &RowPage) {
        let row = page.rows.iter().find(|row| row.key.key == KEY);
        let absent = StoreVersion { number: 0, ..page.version };
        self.version = row.map_or(absent, |row| row.version);
        self.is_unreadable = false;
        self.content = row.and_then(|row| match serde_json::from_slice(&row.value) {
            Ok(content) => Some(content),
            Err(error) => {
                tracing::error!(%error, "stream: The row of versions in service is not understood; it counts as unknown.");
                self.is_unreadable = true;
                None
            }
        });
        self.must_read = false;
    }

    /// Returns the versions of before; `None` if the row does not tell. A store that was restored
    /// from a copy may have lost them.
    fn earlier(&self) -> Option<ServiceVersions> {
        match &self.content {
            Some(row) if row.era == self.version.era => Some(row.clone().into_versions()),
            Some(_) => None,
            None => (self.version.era == 0 && !self.is_unreadable).then(ServiceVersions::new),
        }
    }
}
