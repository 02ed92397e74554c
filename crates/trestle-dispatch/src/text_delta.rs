//! Deltas between texts: a new text, expressed by its changes from an old text that the receiver
//! has.
//!
//! The load that this answers: a leader relays each new configuration to about sixty daemons at
//! once, and to twice as many if it leads two domains. As whole texts of 60 KB each, this took
//! the link of a small VM 2.8 s, and the renewals of its leases queued behind them until the
//! leases ran out. Operators change only a few routes at a time.

use similar::{Algorithm, DiffOp, capture_diff_slices};

/// Byte that ends a segment in the first comparison; in JSON each object.
const OBJECT_END: u8 = b'}';
/// Byte that ends a segment where few objects differ; in JSON each field.
const FIELD_END: u8 = b',';
/// Largest number of consecutive differing objects, of both texts together, that are compared by
/// fields. The time of a comparison grows with the square of the difference, and a leader must
/// not block when a thousand routes are added.
const FEW_OBJECTS: usize = 64;

/// One piece of a new text.
#[trestle_macros::plain]
pub enum TextPiece {
    /// A range of the old text.
    Kept {
        /// Start of the range in bytes.
        from: usize,
        /// Length of the range in bytes.
        length: usize,
    },
    /// New bytes.
    New(Vec<u8>),
}

/// Returns the pieces that compose a new text from an old one; `None` if they hold at least half
/// of the new text.
pub fn text_delta(old: &[u8], new: &[u8]) -> Option<Vec<TextPiece>> {
    let mut pieces = Vec::new();
    compare(old, 0, new, OBJECT_END, &mut pieces);
    let new_bytes: usize = pieces.iter().map(TextPiece::new_bytes).sum();
    (new_bytes < new.len() / 2).then_some(pieces)
}

/// Compares a new text with the part of the old one that begins at `begin`, and appends the
/// pieces.
fn compare(old: &[u8], begin: usize, new: &[u8], delimiter: u8, pieces: &mut Vec<TextPiece>) {
    let (old_segments, new_segments) = (segments(old, delimiter), segments(new, delimiter));
    let boundaries = boundaries(&old_segments);
    for op in capture_diff_slices(Algorithm::Myers, &old_segments, &new_segments) {
        match op {
            DiffOp::Equal { old_index, len, .. } => {
                let (from, until) = (boundaries[old_index], boundaries[old_index + len]);
                pieces.push(TextPiece::Kept { from: begin + from, length: until - from });
            }
            DiffOp::Insert { new_index, new_len, .. } => {
                pieces.push(TextPiece::New(new_segments[new_index..new_index + new_len].concat()));
            }
            DiffOp::Replace { old_index, old_len, new_index, new_len } => {
                let replaced = new_segments[new_index..new_index + new_len].concat();
                let (from, until) = (boundaries[old_index], boundaries[old_index + old_len]);
                match delimiter {
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
    /// Returns the number of bytes that the receiver does not have.
    fn new_bytes(&self) -> usize {
        match self {
            Self::Kept { .. } => 0,
            Self::New(bytes) => bytes.len(),
        }
    }
}

/// Composes the new text; returns `None` if the old one is not the text that the pieces refer to.
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

fn segments(text: &[u8], delimiter: u8) -> Vec<&[u8]> {
    text.split_inclusive(|byte| *byte == delimiter).collect()
}

/// Returns the start of each segment, and the end of the last one.
fn boundaries(segments: &[&[u8]]) -> Vec<usize> {
    let mut end = 0;
    let mut boundaries = vec![0];
    for segment in segments {
        end += segment.len();
        boundaries.push(end);
    }
    boundaries
}
