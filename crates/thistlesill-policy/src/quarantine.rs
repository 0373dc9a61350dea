//! Quarantine of requests that crash the targets that run them.
//!
//! Load pattern: a request that crashes every target that starts it is repeated every few tenths of
//! a second, with a new id, at any daemon, alongside some twenty other requests at each target.
//! Only its content shows that it is a repetition, and only the observations of all daemons
//! together show that target after target crashed while running it. Each daemon therefore
//! broadcasts under which requests a target was lost, and after the third target in a row the
//! request is withheld.
//!
//! A loss is weak evidence: all requests that ran at the target were lost with it, and where a
//! model has few groups the same requests meet again and again. A withheld request is therefore
//! soon tried, one request at a time across all daemons. A request that completes is cleared at
//! once, and if the trial crashes its target, all requests that were only lost alongside the tried
//! one are cleared. The tried request is then withheld for long, and tried again much later: a
//! wrong verdict goes away by itself, and a right one costs three more targets in the first hour.
//!
//! Two daemons may begin trials at the same time. If a target crashes under both, either of the two
//! requests may be the cause, so both are tried again, one after the other.
//!
//! Live targets reset connections too, and sound requests were withheld because of that. After a first
//! verdict, the daemon that made it therefore asks the lost targets for their reports, and losses of
//! targets that did not crash are refuted. Where nothing of an answer had arrived, they are asked before
//! a first verdict on a part, and after a trial.
//!
//! A target may also stop without a word, and its request end before that is known. [`Unanswered`] keeps
//! such requests until it is.
//!
//! What crashes targets may be one part of a prompt instead of a whole request; [`RequestKeys`] has
//! the keys of both, and the evidence against a part has rules of its own.

mod check;
mod progress;
mod record;
mod request;
mod unanswered;

use std::collections::HashMap;

use thistlesill_core::{Fingerprint, Millis, Verdict};

pub use self::check::{CheckAnswer, CheckEffect, LossCheck, MIN_CHECK_DELAY, Refutation};
pub use self::progress::{AnswerPhase, AnswerProgress};
pub use self::record::LossCause;
use self::record::{Loss, Record};
pub use self::request::{LossEffect, RequestKeys};
pub use self::unanswered::{Fate, Finding, Unanswered, UnansweredRequest};

/// Targets that must be lost in a row under a request before it is withheld. One or two can be lost
/// for other reasons, or because of another request that ran there: a request that shares a target
/// with a fatal one is sent elsewhere, and may meet the fatal one once more.
const LOSSES_UNTIL_WITHHELD: usize = 3;
/// How long a request is withheld before its first trial: about as long as another group takes to
/// form, and short compared to the time that callers wait whose requests were only lost alongside
/// it.
const FIRST_HOLD: Millis = Millis::new(1_000);
/// How long the second of two requests is withheld that were tried at the same time and must be
/// tried again: long enough for the trial of the first one.
const REPEATED_TRIAL_HOLD: Millis = Millis::new(2_500);
/// How long a request is withheld after its first trial crashed a target.
const SECOND_HOLD: Millis = Millis::new(120_000);
/// Factor on that time for each further trial that crashes a target.
const HOLD_FACTOR: u32 = 10;
/// Upper bound of these times: two more trials a day cost less than withholding a request whose
/// cause has been fixed meanwhile.
pub const MAX_HOLD: Millis = Millis::new(12 * 3_600_000);
/// How long a trial may take before the next one may begin: longer than callers wait for answers.
const TRIAL_TIMEOUT: Millis = Millis::new(10_000);
/// How long a request is withheld after a trial that no target got: the next one may be admitted, and
/// each trial is announced to all daemons.
const UNSENT_TRIAL_HOLD: Millis = Millis::new(100);
/// Retry delay given to callers while another request is being tried: a fatal request takes some
/// tenths of a second to crash its target.
const TRIAL_RETRY_AFTER: Millis = Millis::new(300);
/// How long a loss is remembered for a request that is not withheld.
const LOSS_RETENTION: Millis = Millis::new(300_000);
/// How long a request is remembered after its time of being withheld has passed or it was cleared:
/// longer than daemons can be disconnected before they have forgotten each other.
const VERDICT_RETENTION: Millis = Millis::new(600_000);
/// Maximum number of requests remembered; each takes about 300 bytes. The oldest ones that are not
/// withheld are removed first.
const MAX_KNOWN: usize = 4_096;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request may be sent.
    Free,
    /// The request was withheld for long enough and may be sent once, as a trial.
    Trial,
    /// The request is withheld for this much longer.
    Withheld(Millis),
    /// The request is being tried; other copies may ask again after this time.
    Tried(Millis),
}

