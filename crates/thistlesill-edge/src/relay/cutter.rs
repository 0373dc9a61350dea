//! Splits a byte stream into complete events.

use bytes::{Bytes, BytesMut};

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";
/// The prefix of the line with an event's id.
const ID_PREFIX: &[u8] = b"id:";

/// Buffers bytes and returns complete events.
///
/// Only complete events go to the caller, so that a stream that breaks off within an event can be
/// resumed after the last complete one.
#[derive(Debug, Default)]
pub(super) struct Cutter {
    buffer: BytesMut,
    /// Length of the start of `buffer` that is known to hold no end of an event.
    searched: usize,
    last_id: Option<String>,
}

impl Cutter {
    /// Appends bytes to the buffer.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns all complete events, or `None` if there are none.
    pub(super) fn take(&mut self) -> Option<Bytes> {
        let from = self.searched.saturating_sub(EVENT_END.len() - 1);
        let found = rfind(&self.buffer[from..], EVENT_END);
        let Some(at) = found else {
            self.searched = self.buffer.len();
            return None;
        };
        let events = self.buffer.split_to(from + at + EVENT_END.len()).freeze();
        self.searched = 0;
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns whether the buffer holds part of an event.
    pub(super) fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the incomplete event in the buffer.
    pub(super) fn drop_partial(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Returns the id of the last event that [`take`](Self::take) returned.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn rfind(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|w| w == pattern)
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_PREFIX));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
