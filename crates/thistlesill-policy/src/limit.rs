//! The limit on requests that a group runs at a time, adapted to how long
//! its first tokens take.

use thistlesill_core::Millis;

/// What the limit is multiplied with when first tokens come late.
const DECREASE: f64 = 0.85;
/// The least time between two decreases: one per round of answers.
const DECREASE_GAP: Millis = Millis::new(500);

/// An additive-increase, multiplicative-decrease limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Limit {
    value: f64,
    ceiling: f64,
    lowered: Option<Millis>,
}

impl Limit {
    /// A limit that starts at its ceiling of `slots`.
    pub fn new(slots: u32) -> Self {
        let ceiling = f64::from(slots.max(1));
        Self {
            value: ceiling,
            ceiling,
            lowered: None,
        }
    }

    /// The number of requests allowed at a time, at least one.
    pub const fn get(&self) -> u32 {
        self.value as u32
    }

    /// Changes the ceiling when the settings do.
    pub fn set_ceiling(&mut self, slots: u32) {
        self.ceiling = f64::from(slots.max(1));
        self.value = self.value.min(self.ceiling);
    }

    /// Learns how long a first token took against what is wanted.
    pub fn observe(&mut self, took: Millis, wanted: Millis, now: Millis) {
        if took <= wanted {
            self.value = (self.value + 1.0 / self.value).min(self.ceiling);
            return;
        }
        let recent = self.lowered.is_some_and(|t| now - t < DECREASE_GAP);
        if !recent {
            self.value = (self.value * DECREASE).max(1.0);
            self.lowered = Some(now);
        }
    }
}
