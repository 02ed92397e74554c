//! Follows the operators' configuration.

use crate::{
    daemon::Daemon,
    store::follow::{self, Followed},
};
use std::sync::Arc;
use trestle_dispatch::{
    config_texts::ConfigNews,
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
        on_read: |page: RowPage| {
            note_read(&daemon);
            page.rows.iter().for_each(|row| take(&daemon, row));
        },
        on_changes: |changes: Vec<RowChange>, _| {
            note_read(&daemon);
            changes.iter().for_each(|change| take_change(&daemon, change));
        },
        on_failure: || {},
    };
    follow::run(&daemon, followed).await;
}

fn take_change(daemon: &Daemon, change: &RowChange) {
    if let RowChange::Written(row) = change {
        take(daemon, row);
    }
}

fn note_read(daemon: &Daemon) {
    daemon.freshness.config_read(daemon.knowledge.now_ms());
}

fn take(daemon: &Daemon, row: &Row) {
    let (_, key) = daemon.wire.store.config_row;
    if row.key.key == key {
        take_text(daemon, &row.value);
    }
}

/// Takes what another daemon passes on of the configuration.
pub(crate) fn take_passed_on(daemon: &Daemon, news: &ConfigNews) {
    match news {
        ConfigNews::Whole(text) => take_text(daemon, text),
        ConfigNews::Changes { from, pieces } => {
            let old = daemon.knowledge.with(|beliefs| beliefs.config_texts.text(*from).cloned());
            match old.and_then(|old| apply_delta(&old, pieces)) {
                Some(text) => take_text(daemon, &text),
                None => tracing::error!(from, "config: Changes do not fit what is known."),
            }
        }
    }
}

/// Puts a configuration in force if it is newer than the one that is.
fn take_text(daemon: &Daemon, text: &[u8]) {
    let catalog = match (daemon.wire.store.read_config)(text) {
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
    daemon.knowledge.change(|beliefs| {
        beliefs.catalog = Some(Arc::new(catalog));
        beliefs.config_texts.take(version, text.to_vec());
    });
    daemon.metrics.config_version(version);
    let bytes = text.len();
    tracing::info!(version, routes, bytes, from = in_force, "config: A configuration is in force.");
}
