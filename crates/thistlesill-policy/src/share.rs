//! Request queue with fair shares among customers.
//!
//! The next request comes from the customer with the lowest use of its share, counted over all
//! routers; within a customer, lower priority numbers go first, then earlier deadlines. Nothing is
//! reserved, so an unused share is available to the others.

use std::collections::BTreeMap;

use thistlesill_core::message::{CustomerUsage, Usage};
use thistlesill_core::{CustomerId, Millis, NodeId, RequestId};

/// How long the usage reported by another router counts.
const USAGE_TTL: Millis = Millis::new(3_000);

/// Weight of a new observation in the moving average of the time between two sends.
const GAP_WEIGHT: f64 = 0.1;

/// A request to be queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry {
    /// Id of the request.
    pub request: RequestId,
    /// Customer whose share it uses.
    pub customer: CustomerId,
    /// Weight of the customer; 0 counts as 1.
    pub share: u32,
    /// Lower goes first.
    pub priority: u8,
    /// Time after which an answer is of no use; among equal priorities the earliest goes first.
    pub deadline: Millis,
}

/// Result of adding a request to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is queued.
    Admitted,
    /// The request is queued, and this request of another customer, which was over its share, is
    /// removed.
    Displaced(RequestId),
    /// The queue is full, and the customer has the longest queue for its share.
    OverShare,
    /// The queue is full, and no other customer is further over its share.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: u8,
    deadline: Millis,
    seq: u64,
}

#[derive(Debug, Clone, Default)]
struct CustomerQueue {
    share: u32,
    waiting: BTreeMap<QueueKey, RequestId>,
    running: u32,
    /// Moving average of the time between two sends while others waited, in milliseconds.
    mean_gap_ms: f64,
    last_send: Option<Millis>,
}

#[derive(Debug, Clone)]
struct RemoteUsage {
    received_at: Millis,
    usage: Usage,
}

/// Queue of one router, with the running requests of each customer.
#[derive(Debug, Clone)]
pub struct FairQueue {
    limit: usize,
    seq: u64,
    count: usize,
    queues: BTreeMap<CustomerId, CustomerQueue>,
    remotes: BTreeMap<NodeId, RemoteUsage>,
}

