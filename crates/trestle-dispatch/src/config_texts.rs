//! The configuration as the store holds it, kept for passing it on.

use crate::{
    compressed_text::CompressedText,
    text_delta::{TextPiece, text_delta},
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Configurations that are kept: daemons are one or two changes behind, also where changes
/// come in quick succession.
const KEPT: usize = 4;

/// What a daemon is told of the configuration.
#[derive(Debug, Clone)]
pub enum ConfigUpdate {
    /// Its text.
    Whole(CompressedText),
    /// What has changed since a version that the daemon has.
    Changes {
        /// That version.
        from: u64,
        /// What makes the new text out of it.
        pieces: Arc<Vec<CompressedPiece>>,
    },
}

/// One part of a new text.
#[derive(Debug, Clone)]
pub enum CompressedPiece {
    /// Bytes of the old text: where they begin, and how many.
    Kept(usize, usize),
    /// Bytes that are new.
    New(CompressedText),
}

/// The last configurations, by version.
#[derive(Debug, Default)]
pub struct ConfigTexts {
    /// The oldest first.
    texts: VecDeque<(u64, Arc<Vec<u8>>)>,
    /// The newest, once somebody has asked for all of it.
    whole: Option<CompressedText>,
    /// What has changed since older ones; none where that is no shorter. Worked out once for
    /// all daemons that ask.
    deltas: BTreeMap<u64, Option<Arc<Vec<CompressedPiece>>>>,
}

impl ConfigTexts {
    /// Takes a newer configuration.
    pub fn add(&mut self, version: u64, text: Vec<u8>) {
        self.texts.push_back((version, Arc::new(text)));
        self.deltas.clear();
        self.whole = None;
        while self.texts.len() > KEPT {
            self.texts.pop_front();
        }
    }

    /// The text of a version.
    pub fn text(&self, version: u64) -> Option<&Arc<Vec<u8>>> {
        self.texts.iter().find(|(at, _)| *at == version).map(|(_, text)| text)
    }

    /// What a daemon is told that has a version; nothing if that is the newest.
    pub fn update_since(&mut self, have: u64) -> Option<ConfigUpdate> {
        let (newest, text) = self.texts.back()?;
        if *newest <= have {
            return None;
        }
        let old = self.texts.iter().find(|(at, _)| *at == have);
        let pieces = old.and_then(|(from, old)| {
            let delta = self.deltas.entry(*from);
            delta.or_insert_with(|| text_delta(old, text).map(packed).map(Arc::new)).clone()
        });
        Some(match pieces {
            Some(pieces) => ConfigUpdate::Changes { from: have, pieces },
            None => ConfigUpdate::Whole(
                self.whole.get_or_insert_with(|| CompressedText::compress(text)).clone(),
            ),
        })
    }
}

fn packed(pieces: Vec<TextPiece>) -> Vec<CompressedPiece> {
    let each = pieces.into_iter().map(|piece| match piece {
        TextPiece::Kept { from, length } => CompressedPiece::Kept(from, length),
        TextPiece::New(bytes) => CompressedPiece::New(CompressedText::compress(&bytes)),
    });
    each.collect()
}

/// The pieces of a text as they were before their way; `None` if they were packed otherwise.
pub fn decompress_pieces(pieces: &[CompressedPiece]) -> Option<Vec<TextPiece>> {
    let each = pieces.iter().map(|piece| match piece {
        CompressedPiece::Kept(from, length) => {
            Some(TextPiece::Kept { from: *from, length: *length })
        }
        CompressedPiece::New(packed) => packed.decompress().map(TextPiece::New),
    });
    each.collect()
}
