//! A text by what has changed in it since another that the receiver has.
//!
//! The load that this answers: a leader passes each new configuration on to some sixty daemons
//! at once, twice as many if it leads two domains. Whole, 60 KB each, that took a small VM's
//! link 2.8 s, behind which its renewals waited until its leases ran out. Operators change a
//! few routes at a time.

use similar::{Algorithm, DiffOp, capture_diff_slices};

/// Segments end with this; in JSON, with every field.
const SEPARATOR: u8 = b',';

/// One part of the new text.
#[trestle_macros::plain]
pub enum TextPiece {
    /// Bytes of the old text.
    Kept {
        /// Where they begin.
        from: usize,
        /// How many.
        length: usize,
    },
    /// Bytes that are new.
    New(Vec<u8>),
}

/// What makes a new text out of an old one; `None` if that is no shorter than the new one.
pub fn text_delta(old: &[u8], new: &[u8]) -> Option<Vec<TextPiece>> {
    let (old_segments, new_segments) = (segments(old), segments(new));
    let ends = ends(&old_segments);
    let mut pieces = Vec::new();
    let mut new_bytes = 0;
    for op in capture_diff_slices(Algorithm::Myers, &old_segments, &new_segments) {
        match op {
            DiffOp::Equal { old_index, len, .. } => {
                let (from, until) = (ends[old_index], ends[old_index + len]);
                pieces.push(TextPiece::Kept { from, length: until - from });
            }
            DiffOp::Insert { new_index, new_len, .. }
            | DiffOp::Replace { new_index, new_len, .. } => {
                let bytes = new_segments[new_index..new_index + new_len].concat();
                new_bytes += bytes.len();
                pieces.push(TextPiece::New(bytes));
            }
            DiffOp::Delete { .. } => {}
        }
    }
    (new_bytes < new.len() / 2).then_some(pieces)
}

/// The new text; `None` if the old one is not what the pieces were made from.
pub fn apply_delta(old: &[u8], pieces: &[TextPiece]) -> Option<Vec<u8>> {
    let mut new = Vec::new();
    for piece in pieces {
        match piece {
            TextPiece::Kept { from, length } => {
                new.extend_from_slice(old.get(*from..from.checked_add(*length)?)?);
            }
            TextPiece::New(bytes) => new.extend_from_slice(bytes),
        }
    }
    Some(new)
}

fn segments(text: &[u8]) -> Vec<&[u8]> {
    text.split_inclusive(|byte| *byte == SEPARATOR).collect()
}

/// Where each segment begins, and the last ends.
fn ends(segments: &[&[u8]]) -> Vec<usize> {
    let mut end = 0;
    let mut ends = vec![0];
    for segment in segments {
        end += segment.len();
        ends.push(end);
    }
    ends
}
