//! Which entries of the list of endpoints name an endpoint that can be used.
//!
//! The load that this answers: rows of other writers, whose texts may hold any bytes. The name of an
//! endpoint is sent in a header and compared with the name in its answers, the failure domain is part
//! of a row's key in the store, and all texts are relayed, logged and stored. An entry that has a text
//! or an address that cannot be used this way names no endpoint; the other entries hold. The check is
//! made where entries enter a daemon, from the store and from other daemons, so that the rest of the
//! daemon can rely on it.

use crate::{endpoint::Endpoint, store_version::StoreVersion};
use snafu::Snafu;
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

/// Longest text of an entry: that of a key in the store.
const MAX_TEXT_BYTES: usize = 200;
/// Longest name of a failure domain, which is only a part of a key.
const MAX_DOMAIN_BYTES: usize = 100;

/// Rejected entries that are remembered; beyond them some are reported again.
const MAX_REJECTED: usize = 1_024;

/// Why an entry names no endpoint that can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum EntryError {
    /// The name does not pass through a header unchanged.
    #[snafu(display(
        "the name is not of 1 to {MAX_TEXT_BYTES} printable ASCII characters without outer spaces"
    ))]
    Name,
    /// The service has no name that a configuration can have.
    #[snafu(display("the service {}", text_rule(MAX_TEXT_BYTES)))]
    Service,
    /// The failure domain cannot be part of a key.
    #[snafu(display("the failure domain {}", text_rule(MAX_DOMAIN_BYTES)))]
    Domain,
    /// The software version cannot be stored.
    #[snafu(display("the software version {}", text_rule(MAX_TEXT_BYTES)))]
    SoftwareVersion,
    /// No endpoint can listen at the address.
    #[snafu(display("no endpoint can listen at {address}"))]
    Address {
        /// The address.
        address: SocketAddr,
    },
}

fn text_rule(max_bytes: usize) -> String {
    format!("is not of 1 to {max_bytes} bytes without control characters")
}

/// Checks an entry.
///
/// # Errors
///
/// Fails if the entry names no endpoint that can be used.
pub fn check(endpoint: &Endpoint) -> Result<(), EntryError> {
    if !is_header_text(endpoint.name.as_str()) {
        return Err(EntryError::Name);
    }
    if !is_text(endpoint.service.as_str(), MAX_TEXT_BYTES) {
        return Err(EntryError::Service);
    }
    if !is_text(endpoint.domain.as_str(), MAX_DOMAIN_BYTES) {
        return Err(EntryError::Domain);
    }
    let version = endpoint.software_version.as_ref().map_or("", |version| version.as_str());
    if !version.is_empty() && !is_text(version, MAX_TEXT_BYTES) {
        return Err(EntryError::SoftwareVersion);
    }
    match can_listen_at(endpoint.address) {
        true => Ok(()),
        false => Err(EntryError::Address { address: endpoint.address }),
    }
}

/// Returns whether a text arrives unchanged as the value of a header.
fn is_header_text(text: &str) -> bool {
    let is_printable = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
    is_text(text, MAX_TEXT_BYTES) && text.trim() == text && text.bytes().all(is_printable)
}

fn is_text(text: &str, max_bytes: usize) -> bool {
    (1..=max_bytes).contains(&text.len()) && !text.chars().any(char::is_control)
}

/// Returns whether connections to an address can reach one server. A connection to the unspecified
/// address reaches this VM itself.
fn can_listen_at(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// The rejected entries, so that each is reported once although whole lists are read again and again.
#[derive(Debug, Default)]
pub struct RejectedEntries {
    versions: BTreeMap<String, StoreVersion>,
}

impl RejectedEntries {
    /// Records that the entry of a key, written at a version, was rejected. Returns whether it is to
    /// be reported.
    pub fn record(&mut self, key: &str, version: StoreVersion) -> bool {
        if self.versions.get(key) == Some(&version) {
            return false;
        }
        if self.versions.len() >= MAX_REJECTED {
            self.versions.clear();
        }
        self.versions.insert(key.to_owned(), version);
        true
    }
}
