//! What a caller asks for, whatever id an attempt has.
//!
//! An attempt that fails comes again with another id, at any daemon of any failure domain, and
//! from another address where the caller has several. What stays the same is the path and the
//! body; a digest of these names the request. Callers who send the same body are taken for one:
//! what it does to an endpoint does not depend on who sends it. The digest is made by a hash
//! under which nobody finds another body for it, so that no caller can have another's requests
//! taken for its own.

use sha2::{Digest, Sha256};
use std::fmt;

/// Bytes of a fingerprint.
const BYTES: usize = 16;

/// A digest that all attempts of one request have in common.
#[trestle_macros::key]
#[derive(Copy)]
pub struct Fingerprint([u8; BYTES]);

/// What all attempts of one request have in common.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
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
        let mut hasher = Sha256::new();
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
    pub const fn from_bytes(bytes: [u8; BYTES]) -> Self {
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
