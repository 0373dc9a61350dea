//! Whether a daemon reaches the targets of a service at all.
//!
//! A target that does not answer may have failed, or the daemon may have lost its own links. One
//! target does not tell these apart, but several that fail while none answers do. Only connections
//! that the daemon has just opened count: established ones may live on while new ones are refused.

use std::collections::{HashMap, HashSet};

use thistlesill_core::Millis;
use thistlesill_core::edge::TargetId;

/// Number of targets that must have failed, without an answer of any, for links to count as lost;
/// fewer if the service has fewer targets.
const MIN_FAILED: usize = 3;
/// Number of targets that must answer again for lost links to count as restored; fewer if the
/// service has fewer targets.
const MIN_ANSWERED: usize = 2;
/// How long a failure counts.
const FAILURE_VALIDITY: Millis = Millis::new(2_000);

/// What an observation changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// Nothing that needs a reaction.
    Unchanged,
    /// A target failed; it should be checked whether others answer.
    Doubtful,
    /// The links to the targets are lost.
    Lost,
    /// The links, which were lost for this time, work again.
    Restored(Millis),
}

/// A daemon's links to the targets of one service.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    /// When the last attempt to reach each target began, for those that were not reached and after
    /// which no target has answered.
    failed: HashMap<TargetId, Millis>,
    /// When the last exchange began that a target broke off or left unanswered.
    doubted_at: Option<Millis>,
    /// When the connection on which a target answered last was opened, the latest one counting.
    answered_at: Option<Millis>,
    /// Since when the links are lost.
    lost_at: Option<Millis>,
    /// Targets that have answered since the links were lost.
    answered: HashSet<TargetId>,
}

impl Reach {
    /// Returns whether the links to the targets are lost.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Returns whether a target has answered on a connection opened at `since` or later. Only then
    /// does the silence of another one say something about that target.
    #[must_use]
    pub fn has_answered_since(&self, since: Millis) -> bool {
        self.answered_at.is_some_and(|at| at >= since)
    }

    /// Returns since when the links are in doubt: when the last failed exchange began, unless a
    /// target has answered since.
    #[must_use]
    pub fn doubted_since(&self) -> Option<Millis> {
        let failed = self.failed.values().max().copied();
        let doubted = self.doubted_at;
        let doubted = doubted.filter(|at| !self.has_answered_since(*at));
        failed.max(doubted)
    }

    /// Returns the targets that were not reached since the last answer of any target.
    pub fn failed(&self) -> impl Iterator<Item = &TargetId> {
        self.failed.keys()
    }

    /// Records that an exchange with a target, which began at `begun`, was broken off or had no
    /// answer. The target was reached before that, so the links may work.
    pub fn note_doubt(&mut self, begun: Millis) -> ReachChange {
        self.doubted_at = self.doubted_at.max(Some(begun));
        if self.is_lost() || self.has_answered_since(begun) {
            return ReachChange::Unchanged;
        }
        ReachChange::Doubtful
    }

    /// Records that a target was not reached, by a connection or check that began at `begun`.
    /// `targets` is the number of targets of the service.
    pub fn note_failure(
        &mut self,
        id: &TargetId,
        begun: Millis,
        now: Millis,
        targets: usize,
    ) -> ReachChange {
        self.failed.retain(|_, at| now - *at < FAILURE_VALIDITY);
        self.failed.insert(id.clone(), begun);
        if self.is_lost() {
            self.answered.clear();
            return ReachChange::Unchanged;
        }
        if self.failed.len() >= MIN_FAILED.min(targets) {
            self.lost_at = Some(now);
            self.answered.clear();
            return ReachChange::Lost;
        }
        ReachChange::Doubtful
    }

    /// Records that a target answered on a connection that was opened at `opened`. `targets` is the
    /// number of targets of the service.
    pub fn note_answer(
        &mut self,
        id: &TargetId,
        opened: Millis,
        now: Millis,
        targets: usize,
    ) -> ReachChange {
        self.answered_at = self.answered_at.max(Some(opened));
        // The answer does not refute what failed on later connections.
        self.failed.retain(|_, begun| *begun > opened);
        let Some(lost_at) = self.lost_at.filter(|lost_at| opened >= *lost_at) else {
            return ReachChange::Unchanged;
        };
        self.answered.insert(id.clone());
        if self.answered.len() < MIN_ANSWERED.min(targets) {
            return ReachChange::Unchanged;
        }
        self.lost_at = None;
        self.answered.clear();
        ReachChange::Restored(now - lost_at)
    }
}
