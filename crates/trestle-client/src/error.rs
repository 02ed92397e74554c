//! Error of this crate.

use snafu::Snafu;

/// Result of a request to an outside system.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure of a request to an outside system.
#[derive(Debug, Snafu)]
pub struct Error(Inner);

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Inner {
    #[snafu(display("{url} did not answer within {timeout_ms} ms"))]
    TimedOut { url: String, timeout_ms: u64 },
    #[snafu(display("{url} cannot be reached: {source}"))]
    Unreachable { url: String, source: trillium_client::Error },
    #[snafu(display("{url} answered with status {status}, expected 2xx"))]
    Status { url: String, status: u16 },
    #[snafu(display("the answer of {url} is not understood: {source}"))]
    Body { url: String, source: serde_json::Error },
    #[snafu(display("the answer of {url} is not understood: {source}"))]
    Content { url: String, source: trestle_wire::Error },
    #[snafu(display("cannot connect to peer {address}: {source}"))]
    Connect { address: String, source: std::io::Error },
    #[snafu(display("peer {address} did not answer: {source}"))]
    Rpc { address: String, source: tarpc::client::RpcError },
}
