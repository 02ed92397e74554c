//! How many bytes are read from a connection before the messages on it make progress.
//!
//! The load that this answers: peers that send bytes without end that are no message, as fast as they
//! are read. A decoder may consume such bytes without returning anything: the size line of a chunk that
//! consists of zeros or of spaces, or interim answers one after the other. A bound on what comes out of
//! the decoder never applies, and the decoder keeps its thread as long as the socket has more. So the
//! bytes that go in are counted between two signs of progress, which are a whole head and a part of a
//! body, and the reader pauses from time to time whether or not they make progress.
//!
//! A body in chunks of one byte makes progress with every chunk, and costs as much processor time as one
//! that is hundreds of times as large. So a part of a body covers only a multiple of its own bytes.

use std::fmt;

/// Bytes after which the reader pauses once, so that other connections go on. One core decodes them in
/// some ten microseconds, and a daemon may have hundreds of such connections.
pub const MAX_BYTES_WITHOUT_PAUSE: usize = 8 << 10;

/// Bytes without progress that every connection may bring: the largest head, and what is read ahead of
/// the part of a body that is being processed.
pub const MAX_BYTES_WITHOUT_PROGRESS: usize = 256 << 10;

/// Bytes that may have come for each byte of a body. The framing of a chunk takes five bytes or more.
const BYTES_PER_CONTENT_BYTE: usize = 2;

/// A bound on the bytes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerBound {
    /// The bytes between two signs of progress.
    BytesWithoutProgress,
    /// The bytes of the head of one answer.
    HeadBytes,
    /// The bytes of one answer, or of one event of a stream.
    AnswerBytes,
}

impl AnswerBound {
    /// Returns the name of the bound in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::BytesWithoutProgress => "bytes_without_progress",
            Self::HeadBytes => "head_bytes",
            Self::AnswerBytes => "answer_bytes",
        }
    }
}

impl fmt::Display for AnswerBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What a reader may do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadStep {
    /// Read more.
    Read,
    /// Let other tasks go first, then continue.
    Pause,
    /// Close the connection.
    Fail,
}

/// The bytes that were read from one connection.
#[trestle_macros::plain]
pub struct ReadBudget {
    max_without_progress: usize,
    without_progress: usize,
    without_pause: usize,
    is_exceeded: bool,
}

impl ReadBudget {
    /// Creates the budget of a new connection.
    pub fn new(max_without_progress: usize) -> Self {
        Self { max_without_progress, without_progress: 0, without_pause: 0, is_exceeded: false }
    }

    /// Returns what the reader may do now. A pause counts as made.
    pub fn next_step(&mut self) -> ReadStep {
        if self.is_exceeded {
            return ReadStep::Fail;
        }
        if self.without_pause < MAX_BYTES_WITHOUT_PAUSE {
            return ReadStep::Read;
        }
        self.without_pause = 0;
        ReadStep::Pause
    }

    /// Records bytes that were read.
    pub fn record_read(&mut self, bytes: usize) {
        self.without_progress = self.without_progress.saturating_add(bytes);
        self.is_exceeded |= self.without_progress > self.max_without_progress;
        self.without_pause = self.without_pause.saturating_add(bytes);
    }

    /// Records that the reader had to wait for bytes.
    pub fn record_wait(&mut self) {
        self.without_pause = 0;
    }

    /// Records a whole head.
    pub fn record_head(&mut self) {
        self.without_progress = 0;
    }

    /// Records a part of a body.
    pub fn record_content(&mut self, bytes: usize) {
        let covered = bytes.saturating_mul(BYTES_PER_CONTENT_BYTE);
        self.without_progress = self.without_progress.saturating_sub(covered);
    }

    /// Returns whether too many bytes came without progress. It stays so.
    pub fn is_exceeded(&self) -> bool {
        self.is_exceeded
    }
}
