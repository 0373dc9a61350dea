//! Evidence against a request as a whole and against the parts of its prompt.
//!
//! Load pattern: requests of which no two are alike share one part of their prompts, and each
//! crashes the target that begins to answer it. Sound requests share their caller and all their
//! other parts, and many of them are lost with each target. Evidence under the whole request never
//! reaches a verdict then, so it is kept under each shared part as well.
//!
//! A part is suspected unless its answer was past its start, since such parts crash targets as these
//! begin to answer, before or after the head of the answer has arrived. An answer that is written past
//! its start clears all its parts, which keeps parts of sound requests free however often targets are
//! lost. Of the losses of a part only those count whose answer began, or whose request was sent if it
//! waited, after the loss before: one outage may take many targets at once, and would otherwise condemn
//! what many requests share.
//!
//! Targets that stood still together crash together under the requests with a fatal part that they got
//! meanwhile, and that counts as one loss. Once a part that was withheld for these crashes is cleared,
//! the parts that are left with three of them are withheld in its place.
//!
//! A request with several suspects is tried only when no request with a single one came for a
//! while. If it crashes its target, the combination is withheld for long, and each suspect may
//! still be tried alone.

use thistlesill_core::{Fingerprint, Millis, Verdict};

use super::{
    AnswerPhase, FIRST_HOLD, LOSSES_UNTIL_WITHHELD, LossCause, Quarantine, QuarantineStatus,
    Record, TRIAL_RETRY_AFTER, UnansweredRequest, hold_duration,
};

/// How much longer a request with several suspects is withheld than one with a single suspect: long
/// enough for the trials of the suspects alone, one after the other.
const COMBINATION_HOLD: Millis = Millis::new(2_000);

/// The keys under which evidence about a request is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestKeys {
    /// Fingerprint of the whole request.
    pub whole: Fingerprint,
    /// Fingerprints of the parts of its prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
}

impl RequestKeys {
    /// Returns all keys.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.whole).chain(self.parts.iter().copied())
    }
}

/// What follows from the loss of a target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LossEffect {
    /// Parts that are suspected; empty if the answer was past its start.
    pub suspected: Vec<Fingerprint>,
    /// Verdicts to broadcast.
    pub verdicts: Vec<Verdict>,
    /// Parts on which a verdict depends on the reports of the lost targets.
    pub doubtful: Vec<Fingerprint>,
}

impl<T: Clone + PartialEq> Quarantine<T> {
    /// Returns whether a request may be sent. `own` are the suspects of which it is the trial itself.
    #[must_use]
    pub fn request_status(
        &self,
        keys: &RequestKeys,
        own: &[Fingerprint],
        now: Millis,
    ) -> QuarantineStatus {
        let mut suspects = self.suspects(keys, None);
        suspects.retain(|key| !(own.contains(key) && self.is_tried(*key, now)));
        match suspects.as_slice() {
            [] => QuarantineStatus::Free,
            [only] => self.status(*only, now),
            several => self.combination_status(several, now),
        }
    }

    /// Begins the trial of a request. Returns its suspects with a verdict, which other requests may
    /// not try meanwhile, and the verdicts to broadcast.
    pub fn begin_request_trial(
        &mut self,
        keys: &RequestKeys,
        now: Millis,
    ) -> (Vec<Fingerprint>, Vec<Verdict>) {
        let tried: Vec<Fingerprint> = keys.iter().filter(|key| self.has_verdict(*key)).collect();
        let begun = tried.iter().filter_map(|key| self.begin_trial(*key, now));
        let verdicts = begun.collect();
        (tried, verdicts)
    }

    /// Records that a target was lost while it had a request. `own` are the suspects of which the
    /// request is the trial.
    pub fn note_request_lost(
        &mut self,
        keys: &RequestKeys,
        own: &[Fingerprint],
        target: &T,
        phase: AnswerPhase,
        now: Millis,
    ) -> LossEffect {
        self.note_loss_of_request(keys, own, target, phase, phase.loss_cause(), now)
    }

    /// Records that a target has ended under which a request fell silent, as far as is known now.
    pub fn note_silent_loss(
        &mut self,
        request: &UnansweredRequest,
        target: &T,
        now: Millis,
    ) -> LossEffect {
        let (keys, tried) = (&request.keys, &request.tried);
        self.note_loss_of_request(keys, tried, target, request.phase, LossCause::Silence, now)
    }

