//! How long a group takes for what it has to do, by the engines' published figures.

use thistlesill_core::edge::{Engine, Target};

use super::Work;

/// What one pass of a group takes, in milliseconds.
pub(super) struct Pass {
    /// Steps until the next event of each stream.
    event: f64,
    /// Reading the prompts that wait.
    reading: f64,
}

impl Pass {
    pub(super) fn of(target: &Target, engine: &Engine, work: Work) -> Self {
        let model = target.model();
        let pace = model.and_then(|m| engine.plan(m)).map_or(1.0, |p| p.pace);
        let running = f64::from(work.requests.min(engine.slots));
        let step = pace * (engine.step + engine.step_each * running);
        Self {
            event: step * f64::from(engine.stride.max(1)),
            reading: pace * f64::from(work.unread) / engine.read_rate.max(1.0) * 1_000.0,
        }
    }

    /// The longest usual pause between two events of a stream.
    pub(super) fn pause(&self) -> f64 {
        self.event + self.reading
    }

    /// A usual answer, from its first event to its last.
    pub(super) fn answer(&self, engine: &Engine) -> f64 {
        self.event / f64::from(engine.stride.max(1)) * engine.mean_answer
    }

    /// The time until one more request has its first event.
    pub(super) fn begin(&self, engine: &Engine, work: Work) -> f64 {
        let slots = f64::from(engine.slots.max(1));
        // Each `slots` requests in front end within about one answer.
        let queue = (f64::from(work.requests) + 1.0 - slots).max(0.0) / slots * self.answer(engine);
        self.reading + self.event + queue
    }
}
