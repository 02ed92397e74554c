//! Follows the operators' configuration in the store and applies newer versions.

use crate::{
    daemon::Daemon,
    store::follow::{self, Followed},
};
use std::sync::Arc;
use trestle_dispatch::{
    config_texts::{ConfigUpdate, decompress_pieces},
    store::{Row, RowChange, RowPage},
    text_delta::apply_delta,
};

/// Follows the configuration until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let (table, _) = daemon.wire.store.config_row;
    let followed = Followed {
        table,
        gather_ms: || 0,
        after: |last| last,
        on_read: |page: RowPage, asked_ms| {
            note_read(&daemon);
            let taken = page.rows.iter().fold(true, |all, row| all & take(&daemon, row));
            note_proven(&daemon, taken, asked_ms);
        },
        on_changes: |changes: Vec<RowChange>, _, asked_ms| {
            note_read(&daemon);
            let each = changes.iter().map(|change| take_change(&daemon, change));
            let taken = each.fold(true, |all, one| all & one);
            note_proven(&daemon, taken, asked_ms);
        },
        on_failure: || {},
    };
    follow::run(&daemon, followed).await;
}

/// Applies a change of the configuration's table. Returns whether its content could be read.
fn take_change(daemon: &Daemon, change: &RowChange) -> bool {
    match change {
        RowChange::Written(row) => take(daemon, row),
        RowChange::Removed(..) => true,
    }
}

/// Records that the configuration in force was the newest when the read was sent at `asked_ms`,
/// unless a row could not be read.
fn note_proven(daemon: &Daemon, taken: bool, asked_ms: u64) {
    if taken {
        daemon.freshness.record_config_proof(asked_ms);
    }
}

/// Records that the store answered a read of the configuration.
fn note_read(daemon: &Daemon) {
    daemon.freshness.record_config_read(daemon.knowledge.now_ms());
}

/// Applies a row of the configuration's table. Returns whether its content could be read; rows with
/// other keys are ignored.
fn take(daemon: &Daemon, row: &Row) -> bool {
    let (_, key) = daemon.wire.store.config_row;
    row.key.key != key || take_text(daemon, &row.value)
}

/// Applies a configuration that another daemon passed on. Returns whether it could be read.
pub(crate) fn apply_relayed(daemon: &Daemon, news: &ConfigUpdate) -> bool {
    match news {
        ConfigUpdate::Whole(packed) => match packed.decompress() {
            Some(text) => take_text(daemon, &text),
            None => {
                tracing::error!(
                    "config: A configuration from another daemon cannot be decompressed; the one in force stays."
                );
                false
            }
        },
        ConfigUpdate::Changes { from, pieces } => {
            let old =
                daemon.knowledge.with(|local_view| local_view.config_texts.text(*from).cloned());
            match old.and_then(|old| apply_delta(&old, &decompress_pieces(pieces)?)) {
                Some(text) => take_text(daemon, &text),
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
fn take_text(daemon: &Daemon, text: &[u8]) -> bool {
    let catalog = match (daemon.wire.store.read_config)(text) {
        Ok(catalog) => catalog,
        Err(error) => {
            tracing::error!(%error, "config: A configuration is not understood; the one in force stays.");
            return false;
        }
    };
    let in_force = daemon.knowledge.catalog().map_or(0, |catalog| catalog.version);
    if catalog.version <= in_force {
        return true;
    }
    let (version, routes) = (catalog.version, catalog.routes.iter().count());
    daemon.knowledge.change(|local_view| {
        local_view.catalog = Some(Arc::new(catalog));
        local_view.config_texts.add(version, text.to_vec());
    });
    daemon.metrics.config_version(version);
    let bytes = text.len();
    tracing::info!(version, routes, bytes, from = in_force, "config: A configuration is in force.");
    true
}
