//! Reassembly of the pieces of a streamed answer.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of pieces buffered while an earlier one is missing.
const MAX_BUFFERED: usize = 256;

/// Result of accepting a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PieceResult {
    /// These pieces can be delivered, in order.
    Ready(Vec<(u32, Arc<str>)>),
    /// The piece is buffered until an earlier one arrives.
    Buffered,
    /// The piece was delivered before.
    Duplicate,
    /// The buffer is full: an earlier piece is lost.
    Gap,
}

/// Pieces of one answer, with those that arrived out of order.
#[derive(Debug, Clone, Default)]
pub(super) struct Assembly {
    next: u32,
    buffered: BTreeMap<u32, Arc<str>>,
    text: String,
}

impl Assembly {
    /// Creates an answer whose pieces before `next` were already delivered.
    pub(super) fn starting_at(next: u32) -> Self {
        Self {
            next,
            ..Self::default()
        }
    }

    /// Returns the offset of the next missing piece.
    pub(super) const fn next(&self) -> u32 {
        self.next
    }

    /// Returns the text delivered since creation.
    pub(super) fn text(&self) -> &str {
        &self.text
    }

    /// Accepts a piece and returns what can be delivered.
    pub(super) fn accept(&mut self, offset: u32, text: Arc<str>) -> PieceResult {
        if offset < self.next {
            return PieceResult::Duplicate;
        }
        self.buffered.insert(offset, text);
        if offset > self.next {
            return if self.buffered.len() > MAX_BUFFERED {
                PieceResult::Gap
            } else {
                PieceResult::Buffered
            };
        }
        let mut ready = Vec::new();
        while let Some(text) = self.buffered.remove(&self.next) {
            self.text.push_str(&text);
            ready.push((self.next, text));
            self.next += 1;
        }
        PieceResult::Ready(ready)
    }

    /// Clears the buffer: a new attempt begins at the next missing piece.
    pub(super) fn restart(&mut self) {
        self.buffered.clear();
    }
}
