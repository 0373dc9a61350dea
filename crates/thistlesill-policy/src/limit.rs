//! Adaptive limit on the concurrent requests of a group, driven by its time to first token.

use thistlesill_core::Millis;

/// Factor applied to the limit when a first token is late.
const DECREASE_FACTOR: f64 = 0.85;
/// Minimum time between two decreases: one per round of answers.
const MIN_DECREASE_INTERVAL: Millis = Millis::new(500);

/// Additive-increase, multiplicative-decrease limit.
#[derive(Debug, Clone, PartialEq)]
pub struct AdaptiveLimit {
    value: f64,
    ceiling: f64,
    lowered_at: Option<Millis>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at its ceiling of `slots`, which counts as 1 if it is 0.
    pub fn new(slots: u32) -> Self {
        let ceiling = f64::from(slots.max(1));
        Self {
            value: ceiling,
            ceiling,
            lowered_at: None,
        }
    }

    /// Returns the number of concurrent requests allowed, at least 1.
    pub const fn get(&self) -> u32 {
        self.value as u32
    }

    /// Changes the ceiling; a limit above it is lowered to it.
    pub fn set_ceiling(&mut self, slots: u32) {
        self.ceiling = f64::from(slots.max(1));
        self.value = self.value.min(self.ceiling);
    }

    /// Adjusts the limit to a first token that arrived after `took`, against a target time of
    /// `wanted`.
    pub fn observe(&mut self, took: Millis, wanted: Millis, now: Millis) {
        if took <= wanted {
            self.value = (self.value + 1.0 / self.value).min(self.ceiling);
            return;
        }
        let recent = self
            .lowered_at
            .is_some_and(|t| now - t < MIN_DECREASE_INTERVAL);
        if !recent {
            self.value = (self.value * DECREASE_FACTOR).max(1.0);
            self.lowered_at = Some(now);
        }
    }
}
