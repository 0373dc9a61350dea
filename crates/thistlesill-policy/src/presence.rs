//! Presence: which planners watch which targets, and what the watchers' messages say of the
//! targets.
//!
//! A [`Watch`] probes its share of a hall's targets and sends heartbeats; a [`View`] merges the
//! heartbeats of all watchers. A heartbeat confirms all unchanged sightings at once, so its size
//! does not grow with the number of targets.

mod view;
mod watch;

pub use view::{Observed, PressureSample, Received, View};
pub use watch::{Watch, WatchPeriods, Watcher, share};

/// The number of watchers that each target has.
pub const WATCHERS: usize = 3;
