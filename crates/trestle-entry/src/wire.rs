//! What the daemon needs to be told about its surroundings.
//!
//! The daemon knows decisions and connections; how a store, an engine or a
//! caller spells things is given to it as plain functions. So the same daemon
//! runs before any surroundings for which such functions exist.

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

/// A call, ready to be sent.
pub type Call = Request<Vec<u8>>;

/// Why something from outside could not be read, for logs.
pub type Unreadable = Box<dyn std::error::Error + Send + Sync>;

/// How the surroundings spell things.
#[derive(Debug, Clone, Copy)]
pub struct Wire {
    /// The store.
    pub store: StoreWire,
    /// Endpoints.
    pub endpoint: EndpointWire,
    /// Requests and answers.
    pub head: HeadWire,
    /// The path at which the balancer asks whether the daemon is ready.
    pub readiness_path: &'static str,
}

/// How the store spells things.
#[derive(Debug, Clone, Copy)]
pub struct StoreWire {
    /// The table and key of the operators' configuration.
    pub config_row: (&'static str, &'static str),
    /// The table of live endpoints, by name.
    pub endpoint_table: &'static str,
    /// Reads a partition of a table, or what lies behind a key there.
    pub read_call: fn(&str, &str, Option<&str>) -> Call,
    /// The answer to that.
    pub read_answer: fn(u16, &[u8]) -> Result<RowPage, Unreadable>,
    /// Waits for changes of a table after a transaction, for a time in ms.
    pub follow_call: fn(&str, u64, u64) -> Call,
    /// The answer to that.
    pub follow_answer: fn(u16, &[u8]) -> Result<Feed, Unreadable>,
    /// Writes under a condition.
    pub write_call: fn(&ConditionalWrite) -> Call,
    /// The answer to that.
    pub write_answer: fn(u16, &[u8]) -> WriteOutcome,
    /// Reads a configuration.
    pub read_config: fn(&[u8]) -> Result<Catalog, Unreadable>,
    /// Reads the entry of the endpoint with a name.
    pub read_endpoint: fn(&str, &[u8]) -> Result<Endpoint, Unreadable>,
}

/// How endpoints spell things.
#[derive(Debug, Clone, Copy)]
pub struct EndpointWire {
    /// Asks an engine for its report.
    pub report_call: fn() -> Call,
    /// The answer to that.
    pub report_answer: fn(u16, &[u8]) -> Result<EngineReport, Unreadable>,
    /// Asks an endpoint, at its service's own path for that, who it is.
    pub identity_call: fn(&EndpointName, &str) -> Option<Call>,
    /// The answer to that, if it names an endpoint.
    pub identity_answer: fn(&HeaderMap) -> Option<EndpointName>,
    /// Gives an order: endpoint, order, expected count, leader, fencing number.
    pub order_call: fn(&EndpointName, &Order, u64, &str, u64) -> Call,
    /// The answer to that.
    pub order_answer: fn(u16) -> OrderAnswer,
}

/// How requests and answers are spelled.
#[derive(Debug, Clone, Copy)]
pub struct HeadWire {
    /// Reads a caller's request.
    pub read_request: fn(&HeaderMap) -> Option<RequestHead>,
    /// Makes a caller's headers those for an endpoint.
    pub forward_request: fn(&mut HeaderMap, &Forwarded<'_>),
    /// Reads an endpoint's answer.
    pub read_answer: fn(&HeaderMap) -> AnswerHead,
    /// Reads what an endpoint says of itself in an answer with a status.
    pub read_notice: fn(StatusCode, &HeaderMap) -> EndpointSignals,
    /// Makes an endpoint's headers those for the caller.
    pub forward_answer: fn(&mut HeaderMap),
    /// Sets the headers of an answer of the daemon's own to a request with an id.
    pub own_answer: fn(&mut HeaderMap, &str),
}