/// Requests under which targets were lost; `T` identifies one incarnation of a target.
#[derive(Debug, Clone)]
pub struct Quarantine<T> {
    records: HashMap<Fingerprint, Record<T>>,
}

impl<T> Default for Quarantine<T> {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
        }
    }
}

impl<T: Clone + PartialEq> Quarantine<T> {
    /// Returns whether nothing is known of any request, so that fingerprints need not be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a request may be sent.
    #[must_use]
    pub fn status(&self, print: Fingerprint, now: Millis) -> QuarantineStatus {
        match self.records.get(&print) {
            Some(record) if record.is_tried(now) => {
                QuarantineStatus::Tried(TRIAL_RETRY_AFTER.min(record.until - now))
            }
            Some(record) if record.is_withheld(now) => {
                QuarantineStatus::Withheld(record.until - now)
            }
            Some(record) if record.level > 0 && self.is_trial_on(now) => {
                QuarantineStatus::Withheld(TRIAL_RETRY_AFTER)
            }
            Some(record) if record.level > 0 => QuarantineStatus::Trial,
            _ => QuarantineStatus::Free,
        }
    }

    /// Returns whether any request is being tried. Two of them could meet at one target, and it
    /// would be unknown which of them crashed it.
    fn is_trial_on(&self, now: Millis) -> bool {
        self.records.values().any(|record| record.is_tried(now))
    }

    /// Records that a request is being tried. Until the trial has an outcome, other copies are
    /// withheld.
    pub fn begin_trial(&mut self, print: Fingerprint, now: Millis) -> Option<Verdict> {
        let record = self.records.get_mut(&print)?;
        record.decide(record.level, TRIAL_TIMEOUT, now);
        record.trial = true;
        Some(record.verdict(print, now))
    }

    /// Records that a trial ended without an outcome, for example because its caller disconnected.
    /// Returns the verdict to broadcast if the trial was still running.
    pub fn end_trial(&mut self, print: Fingerprint, now: Millis) -> Option<Verdict> {
        self.end_trial_with(print, FIRST_HOLD, now)
    }

    /// Records that no target got the request of a trial, for example because all were full. Returns
    /// the verdict to broadcast if the trial was still running.
    pub fn cancel_trial(&mut self, print: Fingerprint, now: Millis) -> Option<Verdict> {
        self.end_trial_with(print, UNSENT_TRIAL_HOLD, now)
    }

    fn end_trial_with(&mut self, print: Fingerprint, hold: Millis, now: Millis) -> Option<Verdict> {
        let record = self.records.get_mut(&print).filter(|c| c.is_tried(now))?;
        record.decide(record.level, hold, now);
        Some(record.verdict(print, now))
    }

    /// Records that a target was lost while it had a request. Returns the verdict to broadcast if
    /// the request is withheld from now on.
    pub fn note_lost(&mut self, print: Fingerprint, target: &T, now: Millis) -> Option<Verdict> {
        self.note_loss(print, target, LossCause::Crash, now, now)
    }

