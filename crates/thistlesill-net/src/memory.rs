//! A bound on the bytes that a process holds for others: bodies of requests, and answers whose callers
//! have not read them yet.
//!
//! Each body and each connection has a bound of its own. Their sum has none: a few hundred callers that
//! send or ask for as much as they may would take all the memory of a small machine, and the requests of
//! all others end with the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bodies up to this size may use what is left when larger ones are turned away, in bytes.
const SMALL_BYTES: usize = 64 * 1024;
/// The part of the memory that is kept for small bodies.
const SMALL_PART: usize = 8;

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
        let kept = if bytes > SMALL_BYTES {
            limit / SMALL_PART
        } else {
            0
        };
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
