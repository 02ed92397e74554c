//! Texts that are packed for their way between daemons.
//!
//! The load that this answers: a configuration that grows by a thousand routes, which one leader
//! passes on to all daemons at once. Whole it kept the links of small VMs busy for longer than they
//! wait for an answer, so they asked for it again and again, and got none.

use flate2::{
    Compression,
    read::{DeflateDecoder, DeflateEncoder},
};
use std::{io::Read, sync::Arc};

/// Largest text that is unpacked; the store's rows are smaller.
const MOST_BYTES: u64 = 16 << 20;

/// A packed text.
#[trestle_macros::plain]
pub struct CompressedText(Arc<Vec<u8>>);

impl CompressedText {
    /// Packs a text.
    pub fn compress(text: &[u8]) -> Self {
        let mut packed = Vec::new();
        // Reading from memory does not fail.
        let _ = DeflateEncoder::new(text, Compression::default()).read_to_end(&mut packed);
        Self(Arc::new(packed))
    }

    /// The text; `None` if it was not packed like this, or is too large.
    pub fn decompress(&self) -> Option<Vec<u8>> {
        let mut text = Vec::new();
        let mut unpacked = DeflateDecoder::new(self.0.as_slice()).take(MOST_BYTES + 1);
        unpacked.read_to_end(&mut text).ok()?;
        (text.len() as u64 <= MOST_BYTES).then_some(text)
    }

    /// What is packed, as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// A packed text that came as bytes.
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(Arc::new(bytes))
    }
}
