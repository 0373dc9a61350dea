//! Limits on how many weight loads may start.

use std::collections::VecDeque;

use thistlesill_core::Millis;
use thistlesill_core::edge::Engine;

/// The time window over which starts are counted.
const RATE_WINDOW: Millis = Millis::new(5_000);
/// Ratio of the allowed rate that is used: a load that was ordered may begin a moment later,
/// together with newer ones.
const RATE_UTILIZATION: f64 = 0.8;
/// Smallest limit of concurrent loads before the first requests, so that the first groups of
/// several domains are formed in parallel.
const MIN_INITIAL_LOADS: usize = 16;

/// Returns how many loads may run at once before the first requests: somewhat more than the weight
/// store serves at full rate, so that it is never idle. Many more would only make each load take
/// longer.
pub(super) fn max_initial_loads(engine: &Engine) -> usize {
    let full = engine
        .concurrent_loads
        .saturating_add(engine.concurrent_loads / 2);
    full.max(MIN_INITIAL_LOADS)
}

/// The start times of loads within the last window.
#[derive(Debug, Default)]
pub(super) struct LoadRate {
    starts: VecDeque<Millis>,
}

impl LoadRate {
    /// Returns whether `count` more loads may start now, at `rate` loads per second.
    pub(super) fn allows(&mut self, count: usize, rate: f64, now: Millis) -> bool {
        while self
            .starts
            .front()
            .is_some_and(|at| now - *at > RATE_WINDOW)
        {
            self.starts.pop_front();
        }
        let max_starts = rate * RATE_UTILIZATION * RATE_WINDOW.get() as f64 / 1_000.0;
        (self.starts.len() + count) as f64 <= max_starts
    }

    /// Records that `count` loads start now.
    pub(super) fn record_starts(&mut self, count: usize, now: Millis) {
        self.starts.extend(std::iter::repeat_n(now, count));
    }
}
