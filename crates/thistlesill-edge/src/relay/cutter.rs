//! Splits a byte stream into complete events.

use bytes::{Bytes, BytesMut};

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

/// The place in the lines of a stream. A line ends with LF, CR LF or CR, and an empty one ends an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Place {
    /// Within a line.
    #[default]
    Line,
    /// After LF, or after CR LF.
    LineEnd,
    /// After CR, which LF may follow.
    CarriageReturn,
    /// As [`CarriageReturn`](Self::CarriageReturn), where an event has ended.
    EventEnd,
}

impl Place {
    /// Returns the place after another byte, and whether an event ends with it.
    const fn after(self, byte: u8) -> (Self, bool) {
        match (byte, self) {
            (b'\n', Self::Line | Self::CarriageReturn) => (Self::LineEnd, false),
            (b'\n', Self::LineEnd | Self::EventEnd) => (Self::LineEnd, true),
            (b'\r', Self::Line) => (Self::CarriageReturn, false),
            (b'\r', _) => (Self::EventEnd, true),
            _ => (Self::Line, false),
        }
    }
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
    /// The place after all bytes so far.
    place: Place,
    last_id: Option<String>,
}

impl Cutter {
    /// Appends bytes to the buffer, and returns what they add.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Added {
        let before = self.buffer.len();
        let mut added = Added::Part;
        for (number, byte) in bytes.iter().enumerate() {
            let (place, is_end) = self.place.after(*byte);
            self.place = place;
            if is_end {
                self.complete = before + number + 1;
                added = Added::Events;
            }
        }
        self.buffer.extend_from_slice(bytes);
        match added {
            Added::Part if self.partial_len() > MAX_EVENT_BYTES => Added::Excess,
            added => added,
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
        self.place = Place::default();
    }

    /// Returns the id of the last event that [`take`](Self::take) returned.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| matches!(b, b'\n' | b'\r'));
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_PREFIX));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
