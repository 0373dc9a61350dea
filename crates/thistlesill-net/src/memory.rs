//! A bound on the bytes that a process holds for others: bodies of requests, and answers whose callers
//! have not read them yet.
//!
//! Each body and each connection has a bound of its own. Their sum has none: a few hundred callers that
//! send or ask for as much as they may would take all the memory of a small machine, and the requests of
//! all others end with the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use memmap2::{Advice, MmapMut};

/// Parts of the memory that are kept for smaller bodies, as the largest size of these in bytes and the part,
/// one in so many. A crowd of bodies of one size leaves room for those of ordinary callers.
const KEPT_PARTS: [(usize, usize); 2] = [(64 * 1024, 8), (8 * 1024, 16)];
/// Smallest capacity of a buffer in the heap, in bytes.
const MIN_CAPACITY: usize = 1024;
/// Largest body that is held in the heap, in bytes.
const MAX_HEAP_BYTES: usize = 8 * 1024;
/// Bytes by which a body in pages of its own takes memory; a multiple of the usual sizes of a page.
const PAGES_STEP: usize = 16 * 1024;

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

/// A body that arrives in parts, and takes memory as it grows.
///
/// A large one is in pages of its own, which go back to the system with it. In the heap it would grow by
/// copies of twice the size, and what it leaves behind stays with the process.
#[derive(Debug)]
pub struct HeldBuffer {
    bytes: Part,
    reservation: Reservation,
    max_length: usize,
}

/// The memory of a body.
#[derive(Debug)]
enum Part {
    Heap(BytesMut),
    Pages(Pages),
}

/// The start of a private mapping. Its pages take memory only once bytes are written to them.
#[derive(Debug)]
struct Pages {
    map: MmapMut,
    length: usize,
}

impl AsRef<[u8]> for Pages {
    fn as_ref(&self) -> &[u8] {
        &self.map[..self.length]
    }
}

impl HeldBuffer {
    /// Creates an empty buffer for a body of at most `max_length` bytes.
    #[must_use]
    pub fn new(memory: &MemoryBudget, max_length: usize) -> Self {
        Self {
            bytes: Part::Heap(BytesMut::new()),
            reservation: memory.reservation(),
            max_length,
        }
    }

    /// Returns the number of bytes in the buffer.
    #[must_use]
    pub fn len(&self) -> usize {
        match &self.bytes {
            Part::Heap(bytes) => bytes.len(),
            Part::Pages(pages) => pages.length,
        }
    }

    /// Returns whether the buffer has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes. Returns whether there is memory for them; if not, nothing changes.
    ///
    /// More bytes than the body may have count as no memory.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let length = self.len() + bytes.len();
        if length > self.max_length || !self.reserve(length) {
            return false;
        }
        match &mut self.bytes {
            Part::Heap(heap) => heap.extend_from_slice(bytes),
            Part::Pages(pages) => {
                pages.map[pages.length..length].copy_from_slice(bytes);
                pages.length = length;
            }
        }
        true
    }

    /// Takes memory for a body of this length.
    fn reserve(&mut self, length: usize) -> bool {
        let (held, is_mapped) = match &self.bytes {
            Part::Heap(heap) => (heap.capacity(), false),
            Part::Pages(pages) => (pages.length.next_multiple_of(PAGES_STEP), true),
        };
        if length <= held {
            return true;
        }
        if length <= MAX_HEAP_BYTES {
            let doubled = length.next_power_of_two().max(MIN_CAPACITY);
            let capacity = doubled.min(self.max_length);
            return self.reservation.resize(capacity) && self.grow(capacity);
        }
        let pages = length.next_multiple_of(PAGES_STEP);
        self.reservation.resize(pages) && (is_mapped || self.map())
    }

    /// Moves the bytes to a larger part of the heap.
    fn grow(&mut self, capacity: usize) -> bool {
        if let Part::Heap(heap) = &mut self.bytes {
            let mut grown = BytesMut::with_capacity(capacity);
            grown.extend_from_slice(heap);
            *heap = grown;
        }
        true
    }

    /// Moves the bytes to pages of their own; returns whether the system gives any.
    fn map(&mut self) -> bool {
        let map = MmapMut::map_anon(self.max_length);
        let mut map = match map {
            Ok(map) => map,
            Err(error) => {
                log::warn!("memory: no pages for a body: {error}");
                return false;
            }
        };
        // A huge page would take memory for far more than what has arrived.
        if let Err(error) = map.advise(Advice::NoHugePage) {
            log::debug!("memory: {error}");
        }
        if let Part::Heap(heap) = &self.bytes {
            let length = heap.len();
            map[..length].copy_from_slice(heap);
            self.bytes = Part::Pages(Pages { map, length });
        }
        true
    }

    /// Returns the bytes, which hold their memory until their last copy is dropped.
    #[must_use]
    pub fn finish(self) -> Bytes {
        let bytes = match self.bytes {
            Part::Heap(heap) => heap.freeze(),
            Part::Pages(pages) => Bytes::from_owner(pages),
        };
        self.reservation.hold(bytes)
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
