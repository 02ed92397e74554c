//! What a caller asks for, whatever id an attempt has.
//!
//! An attempt that fails comes again with another id, at any daemon. What stays the same is the
//! caller, the path and the body; a digest of these names the request. It is made by a hash
//! under which nobody finds two requests with one digest, so that no caller can have another's
//! requests taken for its own.

use sha2::{Digest, Sha256};
use std::{
    fmt,
    net::{IpAddr, Ipv6Addr},
};

/// Bytes of a fingerprint.
const BYTES: usize = 16;

/// A digest that all attempts of one request have in common.
#[trestle_macros::key]
#[derive(Copy)]
pub struct Fingerprint([u8; BYTES]);

/// What all attempts of one request have in common.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Where the caller's connection comes from.
    pub caller: Option<IpAddr>,
    /// The method.
    pub method: &'a str,
    /// The host, without a port.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(content: RequestContent<'_>) -> Self {
        let caller = content.caller.map(to_v6).unwrap_or(Ipv6Addr::UNSPECIFIED);
        let mut hasher = Sha256::new();
        hasher.update(caller.octets());
        // Lengths go first, so that no part runs into the next.
        for part in [content.method, content.host, content.path] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(content.body);
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..BYTES]);
        Self(bytes)
    }

    /// The fingerprint with these bytes.
    pub fn from_bytes(bytes: [u8; BYTES]) -> Self {
        Self(bytes)
    }

    /// Its bytes.
    pub fn as_bytes(&self) -> &[u8; BYTES] {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

fn to_v6(address: IpAddr) -> Ipv6Addr {
    match address {
        IpAddr::V4(address) => address.to_ipv6_mapped(),
        IpAddr::V6(address) => address,
    }
}
