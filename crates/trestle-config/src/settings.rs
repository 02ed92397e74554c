//! Settings of a daemon whose state is on the platform, and settings of log output.

use std::{net::SocketAddr, num::NonZeroU32};

/// Default limit of log lines per second. 500 lines are some 200 kB, and ten times what a daemon
/// writes per second at the planned load of 16 requests per second.
const DEFAULT_LINES_PER_S: NonZeroU32 = NonZeroU32::new(500).expect("it is above 0");

/// Settings of a daemon whose state is on the platform.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, as the platform lists it.
    pub vm: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address at which the daemon serves callers.
    pub callers_address: SocketAddr,
    /// Address at which the daemon serves other daemons.
    pub peers_address: SocketAddr,
    /// Address at which the daemon serves operators and the load balancer.
    pub admin_address: SocketAddr,
    /// URL of the platform, such as `http://ip:port`.
    pub platform_url: String,
    /// SHA-256 of the token that operators send, in hexadecimal; `None` allows requests without a
    /// token.
    #[serde(default)]
    pub admin_token_sha256: Option<String>,
    /// Limits on the requests of callers.
    #[serde(default)]
    pub limits: Limits,
    /// Times that control depends on.
    #[serde(default)]
    pub intervals: Intervals,
    /// Format and amount of log output.
    #[serde(default)]
    pub log: LogSettings,
}

/// Limits on the requests of callers.
#[trestle_macros::wire]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of concurrent connections of callers.
    pub connections: usize,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Largest total size of the bodies that are held at once.
    pub all_bodies_bytes: usize,
    /// Time within which a caller has to send a body, in milliseconds.
    pub body_ms: u64,
    /// Largest size of the headers of a request.
    pub header_bytes: usize,
    /// Largest body of an answer that is kept in the row of its claim; larger ones are kept in the
    /// object store.
    pub kept_answer_bytes: usize,
    /// Longest deadline that a caller may request, in milliseconds.
    pub deadline_ms: u64,
}

/// Times that control depends on, in milliseconds.
#[trestle_macros::wire]
#[serde(deny_unknown_fields, default)]
pub struct Intervals {
    /// Interval of checks for a new configuration.
    pub config_poll_ms: u64,
    /// Interval of reads of the list of VMs.
    pub vm_list_ms: u64,
    /// Interval of renewals of a lease.
    pub lease_ms: u64,
    /// Time without a renewal after which a lease has expired.
    pub expiry_ms: u64,
    /// Time for which an order that the engine has accepted lets the owner grant permits.
    pub grant_ms: u64,
    /// Interval of status probes at an engine without requests.
    pub look_ms: u64,
    /// Time for which a VM must be missing from the platform's list to count as gone.
    pub settle_ms: u64,
    /// Longest time that a planned stop takes.
    pub stop_ms: u64,
}

/// Format and amount of log output.
#[trestle_macros::wire]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of log lines: `text` or `json`.
    pub format: LogFormat,
    /// Filter of the messages that are written, such as `info` or `trestled=debug`.
    pub filter: String,
    /// Maximum number of lines per second, with bursts of twice as many. Further lines are dropped
    /// and counted.
    pub lines_per_s: NonZeroU32,
}

/// Format of log lines.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text, for people.
    Text,
    /// JSON, for programs.
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
        let is_url = self.platform_url.starts_with("http://");
        check(is_url, &["platform_url"], "must be a URL such as `http://ip:port`");
        check(self.limits.connections > 0, &["limits", "connections"], "must be at least 1");
        let is_slower = self.intervals.expiry_ms >= 3 * self.intervals.lease_ms;
        let message = "must be at least three times `lease_ms`, or live members are expelled";
        check(is_slower, &["intervals", "expiry_ms"], message);
        found
    }
}
