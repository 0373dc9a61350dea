//! The queue of a router, shared fairly among customers.
//!
//! The next request comes from the customer that uses the least of its
//! share, counted over all routers; within a customer the lower priority
//! number goes first, then the earlier deadline. Nothing is reserved, so a
//! share that is not used is lent to the others.

use std::collections::BTreeMap;

use thistlesill_core::message::{CustomerUsage, Usage};
use thistlesill_core::{CustomerId, Millis, NodeId, RequestId};

/// How long another router's usage counts without news.
const USAGE_AGE: Millis = Millis::new(3_000);

/// Weight of a new observation of the time between two sends.
const GAP_LEARNING: f64 = 0.1;

/// A request that wants to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub request: RequestId,
    /// Its customer.
    pub customer: CustomerId,
    /// The customer's share.
    pub share: u32,
    /// Lower goes first.
    pub priority: u8,
    /// When it is too late.
    pub deadline: Millis,
}

/// Whether a request may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It waits.
    Admitted,
    /// It waits; this one of another customer, which was over its share,
    /// does not any more.
    Displaced(RequestId),
    /// The queue is full and the customer is over its share.
    OverShare,
    /// The queue is full, and nobody is more over their share.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: u8,
    deadline: Millis,
    turn: u64,
}

#[derive(Debug, Clone, Default)]
struct Line {
    share: u32,
    waiting: BTreeMap<Place, RequestId>,
    running: u32,
    /// Time between two sends while others waited, in milliseconds, averaged.
    gap: f64,
    last_send: Option<Millis>,
}

#[derive(Debug, Clone)]
struct Remote {
    heard: Millis,
    usage: Usage,
}

/// Requests waiting at one router.
#[derive(Debug, Clone)]
pub struct FairQueue {
    limit: usize,
    turn: u64,
    count: usize,
    lines: BTreeMap<CustomerId, Line>,
    remotes: BTreeMap<NodeId, Remote>,
}

impl FairQueue {
    /// A queue for at most `limit` requests.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            turn: 0,
            count: 0,
            lines: BTreeMap::new(),
            remotes: BTreeMap::new(),
        }
    }

    /// How many requests wait.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether none waits.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Lets a request wait, if there is room for its customer.
    pub fn push(&mut self, entry: Waiting) -> Admission {
        let line = self.lines.entry(entry.customer.clone()).or_default();
        line.share = entry.share.max(1);
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

    /// Puts a request back that had its turn already; always succeeds.
    pub fn push_back(&mut self, entry: Waiting) {
        self.insert(entry);
    }

    /// Customers with waiting requests, the one that uses the least of its
    /// share first.
    pub fn order(&self, now: Millis) -> Vec<CustomerId> {
        let waiting = self.lines.iter().filter(|(_, l)| !l.waiting.is_empty());
        let mut order: Vec<(f64, &CustomerId)> = waiting
            .map(|(customer, line)| (self.use_of(customer, line, now), customer))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        order.into_iter().map(|(_, c)| c.clone()).collect()
    }

    /// The requests of a customer in their order.
    pub fn line(&self, customer: &CustomerId) -> impl Iterator<Item = RequestId> {
        let line = self.lines.get(customer);
        line.into_iter().flat_map(|l| l.waiting.values().copied())
    }

    /// Takes a request out.
    pub fn remove(&mut self, customer: &CustomerId, request: RequestId) -> bool {
        let Some(line) = self.lines.get_mut(customer) else {
            return false;
        };
        let before = line.waiting.len();
        line.waiting.retain(|_, r| *r != request);
        let removed = before - line.waiting.len();
        self.count -= removed;
        removed > 0
    }

    /// Notes that a request was sent.
    pub fn started(&mut self, customer: &CustomerId, now: Millis) {
        let line = self.lines.entry(customer.clone()).or_default();
        line.running += 1;
        let busy = !line.waiting.is_empty();
        if let Some(last) = line.last_send.filter(|_| busy) {
            let gap = (now - last).get() as f64;
            line.gap += GAP_LEARNING * (gap - line.gap);
        }
        line.last_send = busy.then_some(now);
    }

    /// How long a request of this customer that joins now will wait, by how
    /// fast the customer's line has moved; nothing if no line has formed.
    pub fn expected_wait(&self, customer: &CustomerId) -> Millis {
        let wait = |l: &Line| (l.waiting.len() as f64 * l.gap) as u64;
        Millis::new(self.lines.get(customer).map_or(0, wait))
    }

    /// Notes that a request that was sent has ended.
    pub fn ended(&mut self, customer: &CustomerId) {
        if let Some(line) = self.lines.get_mut(customer) {
            line.running = line.running.saturating_sub(1);
        }
    }

    /// What this router uses, for the others.
    pub fn usage(&self) -> Usage {
        let busy = self.lines.iter().filter(|(_, l)| l.running > 0);
        Usage {
            customers: busy
                .map(|(customer, line)| CustomerUsage {
                    customer: customer.clone(),
                    running: line.running,
                })
                .collect(),
        }
    }

    /// Takes in what another router uses.
    pub fn heard(&mut self, from: &NodeId, usage: Usage, now: Millis) {
        let remote = Remote { heard: now, usage };
        self.remotes.insert(from.clone(), remote);
        self.remotes.retain(|_, r| now - r.heard < USAGE_AGE);
    }

    fn insert(&mut self, entry: Waiting) {
        self.turn += 1;
        self.count += 1;
        let place = Place {
            priority: entry.priority,
            deadline: entry.deadline,
            turn: self.turn,
        };
        let line = self.lines.entry(entry.customer).or_default();
        line.share = entry.share.max(1);
        line.waiting.insert(place, entry.request);
    }

    /// Makes room by sending away the last request of the customer with the
    /// longest line for its share, if that is not `customer` itself.
    fn displace(&mut self, customer: &CustomerId) -> Admission {
        let length = |l: &Line| l.waiting.len() as f64 / f64::from(l.share.max(1));
        let longest = self.lines.iter().max_by(|a, b| {
            let order = length(a.1).total_cmp(&length(b.1));
            order.then(b.0.cmp(a.0))
        });
        let Some((victim, worst)) = longest.map(|(c, l)| (c.clone(), length(l))) else {
            return Admission::Full;
        };
        let own = self.lines.get(customer).map_or(0.0, |l| {
            (l.waiting.len() + 1) as f64 / f64::from(l.share.max(1))
        });
        if victim == *customer {
            return Admission::OverShare;
        }
        if own > worst {
            return Admission::Full;
        }
        let line = self.lines.get_mut(&victim);
        match line.and_then(|l| l.waiting.pop_last()) {
            Some((_, request)) => {
                self.count -= 1;
                Admission::Displaced(request)
            }
            None => Admission::Full,
        }
    }

    fn use_of(&self, customer: &CustomerId, line: &Line, now: Millis) -> f64 {
        let fresh = self.remotes.values().filter(|r| now - r.heard < USAGE_AGE);
        let remote: u32 = fresh
            .flat_map(|r| &r.usage.customers)
            .filter(|u| u.customer == *customer)
            .map(|u| u.running)
            .sum();
        f64::from(line.running + remote) / f64::from(line.share.max(1))
    }
}
