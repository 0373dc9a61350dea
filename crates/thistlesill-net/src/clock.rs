//! The clocks of a process: monotonic time for decisions, wall time for the event timeline.

use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use thistlesill_core::Millis;
use tokio::sync::Notify;

/// The shortest suspension that counts: the two clocks are read one after the other, and a busy
/// machine may preempt the process in between.
const MIN_SUSPENSION: Millis = Millis::new(100);

/// A function that reads a clock that never goes back.
pub type ClockSource = fn() -> Duration;

/// Monotonic time that includes the time in which the machine was suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Advances while the machine is suspended.
    boot: ClockSource,
    /// Stops while the machine is suspended; the runtime's timers use this clock.
    monotonic: ClockSource,
    start: ClockReadings,
}

/// Both clocks at one moment.
#[derive(Debug, Clone, Copy)]
struct ClockReadings {
    boot: Duration,
    monotonic: Duration,
}

impl Clock {
    /// The offset added to monotonic time, so that times long before the start of the process can
    /// be expressed.
    const EPOCH: u64 = 1_000_000_000;

    /// Starts a clock that reads the system's boot-time and monotonic clocks.
    #[must_use]
    pub fn new() -> Self {
        Self::with_sources(read_boot, read_monotonic)
    }

    /// Starts a clock that reads two given sources: `boot` advances while the machine is
    /// suspended, `monotonic` does not.
    #[must_use]
    pub fn with_sources(boot: ClockSource, monotonic: ClockSource) -> Self {
        Self {
            boot,
            monotonic,
            start: ClockReadings {
                boot: boot(),
                monotonic: monotonic(),
            },
        }
    }

    /// Returns monotonic time, which advances while the machine is suspended.
    ///
    /// By a clock that stops meanwhile, a daemon that was suspended for 6 s would accept a 5 s old
    /// proof of keys as recent.
    pub fn now(&self) -> Millis {
        let elapsed = (self.boot)().saturating_sub(self.start.boot);
        Millis::new(Self::EPOCH + elapsed.as_millis() as u64)
    }

    /// Returns how long the machine has been suspended in total since the clock was started.
    pub fn suspended(&self) -> Millis {
        let boot = (self.boot)().saturating_sub(self.start.boot);
        let monotonic = (self.monotonic)().saturating_sub(self.start.monotonic);
        Millis::new(boot.saturating_sub(monotonic).as_millis() as u64)
    }

    /// Returns wall time in Unix milliseconds.
    pub fn wall() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |d| d.as_millis() as u64)
    }
}

/// Waits for times of a [`Clock`], also when the machine is suspended meanwhile.
///
/// The runtime's timers use the clock that stops while the machine is suspended, so they end late
/// by the length of the suspension. Call [`Alarm::check_suspension`] periodically: after a
/// suspension, all waits compare their time with the clock again.
#[derive(Debug)]
pub struct Alarm {
    clock: Clock,
    /// The total suspended time at the last check.
    suspended: Cell<Millis>,
    resumed: Notify,
}

impl Alarm {
    /// Creates an alarm for times of `clock`.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            suspended: Cell::new(clock.suspended()),
            resumed: Notify::new(),
        }
    }

    /// Sleeps until `at`.
    pub async fn sleep_until(&self, at: Millis) {
        loop {
            let resumed = self.resumed.notified();
            let left = at - self.clock.now();
            if left == Millis::ZERO {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left.duration()) => {}
                () = resumed => {}
            }
        }
    }

    /// Awaits a future until `at`; returns `None` if the future takes longer. A future that is
    /// ready at the first poll counts as in time.
    pub async fn timeout_at<T>(&self, at: Millis, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(at) => None,
        }
    }

    /// Returns how long the machine was suspended since the last check, or `None` for less than
    /// 100 ms. After a suspension, all waits compare their time with the clock again.
    pub fn check_suspension(&self) -> Option<Millis> {
        let suspended = self.clock.suspended();
        let since = suspended - self.suspended.get();
        if since < MIN_SUSPENSION {
            return None;
        }
        self.suspended.set(suspended);
        self.resumed.notify_waiters();
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

fn read_monotonic() -> Duration {
    read(ClockId::CLOCK_MONOTONIC)
}

fn read(id: ClockId) -> Duration {
    clock_gettime(id).map_or(Duration::ZERO, Duration::from)
}
