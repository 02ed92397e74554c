//! State of a daemon, as it reports it to operators.

use std::collections::BTreeMap;

/// State of a daemon.
#[trestle_macros::wire]
pub struct Status {
    /// VM of the daemon.
    pub vm: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Whether the daemon accepts requests.
    pub ready: bool,
    /// Version of the configuration in force; 0 if none is.
    pub config_version: u64,
    /// Time since the platform last answered, in milliseconds; `None` if it is not known.
    pub platform_silent_ms: Option<u64>,
    /// Epoch of the failure domain.
    pub epoch: u64,
    /// Members of the failure domain, with the addresses at which peers reach them.
    pub members: BTreeMap<String, String>,
    /// Endpoints whose chains contain the daemon.
    pub endpoints: BTreeMap<String, EndpointStatus>,
}

/// State of an endpoint as one daemon knows it.
#[trestle_macros::wire]
pub struct EndpointStatus {
    /// Role of the daemon: `owner`, `standby` or `stepped_down`.
    pub role: String,
    /// Rank of the daemon in the chain.
    pub rank: u8,
    /// Largest fencing number that the daemon has used; 0 on standby.
    pub fence: u64,
    /// Whether the endpoint has accepted an order of this owner.
    pub confirmed: bool,
    /// Whether the endpoint has stopped answering.
    pub silent: bool,
    /// Models placed at the endpoint: `active`, or `retiring` with the epoch and the VMs that it
    /// waits for.
    pub placed: BTreeMap<String, String>,
    /// Models that occupy memory at the endpoint, with their phases.
    pub held: BTreeMap<String, String>,
    /// Number of permits that are granted and not yet given back.
    pub permits_out: usize,
    /// Number of requests that wait for a permit.
    pub waiting: usize,
}
