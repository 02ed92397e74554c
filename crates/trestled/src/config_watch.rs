//! Keeps the configuration of this daemon up to date.
//!
//! The head row names the version in force. A version that is not newer than the daemon's own is
//! never applied, whoever offers it. While the head row or the file of its version cannot be read
//! from the platform, the configuration is requested from peers instead.

use crate::daemon::Daemon;
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_core::event::Event;
use trestle_wire::{
    peer::WireConfig,
    table::{CONFIG_HEAD_KEY, ConfigHead, config_object},
};

/// Polls for new configurations until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let interval = Duration::from_millis(daemon.settings.intervals.config_poll_ms);
    loop {
        update(&daemon).await;
        Timer::after(interval).await;
    }
}

async fn update(daemon: &Daemon) {
    match read_head(daemon).await {
        Ok(Some(head)) if head.version > current_version(daemon) => {
            if let Some(config) = read_file(daemon, &head).await {
                apply(daemon, &config);
                return;
            }
        }
        Ok(_) => return,
        Err(error) => tracing::debug!("config: The head row cannot be read: {error}."),
    }
    if let Some(config) = fetch_from_peer(daemon).await {
        apply(daemon, &config);
    }
}

async fn read_head(daemon: &Daemon) -> trestle_client::Result<Option<ConfigHead>> {
    daemon.metrics.record_table_read();
    let response = daemon.platform.read_raw(vec![CONFIG_HEAD_KEY.to_owned()]).await?;
    daemon.record_platform_answer();
    let row = response.rows.get(CONFIG_HEAD_KEY).and_then(|row| row.value.clone());
    Ok(row.and_then(|value| serde_json::from_value(value).ok()))
}

async fn read_file(daemon: &Daemon, head: &ConfigHead) -> Option<WireConfig> {
    match daemon.platform.get_object(&config_object(&head.apply_id)).await {
        Ok(content) => {
            let text = String::from_utf8(content).ok()?;
            if trestle_config::digest(&text) != head.sha256 {
                tracing::error!(
                    "config: The file of version {} does not match its checksum.",
                    head.version
                );
                return None;
            }
            Some(WireConfig { version: head.version, text })
        }
        Err(error) => {
            tracing::warn!("config: The file of version {} cannot be read: {error}.", head.version);
            None
        }
    }
}

async fn fetch_from_peer(daemon: &Daemon) -> Option<WireConfig> {
    let routing = daemon.routing();
    let members = routing.domains.values().flat_map(|row| &row.members);
    let others: Vec<&str> = members
        .filter(|(vm, _)| **vm != daemon.own_vm)
        .map(|(_, member)| member.address.as_str())
        .collect();
    let address = others.get(fastrand::usize(..others.len().max(1)))?;
    daemon.peers.config_after(address, current_version(daemon)).await.ok()?
}

fn apply(daemon: &Daemon, offered: &WireConfig) {
    let before = Arc::clone(&daemon.routing().config);
    let config = match trestle_config::from_str(&offered.text, "configuration") {
        Ok(config) => Arc::new(config.at_version(offered.version, &before)),
        Err(error) => {
            tracing::error!("config: Version {} is not valid: {error}.", offered.version);
            return;
        }
    };
    let text = offered.text.as_str().into();
    let mut is_applied = false;
    daemon.change_routing(|routing| is_applied = routing.apply_config(Arc::clone(&config), text));
    if is_applied {
        tracing::info!("config: Version {} is in force.", offered.version);
        daemon.metrics.record_config_version(offered.version);
        // The members of the failure domains can be read only now, because the configuration names
        // these domains.
        daemon.request_domains_refresh();
        daemon.send_event(Event::Catalog(Arc::new(config.catalog.clone())));
    }
}

fn current_version(daemon: &Daemon) -> u64 {
    daemon.routing().config.catalog.version
}
