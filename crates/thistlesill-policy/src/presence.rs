//! Presence: who watches targets, and what all others believe of them.
//!
//! A [`Watch`] probes its share of a hall's targets and sends beats; a
//! [`View`] merges the beats of all watchers. A beat confirms all unchanged
//! sightings at once, so its size does not grow with the number of targets.

mod view;
mod watch;

pub use view::{Heard, Measured, Observed, View};
pub use watch::{Watch, WatchPeriods, Watcher, share};

/// How many watchers each target has.
pub const WATCHERS: usize = 3;
