//! What operators ask a daemon.

use std::collections::BTreeMap;

/// The state of a daemon.
#[trestle_macros::wire]
pub struct Status {
    /// The daemon's VM.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Version of the configuration in force, 0 for none.
    pub config_version: u64,
    /// Time since the platform last answered.
    pub platform_silent_ms: Option<u64>,
    /// Epoch of the domain.
    pub epoch: u64,
    /// Members of the domain and where peers reach them.
    pub members: BTreeMap<String, String>,
    /// Endpoints in whose chains the daemon stands.
    pub endpoints: BTreeMap<String, EndpointStatus>,
}

/// The state of an endpoint as one daemon sees it.
#[trestle_macros::wire]
pub struct EndpointStatus {
    /// `owner`, `standby` or `stepped_down`.
    pub role: String,
    /// The daemon's place in the chain.
    pub rank: u8,
    /// The largest fencing number it has given.
    pub fence: u64,
    /// Whether the endpoint has accepted an order of this owner.
    pub confirmed: bool,
    /// Whether the endpoint does not answer.
    pub silent: bool,
    /// Models placed there: `active`, or `retiring` with the reason it is unresolved.
    pub placed: BTreeMap<String, String>,
    /// Models that take memory there, and how far they are.
    pub held: BTreeMap<String, String>,
    /// Permits that are out.
    pub permits_out: usize,
    /// Requests that wait.
    pub waiting: usize,
}
