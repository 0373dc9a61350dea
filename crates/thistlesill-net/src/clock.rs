//! The clocks of a process: monotonic time for decisions, wall time for the
//! time line.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use thistlesill_core::Millis;

/// A process's clocks.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Added to monotonic time, so that "long ago" can be told from the
    /// start of the process.
    const EPOCH: u64 = 1_000_000_000;

    /// Starts the clock.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Monotonic time.
    pub fn now(&self) -> Millis {
        let elapsed = self.start.elapsed().as_millis() as u64;
        Millis::new(Self::EPOCH + elapsed)
    }

    /// Wall time in Unix milliseconds.
    pub fn wall() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |d| d.as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
