//! Prediction of first events from those that were observed.
//!
//! Load pattern: a burst of requests with short objectives at groups whose first events take a fixed
//! time that the published figures do not contain, or that are slower than published.

use std::collections::HashMap;

use thistlesill_core::edge::TargetId;
use thistlesill_core::{Millis, NodeId};

use super::load::Work;

/// Observed times of first events, compared to their predictions, by target.
#[derive(Debug, Clone, Default)]
pub struct FirstEvents {}

impl FirstEvents {
    /// Records that a request was granted to a daemon, with its predicted first event in
    /// milliseconds.
    pub fn granted(
        &mut self,
        _daemon: &NodeId,
        _target: &TargetId,
        _predicted_ms: f64,
        _now: Millis,
    ) {
    }

    /// Records the work that a daemon reports by target.
    pub fn counted(&mut self, _daemon: &NodeId, _counts: &HashMap<TargetId, Work>, _now: Millis) {}

    /// Returns the time in milliseconds that first events of a target take beyond their predictions.
    #[must_use]
    pub fn delay(&self, _target: &TargetId) -> f64 {
        0.0
    }

    /// Removes targets that no longer exist, and measurements that take too long.
    pub fn retain(&mut self, _known: impl Fn(&TargetId) -> bool, _now: Millis) {}
}
