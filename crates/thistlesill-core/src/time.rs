//! Milliseconds of a monotonic clock, and a hybrid logical clock that stamps the events of the
//! time line.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds.
///
/// Decision code receives the current time as an argument instead of reading a clock.
/// Addition and subtraction saturate, so a difference is never negative.
///
/// # Examples
///
/// ```
/// use thistlesill_core::Millis;
/// assert_eq!(Millis::new(5) - Millis::new(9), Millis::ZERO);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// Zero milliseconds.
    pub const ZERO: Self = Self(0);

    /// Creates a time of `ms` milliseconds.
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Converts the time into a standard duration.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<u64> for Millis {
    fn from(ms: u64) -> Self {
        Self(ms)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A time stamp of the hybrid logical clock.
///
/// Stamps are ordered by `wall`, then by `count`, which orders events within one millisecond and
/// across processes whose clocks differ.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Highest wall clock time seen, in Unix milliseconds.
    pub wall: u64,
    /// Counter of events at the same `wall`.
    pub count: u32,
}

/// A hybrid logical clock, which receives wall clock times as arguments.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Longest time by which a stamp of another process may be ahead of the local wall clock.
    const MAX_LEAD_MS: u64 = 60_000;

    /// Creates a clock that has seen no stamps.
    pub const fn new() -> Self {
        Self {
            last: Stamp { wall: 0, count: 0 },
        }
    }

    /// Returns the stamp for an event of this process at the wall clock time `wall`.
    pub fn tick(&mut self, wall: u64) -> Stamp {
        self.advance(wall, self.last)
    }

    /// Merges a stamp of another process, so that the returned stamp and all later ones exceed it.
    ///
    /// A stamp that is ahead of `wall` by more than a minute is ignored, since otherwise one
    /// process with a wrong clock would advance the clocks of all others.
    pub fn merge(&mut self, wall: u64, seen: Stamp) -> Stamp {
        if seen.wall > wall.saturating_add(Self::MAX_LEAD_MS) {
            return self.tick(wall);
        }
        self.advance(wall, self.last.max(seen))
    }

    fn advance(&mut self, wall: u64, floor: Stamp) -> Stamp {
        self.last = if wall > floor.wall {
            Stamp { wall, count: 0 }
        } else {
            Stamp {
                wall: floor.wall,
                count: floor.count.saturating_add(1),
            }
        };
        self.last
    }
}
