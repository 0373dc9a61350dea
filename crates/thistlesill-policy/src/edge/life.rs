//! Whether single targets read what they are sent.
//!
//! A target that stands still accepts connections. It reads what it received meanwhile when it goes
//! on, also on connections that have been closed since, so a request cannot be recalled from it.

use std::collections::HashMap;

use thistlesill_core::Millis;
use thistlesill_core::edge::TargetId;

use super::reach::MAX_STANDSTILL;

/// How long something that a target sent shows that it goes on: the usual time between two events
/// of all the streams at a target.
const SIGN_VALIDITY: Millis = Millis::new(50);
/// How long a check that was not answered holds a request back; a check may fail for want of
/// processor time here.
const CHECK_VALIDITY: Millis = Millis::new(300);
/// How long a check that was not answered speaks against a target.
const FAILURE_VALIDITY: Millis = Millis::new(1_000);

/// What a check of a target showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckOutcome {
    /// The target answered.
    Answers,
    /// The target accepted the connection and did not answer in time.
    Silent,
    /// No connection was established, or it was closed.
    Unreached,
    /// The target may not be asked now.
    Unknown,
}

/// The state of the check of a target that is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckState {
    /// There is none.
    Missing,
    /// It is under way.
    Pending,
    /// It has ended.
    Ended(CheckOutcome),
}

/// A check of a target.
#[derive(Debug, Clone, Copy)]
struct Check {
    opened: Millis,
    /// `None` while the check is under way.
    outcome: Option<CheckOutcome>,
    /// When the last check of the target began that it answered.
    answered: Option<Millis>,
}

/// The last check of each target.
#[derive(Debug, Clone, Default)]
pub struct Checks {
    by_target: HashMap<TargetId, Check>,
}

impl Checks {
    /// Records that a check begins at `now`.
    pub fn begin(&mut self, id: &TargetId, now: Millis) {
        let answered = self.by_target.get(id).and_then(|check| check.answered);
        let check = Check {
            opened: now,
            outcome: None,
            answered,
        };
        self.by_target.insert(id.clone(), check);
    }

    /// Records the outcome of the check that began at `opened`, unless a later one has begun.
    pub fn end(&mut self, id: &TargetId, opened: Millis, outcome: CheckOutcome) {
        let check = self.by_target.get_mut(id);
        if let Some(check) = check.filter(|check| check.opened == opened) {
            check.outcome = Some(outcome);
            if outcome == CheckOutcome::Answers {
                check.answered = Some(opened);
            }
        }
    }

    /// Returns whether a target has answered a check that began at `since` or later.
    #[must_use]
    pub fn has_answered_since(&self, id: &TargetId, since: Millis) -> bool {
        let check = self.by_target.get(id);
        check.is_some_and(|check| check.answered.is_some_and(|at| at >= since))
    }

    /// Returns the state of a check of a target that began at `since` or later.
    #[must_use]
    pub fn state(&self, id: &TargetId, since: Millis) -> CheckState {
        let check = self.by_target.get(id);
        match check.filter(|check| check.opened >= since) {
            None => CheckState::Missing,
            Some(check) => check.outcome.map_or(CheckState::Pending, CheckState::Ended),
        }
    }

    /// Returns whether the last check of a target that made its last progress at `progress` was not
    /// answered, a short time ago.
    #[must_use]
    pub fn speak_against(&self, id: &TargetId, progress: Millis, now: Millis) -> bool {
        self.by_target.get(id).is_some_and(|check| {
            let failed = matches!(
                check.outcome,
                Some(CheckOutcome::Silent | CheckOutcome::Unreached)
            );
            failed && check.opened >= progress && now - check.opened < FAILURE_VALIDITY
        })
    }

    /// Forgets the targets that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&TargetId) -> bool) {
        self.by_target.retain(|id, _| known(id));
    }
}

/// Returns since when something that a target sent shows that it goes on.
#[must_use]
pub fn signs_since(now: Millis) -> Millis {
    now - SIGN_VALIDITY
}

/// Returns since when a check shows whether a target has read a request that was sent at `sent`.
#[must_use]
pub fn checks_since(sent: Millis, now: Millis) -> Millis {
    sent.max(now - CHECK_VALIDITY)
}

/// Returns whether a target that has been silent for this time may stand still, so that it will read
/// what it was sent; `outcome` is that of a check since then.
///
/// One that answers has read it, unless the connection is at fault. One that accepts no connection is
/// gone, or reads nothing from here.
#[must_use]
pub fn may_stand_still(outcome: CheckOutcome, silent_for: Millis) -> bool {
    outcome == CheckOutcome::Silent && silent_for < MAX_STANDSTILL
}
