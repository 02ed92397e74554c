//! Fingerprints of requests, which are the same for all attempts of a request, and of parts of
//! prompts, which are the same for all requests that share them.
//!
//! A caller retries a failed request with another id, at any daemon of any failure domain, and
//! possibly from another address. The path and the body stay the same, so a digest of these
//! identifies the request. Callers that send the same body are treated as one: what a request
//! does to an endpoint does not depend on who sends it. The digest uses a cryptographic hash, so
//! that no caller can craft a body with the fingerprint of another caller's request.

use sha2::{Digest, Sha256};
use std::fmt;
use trestle_core::names::ServiceName;

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// The first bytes of the fingerprint of a part; those of a request differ from them but for one in
/// four billion.
const PART_MARK: [u8; 4] = *b"part";

/// A digest that is the same for all attempts of a request, or for all requests with the same part of
/// a prompt.
#[trestle_macros::key]
#[derive(Copy)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// The parts of a request that are the same for all its attempts.
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
    /// Returns the fingerprint of a request.
    pub fn of(content: RequestContent<'_>) -> Self {
        let mut hasher = Sha256::new();
        // Each part is preceded by its length, so that different parts cannot form the same
        // input.
        for part in [content.method, content.host, content.path] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(content.body);
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Returns the fingerprint of a part of a prompt. What it does to engines depends on their
    /// software, so it counts within one service, whatever the model, the route and the caller.
    pub fn of_part(service: &ServiceName, part: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((service.as_str().len() as u64).to_le_bytes());
        hasher.update(service.as_str());
        hasher.update(part);
        let mut bytes = [0; FINGERPRINT_BYTES];
        let (mark, digest) = bytes.split_at_mut(PART_MARK.len());
        mark.copy_from_slice(&PART_MARK);
        digest.copy_from_slice(&hasher.finalize()[..digest.len()]);
        Self(bytes)
    }

    /// Returns whether this is the fingerprint of a part.
    pub fn is_part(&self) -> bool {
        self.0.starts_with(&PART_MARK)
    }

    /// Creates a fingerprint from its bytes.
    pub const fn from_bytes(bytes: [u8; FINGERPRINT_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the fingerprint.
    pub fn as_bytes(&self) -> &[u8; FINGERPRINT_BYTES] {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
