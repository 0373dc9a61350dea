//! Whether a daemon reaches the targets of a service at all.
//!
//! A target that does not answer may have failed, or the daemon may have lost its own links. One
//! target does not tell these apart, but several that fail while none answers do, if some of them
//! are in each data centre of the service. Only connections that the daemon has just opened count:
//! established ones may live on while new ones are refused.
//!
//! Load pattern: one data centre becomes unreachable while another one is evacuated. The targets
//! that a daemon tries first are all in the unreachable one, and those of the third one are up.
//!
//! Load pattern: most targets end at once, and their entries stay for some heartbeats, or another
//! writer leaves entries of targets that do not exist. A daemon tries these first, and the others
//! are up. So those that were active last must have failed, too.

use std::collections::{HashMap, HashSet};

use rand::seq::SliceRandom;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::{HallId, Millis};

/// Number of targets that must have failed, without an answer of any, for links to count as lost;
/// fewer if the service has fewer targets.
const MIN_FAILED: usize = 3;
/// Number of targets that must answer again for lost links to count as restored; fewer if the
/// service has fewer targets.
const MIN_ANSWERED: usize = 2;
/// Number of targets that were active last and must have failed, too, for links to count as lost.
const MAX_RECENT: usize = 8;
/// How long a failure counts.
const FAILURE_VALIDITY: Millis = Millis::new(2_000);
/// Number of targets that are asked in one round of checks; more if the service has targets in more
/// data centres without a failure.
const CHECKED_TARGETS: usize = 3;

/// How long targets that accept connections but send no answer are taken for ones that stand still
/// and will go on.
pub(super) const MAX_STANDSTILL: Millis = Millis::new(1_500);

/// Time without progress at any target after which the next progress ends a common silence.
const SILENCE_GAP: Millis = Millis::new(150);

/// The state of a daemon's links to the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// The targets are reached.
    Up,
    /// Most targets accept connections, and at most one answers. They may all stand still, or the
    /// links are lost in a way that a connection does not show.
    Silent,
    /// The targets are not reached: most accept no connection, or they have been silent for long.
    Down,
}

/// What an observation changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// Nothing that needs a reaction.
    Unchanged,
    /// A target failed; it should be checked whether others answer.
    Doubtful,
    /// Enough targets failed for a loss, but none in some data centre, or not all that were active last;
    /// it should be checked at once whether these answer.
    Undecided,
    /// The links to the targets are lost.
    Lost,
    /// The links, which were lost for this time, work again.
    Restored(Millis),
}

/// How an attempt to reach a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection was established, or it was closed at once.
    Unreached,
    /// The connection was established, but no answer came in time. The target may stand still.
    Silent,
}

/// A target that was not reached.
#[derive(Debug, Clone, Copy)]
pub struct FailedTarget<'a> {
    /// Identifies the target.
    pub id: &'a TargetId,
    /// Data centre of the target.
    pub hall: &'a HallId,
    /// When the connection or check began.
    pub begun: Millis,
    /// How it failed.
    pub kind: FailureKind,
}

/// The last attempt to reach a target, which failed.
#[derive(Debug, Clone)]
struct Failure {
    hall: HallId,
    begun: Millis,
    kind: FailureKind,
}

/// A daemon's links to the targets of one service.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    /// The last attempt to reach each target, for those that were not reached and after which no
    /// target has answered.
    failed: HashMap<TargetId, Failure>,
    /// When the last exchange began that a target broke off or left unanswered.
    doubted_at: Option<Millis>,
    /// When the connection on which a target answered last was opened, the latest one counting.
    answered_at: Option<Millis>,
    /// Since when the links are lost.
    lost_at: Option<Millis>,
    /// Targets that have answered since the links were lost.
    answered: HashSet<TargetId>,
    /// The targets that were active last, the latest first.
    recent: Vec<TargetId>,
    /// When a target last made progress on a request.
    progress_at: Option<Millis>,
    /// When the last common silence of all targets ended.
    resumed_at: Option<Millis>,
}

impl Reach {
    /// Returns whether the links to the targets are lost.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Returns the state of the links.
    #[must_use]
    pub fn state(&self, now: Millis) -> LinkState {
        let Some(lost_at) = self.lost_at else {
            return LinkState::Up;
        };
        // A few that accept no connection may have crashed while the others stand still.
        let silent = self.failures().filter(|kind| *kind == FailureKind::Silent);
        let are_most_silent = 2 * silent.count() >= self.failed.len();
        let is_silent = are_most_silent || !self.answered.is_empty();
        if is_silent && now - lost_at < MAX_STANDSTILL {
            LinkState::Silent
        } else {
            LinkState::Down
        }
    }

    /// Records that a target made progress on a request.
    pub fn note_progress(&mut self, now: Millis) {
        if !self.is_progressing(now) {
            self.resumed_at = Some(now);
        }
        self.progress_at = Some(now);
    }

    /// Records that a target sent something, also on a connection that has been open for long.
    pub fn note_active(&mut self, id: &TargetId) {
        if let Some(place) = self.recent.iter().position(|known| known == id) {
            self.recent[..=place].rotate_right(1);
        } else {
            self.recent.truncate(MAX_RECENT - 1);
            self.recent.insert(0, id.clone());
        }
    }

