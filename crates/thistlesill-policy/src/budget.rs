//! The retry budget and the back-off between attempts.

use rand::RngExt;
use thistlesill_core::Millis;

/// Retries that may be saved up while nothing fails.
const MAX_SAVED: f64 = 10.0;
/// The first back-off.
const FIRST_BACKOFF: Millis = Millis::new(25);
/// The longest back-off.
const MAX_BACKOFF: Millis = Millis::new(1_000);

/// Caps retries at a part of the first attempts.
///
/// Every first attempt earns a fraction of a retry; every retry costs one.
/// So the extra load on failing targets is bounded over any span by
/// `percent` of the requests plus the savings.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    saved: f64,
    most: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED,
            most: MAX_SAVED,
        }
    }
}

impl RetryBudget {
    /// A budget that saves up to `most` retries and starts with half of
    /// them, so that a daemon that restarts again and again does not add
    /// `most` each time.
    pub const fn saving(most: f64) -> Self {
        Self {
            saved: most / 2.0,
            most,
        }
    }

    /// Changes how many retries may be saved, as daemons come and go.
    pub const fn cap(&mut self, most: f64) {
        self.most = most;
        self.saved = self.saved.min(most);
    }

    /// Notes a first attempt.
    pub fn earn(&mut self, percent: u32) {
        self.earn_part(f64::from(percent) / 100.0);
    }

    /// Notes a first attempt that earns `part` of a retry.
    pub const fn earn_part(&mut self, part: f64) {
        self.saved = (self.saved + part).min(self.most);
    }

    /// Whether there is a retry in the budget.
    pub fn has_retry(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// The wait before attempt `attempt` (from 2), with full jitter.
pub fn backoff(attempt: u32, rng: &mut impl rand::Rng) -> Millis {
    let doublings = attempt.saturating_sub(2).min(16);
    let cap = (FIRST_BACKOFF.get() << doublings).min(MAX_BACKOFF.get());
    Millis::new(rng.random_range(0..=cap))
}
