//! Checks of lost targets that may live.
//!
//! Load pattern: live targets reset connections now and then, and a request that meets three such
//! resets in a row is withheld although no target crashed. An engine that still answers as the same
//! incarnation has not crashed, so its loss is removed on all daemons, and the verdict is withdrawn
//! if too few losses remain. The request stays withheld while the targets are asked, so that one that
//! does crash its targets gains nothing.
//!
//! Load pattern: answers of live targets are lost before their heads, some fifty a second, and many
//! requests share the parts of each. Such losses withhold a part only once the targets were asked. A
//! target whose port refuses connections has crashed, and counts at once; where none refuses, a part that
//! does crash its targets gains a tenth of a second. The outcome of a trial stands meanwhile, and is taken
//! back if its target lives.

use serde::{Deserialize, Serialize};
use thistlesill_core::{Fingerprint, Millis, Verdict};

use super::{FIRST_HOLD, LOSSES_UNTIL_WITHHELD, Loss, LossCause, Quarantine, Record};
use super::{VERDICT_RETENTION, hold_duration};

/// Shortest time from a loss to a check that may refute it: an engine may still send a report in the
/// time from the first broken connection to the end of its process.
pub const MIN_CHECK_DELAY: Millis = Millis::new(100);

/// What a lost target answered when it was asked for its report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LossCheck<T> {
    /// The target as it was lost.
    pub lost: T,
    /// When the check began.
    pub begun: Millis,
    /// How it answered.
    pub answer: CheckAnswer<T>,
}

/// The answer of a target that was asked for its report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckAnswer<T> {
    /// It did not answer.
    Nothing,
    /// It answered without naming its incarnation, so it may have started again meanwhile.
    Unnamed,
    /// It answered as this target.
    Named(T),
}

/// What follows from the checks of the targets that were lost under a request or part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckEffect<T> {
    /// The losses that are refuted, to be broadcast.
    pub refuted: Option<Refutation<T>>,
    /// The verdict to broadcast: a first one, or that of a trial which is repeated.
    pub verdict: Option<Verdict>,
}

/// Losses under a request that were no crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refutation<T> {
    /// Fingerprint of the request, or of a part of its prompt.
    pub print: Fingerprint,
    /// Targets that did not crash.
    pub targets: Vec<T>,
    /// The verdict that replaces one for which too few losses remain.
    pub withdrawn: Option<Verdict>,
}

impl<T: PartialEq> Loss<T> {
    /// Returns the check of the target that began late enough to say something of the loss.
    fn find_check<'a>(&self, checks: &'a [LossCheck<T>]) -> Option<&'a LossCheck<T>> {
        let since = self.last + MIN_CHECK_DELAY;
        let mut checks = checks.iter();
        checks.find(|check| check.lost == self.target && check.begun >= since)
    }

    /// Returns whether the answer to a check shows that the target did not crash.
    fn is_refuted(&self, answer: &CheckAnswer<T>) -> bool {
        match answer {
            CheckAnswer::Nothing => false,
            // A process that has crashed takes longer to start again.
            CheckAnswer::Unnamed => self.cause == LossCause::Unclear,
            CheckAnswer::Named(target) => *target == self.target,
        }
    }
}

impl<T: Clone + PartialEq> Record<T> {
    /// Returns whether checks may withdraw the verdict. The outcome of a trial is better evidence.
    fn is_first_verdict(&self, now: Millis) -> bool {
        self.level == 1 && !self.is_tried(now)
    }

    /// Returns whether checks may decide on the record: on a verdict that they may withdraw, or on one
    /// that depends on them.
    fn is_open(&self, now: Millis) -> bool {
        self.is_first_verdict(now) || self.is_doubtful() || self.unclear_trial().is_some()
    }

    /// Returns the loss with the last trial, if it is unclear whether its target crashed.
    fn unclear_trial(&self) -> Option<&Loss<T>> {
        let ended = self.ended.as_ref().filter(|_| self.level > 1)?;
        let loss = self.lost.iter().find(|loss| loss.target == *ended)?;
        (loss.cause == LossCause::Unclear).then_some(loss)
    }

    fn remove_losses(&mut self, targets: &[T]) {
        self.lost.retain(|loss| !targets.contains(&loss.target));
    }

    /// Withdraws a verdict; the losses that remain count towards the next one.
    fn withdraw(&mut self, round: u32, now: Millis) {
        self.round = round;
        self.level = 0;
        self.until = now;
        self.trial = false;
        let last = self.counted().map(|loss| loss.last).max();
        self.last_change = last.unwrap_or(Millis::ZERO);
        self.expires_at = now + VERDICT_RETENTION;
    }
}

