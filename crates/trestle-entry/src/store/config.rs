//! Follows the operators' configuration.

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

fn take_change(daemon: &Daemon, change: &RowChange) -> bool {
    match change {
        RowChange::Written(row) => take(daemon, row),
        RowChange::Removed(..) => true,
    }
}

/// Notes since when the configuration in force was the newest, unless one was not understood.
fn note_proven(daemon: &Daemon, taken: bool, asked_ms: u64) {
    if taken {
        daemon.freshness.config_proven(asked_ms);
    }
}

fn note_read(daemon: &Daemon) {
    daemon.freshness.config_read(daemon.knowledge.now_ms());
}

/// Takes a row; returns whether it was understood.
fn take(daemon: &Daemon, row: &Row) -> bool {
    let (_, key) = daemon.wire.store.config_row;
    row.key.key != key || take_text(daemon, &row.value)
}

/// Takes what another daemon passes on of the configuration; returns whether it was understood.
pub(crate) fn take_passed_on(daemon: &Daemon, news: &ConfigUpdate) -> bool {
    match news {
        ConfigUpdate::Whole(packed) => match packed.decompress() {
            Some(text) => take_text(daemon, &text),
            None => {
                tracing::error!("config: A configuration was packed otherwise.");
                false
            }
        },
        ConfigUpdate::Changes { from, pieces } => {
            let old =
                daemon.knowledge.with(|local_view| local_view.config_texts.text(*from).cloned());
            match old.and_then(|old| apply_delta(&old, &decompress_pieces(pieces)?)) {
                Some(text) => take_text(daemon, &text),
                None => {
                    tracing::error!(from, "config: Changes do not fit what is known.");
                    false
                }
            }
        }
    }
}

/// Puts a configuration in force if it is newer than the one that is; returns whether it was
/// understood.
fn take_text(daemon: &Daemon, text: &[u8]) -> bool {
    let catalog = match (daemon.wire.store.read_config)(text) {
        Ok(catalog) => catalog,
        Err(error) => {
            tracing::error!(%error, "config: A configuration is not understood; the old one stays.");
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
