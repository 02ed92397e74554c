//! Settings of a daemon whose state lies in an outside store.

use crate::{settings::LogSettings, whole};
use std::net::{IpAddr, SocketAddr};

/// Settings of a daemon whose state lies in an outside store.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The name of the VM.
    pub vm: String,
    /// The VM's address, where other daemons reach it.
    pub address: IpAddr,
    /// The VM's failure domain.
    pub domain: String,
    /// All failure domains that have VMs or endpoints.
    #[serde(default)]
    pub domains: Vec<String>,
    /// Processor of the VM, as a share of one core. Of several VMs the strongest should lead.
    #[serde(default = "one_core")]
    pub processor_cores: f64,
    /// Where callers reach the daemon.
    pub callers_address: SocketAddr,
    /// Where the balancer asks whether the daemon is ready.
    pub readiness_address: SocketAddr,
    /// Where other daemons reach it, at its own address.
    pub peers_port: u16,
    /// Where metrics are served, at its own address.
    pub metrics_port: u16,
    /// Where the store is reached.
    pub store_address: SocketAddr,
    /// What the operators have agreed with their users.
    pub bounds: Bounds,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Mechanisms of deciding that are left out, to measure what they are worth.
    #[serde(default)]
    pub without: Vec<String>,
}

/// What the operators have agreed with their users.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Between the news that an endpoint is leaving and the last request to it.
    #[serde(deserialize_with = "whole::below")]
    pub leaving_ms: u64,
    /// Between the acceptance of a configuration and its being in force.
    #[serde(deserialize_with = "whole::below")]
    pub config_ms: u64,
    /// For a planned stop.
    #[serde(deserialize_with = "whole::below")]
    pub stop_s: u64,
    /// Between orders of two VMs to the same engine.
    #[serde(deserialize_with = "whole::above")]
    pub order_quiet_ms: u64,
    /// Further sends a request, of all daemons together.
    pub retry_ratio: f64,
    /// The window over which further sends are counted.
    #[serde(deserialize_with = "whole::above")]
    pub retry_window_s: u64,
    /// Further sends beyond the ratio in a window.
    #[serde(deserialize_with = "whole::below")]
    pub retry_fixed: u32,
    /// Between the acceptance of a configuration that takes a team's key away and the last
    /// request with it, also at VMs that are cut off; none where nothing is agreed on.
    #[serde(default, deserialize_with = "whole::below_if_given")]
    pub key_withdrawal_ms: Option<u64>,
    /// How far teams may exceed their limits; none where nothing is agreed on.
    #[serde(default)]
    pub quota: Option<QuotaSettings>,
}

/// How far the requests of a team that all VMs pass on may exceed its limit.
#[trestle_macros::wire]
#[derive(Copy)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// The window over which requests are counted.
    pub window_s: f64,
    /// Part of what the limit allows in a window.
    pub excess: f64,
    /// Requests or tokens beyond that.
    pub fixed: f64,
}

impl Bounds {
    /// The shortest bound on what every daemon must know.
    pub fn shortest_ms(&self) -> u64 {
        self.config_ms.min(self.leaving_ms)
    }
}

impl EntrySettings {
    /// Processor of the VM, in thousandths of a core.
    pub fn millicores(&self) -> u32 {
        (self.processor_cores * 1e3).round() as u32
    }

    /// Values that cannot work, with the path that leads to each.
    pub(crate) fn findings(&self) -> Vec<(Vec<&'static str>, String)> {
        let mut found = Vec::new();
        let mut check = |holds: bool, path: &[&'static str], message: &str| {
            if !holds {
                found.push((path.to_vec(), message.to_owned()));
            }
        };
        check(!self.vm.is_empty(), &["vm"], "must not be empty");
        check(!self.domain.is_empty(), &["domain"], "must not be empty");
        let differ = self.peers_port != self.metrics_port;
        check(differ, &["metrics_port"], "must differ from `peers_port`");
        let has_processor = self.processor_cores > 0.0;
        check(has_processor, &["processor_cores"], "must be above 0");
        let is_ratio = self.bounds.retry_ratio >= 0.0;
        check(is_ratio, &["bounds", "retry_ratio"], "must not be negative");
        if let Some(quota) = &self.bounds.quota {
            check(quota.window_s > 0.0, &["bounds", "quota", "window_s"], "must be above 0");
            check(quota.excess >= 0.0, &["bounds", "quota", "excess"], "must not be negative");
            check(quota.fixed >= 0.0, &["bounds", "quota", "fixed"], "must not be negative");
        }
        check(self.bounds.stop_s >= 1, &["bounds", "stop_s"], "must be at least 1");
        found
    }
}

fn one_core() -> f64 {
    1.0
}
