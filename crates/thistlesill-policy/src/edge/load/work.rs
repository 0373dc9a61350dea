//! Amounts of work at a target, and arithmetic on them.

use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

/// Work at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests that were sent and have not ended.
    pub requests: u32,
    /// Prompt tokens of the requests whose answers have not begun.
    pub unread: u32,
}

impl Work {
    /// Returns the maximum of each field.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            unread: self.unread.max(other.unread),
        }
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Work {
    type Output = Self;

    /// Subtracts each field, saturating at zero.
    fn sub(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            unread: self.unread.saturating_sub(other.unread),
        }
    }
}

impl Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            unread: self.unread + other.unread,
        }
    }
}
