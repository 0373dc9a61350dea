//! Time that a group takes for its work, by the published figures of its engines.

use thistlesill_core::edge::{Engine, Target};

use super::Work;

/// Time components of a group's work, in milliseconds.
pub(super) struct Pass {
    /// Decoding steps until the next event of each stream.
    event_ms: f64,
    /// Prefill of the waiting prompts.
    prefill_ms: f64,
}

impl Pass {
    pub(super) fn of(target: &Target, engine: &Engine, work: Work) -> Self {
        let model = target.model();
        let pace = model.and_then(|m| engine.plan(m)).map_or(1.0, |p| p.pace);
        let running = f64::from(work.requests.min(engine.slots));
        let step = pace * (engine.step + engine.step_each * running);
        Self {
            event_ms: step * f64::from(engine.stride.max(1)),
            prefill_ms: pace * f64::from(work.unread) / engine.read_rate.max(1.0) * 1_000.0,
        }
    }

    /// Returns the longest usual pause between two events of a stream.
    pub(super) fn pause(&self) -> f64 {
        self.event_ms + self.prefill_ms
    }

    /// Returns the duration of a usual answer, from its first event to its last.
    pub(super) fn answer(&self, engine: &Engine) -> f64 {
        self.event_ms / f64::from(engine.stride.max(1)) * engine.mean_answer
    }

    /// Returns the time until one more request has its first event.
    pub(super) fn begin(&self, engine: &Engine, work: Work) -> f64 {
        let slots = f64::from(engine.slots.max(1));
        // For each `slots` requests ahead, the wait is about one answer.
        let queue = (f64::from(work.requests) + 1.0 - slots).max(0.0) / slots * self.answer(engine);
        self.prefill_ms + self.event_ms + queue
    }
}
