//! How many loads of weights may start.

use std::collections::VecDeque;

use thistlesill_core::Millis;
use thistlesill_core::edge::Engine;

/// The span over which starts are counted.
const WINDOW: Millis = Millis::new(5_000);
/// Part of the allowed rate that is used, since a load that was asked for
/// may begin a moment later, beside newer ones.
const USED: f64 = 0.8;
/// The fewest loads that run at once while nothing is served, so that the
/// first groups of several domains are formed side by side.
const LEAST_CALM: usize = 16;

/// Loads that may run at once while nothing is served: some more than the
/// weight store serves at full rate, so that it is never idle; many more
/// would only make each last longer.
pub(super) fn most_calm(engine: &Engine) -> usize {
    let full = engine
        .concurrent_loads
        .saturating_add(engine.concurrent_loads / 2);
    full.max(LEAST_CALM)
}

/// Starts of loads in the last window.
#[derive(Debug, Default)]
pub(super) struct LoadRate {
    starts: VecDeque<Millis>,
}

impl LoadRate {
    /// Whether `count` more loads may start now, at `rate` a second.
    pub(super) fn allows(&mut self, count: usize, rate: f64, now: Millis) -> bool {
        while self.starts.front().is_some_and(|at| now - *at > WINDOW) {
            self.starts.pop_front();
        }
        let most = rate * USED * WINDOW.get() as f64 / 1_000.0;
        (self.starts.len() + count) as f64 <= most
    }

    /// Notes that loads start.
    pub(super) fn note(&mut self, count: usize, now: Millis) {
        self.starts.extend(std::iter::repeat_n(now, count));
    }
}
