//! Settings of admission under overload.

use std::ops::RangeInclusive;

use snafu::{Snafu, ensure};

/// Bounds of both ratios. Above a half, most of the started requests could be late.
const RATIO_BOUNDS: RangeInclusive<f64> = 0.0..=0.5;

/// How much late and less urgent requests may take when not all can be served in time.
///
/// Both ratios are within 0 and 0.5.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverloadLimits {
    late_ratio: f64,
    kept_ratio: f64,
}

/// Error for a setting of admission under overload that is out of its bounds.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display(
    "overload.{name} is {value}; it must be from {} to {}",
    RATIO_BOUNDS.start(),
    RATIO_BOUNDS.end()
))]
pub struct OutOfBounds {
    name: &'static str,
    value: f64,
}

impl OverloadLimits {
    /// Default of [`late_ratio`](Self::late_ratio): three quarters remain for requests in time.
    pub const DEFAULT_LATE_RATIO: f64 = 0.25;
    /// Default of [`kept_ratio`](Self::kept_ratio).
    pub const DEFAULT_KEPT_RATIO: f64 = 0.25;

    /// Creates limits from the ratios of late requests and of the callers that a kind keeps.
    ///
    /// # Errors
    ///
    /// Returns [`OutOfBounds`] if a ratio is not within 0 and 0.5.
    pub fn new(late_ratio: f64, kept_ratio: f64) -> Result<Self, OutOfBounds> {
        for (name, value) in [("late_ratio", late_ratio), ("kept_ratio", kept_ratio)] {
            ensure!(
                RATIO_BOUNDS.contains(&value),
                OutOfBoundsSnafu { name, value }
            );
        }
        Ok(Self {
            late_ratio,
            kept_ratio,
        })
    }

    /// Returns the part of the started requests that may be late; at 0, no retries are booked.
    #[must_use]
    pub const fn late_ratio(self) -> f64 {
        self.late_ratio
    }

    /// Returns the part of its callers that a less urgent kind keeps, whatever more urgent kinds
    /// need.
    #[must_use]
    pub const fn kept_ratio(self) -> f64 {
        self.kept_ratio
    }
}

impl Default for OverloadLimits {
    fn default() -> Self {
        Self {
            late_ratio: Self::DEFAULT_LATE_RATIO,
            kept_ratio: Self::DEFAULT_KEPT_RATIO,
        }
    }
}
