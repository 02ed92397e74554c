//! Settings of a daemon.

use std::{net::SocketAddr, num::NonZeroU32};

/// Lines of log a second where the settings do not say: some 200 kB, and ten times what a
/// daemon writes at the size of two years from now (16 requests a second).
const DEFAULT_LINES_PER_S: NonZeroU32 = NonZeroU32::new(500).expect("it is above 0");

/// Settings of a daemon.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM, as the platform lists it.
    pub vm: String,
    /// The VM's failure domain.
    pub domain: String,
    /// Where callers reach the daemon.
    pub callers_address: SocketAddr,
    /// Where other daemons reach it.
    pub peers_address: SocketAddr,
    /// Where operators and the balancer reach it.
    pub admin_address: SocketAddr,
    /// Where the platform is reached, as `http://ip:port`.
    pub platform_url: String,
    /// SHA-256 of the token that operators send, in hexadecimal; none allows all.
    #[serde(default)]
    pub admin_token_sha256: Option<String>,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals of control.
    #[serde(default)]
    pub intervals: Intervals,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Limits towards callers.
#[trestle_macros::wire]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of callers at once.
    pub connections: usize,
    /// Size of a request's body.
    pub body_bytes: usize,
    /// Size of all bodies that are held at once.
    pub all_bodies_bytes: usize,
    /// Time in which a caller has to send a body.
    pub body_ms: u64,
    /// Size of the headers of a request.
    pub header_bytes: usize,
    /// Size of an answer that is kept for a repeated call.
    pub kept_answer_bytes: usize,
    /// Longest deadline a caller may ask for.
    pub deadline_ms: u64,
}

/// Intervals of control.
#[trestle_macros::wire]
#[serde(deny_unknown_fields, default)]
pub struct Intervals {
    /// Between two looks for a new configuration.
    pub config_poll_ms: u64,
    /// Between two readings of the list of VMs.
    pub vm_list_ms: u64,
    /// Between two renewals of a lease.
    pub lease_ms: u64,
    /// Without a renewal until a lease has expired.
    pub expiry_ms: u64,
    /// For which an answer of an engine lets its owner give permits.
    pub grant_ms: u64,
    /// Between two looks at an engine without requests.
    pub look_ms: u64,
    /// Until a VM that is no longer listed is held gone.
    pub settle_ms: u64,
    /// That a planned stop may take.
    pub stop_ms: u64,
}

/// Logs.
#[trestle_macros::wire]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `text` or `json`.
    pub format: LogFormat,
    /// Which messages to write, as `info` or `trestled=debug`.
    pub filter: String,
    /// Lines a second; twice as many may come at once. What is beyond is dropped and counted.
    pub lines_per_s: NonZeroU32,
}

/// The form of log lines.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 2_000,
            body_bytes: 1 << 20,
            all_bodies_bytes: 64 << 20,
            body_ms: 10_000,
            header_bytes: 16 << 10,
            kept_answer_bytes: 64 << 10,
            deadline_ms: 600_000,
        }
    }
}

impl Default for Intervals {
    fn default() -> Self {
        Self {
            config_poll_ms: 2_000,
            vm_list_ms: 2_000,
            lease_ms: 2_000,
            expiry_ms: 8_000,
            grant_ms: 2_000,
            look_ms: 10_000,
            settle_ms: 30_000,
            stop_ms: 60_000,
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            filter: "info".to_owned(),
            lines_per_s: DEFAULT_LINES_PER_S,
        }
    }
}

impl Settings {
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
        let is_url = self.platform_url.starts_with("http://");
        check(is_url, &["platform_url"], "must be `http://ip:port`");
        check(self.limits.connections > 0, &["limits", "connections"], "must be at least 1");
        let is_slower = self.intervals.expiry_ms >= 3 * self.intervals.lease_ms;
        let message = "must be at least three times `lease_ms`, or live members are expelled";
        check(is_slower, &["intervals", "expiry_ms"], message);
        found
    }
}