    /// Records a loss that is noticed now, of a target that was gone at `gone`.
    fn note_loss(
        &mut self,
        print: Fingerprint,
        target: &T,
        cause: LossCause,
        gone: Millis,
        now: Millis,
    ) -> Option<Verdict> {
        self.make_room(print);
        let record = self.records.entry(print).or_default();
        record.count_lost(target, cause, gone, now);
        record.expires_at = record.expires_at.max(now + LOSS_RETENTION);
        if record.level > 0 && !record.trial {
            // The request was sent before the verdict was known, and its loss is noticed late: only
            // a trial may be sent after one, also once the request is no longer withheld.
            return None;
        }
        if record.level == 0 && !record.is_evident() {
            return None;
        }
        if record.is_tried(now) {
            record.ended = Some(target.clone());
            let rivals = self.rivals(print, target, now);
            if !rivals.is_empty() {
                return self.repeat_trials(print, &rivals, now);
            }
        }
        let record = self.records.get_mut(&print)?;
        let level = record.level + 1;
        record.decide(level, hold_duration(level), now);
        let verdict = record.verdict(print, now);
        self.clear_beside(&verdict, now);
        Some(verdict)
    }

    /// Returns other requests on trial that may have crashed `target` instead of `print`.
    fn rivals(&self, print: Fingerprint, target: &T, now: Millis) -> Vec<Fingerprint> {
        let may_have =
            |record: &Record<T>| record.is_tried(now) || record.ended.as_ref() == Some(target);
        let others = self.records.iter().filter(|(other, _)| **other != print);
        let rivals = others.filter(|(_, record)| may_have(record));
        rivals.map(|(other, _)| *other).collect()
    }

    /// Schedules new trials for a request that was tried at the same time as others, and for those
    /// of the others that were blamed for the crash of the target. Returns the request's verdict.
    ///
    /// The one with the lowest fingerprint is tried first, so that all daemons use the same order.
    fn repeat_trials(
        &mut self,
        print: Fingerprint,
        rivals: &[Fingerprint],
        now: Millis,
    ) -> Option<Verdict> {
        let hold_before_trial = |candidate: Fingerprint| {
            let is_first = candidate <= print && rivals.iter().all(|rival| candidate <= *rival);
            if is_first {
                FIRST_HOLD
            } else {
                REPEATED_TRIAL_HOLD
            }
        };
        for rival in rivals {
            if let Some(record) = self.records.get_mut(rival)
                && !record.is_tried(now)
                && record.level > 1
            {
                record.reconsider(record.level - 1, hold_before_trial(*rival), now);
            }
        }
        let record = self.records.get_mut(&print)?;
        record.reconsider(record.level, hold_before_trial(print), now);
        Some(record.verdict(print, now))
    }

    /// Clears requests that were only lost alongside a request whose trial crashed its target.
    fn clear_beside(&mut self, verdict: &Verdict, now: Millis) {
        let fatal = self.records.get(&verdict.print);
        let Some(fatal) = fatal.filter(|_| verdict.level > 1 && !verdict.trial) else {
            return;
        };
        let lost: Vec<T> = fatal.lost.iter().map(|loss| loss.target.clone()).collect();
        let beside =
            |record: &Record<T>| record.lost.iter().all(|loss| lost.contains(&loss.target));
        let suspected = |record: &Record<T>| record.level < 2 && !record.lost.is_empty();
        self.records
            .retain(|_, record| record.round > 0 || !(suspected(record) && beside(record)));
        for (print, record) in &mut self.records {
            if *print != verdict.print && suspected(record) && beside(record) {
                record.decide(0, Millis::ZERO, now);
            }
        }
    }

