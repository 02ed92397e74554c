//! Texts of the most recent configurations, kept to relay them to other daemons.

use crate::{
    compressed_text::CompressedText,
    text_delta::{TextPiece, text_delta},
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Number of configurations that are kept: daemons are one or two changes behind, even if changes
/// follow each other quickly.
const KEPT_VERSIONS: usize = 4;

/// An update of the configuration for one daemon.
#[derive(Debug, Clone)]
pub enum ConfigUpdate {
    /// The whole text.
    Whole(CompressedText),
    /// The changes since a version that the daemon has.
    Changes {
        /// The version that the daemon has.
        from: u64,
        /// The pieces from which the new text is composed.
        pieces: Arc<Vec<CompressedPiece>>,
    },
}

/// One piece of a new text.
#[derive(Debug, Clone)]
pub enum CompressedPiece {
    /// A range of the old text: its start and its length in bytes.
    Kept(usize, usize),
    /// New bytes.
    New(CompressedText),
}

/// The most recent configurations, by version.
#[derive(Debug, Default)]
pub struct ConfigTexts {
    /// Versions and texts, the oldest first.
    texts: VecDeque<(u64, Arc<Vec<u8>>)>,
    /// The newest text in compressed form, once a daemon needed all of it.
    whole: Option<CompressedText>,
    /// Changes from older versions to the newest; `None` if they are no shorter than the text.
    /// They are computed once for all daemons.
    deltas: BTreeMap<u64, Option<Arc<Vec<CompressedPiece>>>>,
}

impl ConfigTexts {
    /// Adds a newer configuration.
    pub fn add(&mut self, version: u64, text: Vec<u8>) {
        self.texts.push_back((version, Arc::new(text)));
        self.deltas.clear();
        self.whole = None;
        while self.texts.len() > KEPT_VERSIONS {
            self.texts.pop_front();
        }
    }

    /// Returns the text of a version.
    pub fn text(&self, version: u64) -> Option<&Arc<Vec<u8>>> {
        self.texts.iter().find(|(at, _)| *at == version).map(|(_, text)| text)
    }

    /// Returns the update for a daemon that has version `known`; `None` if that is the newest.
    pub fn update_since(&mut self, known: u64) -> Option<ConfigUpdate> {
        let (newest, text) = self.texts.back()?;
        if *newest <= known {
            return None;
        }
        let old = self.texts.iter().find(|(at, _)| *at == known);
        let pieces = old.and_then(|(from, old)| {
            let delta = self.deltas.entry(*from);
            delta
                .or_insert_with(|| text_delta(old, text).map(compress_pieces).map(Arc::new))
                .clone()
        });
        Some(match pieces {
            Some(pieces) => ConfigUpdate::Changes { from: known, pieces },
            None => ConfigUpdate::Whole(
                self.whole.get_or_insert_with(|| CompressedText::compress(text)).clone(),
            ),
        })
    }
}

fn compress_pieces(pieces: Vec<TextPiece>) -> Vec<CompressedPiece> {
    let each = pieces.into_iter().map(|piece| match piece {
        TextPiece::Kept { from, length } => CompressedPiece::Kept(from, length),
        TextPiece::New(bytes) => CompressedPiece::New(CompressedText::compress(&bytes)),
    });
    each.collect()
}

/// Decompresses the pieces of a text. Returns `None` if a piece is not valid compressed text.
pub fn decompress_pieces(pieces: &[CompressedPiece]) -> Option<Vec<TextPiece>> {
    let each = pieces.iter().map(|piece| match piece {
        CompressedPiece::Kept(from, length) => {
            Some(TextPiece::Kept { from: *from, length: *length })
        }
        CompressedPiece::New(text) => text.decompress().map(TextPiece::New),
    });
    each.collect()
}
