//! Proof that a daemon's knowledge of the store is up to date.
//!
//! A customer's key may be revoked at any time, and a daemon that is cut off from the store does
//! not learn of it. A request with a key is therefore admitted only while the daemon can prove that
//! its catalog was the newest a short time ago, on its monotonic clock. An answer of the store
//! proves this for the time at which the query was sent, and no later.

use thistlesill_core::Millis;

/// Difference between the age at which keys are refused and the bound: the time from the check
/// until the target has the request, on a busy machine.
pub const MARGIN: Millis = Millis::new(700);

/// The time at which data from the store was last known to be the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    proved_at: Option<Millis>,
}

impl Freshness {
    /// Records that the data was the newest at the time `asked`, when the query was sent.
    pub fn confirm(&mut self, asked: Millis) {
        self.proved_at = self.proved_at.max(Some(asked));
    }

    /// Returns the age of the last proof; `None` if there is none, or if its time lies ahead of
    /// `now` and so cannot be of the same clock.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let proved_at = self.proved_at.filter(|at| *at <= now);
        proved_at.map(|at| now - at)
    }

    /// Returns whether requests with keys are admitted, where a revoked key may be used for at most
    /// `bound`. Without a bound any proof suffices.
    pub fn permits(&self, bound: Option<Millis>, now: Millis) -> bool {
        match (bound, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(age)) => age + MARGIN < bound,
        }
    }
}