impl FairQueue {
    /// Creates a queue for at most `limit` requests.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            seq: 0,
            count: 0,
            queues: BTreeMap::new(),
            remotes: BTreeMap::new(),
        }
    }

    /// Returns the number of requests in the queue.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Returns whether the queue is empty.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds a request if there is room for its customer.
    pub fn push(&mut self, entry: QueueEntry) -> Admission {
        let queue = self.queues.entry(entry.customer.clone()).or_default();
        queue.share = entry.share.max(1);
        let admission = if self.count < self.limit {
            Admission::Admitted
        } else {
            self.displace(&entry.customer)
        };
        if matches!(admission, Admission::Admitted | Admission::Displaced(_)) {
            self.insert(entry);
        }
        admission
    }

    /// Returns a request to the queue for another attempt, even if the queue is full.
    pub fn requeue(&mut self, entry: QueueEntry) {
        self.insert(entry);
    }

    /// Returns the customers with queued requests, the lowest use of its share first.
    pub fn order(&self, now: Millis) -> Vec<CustomerId> {
        let waiting = self.queues.iter().filter(|(_, q)| !q.waiting.is_empty());
        let mut order: Vec<(f64, &CustomerId)> = waiting
            .map(|(customer, queue)| (self.usage_ratio(customer, queue, now), customer))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        order.into_iter().map(|(_, c)| c.clone()).collect()
    }

    /// Returns the queued requests of a customer in their order.
    pub fn requests_of(&self, customer: &CustomerId) -> impl Iterator<Item = RequestId> {
        let queue = self.queues.get(customer);
        queue.into_iter().flat_map(|q| q.waiting.values().copied())
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, customer: &CustomerId, request: RequestId) -> bool {
        let Some(queue) = self.queues.get_mut(customer) else {
            return false;
        };
        let before = queue.waiting.len();
        queue.waiting.retain(|_, r| *r != request);
        let removed = before - queue.waiting.len();
        self.count -= removed;
        removed > 0
    }

    /// Records that a request was sent.
    pub fn record_start(&mut self, customer: &CustomerId, now: Millis) {
        let queue = self.queues.entry(customer.clone()).or_default();
        queue.running += 1;
        let busy = !queue.waiting.is_empty();
        if let Some(last) = queue.last_send.filter(|_| busy) {
            let gap = (now - last).get() as f64;
            queue.mean_gap_ms += GAP_WEIGHT * (gap - queue.mean_gap_ms);
        }
        queue.last_send = busy.then_some(now);
    }

    /// Returns how long a new request of this customer is expected to wait, from the rate at which
    /// the customer's queue has moved; zero if it has no queue.
    pub fn expected_wait(&self, customer: &CustomerId) -> Millis {
        let wait = |q: &CustomerQueue| (q.waiting.len() as f64 * q.mean_gap_ms) as u64;
        Millis::new(self.queues.get(customer).map_or(0, wait))
    }

    /// Records that a request that was sent has ended.
    pub fn record_end(&mut self, customer: &CustomerId) {
        if let Some(queue) = self.queues.get_mut(customer) {
            queue.running = queue.running.saturating_sub(1);
        }
    }

    /// Returns the running requests of this router by customer, to send to the other routers.
    pub fn usage(&self) -> Usage {
        let busy = self.queues.iter().filter(|(_, q)| q.running > 0);
        Usage {
            customers: busy
                .map(|(customer, queue)| CustomerUsage {
                    customer: customer.clone(),
                    running: queue.running,
                })
                .collect(),
        }
    }

    /// Records the usage of another router.
    pub fn receive_usage(&mut self, from: &NodeId, usage: Usage, now: Millis) {
        let remote = RemoteUsage {
            received_at: now,
            usage,
        };
        self.remotes.insert(from.clone(), remote);
        self.remotes.retain(|_, r| now - r.received_at < USAGE_TTL);
    }

    fn insert(&mut self, entry: QueueEntry) {
        self.seq += 1;
        self.count += 1;
        let key = QueueKey {
            priority: entry.priority,
            deadline: entry.deadline,
            seq: self.seq,
        };
        let queue = self.queues.entry(entry.customer).or_default();
        queue.share = entry.share.max(1);
        queue.waiting.insert(key, entry.request);
    }

    /// Makes room by removing the last request of the customer with the longest queue for its
    /// share, if that is not `customer` itself.
    fn displace(&mut self, customer: &CustomerId) -> Admission {
        let length = |q: &CustomerQueue| q.waiting.len() as f64 / f64::from(q.share.max(1));
        let longest = self.queues.iter().max_by(|a, b| {
            let order = length(a.1).total_cmp(&length(b.1));
            order.then(b.0.cmp(a.0))
        });
        let Some((victim, worst)) = longest.map(|(c, q)| (c.clone(), length(q))) else {
            return Admission::Full;
        };
        let own = self.queues.get(customer).map_or(0.0, |q| {
            (q.waiting.len() + 1) as f64 / f64::from(q.share.max(1))
        });
        if victim == *customer {
            return Admission::OverShare;
        }
        if own > worst {
            return Admission::Full;
        }
        let queue = self.queues.get_mut(&victim);
        match queue.and_then(|q| q.waiting.pop_last()) {
            Some((_, request)) => {
                self.count -= 1;
                Admission::Displaced(request)
            }
            None => Admission::Full,
        }
    }

    fn usage_ratio(&self, customer: &CustomerId, queue: &CustomerQueue, now: Millis) -> f64 {
        let fresh = self
            .remotes
            .values()
            .filter(|r| now - r.received_at < USAGE_TTL);
        let remote: u32 = fresh
            .flat_map(|r| &r.usage.customers)
            .filter(|u| u.customer == *customer)
            .map(|u| u.running)
            .sum();
        f64::from(queue.running + remote) / f64::from(queue.share.max(1))
    }
}
