//! Follows the operators' configuration in the store and applies newer versions.

use crate::{
    daemon::Daemon,
    store::follow::{self, FollowedTable},
};
use std::sync::Arc;
use trestle_dispatch::{
    config_texts::{ConfigUpdate, decompress_pieces},
    store::{Row, RowChange, RowPage},
    store_version::StoreVersion,
    text_delta::apply_delta,
};

/// Follows the configuration until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let (table, _) = daemon.wire.store.config_row;
    let followed = FollowedTable {
        table,
        pause_ms: || 0,
        after: |last| last,
        on_read: |page: RowPage, sent_ms| {
            record_read(&daemon, page.version);
            let all_read = page.rows.iter().fold(true, |all, row| all & apply_row(&daemon, row));
            record_proof(&daemon, all_read, sent_ms);
        },
        on_changes: |changes: Vec<RowChange>, version, sent_ms| {
            record_read(&daemon, version);
            let each = changes.iter().map(|change| apply_change(&daemon, change));
            let all_read = each.fold(true, |all, one| all & one);
            record_proof(&daemon, all_read, sent_ms);
        },
        on_failure: || {},
    };
    follow::run(&daemon, followed).await;
}

/// Applies a change of the configuration's table. Returns whether its content could be read.
fn apply_change(daemon: &Daemon, change: &RowChange) -> bool {
    match change {
        RowChange::Written(row) => apply_row(daemon, row),
        RowChange::Removed(..) => true,
    }
}

/// Records that the configuration in force was the newest when the read was sent at `sent_ms`,
/// unless a row could not be read.
fn record_proof(daemon: &Daemon, all_read: bool, sent_ms: u64) {
    if all_read {
        daemon.freshness.record_config_answer(sent_ms);
    }
}

/// Records that the store answered a read of the configuration at a version.
fn record_read(daemon: &Daemon, version: StoreVersion) {
    let now_ms = daemon.shared_view.now_ms();
    daemon.freshness.record_config_read(now_ms);
    daemon.freshness.record_era(version.era, now_ms);
}

/// Applies a row of the configuration's table. Returns whether its content could be read; rows with
/// other keys are ignored.
fn apply_row(daemon: &Daemon, row: &Row) -> bool {
    let (_, key) = daemon.wire.store.config_row;
    row.key.key != key || apply_text(daemon, &row.value)
}

/// Applies a configuration that another daemon passed on. Returns whether it could be read.
pub(crate) fn apply_relayed(daemon: &Daemon, update: &ConfigUpdate) -> bool {
    match update {
        ConfigUpdate::Whole(compressed) => match compressed.decompress() {
            Some(text) => apply_text(daemon, &text),
            None => {
                tracing::error!(
                    "config: A configuration from another daemon cannot be decompressed; the one in force stays."
                );
                false
            }
        },
        ConfigUpdate::Changes { from, pieces } => {
            let known =
                daemon.shared_view.with(|local_view| local_view.config_texts.text(*from).cloned());
            match known.and_then(|known| apply_delta(&known, &decompress_pieces(pieces)?)) {
                Some(text) => apply_text(daemon, &text),
                None => {
                    tracing::error!(
                        from,
                        "config: Changes from another daemon do not apply here; the configuration in force stays."
                    );
                    false
                }
            }
        }
    }
}

/// Puts a configuration in force if it is newer than the current one. Returns whether it could be
/// read.
fn apply_text(daemon: &Daemon, text: &[u8]) -> bool {
    let catalog = match (daemon.wire.store.read_config)(text) {
        Ok(catalog) => catalog,
        Err(error) => {
            tracing::error!(%error, "config: A configuration is not understood; the one in force stays.");
            return false;
        }
    };
    let in_force = daemon.shared_view.catalog().map_or(0, |catalog| catalog.version);
    if catalog.version <= in_force {
        return true;
    }
    let (version, routes) = (catalog.version, catalog.routes.iter().count());
    daemon.shared_view.change(|local_view| {
        local_view.catalog = Some(Arc::new(catalog));
        local_view.config_texts.add(version, text.to_vec());
    });
    daemon.metrics.record_config_version(version);
    let bytes = text.len();
    tracing::info!(version, routes, bytes, from = in_force, "config: A configuration is in force.");
    true
}
