//! The clocks of a process: monotonic time for decisions, wall time for the
//! time line.

use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use thistlesill_core::Millis;
use tokio::sync::Notify;

/// The shortest suspension of note: the two clocks are read one after the other, and a busy
/// machine may take a process off its core in between.
const LEAST: Millis = Millis::new(100);

/// Reads a clock that only goes on.
pub type ClockSource = fn() -> Duration;

/// A process's clocks.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Goes on while the machine is suspended.
    boot: ClockSource,
    /// Stands still then; timers go by it.
    steady: ClockSource,
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
        Self::with_sources(read_boot, read_steady)
    }

    /// Starts a clock by what these functions read: one that goes on while the machine is
    /// suspended, and one that does not.
    #[must_use]
    pub fn with_sources(boot: ClockSource, steady: ClockSource) -> Self {
        Self {
            boot,
            steady,
            start: Moment {
                boot: boot(),
                steady: steady(),
            },
        }
    }

    /// Monotonic time, which goes on while the machine is suspended: by the steady clock a
    /// daemon that was suspended for 6 s would take a 5 s old proof of keys for a young one.
    pub fn now(&self) -> Millis {
        let elapsed = (self.boot)().saturating_sub(self.start.boot);
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

/// Waits for moments of a clock.
///
/// The timers of the runtime go by the steady clock, and after a machine was suspended they
/// end as much too late; who looks at the clock now and then has them look again.
#[derive(Debug)]
pub struct Alarm {
    clock: Clock,
    /// For how long the machine had been suspended at the last look.
    suspended: Cell<Millis>,
    woke: Notify,
}

impl Alarm {
    /// Waits by a clock.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            suspended: Cell::new(clock.suspended()),
            woke: Notify::new(),
        }
    }

    /// Sleeps until a moment.
    pub async fn sleep_until(&self, at: Millis) {
        loop {
            let woke = self.woke.notified();
            let left = at - self.clock.now();
            if left == Millis::ZERO {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left.duration()) => {}
                () = woke => {}
            }
        }
    }

    /// Awaits a step until a moment; `None` if it takes longer.
    pub async fn timeout_at<T>(&self, at: Millis, step: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = step => Some(done),
            () = self.sleep_until(at) => None,
        }
    }

    /// Looks whether the machine was suspended since the last look, and for how long; all
    /// waits then look at the clock.
    pub fn check_suspension(&self) -> Option<Millis> {
        let suspended = self.clock.suspended();
        let since = suspended - self.suspended.get();
        if since < LEAST {
            return None;
        }
        self.suspended.set(suspended);
        self.woke.notify_waiters();
        Some(since)
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
