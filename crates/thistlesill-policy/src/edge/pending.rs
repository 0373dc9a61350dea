//! Requests to other daemons that wait for a reply.
//!
//! Datagrams may be held up for seconds, and a daemon that restarts keeps its name and address. So
//! replies to requests of its earlier incarnation may reach it, and must not be taken for replies to
//! its own.

use std::collections::HashMap;

use rand::{Rng, RngExt};
use thistlesill_core::NodeId;

/// Bound of the first number that a daemon uses.
///
/// Daemons of an earlier version read the number of a proof as a time on their own clock, which
/// starts at 1,000,000,000 ms: to them, smaller numbers are times long past.
const FIRST_ID_BOUND: u64 = 1 << 29;

/// Requests to other daemons, by the number that is repeated in the reply.
///
/// The first number is random, so that numbers of two incarnations of a daemon do not overlap.
#[derive(Debug, Clone)]
pub struct PendingRequests<T> {
    next_id: u64,
    waiting: HashMap<u64, Pending<T>>,
}

#[derive(Debug, Clone)]
struct Pending<T> {
    peer: NodeId,
    value: T,
}

impl<T> PendingRequests<T> {
    /// Creates an empty list, whose first number is drawn from `rng`.
    #[must_use]
    pub fn new(rng: &mut impl Rng) -> Self {
        Self {
            next_id: rng.random_range(0..FIRST_ID_BOUND),
            waiting: HashMap::new(),
        }
    }

    /// Adds a request to `peer` and returns its number. `value` is returned with the reply.
    pub fn add(&mut self, peer: NodeId, value: T) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.waiting.insert(id, Pending { peer, value });
        id
    }

    /// Removes the request that a reply belongs to and returns its value; `None` if this list has
    /// no such request to the daemon that replied.
    pub fn take(&mut self, id: u64, from: &NodeId) -> Option<T> {
        if self.waiting.get(&id)?.peer != *from {
            return None;
        }
        self.waiting.remove(&id).map(|request| request.value)
    }

    /// Removes the requests whose value does not pass `keep`.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.waiting.retain(|_, request| keep(&request.value));
    }
}
