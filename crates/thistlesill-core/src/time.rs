//! Time as the decisions see it: milliseconds of a monotonic clock, and
//! stamps of a hybrid logical clock for the time line.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A time or a duration in milliseconds.
///
/// Decisions receive the time as an argument; subtraction stops at zero.
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
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// Makes a time of `ms` milliseconds.
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// The number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The time as a standard duration.
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

/// A stamp of the hybrid logical clock.
///
/// `wall` is the highest wall clock seen in Unix milliseconds; `count` orders
/// events within one millisecond and across processes whose clocks differ.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Unix time in milliseconds.
    pub wall: u64,
    /// Order within the millisecond.
    pub count: u32,
}

/// A hybrid logical clock, driven by wall times passed in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// The furthest that a stamp of another process may lead our wall clock.
    const MAX_LEAD: u64 = 60_000;

    /// A clock that has seen nothing.
    pub const fn new() -> Self {
        Self {
            last: Stamp { wall: 0, count: 0 },
        }
    }

    /// Stamps an event of this process.
    pub fn tick(&mut self, wall: u64) -> Stamp {
        self.advance(wall, self.last)
    }

    /// Takes in a stamp of another process, so that later stamps exceed it.
    ///
    /// A stamp that leads `wall` by more than a minute is ignored, lest one
    /// process with a wrong clock drag all others along.
    pub fn merge(&mut self, wall: u64, seen: Stamp) -> Stamp {
        if seen.wall > wall.saturating_add(Self::MAX_LEAD) {
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