    fn note_loss_of_request(
        &mut self,
        keys: &RequestKeys,
        own: &[Fingerprint],
        target: &T,
        phase: AnswerPhase,
        cause: LossCause,
        now: Millis,
    ) -> LossEffect {
        let mut effect = LossEffect::default();
        let Some(since) = phase.suspect_since() else {
            effect
                .verdicts
                .extend(self.note_lost(keys.whole, target, now));
            return effect;
        };
        let gone = cause.gone_at(since, now);
        effect.suspected.clone_from(&keys.parts);
        let mut on_trial = own.to_vec();
        on_trial.retain(|key| self.is_tried(*key, now));
        let suspects = self.suspects(keys, Some(target));
        if !on_trial.is_empty() && suspects.len() > 1 {
            let loss = (target, cause);
            effect.verdicts = self.withhold_combination(&suspects, &on_trial, loss, now);
            on_trial.clear();
        }
        let whole = if on_trial.contains(&keys.whole) {
            self.note_loss(keys.whole, target, cause, gone, now)
        } else {
            self.note_lost(keys.whole, target, now)
        };
        effect.verdicts.extend(whole);
        for part in &keys.parts {
            let verdict = if on_trial.contains(part) {
                self.note_loss(*part, target, cause, gone, now)
            } else {
                self.note_part_lost(*part, target, since, cause, now)
            };
            effect.verdicts.extend(verdict);
        }
        let parts = keys.parts.iter().copied();
        effect.doubtful = parts.filter(|part| self.is_doubtful(*part)).collect();
        effect
    }

    /// Records that a target was lost with a request whose answer was not past its start. `part` is a
    /// part of its prompt that is not on trial here. Returns the verdict to broadcast if the part is
    /// withheld from now on.
    ///
    /// `since` is when the request may have begun to crash the target, as
    /// [`AnswerPhase::suspect_since`] returns it.
    pub fn note_part_lost(
        &mut self,
        part: Fingerprint,
        target: &T,
        since: Millis,
        cause: LossCause,
        now: Millis,
    ) -> Option<Verdict> {
        match self.records.get_mut(&part) {
            // The loss is known, and its daemon found meanwhile that the target has crashed.
            Some(record) if cause != LossCause::Unclear && record.is_repeated(target, since) => {
                record.confirm_crash(target);
                self.conclude(part, now)
            }
            // The daemon that tries the part decides on it.
            Some(record) if record.level > 0 => {
                if record.is_tried(now) {
                    record.ended = Some(target.clone());
                }
                record.remember(target, cause, now);
                None
            }
            // The same outage may have taken both targets.
            Some(record) if since < record.last_change => {
                record.remember(target, cause, now);
                None
            }
            _ => self.note_loss(part, target, cause, cause.gone_at(since, now), now),
        }
    }

    /// Returns whether there is evidence against a request or a part of its prompt.
    #[must_use]
    pub fn has_evidence(&self, keys: &RequestKeys) -> bool {
        let mut records = keys.iter().filter_map(|key| self.records.get(&key));
        records.any(|record| record.level > 0 || !record.lost.is_empty())
    }

    /// Records that the answer to a request, which began at `began`, was written past its start.
    /// Returns the verdicts to broadcast.
    pub fn note_request_progress(
        &mut self,
        keys: &RequestKeys,
        began: Millis,
        now: Millis,
    ) -> Vec<Verdict> {
        let cleared_by = |key: &Fingerprint| {
            let record = self.records.get(key);
            record.is_some_and(|record| began >= record.suspected_since())
        };
        let cleared: Vec<Fingerprint> = keys.parts.iter().copied().filter(cleared_by).collect();
        let records = cleared.iter().filter_map(|part| self.records.get(part));
        let withheld = records.filter(|record| record.level > 0);
        let crashed: Vec<T> = withheld.flat_map(Record::crashed).cloned().collect();
        let cleared = cleared.into_iter();
        let mut verdicts: Vec<Verdict> = cleared
            .filter_map(|part| self.note_success(part, now))
            .collect();
        verdicts.extend(self.withhold_others(&crashed, now));
        verdicts
    }

