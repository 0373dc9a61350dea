//! Backoffs that targets request from this daemon.
//!
//! Load pattern: a target that sheds load turns requests away and requests a backoff from each daemon
//! that sent one. It has little work meanwhile, so a choice by load alone would pick it first.

use std::collections::HashMap;

use thistlesill_core::Millis;
use thistlesill_core::edge::TargetId;

/// Longest backoff that one answer starts. Only the answer to a request shows that a target accepts
/// requests again, and a wrong header must not exclude a target for good.
const MAX_BACKOFF: Millis = Millis::new(300_000);

/// Targets that requested a backoff from this daemon, as known to it.
#[derive(Debug, Clone, Default)]
pub struct BackoffTable {
    /// When the backoff of each target ends.
    ends: HashMap<TargetId, Millis>,
}

impl BackoffTable {
    /// Records that a target requested a backoff of `time` at `now`. Returns the time until its
    /// backoff ends.
    ///
    /// Answers overtake one another and each of them binds, so the latest end counts.
    pub fn request(&mut self, id: &TargetId, time: Millis, now: Millis) -> Millis {
        let end = now + time.min(MAX_BACKOFF);
        let known = self.ends.entry(id.clone()).or_default();
        *known = end.max(*known);
        *known - now
    }

    /// Returns the time until the backoff of a target ends; zero if it has none.
    #[must_use]
    pub fn remaining(&self, id: &TargetId, now: Millis) -> Millis {
        self.ends.get(id).map_or(Millis::ZERO, |end| *end - now)
    }

    /// Removes backoffs that are over.
    ///
    /// Backoffs of targets without an entry stay: an entry may lapse and come back.
    pub fn remove_ended(&mut self, now: Millis) {
        self.ends.retain(|_, end| *end > now);
    }
}
