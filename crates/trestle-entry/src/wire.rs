//! The formats of everything outside the daemon.
//!
//! The daemon implements decisions and connections. The formats of a store, of engines and of
//! callers are passed to it as plain functions, so the same daemon runs in any environment for
//! which such functions exist.

use http::{HeaderMap, Request, StatusCode};
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    catalog::Catalog,
    endpoint::{Endpoint, EngineReport},
    orders::{Order, OrderAnswer},
    request::{AnswerHead, Forwarded, RequestHead},
    signals::EndpointSignals,
    store::{ConditionalWrite, Feed, RowPage, WriteOutcome},
};

/// A call that is ready to be sent.
pub type Call = Request<Vec<u8>>;

/// The cause why external data could not be parsed, for log lines.
pub type ParseError = Box<dyn std::error::Error + Send + Sync>;

/// The formats of the daemon's environment.
#[derive(Debug, Clone, Copy)]
pub struct Wire {
    /// The formats of the store.
    pub store: StoreWire,
    /// The formats of endpoints.
    pub endpoint: EndpointWire,
    /// The formats of requests and answers.
    pub head: HeadWire,
    /// The path at which the balancer asks whether the daemon is ready.
    pub readiness_path: &'static str,
}

/// The names and formats of the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreWire {
    /// The table and key of the operators' configuration.
    pub config_row: (&'static str, &'static str),
    /// The table of live endpoints, by name.
    pub endpoint_table: &'static str,
    /// Parses the store's era in an answer's headers: a number that rises each time the store comes
    /// back from an earlier copy; 0 if the store reports none.
    pub read_era: fn(&HeaderMap) -> Result<u64, ParseError>,
    /// Builds the call that reads a partition of a table; a key limits the read to the rows after
    /// it.
    pub read_call: fn(&str, &str, Option<&str>) -> Result<Call, ParseError>,
    /// Parses the answer to `read_call`, from the store's era, the status and the body.
    pub read_answer: fn(u64, u16, &[u8]) -> Result<RowPage, ParseError>,
    /// Builds the call that waits for changes of a table after a transaction, for a time in ms.
    pub follow_call: fn(&str, u64, u64) -> Result<Call, ParseError>,
    /// Parses the answer to `follow_call`, from the store's era, the status and the body.
    pub follow_answer: fn(u64, u16, &[u8]) -> Result<Feed, ParseError>,
    /// Builds the call for a conditional write.
    pub write_call: fn(&ConditionalWrite) -> Call,
    /// Parses the answer to `write_call`, from the store's era, the status and the body.
    pub write_answer: fn(u64, u16, &[u8]) -> WriteOutcome,
    /// Parses a configuration.
    pub read_config: fn(&[u8]) -> Result<Catalog, ParseError>,
    /// Parses the entry of the endpoint with a name.
    pub read_endpoint: fn(&str, &[u8]) -> Result<Endpoint, ParseError>,
}

/// The formats of endpoints.
#[derive(Debug, Clone, Copy)]
pub struct EndpointWire {
    /// Builds the call that requests an engine's report.
    pub report_call: fn() -> Call,
    /// Parses the answer to `report_call`.
    pub report_answer: fn(u16, &[u8]) -> Result<EngineReport, ParseError>,
    /// Builds the call, at the service's health path, that asks an endpoint for its name; `None`
    /// if the path is not valid.
    pub identity_call: fn(&EndpointName, &str) -> Option<Call>,
    /// Parses the answer to `identity_call`; `None` if it names no endpoint.
    pub identity_answer: fn(&HeaderMap) -> Option<EndpointName>,
    /// Builds an order, from endpoint, order, expected count, leader and fencing number; `None` if
    /// the endpoint's name cannot be sent.
    pub order_call: fn(&EndpointName, &Order, u64, &str, u64) -> Option<Call>,
    /// Parses the answer to `order_call`.
    pub order_answer: fn(u16) -> OrderAnswer,
}

/// The formats of requests and answers.
#[derive(Debug, Clone, Copy)]
pub struct HeadWire {
    /// Parses the headers of a caller's request.
    pub read_request: fn(&HeaderMap) -> Option<RequestHead>,
    /// Changes a caller's headers into those for an endpoint.
    pub forward_request: fn(&mut HeaderMap, &Forwarded<'_>),
    /// Parses the headers of an endpoint's answer.
    pub read_answer: fn(&HeaderMap) -> AnswerHead,
    /// Parses an endpoint's signals from the status and headers of an answer.
    pub read_signals: fn(StatusCode, &HeaderMap) -> EndpointSignals,
    /// Changes an endpoint's headers into those for the caller.
    pub forward_answer: fn(&mut HeaderMap),
    /// Sets the headers of the daemon's own answer to a request with an id.
    pub own_answer: fn(&mut HeaderMap, &str),
}
