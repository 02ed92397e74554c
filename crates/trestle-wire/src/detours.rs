//! Detours: connections to endpoints that another daemon opens for a daemon without a path of its own.
//!
//! A connection to a daemon's port for other daemons becomes a detour if it begins with [`MAGIC`].
//! A [`WireDetourRequest`] follows, after its length as two bytes. The answer is one byte, a
//! [`DetourAnswer`]. After [`DetourAnswer::Opened`], all bytes pass between the requesting daemon and
//! the endpoint until either closes the connection.

use snafu::{OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;
use trestle_dispatch::{
    endpoint::{Endpoint, Incarnation},
    helpers::Helper,
};

/// The first bytes of a connection that becomes a detour. Read as the length of a message they exceed
/// every limit, so that a daemon of an earlier release closes the connection.
pub const MAGIC: [u8; 4] = *b"tdt1";
/// Largest size of an encoded request, in bytes.
pub const MAX_REQUEST_BYTES: usize = 1 << 10;

/// Request to open a detour.
#[trestle_macros::wire]
pub struct WireDetourRequest {
    /// VM of the requesting daemon, for logs.
    pub vm: String,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Time at which this incarnation of the endpoint started, in Unix milliseconds on its own clock.
    pub born_ms: u64,
}

/// Answer to a request for a detour.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum DetourAnswer {
    /// The endpoint is connected.
    Opened,
    /// The endpoint refused the connection, and the answering daemon reaches others.
    Refused,
    /// The answering daemon does not reach the endpoint.
    NotReached,
    /// The answering daemon does not list the endpoint, or lists it as draining.
    NotListed,
    /// The answering daemon has no capacity left.
    Full,
    /// The answering daemon does not reach the endpoint, or hardly any of its service, while others
    /// may.
    CutOff,
}

/// Report of a daemon that may open detours, or needs some.
#[trestle_macros::wire]
pub struct WireHelperReport {
    /// VM of the daemon.
    pub vm: String,
    /// The daemon itself, as a helper.
    pub helper: WireHelper,
    /// Services of which the daemon fails to reach most endpoints.
    pub unreached: Vec<String>,
}

/// Daemon that may open detours.
#[trestle_macros::wire]
pub struct WireHelper {
    /// Address at which it serves other daemons.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// A message of a detour that cannot be read or written.
#[derive(Debug, Snafu)]
pub enum DetourError {
    /// The request is no valid JSON.
    #[snafu(display("the request is not understood: {source}"))]
    Json {
        /// The cause.
        source: serde_json::Error,
    },
    /// The request is too long.
    #[snafu(display("the request has {length} bytes, {MAX_REQUEST_BYTES} at most are allowed"))]
    TooLong {
        /// Length in bytes.
        length: usize,
    },
    /// The answer is none of those that this release knows.
    #[snafu(display("the answer {code} is unknown"))]
    UnknownAnswer {
        /// The byte that was received.
        code: u8,
    },
}

impl WireDetourRequest {
    /// Creates the request of a VM for an endpoint.
    pub fn new(vm: &str, endpoint: &Endpoint) -> Self {
        let Incarnation { name, started_unix_ms } = endpoint.incarnation();
        Self { vm: vm.to_owned(), endpoint: name.to_string(), born_ms: started_unix_ms }
    }

    /// Returns the incarnation of the endpoint.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { name: self.endpoint.as_str().into(), started_unix_ms: self.born_ms }
    }

    /// Returns the beginning of a connection that requests the detour.
    ///
    /// # Errors
    ///
    /// Fails if names are too long.
    pub fn encode(&self) -> Result<Vec<u8>, DetourError> {
        let body = serde_json::to_vec(self).context(JsonSnafu)?;
        let length = u16::try_from(body.len()).ok();
        let length = length.filter(|length| usize::from(*length) <= MAX_REQUEST_BYTES);
        let length = length.context(TooLongSnafu { length: body.len() })?;
        Ok([MAGIC.as_slice(), length.to_be_bytes().as_slice(), body.as_slice()].concat())
    }

    /// Reads a request from its bytes.
    ///
    /// # Errors
    ///
    /// Fails if the request is not understood.
    pub fn decode(body: &[u8]) -> Result<Self, DetourError> {
        serde_json::from_slice(body).context(JsonSnafu)
    }
}

impl From<DetourAnswer> for u8 {
    fn from(answer: DetourAnswer) -> Self {
        match answer {
            DetourAnswer::Opened => 0,
            DetourAnswer::Refused => 1,
            DetourAnswer::NotReached => 2,
            DetourAnswer::NotListed => 3,
            DetourAnswer::Full => 4,
            DetourAnswer::CutOff => 5,
        }
    }
}

impl TryFrom<u8> for DetourAnswer {
    type Error = DetourError;

    fn try_from(code: u8) -> Result<Self, DetourError> {
        match code {
            0 => Ok(Self::Opened),
            1 => Ok(Self::Refused),
            2 => Ok(Self::NotReached),
            3 => Ok(Self::NotListed),
            4 => Ok(Self::Full),
            5 => Ok(Self::CutOff),
            code => UnknownAnswerSnafu { code }.fail(),
        }
    }
}

impl From<Helper> for WireHelper {
    fn from(helper: Helper) -> Self {
        Self { address: helper.address, domain: helper.domain.to_string() }
    }
}

impl From<WireHelper> for Helper {
    fn from(wire: WireHelper) -> Self {
        Self { address: wire.address, domain: wire.domain.into() }
    }
}
