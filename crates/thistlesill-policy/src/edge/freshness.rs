//! Proof that what a daemon knows of the store is the newest.
//!
//! A customer's key may be taken away at any moment, and a daemon that is cut
//! off from the store does not hear of it. So a request with a key passes
//! only while the daemon can show that its catalog was the newest a short
//! time ago, on its monotonic clock. An answer of the store proves this for
//! the moment at which the question was sent, no later.

use thistlesill_core::Millis;

/// Kept between the age at which keys are refused and the bound: the time
/// from the check until the target has the request, with a busy machine.
pub const MARGIN: Millis = Millis::new(700);

/// When something that the store holds was last known to be the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    proved: Option<Millis>,
}

impl Freshness {
    /// Notes that what is known was the newest at the moment `asked`.
    pub fn confirm(&mut self, asked: Millis) {
        self.proved = self.proved.max(Some(asked));
    }

    /// The age of the last proof.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.proved.map(|at| now - at)
    }

    /// Whether requests with keys may pass, where a removed key may be used
    /// for `bound` at most.
    pub fn permits(&self, bound: Option<Millis>, now: Millis) -> bool {
        match (bound, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(age)) => age + MARGIN < bound,
        }
    }
}
