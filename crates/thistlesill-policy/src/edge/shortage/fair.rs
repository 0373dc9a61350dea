//! Fair shares of the customers of one kind of requests.
//!
//! Load pattern: one customer sends several times what it usually sends, and the others should keep
//! what they had. `crate::share` orders a queue by the requests that run; here nothing waits, so a
//! share is measured by the requests that were started.

use std::collections::HashMap;

use thistlesill_core::{CustomerId, Millis};

use super::recent::Recent;

/// Maximum number of customers: 112 entries of 65 bytes fill a hash table of 128 buckets. Further
/// customers are not limited until one of these has sent nothing for two seconds.
const MAX_CUSTOMERS: usize = 112;
/// How long a computed share is used. Computing it takes one pass over the customers.
const LEVEL_VALIDITY: Millis = Millis::new(100);

/// Requests of a customer in the last two seconds.
#[derive(Debug, Clone, Default)]
struct Usage {
    asked: Recent,
    started: Recent,
}

/// Usage of all customers of a kind; requests without a customer count as those of one customer.
#[derive(Debug, Clone, Default)]
pub(super) struct FairShares {
    customers: HashMap<Option<CustomerId>, Usage>,
    /// Started requests up to which a customer is not above its share.
    level: f64,
    computed_at: Option<Millis>,
}

impl FairShares {
    /// Records a request and whether it was started.
    pub(super) fn record(&mut self, customer: Option<&CustomerId>, started: bool, now: Millis) {
        let customer = customer.cloned();
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(&customer) {
            return;
        }
        let usage = self.customers.entry(customer).or_default();
        usage.asked.add(now);
        if started {
            usage.started.add(now);
        }
    }

    /// Returns whether a customer has started more than its share.
    pub(super) fn is_above(&mut self, customer: Option<&CustomerId>, now: Millis) -> bool {
        if self
            .computed_at
            .is_none_or(|at| now - at >= LEVEL_VALIDITY || now < at)
        {
            self.level = self.compute_level(now);
            self.computed_at = Some(now);
        }
        let usage = self.customers.get(&customer.cloned());
        usage.is_some_and(|u| f64::from(u.started.count(now)) > self.level)
    }

    /// Returns the share of each customer in what was started: the equal part, plus what customers
    /// that ask for less leave to the others. Infinite if all get what they ask for, or if there is
    /// only one customer.
    fn compute_level(&mut self, now: Millis) -> f64 {
        let mut asked = Vec::with_capacity(self.customers.len());
        let mut left = 0;
        self.customers.retain(|_, usage| {
            let count = usage.asked.count(now);
            if count > 0 {
                asked.push(count);
                left += usage.started.count(now);
            }
            count > 0
        });
        if asked.len() < 2 {
            return f64::INFINITY;
        }
        asked.sort_unstable();
        for (index, want) in asked.iter().enumerate() {
            let share = f64::from(left) / (asked.len() - index) as f64;
            if f64::from(*want) > share {
                return share;
            }
            left -= want;
        }
        f64::INFINITY
    }
}
