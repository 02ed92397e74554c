//! Settings of a daemon whose state is in an outside store.

use crate::{settings::LogSettings, whole};
use std::net::{IpAddr, SocketAddr};

/// Settings of a daemon whose state is in an outside store.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM.
    pub vm: String,
    /// IP address at which other daemons reach the VM.
    pub address: IpAddr,
    /// Failure domain of the VM.
    pub domain: String,
    /// All failure domains that have VMs or endpoints.
    #[serde(default)]
    pub domains: Vec<String>,
    /// Processor of the VM, as a multiple of one core; 1 by default. The VM with the strongest
    /// processor should lead.
    #[serde(default = "one_core")]
    pub processor_cores: f64,
    /// Memory of the VM, in MB; `None` if it is not known. The daemon holds request bodies and answers
    /// in a part of it.
    #[serde(default, deserialize_with = "whole::below_if_given")]
    pub memory_mb: Option<u64>,
    /// Address at which the daemon serves callers.
    pub callers_address: SocketAddr,
    /// Address at which the load balancer queries whether the daemon is ready.
    pub readiness_address: SocketAddr,
    /// Port at `address` on which the daemon serves other daemons.
    pub peers_port: u16,
    /// Port at `address` on which the daemon serves its metrics.
    pub metrics_port: u16,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// IP address from which the daemon connects to endpoints; chosen by the system by default.
    #[serde(default)]
    pub source_address: Option<IpAddr>,
    /// Bounds that the operators have agreed with their users.
    pub bounds: Bounds,
    /// Format and amount of log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Names of decision mechanisms that are switched off, to measure their effect.
    #[serde(default)]
    pub without: Vec<String>,
}

/// Bounds that the operators have agreed with their users.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Longest time between an endpoint's announcement that it is draining and the last request to
    /// it, in milliseconds.
    #[serde(deserialize_with = "whole::below")]
    pub leaving_ms: u64,
    /// Longest time between the acceptance of a configuration and its being in force at all
    /// daemons, in milliseconds.
    #[serde(deserialize_with = "whole::below")]
    pub config_ms: u64,
    /// Longest time that a planned stop takes, in seconds.
    #[serde(deserialize_with = "whole::below")]
    pub stop_s: u64,
    /// Shortest time between orders of two VMs to the same engine, in milliseconds.
    #[serde(deserialize_with = "whole::above")]
    pub order_quiet_ms: u64,
    /// Retries per request, over all daemons together.
    pub retry_ratio: f64,
    /// Window over which retries are counted, in seconds.
    #[serde(deserialize_with = "whole::above")]
    pub retry_window_s: u64,
    /// Retries in a window that are allowed in addition to the ratio.
    #[serde(deserialize_with = "whole::below")]
    pub retry_fixed: u32,
    /// Longest time between the acceptance of a configuration that removes a team's key and the
    /// last request that is served with the key, in milliseconds; it also holds at VMs that are
    /// disconnected from the store. `None` if no bound is agreed on.
    #[serde(default, deserialize_with = "whole::below_if_given")]
    pub key_withdrawal_ms: Option<u64>,
    /// Bounds on how far teams may exceed their limits; `None` if none are agreed on.
    #[serde(default)]
    pub quota: Option<QuotaSettings>,
}

/// Bounds on how far the requests of a team, over all VMs together, may exceed its limit.
#[trestle_macros::wire]
#[derive(Copy)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// Window over which requests are counted, in seconds.
    pub window_s: f64,
    /// Allowed excess, as a fraction of what the limit allows in a window.
    pub excess: f64,
    /// Requests or tokens in a window that are allowed in addition to the fraction.
    pub fixed: f64,
}

impl Bounds {
    /// Returns the shortest of the bounds within which every daemon must know of a change, in
    /// milliseconds.
    pub fn shortest_ms(&self) -> u64 {
        self.config_ms.min(self.leaving_ms)
    }
}

impl EntrySettings {
    /// Returns the processor of the VM in thousandths of a core.
    pub fn millicores(&self) -> u32 {
        (self.processor_cores * 1e3).round() as u32
    }

    /// Returns the values that are not valid: the path of keys and the description of each.
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
