//! Cuts a stream of bytes into whole events.

use bytes::{Bytes, BytesMut};

/// Ends an event.
const END: &[u8] = b"\n\n";
/// Begins the line with an event's id.
const ID: &[u8] = b"id:";

/// Collects bytes and gives whole events out.
///
/// Only whole events go to the caller, so that a stream that breaks off in
/// the middle of one can be taken up at the next.
#[derive(Debug, Default)]
pub(super) struct Cutter {
    held: BytesMut,
    /// Bytes of `held` that are known to hold no end of an event.
    searched: usize,
    last: Option<String>,
}

impl Cutter {
    /// Takes in bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// All events that are whole, if any is.
    pub(super) fn take(&mut self) -> Option<Bytes> {
        let from = self.searched.saturating_sub(END.len() - 1);
        let found = rfind(&self.held[from..], END);
        let Some(at) = found else {
            self.searched = self.held.len();
            return None;
        };
        let events = self.held.split_to(from + at + END.len()).freeze();
        self.searched = 0;
        if let Some(id) = last_id(&events) {
            self.last = Some(id);
        }
        Some(events)
    }

    /// Whether part of an event is held.
    pub(super) fn is_partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Forgets the part of an event that is held.
    pub(super) fn drop_partial(&mut self) {
        self.held.clear();
        self.searched = 0;
    }

    /// The id of the last event that was given out.
    pub(super) fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

fn rfind(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|w| w == pattern)
}

/// The id of the last event that has one.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
