//! Putting the pieces of a streamed answer in order.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Pieces held back at most while an earlier one is missing.
const MAX_HELD: usize = 256;

/// What to do with a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Placed {
    /// Deliver these, in order.
    Ready(Vec<(u32, Arc<str>)>),
    /// Wait for an earlier one.
    Held,
    /// It was delivered before.
    Doubled,
    /// Too many are held back: an earlier one is lost.
    Gap,
}

/// The pieces of one answer.
#[derive(Debug, Clone, Default)]
pub(super) struct Assembly {
    next: u32,
    held: BTreeMap<u32, Arc<str>>,
    text: String,
}

impl Assembly {
    /// An answer of which the caller has all pieces before `next`.
    pub(super) fn from(next: u32) -> Self {
        Self {
            next,
            ..Self::default()
        }
    }

    /// The next piece wanted.
    pub(super) const fn next(&self) -> u32 {
        self.next
    }

    /// The text delivered.
    pub(super) fn text(&self) -> &str {
        &self.text
    }

    /// Takes in a piece.
    pub(super) fn place(&mut self, offset: u32, text: Arc<str>) -> Placed {
        if offset < self.next {
            return Placed::Doubled;
        }
        self.held.insert(offset, text);
        if offset > self.next {
            return if self.held.len() > MAX_HELD {
                Placed::Gap
            } else {
                Placed::Held
            };
        }
        let mut ready = Vec::new();
        while let Some(text) = self.held.remove(&self.next) {
            self.text.push_str(&text);
            ready.push((self.next, text));
            self.next += 1;
        }
        Placed::Ready(ready)
    }

    /// Drops what is held back: a new attempt begins at the next piece.
    pub(super) fn restart(&mut self) {
        self.held.clear();
    }
}
