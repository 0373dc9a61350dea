//! Splits a byte stream into complete events.

use bytes::{Bytes, BytesMut};

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";
/// The prefix of the line with an event's id.
const ID_PREFIX: &[u8] = b"id:";

/// Largest event. A target in trouble may send bytes without end that complete none.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// What bytes add to a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Added {
    /// They complete at least one event.
    Events,
    /// They are part of an event.
    Part,
    /// They make an event longer than any event may be.
    Excess,
}

/// Buffers bytes and returns complete events.
///
/// Only complete events go to the caller, so that a stream that breaks off within an event can be
/// resumed after the last complete one.
#[derive(Debug, Default)]
pub(super) struct Cutter {
    buffer: BytesMut,
    /// Length of the start of `buffer` that consists of complete events.
    complete: usize,
    last_id: Option<String>,
}

impl Cutter {
    /// Appends bytes to the buffer, and returns what they add.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Added {
        // The end of an event may begin in the bytes before.
        let searched = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
        let from = searched.max(self.complete);
        self.buffer.extend_from_slice(bytes);
        if let Some(at) = rfind(&self.buffer[from..], EVENT_END) {
            self.complete = from + at + EVENT_END.len();
            Added::Events
        } else if self.buffer.len() - self.complete <= MAX_EVENT_BYTES {
            Added::Part
        } else {
            Added::Excess
        }
    }

    /// Removes and returns all complete events, or `None` if there are none.
    pub(super) fn take(&mut self) -> Option<Bytes> {
        if self.complete == 0 {
            return None;
        }
        let events = self.buffer.split_to(self.complete).freeze();
        self.complete = 0;
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns whether the buffer holds part of an event.
    pub(super) fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of bytes of the event that is not complete.
    pub(super) fn partial_len(&self) -> usize {
        self.buffer.len() - self.complete
    }

    /// Drops the incomplete event in the buffer.
    pub(super) fn drop_partial(&mut self) {
        self.buffer.truncate(self.complete);
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
