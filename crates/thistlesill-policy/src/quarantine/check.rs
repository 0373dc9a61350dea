//! Checks of the targets whose losses led to a verdict.
//!
//! Load pattern: live targets reset connections now and then, and a request that meets three such
//! resets in a row is withheld although no target crashed. An engine that still answers as the same
//! incarnation has not crashed, so its loss is removed on all daemons, and the verdict is withdrawn
//! if too few losses remain. The request stays withheld while the targets are asked, so that one that
//! does crash its targets gains nothing.

use serde::{Deserialize, Serialize};
use thistlesill_core::{Fingerprint, Millis, Verdict};

use super::{LOSSES_UNTIL_WITHHELD, Quarantine, Record, VERDICT_RETENTION};

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
    /// The target as it answered; `None` if it did not answer, or did not name its incarnation.
    pub answered: Option<T>,
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

impl<T: Clone + PartialEq> Record<T> {
    /// Returns whether checks may withdraw the verdict. The outcome of a trial is better evidence.
    fn is_first_verdict(&self, now: Millis) -> bool {
        self.level == 1 && !self.is_tried(now)
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
    /// Returns the targets that must be asked for their reports because of a first verdict, each with
    /// the time from which on a check may refute its loss.
    #[must_use]
    pub fn losses_to_check(&self, print: Fingerprint, now: Millis) -> Vec<(T, Millis)> {
        let record = self.records.get(&print);
        let record = record.filter(|record| record.is_first_verdict(now));
        let losses = record.into_iter().flat_map(Record::counted);
        let unchecked = losses.filter(|loss| !loss.checked);
        let due = unchecked.map(|loss| (loss.target.clone(), loss.last + MIN_CHECK_DELAY));
        due.collect()
    }

    /// Applies the results of checks to the losses under a request. Returns what to broadcast, if any
    /// loss is refuted.
    pub fn refute(
        &mut self,
        print: Fingerprint,
        checks: &[LossCheck<T>],
        now: Millis,
    ) -> Option<Refutation<T>> {
        let record = self.records.get_mut(&print)?;
        let mut targets = Vec::new();
        for loss in &mut record.lost {
            let since = loss.last + MIN_CHECK_DELAY;
            let valid = |check: &&LossCheck<T>| check.lost == loss.target && check.begun >= since;
            let Some(check) = checks.iter().find(valid) else {
                continue;
            };
            loss.checked = true;
            if check.answered.as_ref() == Some(&loss.target) {
                targets.push(loss.target.clone());
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
