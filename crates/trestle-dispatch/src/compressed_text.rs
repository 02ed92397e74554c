//! Texts that are compressed for transfer between daemons.
//!
//! The load that this answers: a configuration that grows by a thousand routes, which one leader
//! relays to all daemons at once. Uncompressed it occupied the links of small VMs for longer than
//! daemons wait for an answer, so they repeated their requests and never received an answer.

use flate2::{
    Compression,
    read::{DeflateDecoder, DeflateEncoder},
};
use std::{io::Read, sync::Arc};

/// Largest text in bytes that is decompressed; the store's rows are smaller.
const MAX_TEXT_BYTES: u64 = 16 << 20;

/// A text in compressed form.
#[trestle_macros::plain]
pub struct CompressedText(Arc<Vec<u8>>);

impl CompressedText {
    /// Compresses a text.
    pub fn compress(text: &[u8]) -> Self {
        let mut compressed = Vec::new();
        // Reading from memory does not fail.
        let _ = DeflateEncoder::new(text, Compression::default()).read_to_end(&mut compressed);
        Self(Arc::new(compressed))
    }

    /// Returns the text; `None` if the bytes are not valid compressed text, or the text is too
    /// large.
    pub fn decompress(&self) -> Option<Vec<u8>> {
        let mut text = Vec::new();
        let mut decoder = DeflateDecoder::new(self.0.as_slice()).take(MAX_TEXT_BYTES + 1);
        decoder.read_to_end(&mut text).ok()?;
        (text.len() as u64 <= MAX_TEXT_BYTES).then_some(text)
    }

    /// Returns the compressed bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Creates a value from compressed bytes that were received.
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(Arc::new(bytes))
    }
}