    /// Forgets the recent targets that cannot be asked now.
    pub fn retain_recent(&mut self, can_ask: impl Fn(&TargetId) -> bool) {
        self.recent.retain(can_ask);
    }

    /// Returns whether a target has made progress on a request a moment ago.
    #[must_use]
    pub fn is_progressing(&self, now: Millis) -> bool {
        self.progress_at.is_some_and(|at| now - at < SILENCE_GAP)
    }

    /// Returns whether a target has made progress on a request at `since` or later.
    #[must_use]
    pub fn has_progressed_since(&self, since: Millis) -> bool {
        self.progress_at.is_some_and(|at| at >= since)
    }

    /// Returns when a target that made its last progress at `seen` began to be silent alone: not
    /// before the last common silence ended.
    #[must_use]
    pub fn silent_since(&self, seen: Millis) -> Millis {
        self.resumed_at.map_or(seen, |at| at.max(seen))
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
        let failed = self.failed.values().map(|failure| failure.begun).max();
        let doubted = self.doubted_at;
        let doubted = doubted.filter(|at| !self.has_answered_since(*at));
        failed.max(doubted)
    }

    /// Returns how each target failed that was not reached since the last answer of any target.
    pub fn failures(&self) -> impl Iterator<Item = FailureKind> {
        self.failed.values().map(|failure| failure.kind)
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

    /// Records that a target was not reached. `targets` is the number of targets of the service,
    /// and `halls` yields the data centre of each one that may be asked, which is neither leaving
    /// nor evacuated.
    pub fn note_failure<'a>(
        &mut self,
        failed: FailedTarget<'_>,
        now: Millis,
        targets: usize,
        halls: impl IntoIterator<Item = &'a HallId>,
    ) -> ReachChange {
        let is_valid = |failure: &Failure| now - failure.begun < FAILURE_VALIDITY;
        self.failed.retain(|_, failure| is_valid(failure));
        let failure = Failure {
            hall: failed.hall.clone(),
            begun: failed.begun,
            kind: failed.kind,
        };
        self.failed.insert(failed.id.clone(), failure);
        if self.is_lost() {
            // A failure does not refute the answers to checks that began with it.
            if !self.has_answered_since(failed.begun) {
                self.answered.clear();
            }
            return ReachChange::Unchanged;
        }
        let is_few = self.failed.len() < MIN_FAILED.min(targets);
        if is_few || self.is_silence_of_some(now) {
            return ReachChange::Doubtful;
        }
        let failed_halls = self.failed_halls();
        let in_all_halls = halls.into_iter().all(|hall| failed_halls.contains(hall));
        let all_recent = self.recent.iter().all(|id| self.failed.contains_key(id));
        if !in_all_halls || !all_recent {
            return ReachChange::Undecided;
        }
        self.lost_at = Some(now);
        self.answered.clear();
        ReachChange::Lost
    }

    /// Returns whether all targets that failed accept connections while others make progress: then
    /// the failed ones stand still.
    fn is_silence_of_some(&self, now: Millis) -> bool {
        self.is_progressing(now) && self.failures().all(|kind| kind == FailureKind::Silent)
    }

    /// Returns the data centres of the targets that were not reached since the last answer.
    fn failed_halls(&self) -> HashSet<&HallId> {
        self.failed.values().map(|failure| &failure.hall).collect()
    }

    /// Draws the targets to check among those of the service that may be asked.
    ///
    /// The first ones are one of each data centre without a failure, since a loss cannot be told
    /// before these have failed. Others follow, if possible those that did not fail. Once enough targets
    /// have failed, all that were active last are asked as well, for the same reason.
    pub fn draw_checks<'a>(
        &self,
        targets: impl IntoIterator<Item = &'a Target>,
        rng: &mut impl rand::Rng,
    ) -> Vec<&'a Target> {
        let mut shuffled: Vec<&'a Target> = targets.into_iter().collect();
        shuffled.shuffle(rng);
        let asks_recent = self.is_lost() || self.failed.len() >= MIN_FAILED.min(shuffled.len());
        let is_recent = |target: &&'a Target| asks_recent && self.recent.contains(&target.id);
        let (recent, others): (Vec<_>, Vec<_>) = shuffled.into_iter().partition(is_recent);
        let mut halls = self.failed_halls();
        halls.extend(recent.iter().map(|target| &target.hall));
        let is_first = |target: &&'a Target| halls.insert(&target.hall);
        let (mut drawn, mut others): (Vec<_>, Vec<_>) = others.into_iter().partition(is_first);
        others.sort_by_key(|target| self.failed.contains_key(&target.id));
        others.truncate(CHECKED_TARGETS.saturating_sub(drawn.len()));
        drawn.extend(others);
        drawn.extend(recent);
        drawn
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
        self.note_active(id);
        self.answered_at = self.answered_at.max(Some(opened));
        // The answer does not refute what failed on later connections.
        self.failed.retain(|_, failure| failure.begun > opened);
        let Some(lost_at) = self.lost_at.filter(|lost_at| opened >= *lost_at) else {
            return ReachChange::Unchanged;
        };
        self.answered.insert(id.clone());
        if self.answered.len() < MIN_ANSWERED.min(targets) {
            return ReachChange::Unchanged;
        }
        self.lost_at = None;
        self.resumed_at = Some(now);
        self.answered.clear();
        ReachChange::Restored(now - lost_at)
    }
}