    /// Withholds what else may have crashed targets whose crashes withheld a part that is cleared now.
    /// One of the suspects did crash them, also if they were lost at the same time.
    fn withhold_others(&mut self, crashed: &[T], now: Millis) -> Vec<Verdict> {
        if crashed.len() < LOSSES_UNTIL_WITHHELD {
            return Vec::new();
        }
        let is_suspect = |record: &Record<T>| {
            let shared = record.crashed().filter(|target| crashed.contains(target));
            record.level == 0 && shared.count() >= LOSSES_UNTIL_WITHHELD
        };
        let records = self.records.iter_mut();
        let suspects = records.filter(|(_, record)| is_suspect(record));
        let withhold = |(print, record): (&Fingerprint, &mut Record<T>)| {
            record.decide(1, hold_duration(1), now);
            record.verdict(*print, now)
        };
        suspects.map(withhold).collect()
    }

    fn is_doubtful(&self, key: Fingerprint) -> bool {
        self.records.get(&key).is_some_and(Record::is_doubtful)
    }

    fn has_verdict(&self, key: Fingerprint) -> bool {
        self.records.get(&key).is_some_and(|r| r.level > 0)
    }

    fn is_tried(&self, key: Fingerprint, now: Millis) -> bool {
        self.records.get(&key).is_some_and(|r| r.is_tried(now))
    }

    /// Returns the keys of a request that a trial may find guilty: those with a verdict against them
    /// and, if there are any, the parts that targets were lost under. The crash of a trial is not
    /// evidence against one of them alone.
    ///
    /// Losses with the target `crashed` make no part suspect: they have the same cause, and which of
    /// them is noted first is chance.
    fn suspects(&self, keys: &RequestKeys, crashed: Option<&T>) -> Vec<Fingerprint> {
        if !keys.iter().any(|key| self.has_verdict(key)) {
            return Vec::new();
        }
        let is_doubtful = |key: Fingerprint| {
            let record = self.records.get(&key);
            let lost = record.is_some_and(|record| {
                let mut losses = record.counted();
                losses.any(|loss| Some(&loss.target) != crashed)
            });
            lost && key != keys.whole
        };
        let suspected = |key: &Fingerprint| self.has_verdict(*key) || is_doubtful(*key);
        keys.iter().filter(suspected).collect()
    }

    fn combination_status(&self, suspects: &[Fingerprint], now: Millis) -> QuarantineStatus {
        let records = || suspects.iter().filter_map(|key| self.records.get(key));
        if records().any(|record| record.is_tried(now)) {
            return QuarantineStatus::Tried(TRIAL_RETRY_AFTER);
        }
        let each = records().map(|record| record.until).max();
        let each = each.unwrap_or(Millis::ZERO) + COMBINATION_HOLD;
        let combined = self.records.get(&combination(suspects));
        let until = combined.map_or(each, |record| each.max(record.until));
        if now < until {
            QuarantineStatus::Withheld(until - now)
        } else if self.is_trial_on(now) {
            QuarantineStatus::Withheld(TRIAL_RETRY_AFTER)
        } else {
            QuarantineStatus::Trial
        }
    }

    /// Withholds requests with all of these suspects for long, since one of them crashed a target;
    /// those `on_trial` may be tried alone soon. The target may live if `cause` is unclear.
    fn withhold_combination(
        &mut self,
        suspects: &[Fingerprint],
        on_trial: &[Fingerprint],
        (target, cause): (&T, LossCause),
        now: Millis,
    ) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for key in on_trial {
            if let Some(record) = self.records.get_mut(key) {
                record.reconsider(record.level, FIRST_HOLD, now);
                verdicts.push(record.verdict(*key, now));
            }
        }
        let key = combination(suspects);
        self.make_room(key);
        let record = self.records.entry(key).or_default();
        record.count_lost(target, cause, now, now);
        record.ended = Some(target.clone());
        let level = record.level.max(1) + 1;
        record.decide(level, hold_duration(level), now);
        verdicts.push(record.verdict(key, now));
        verdicts
    }
}

/// Returns the key of a combination of suspects.
fn combination(suspects: &[Fingerprint]) -> Fingerprint {
    let mut sorted = suspects.to_vec();
    sorted.sort_unstable();
    let bytes: Vec<[u8; 16]> = sorted.iter().map(|k| k.number().to_le_bytes()).collect();
    let slices: Vec<&[u8]> = bytes.iter().map(<[u8; 16]>::as_slice).collect();
    Fingerprint::of(&slices)
}