    /// Records that a request completed. Returns the verdict to broadcast if a loss or a verdict
    /// was recorded for the request. A request that was never withheld is forgotten.
    pub fn note_success(&mut self, print: Fingerprint, now: Millis) -> Option<Verdict> {
        let record = self.records.get_mut(&print)?;
        if record.round == 0 {
            self.records.remove(&print);
            return Some(Verdict {
                print,
                round: 0,
                level: 0,
                left: Millis::ZERO,
                trial: false,
            });
        }
        if record.level == 0 && record.lost.is_empty() {
            return None;
        }
        record.decide(0, Millis::ZERO, now);
        Some(record.verdict(print, now))
    }

    /// Applies a verdict that another daemon broadcast. Returns whether it changed anything.
    pub fn receive(&mut self, received: Verdict, now: Millis) -> bool {
        let known = self.records.get(&received.print);
        if received.round == 0 {
            let cleared = known.is_some_and(|record| record.round == 0);
            return cleared && self.records.remove(&received.print).is_some();
        }
        let (round, level, until) =
            known.map_or((0, 0, Millis::ZERO), |c| (c.round, c.level, c.until));
        // Two daemons may decide at the same time; the stricter verdict wins at both.
        let stricter = (received.level, now + received.left) > (level, until);
        let is_newer = received.round > round || (received.round == round && stricter);
        if !is_newer {
            return false;
        }
        self.make_room(received.print);
        let record = self.records.entry(received.print).or_default();
        record.decide(received.level, received.left, now);
        record.round = received.round;
        record.trial = received.trial;
        self.clear_beside(&received, now);
        true
    }

    /// Returns a digest that is equal for two daemons that know the same verdicts; 0 if there are
    /// none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let decided = self.records.iter().filter(|(_, record)| record.round > 0);
        decided.fold(0, |all, (print, record)| all ^ digest_of(*print, record))
    }

    /// Returns all remembered verdicts, those with the most time left first.
    #[must_use]
    pub fn verdicts(&self, now: Millis) -> Vec<Verdict> {
        let decided = self.records.iter().filter(|(_, record)| record.round > 0);
        let mut all: Vec<Verdict> = decided.map(|(p, record)| record.verdict(*p, now)).collect();
        all.sort_unstable_by_key(|v| std::cmp::Reverse((v.left, v.print)));
        all
    }

    /// Returns the number of lost targets that count against a request.
    #[must_use]
    pub fn lost_targets(&self, print: Fingerprint) -> usize {
        let record = self.records.get(&print);
        record.map_or(0, |record| record.counted().count())
    }

    /// Returns the number of withheld requests.
    #[must_use]
    pub fn withheld(&self, now: Millis) -> usize {
        let all = self.records.values();
        all.filter(|record| record.is_withheld(now)).count()
    }

    /// Removes expired records.
    pub fn retain(&mut self, now: Millis) {
        self.records.retain(|_, record| now < record.expires_at);
    }

    /// Removes the oldest record if there is no room for another one.
    fn make_room(&mut self, print: Fingerprint) {
        if self.records.len() < MAX_KNOWN || self.records.contains_key(&print) {
            return;
        }
        let oldest = self
            .records
            .iter()
            .min_by_key(|(print, record)| (record.level > 0, record.expires_at, **print));
        if let Some(print) = oldest.map(|(print, _)| *print) {
            self.records.remove(&print);
        }
    }
}

/// Returns how long a request is withheld after `level` verdicts against it in a row.
fn hold_duration(level: u32) -> Millis {
    let Some(further) = level.checked_sub(2) else {
        return FIRST_HOLD;
    };
    let longer = u64::from(HOLD_FACTOR).saturating_pow(further);
    Millis::new(SECOND_HOLD.get().saturating_mul(longer)).min(MAX_HOLD)
}

/// Returns the contribution of a verdict to the digest. Cheap, since it is computed for each
/// verdict with each heartbeat; fingerprints are evenly distributed already.
fn digest_of<T>(print: Fingerprint, record: &Record<T>) -> u64 {
    let odd = (u64::from(record.round) << 32 | u64::from(record.level)) << 1 | 1;
    (print.number() as u64).wrapping_mul(odd)
}
