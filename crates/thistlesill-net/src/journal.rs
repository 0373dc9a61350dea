//! The event timeline of a process: a hybrid clock and a bounded ring of events.

use std::sync::{Arc, Mutex, PoisonError};

use thistlesill_core::time::HybridClock;
use thistlesill_core::timeline::{Record, Ring, TimelineEvent};
use thistlesill_core::{NodeId, Stamp};

use crate::clock::Clock;

/// A process's event timeline, shared between its tasks.
#[derive(Debug, Clone)]
pub struct Journal {
    node: NodeId,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    clock: HybridClock,
    ring: Ring,
}

impl Journal {
    /// Creates an empty timeline that keeps the newest `capacity` events.
    pub fn new(node: NodeId, capacity: usize) -> Self {
        let inner = Inner {
            clock: HybridClock::default(),
            ring: Ring::new(capacity),
        };
        Self {
            node,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Records an event with the current time.
    pub fn record(&self, what: TimelineEvent) {
        self.with(|inner| {
            let stamp = inner.clock.tick(Clock::wall());
            inner.ring.push(Record {
                stamp,
                node: self.node.clone(),
                what,
            });
        });
    }

    /// Returns a timestamp for a message to another process.
    pub fn stamp(&self) -> Stamp {
        self.with(|inner| inner.clock.tick(Clock::wall()))
    }

    /// Merges the timestamp of another process's message into the hybrid clock.
    pub fn merge(&self, seen: Stamp) {
        self.with(|inner| inner.clock.merge(Clock::wall(), seen));
    }

    /// Returns the kept events, oldest first.
    pub fn records(&self) -> Vec<Record> {
        self.with(|inner| inner.ring.iter().cloned().collect())
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
