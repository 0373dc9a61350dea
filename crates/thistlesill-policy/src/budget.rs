//! Retry budget and backoff between attempts.

use rand::RngExt;
use thistlesill_core::Millis;

/// Retries that may accumulate while nothing fails.
const DEFAULT_CAPACITY: f64 = 10.0;
/// Maximum backoff before the second attempt.
const INITIAL_BACKOFF: Millis = Millis::new(25);
/// Maximum backoff before any attempt.
const MAX_BACKOFF: Millis = Millis::new(1_000);

/// Limits retries to a fraction of the first attempts.
///
/// This is a token bucket: every first attempt adds a fraction of a token, and every retry takes
/// one. The extra load on failing targets is thus bounded over any period by `percent` of the
/// requests plus the capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    capacity: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: DEFAULT_CAPACITY,
            capacity: DEFAULT_CAPACITY,
        }
    }
}

impl RetryBudget {
    /// Creates a budget of up to `capacity` retries. It starts half full, so that a daemon that
    /// restarts again and again does not add `capacity` each time.
    pub const fn with_capacity(capacity: f64) -> Self {
        Self {
            tokens: capacity / 2.0,
            capacity,
        }
    }

    /// Changes the capacity, as daemons come and go.
    pub const fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Adds `percent` hundredths of a retry, for a first attempt.
    pub fn deposit_percent(&mut self, percent: u32) {
        self.deposit(f64::from(percent) / 100.0);
    }

    /// Adds `part` of a retry, for a first attempt.
    pub const fn deposit(&mut self, part: f64) {
        self.tokens = (self.tokens + part).min(self.capacity);
    }

    /// Returns whether the budget allows a retry.
    pub fn has_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a retry out of the budget; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the wait before attempt number `attempt`, counted from 1, with full jitter. The first
/// retry is attempt 2.
pub fn backoff(attempt: u32, rng: &mut impl rand::Rng) -> Millis {
    let doublings = attempt.saturating_sub(2).min(16);
    let cap = (INITIAL_BACKOFF.get() << doublings).min(MAX_BACKOFF.get());
    Millis::new(rng.random_range(0..=cap))
}