impl<T: Clone + PartialEq> Quarantine<T> {
    /// Returns the targets that must be asked for their reports since a verdict may change by that, each
    /// with the time from which on a check may refute its loss.
    #[must_use]
    pub fn losses_to_check(&self, print: Fingerprint, now: Millis) -> Vec<(T, Millis)> {
        let record = self.records.get(&print);
        let record = record.filter(|record| record.is_open(now));
        let losses = record.into_iter().flat_map(Record::counted);
        let unchecked = losses.filter(|loss| !loss.checked);
        let due = unchecked.map(|loss| (loss.target.clone(), loss.last + MIN_CHECK_DELAY));
        due.collect()
    }

    /// Applies the results of checks to a request or part.
    pub fn apply_checks(
        &mut self,
        print: Fingerprint,
        checks: &[LossCheck<T>],
        now: Millis,
    ) -> CheckEffect<T> {
        let record = self.records.get(&print);
        let tried = record.and_then(|record| Some(record.unclear_trial()?.target.clone()));
        let refuted = self.refute(print, checks, now);
        let lives = |target: &T| refuted.as_ref().is_some_and(|r| r.targets.contains(target));
        let verdict = if tried.as_ref().is_some_and(lives) {
            self.reopen_trial(print, now)
        } else {
            self.conclude(print, now)
        };
        CheckEffect { refuted, verdict }
    }

    /// Removes the losses under a request that checks refute. Returns what to broadcast, if there are
    /// any. Losses that are not refuted count as crashes from now on.
    pub fn refute(
        &mut self,
        print: Fingerprint,
        checks: &[LossCheck<T>],
        now: Millis,
    ) -> Option<Refutation<T>> {
        let record = self.records.get_mut(&print)?;
        let mut targets = Vec::new();
        for loss in &mut record.lost {
            let Some(check) = loss.find_check(checks) else {
                continue;
            };
            loss.checked = true;
            if loss.is_refuted(&check.answer) {
                targets.push(loss.target.clone());
            } else {
                loss.cause = LossCause::Crash;
            }
        }
        if targets.is_empty() {
            return None;
        }
        record.remove_losses(&targets);
        let remaining = record.counted().count();
        let mut withdrawn = None;
        if record.is_first_verdict(now) && remaining < LOSSES_UNTIL_WITHHELD {
            record.withdraw(record.round + 1, now);
            withdrawn = Some(record.verdict(print, now));
        }
        Some(Refutation {
            print,
            targets,
            withdrawn,
        })
    }

    /// Records that a lost target has crashed for certain, for example because its port refuses
    /// connections. Returns the requests and parts of which that was unclear, without those that were
    /// cleared since the loss, and the verdicts to broadcast.
    pub fn note_crash(&mut self, target: &T, now: Millis) -> (Vec<Fingerprint>, Vec<Verdict>) {
        let records = self.records.iter_mut();
        let confirmed = records.filter_map(|(print, r)| r.confirm_crash(target).then_some(*print));
        let confirmed: Vec<Fingerprint> = confirmed.collect();
        let verdicts = confirmed.iter().filter_map(|p| self.conclude(*p, now));
        let verdicts = verdicts.collect();
        (confirmed, verdicts)
    }

    /// Takes back the outcome of a trial whose target lives; it is tried again.
    fn reopen_trial(&mut self, print: Fingerprint, now: Millis) -> Option<Verdict> {
        let record = self.records.get_mut(&print)?;
        record.ended = None;
        record.reconsider(record.level - 1, FIRST_HOLD, now);
        Some(record.verdict(print, now))
    }

    /// Decides on a part that was in doubt until it was known that its lost targets have crashed.
    pub(super) fn conclude(&mut self, part: Fingerprint, now: Millis) -> Option<Verdict> {
        let record = self.records.get_mut(&part)?;
        if !record.is_evident() {
            return None;
        }
        record.decide(1, hold_duration(1), now);
        Some(record.verdict(part, now))
    }

    /// Applies what another daemon refuted. Returns whether a verdict is withdrawn by it.
    pub fn receive_refutation(&mut self, refuted: &Refutation<T>, now: Millis) -> bool {
        if let Some(record) = self.records.get_mut(&refuted.print) {
            record.remove_losses(&refuted.targets);
        }
        let Some(withdrawn) = refuted.withdrawn else {
            return false;
        };
        let known = self.records.get(&refuted.print);
        if known.is_some_and(|record| record.round >= withdrawn.round) {
            return false;
        }
        self.make_room(refuted.print);
        let record = self.records.entry(refuted.print).or_default();
        record.withdraw(withdrawn.round, now);
        true
    }
}
