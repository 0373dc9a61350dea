//! Request rate limits of targets.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The request rate that a target accepts from all daemons together, in requests per second.
///
/// The value is finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// Creates a limit in requests per second; `None` if the number is negative, infinite or NaN.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the limit in requests per second.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// The error for a number that is negative, infinite or NaN.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRateLimit;

impl fmt::Display for InvalidRateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a rate limit must be finite and not negative")
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = InvalidRateLimit;

    fn try_from(per_second: f64) -> Result<Self, InvalidRateLimit> {
        Self::new(per_second).ok_or(InvalidRateLimit)
    }
}

impl From<RateLimit> for f64 {
    fn from(limit: RateLimit) -> Self {
        limit.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
