//! A bound on the bytes that a process holds for others: bodies of requests, and answers whose callers
//! have not read them yet.
//!
//! Each body and each connection has a bound of its own. Their sum has none: a few hundred callers that
//! send or ask for as much as they may would take all the memory of a small machine, and the requests of
//! all others end with the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Parts of the memory that are kept for smaller bodies, as the largest size of these in bytes and the part,
/// one in so many. A crowd of bodies of one size leaves room for those of ordinary callers.
const KEPT_PARTS: [(usize, usize); 2] = [(64 * 1024, 8), (8 * 1024, 16)];
/// Smallest capacity of a buffer, in bytes.
const MIN_CAPACITY: usize = 1024;

#[derive(Debug, Default)]
struct Account {
    held: AtomicUsize,
    limit: AtomicUsize,
}

/// The bytes that may be held at a time. Clones share the account.
#[derive(Debug, Clone, Default)]
pub struct MemoryBudget(Arc<Account>);

impl MemoryBudget {
    /// Sets the number of bytes that may be held.
    pub fn set_limit(&self, bytes: usize) {
        self.0.limit.store(bytes, Ordering::Relaxed);
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Creates a reservation of no bytes.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation {
            account: self.0.clone(),
            bytes: 0,
        }
    }
}

/// Bytes that are held until this value is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Arc<Account>,
    bytes: usize,
}

impl Reservation {
    /// Changes the number of bytes. Returns whether there was room; if not, nothing changes.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let held = &self.account.held;
        let limit = self.account.limit.load(Ordering::Relaxed);
        let kept = kept_for_smaller(bytes, limit);
        if let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) {
            let before = held.fetch_add(more, Ordering::Relaxed);
            if before.saturating_add(more) > limit - kept {
                held.fetch_sub(more, Ordering::Relaxed);
                return false;
            }
        } else {
            held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        true
    }

    /// Holds these bytes until their last copy is dropped.
    #[must_use]
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(HeldBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Returns the bytes that a body of this size must leave free.
fn kept_for_smaller(bytes: usize, limit: usize) -> usize {
    let mut kept = KEPT_PARTS.iter().filter(|(size, _)| bytes > *size);
    kept.next().map_or(0, |(_, part)| limit / part)
}

/// A body that arrives in parts, and takes memory for its capacity as it grows.
#[derive(Debug)]
pub struct HeldBuffer {
    bytes: BytesMut,
    reservation: Reservation,
    max_capacity: usize,
}

impl HeldBuffer {
    /// Creates an empty buffer whose capacity grows to at most `max_capacity`, or to its length if that is
    /// larger.
    #[must_use]
    pub fn new(memory: &MemoryBudget, max_capacity: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
            reservation: memory.reservation(),
            max_capacity,
        }
    }

    /// Returns the number of bytes in the buffer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes. Returns whether there is memory for them; if not, nothing changes.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let length = self.bytes.len() + bytes.len();
        if length > self.bytes.capacity() && !self.grow(length) {
            return false;
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Grows the capacity to at least `length`.
    fn grow(&mut self, length: usize) -> bool {
        let doubled = length.next_power_of_two().max(MIN_CAPACITY);
        let capacity = doubled.min(self.max_capacity).max(length);
        if !self.reservation.resize(capacity) {
            return false;
        }
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.bytes);
        self.bytes = grown;
        true
    }

    /// Returns the bytes, which hold their memory until their last copy is dropped.
    #[must_use]
    pub fn finish(self) -> Bytes {
        self.reservation.hold(self.bytes.freeze())
    }
}

/// Bytes with the reservation that they are held by.
struct HeldBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
