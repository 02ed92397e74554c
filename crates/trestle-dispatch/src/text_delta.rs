//! A text by what has changed in it since another that the receiver has.
//!
//! The load that this answers: a leader passes each new configuration on to some sixty daemons
//! at once, twice as many if it leads two domains. Whole, 60 KB each, that took a small VM's
//! link 2.8 s, behind which its renewals waited until its leases ran out. Operators change a
//! few routes at a time.

use similar::{Algorithm, DiffOp, capture_diff_slices};

/// What ends a segment of a text at first; in JSON every object.
const OBJECT_END: u8 = b'}';
/// What ends one where few objects differ; in JSON every field.
const FIELD_END: u8 = b',';
/// Objects that differ in a row, of both texts, up to which they are compared by fields. The time
/// of a comparison grows with the square of what differs, and a leader must not stand still where
/// a thousand routes are added.
const FEW_OBJECTS: usize = 64;

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
    let mut pieces = Vec::new();
    compare(old, 0, new, OBJECT_END, &mut pieces);
    let new_bytes: usize = pieces.iter().map(TextPiece::new_bytes).sum();
    (new_bytes < new.len() / 2).then_some(pieces)
}

/// Compares a new text with a part of the old one that begins at some place.
fn compare(old: &[u8], begin: usize, new: &[u8], end: u8, pieces: &mut Vec<TextPiece>) {
    let (old_segments, new_segments) = (segments(old, end), segments(new, end));
    let ends = ends(&old_segments);
    for op in capture_diff_slices(Algorithm::Myers, &old_segments, &new_segments) {
        match op {
            DiffOp::Equal { old_index, len, .. } => {
                let (from, until) = (ends[old_index], ends[old_index + len]);
                pieces.push(TextPiece::Kept { from: begin + from, length: until - from });
            }
            DiffOp::Insert { new_index, new_len, .. } => {
                pieces.push(TextPiece::New(new_segments[new_index..new_index + new_len].concat()));
            }
            DiffOp::Replace { old_index, old_len, new_index, new_len } => {
                let replaced = new_segments[new_index..new_index + new_len].concat();
                let (from, until) = (ends[old_index], ends[old_index + old_len]);
                match end {
                    OBJECT_END if old_len + new_len <= FEW_OBJECTS => {
                        compare(&old[from..until], begin + from, &replaced, FIELD_END, pieces);
                    }
                    _ => pieces.push(TextPiece::New(replaced)),
                }
            }
            DiffOp::Delete { .. } => {}
        }
    }
}

impl TextPiece {
    /// Bytes of it that the receiver does not have.
    fn new_bytes(&self) -> usize {
        match self {
            Self::Kept { .. } => 0,
            Self::New(bytes) => bytes.len(),
        }
    }
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

fn segments(text: &[u8], end: u8) -> Vec<&[u8]> {
    text.split_inclusive(|byte| *byte == end).collect()
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
