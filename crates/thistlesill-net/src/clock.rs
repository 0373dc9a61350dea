//! The clocks of a process: monotonic time for decisions, wall time for the
//! time line.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use thistlesill_core::Millis;

/// Reads a clock that only goes on.
pub type Reading = fn() -> Duration;

/// A process's clocks.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Goes on while the machine is suspended.
    boot: Reading,
    /// Stands still then; timers go by it.
    steady: Reading,
    start: Moment,
}

/// Both clocks at one moment.
#[derive(Debug, Clone, Copy)]
struct Moment {
    boot: Duration,
    steady: Duration,
}

impl Clock {
    /// Added to monotonic time, so that "long ago" can be told from the
    /// start of the process.
    const EPOCH: u64 = 1_000_000_000;

    /// Starts the clock.
    #[must_use]
    pub fn new() -> Self {
        Self::reading(read_boot, read_steady)
    }

    /// Starts a clock by what these functions read: one that goes on while the machine is
    /// suspended, and one that does not.
    #[must_use]
    pub fn reading(boot: Reading, steady: Reading) -> Self {
        Self {
            boot,
            steady,
            start: Moment {
                boot: boot(),
                steady: steady(),
            },
        }
    }

    /// Monotonic time.
    pub fn now(&self) -> Millis {
        let elapsed = (self.steady)().saturating_sub(self.start.steady);
        Millis::new(Self::EPOCH + elapsed.as_millis() as u64)
    }

    /// For how long the machine has been suspended since the start.
    pub fn suspended(&self) -> Millis {
        let boot = (self.boot)().saturating_sub(self.start.boot);
        let steady = (self.steady)().saturating_sub(self.start.steady);
        Millis::new(boot.saturating_sub(steady).as_millis() as u64)
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

fn read_boot() -> Duration {
    read(ClockId::CLOCK_BOOTTIME)
}

fn read_steady() -> Duration {
    read(ClockId::CLOCK_MONOTONIC)
}

fn read(id: ClockId) -> Duration {
    clock_gettime(id).map_or(Duration::ZERO, Duration::from)
}
