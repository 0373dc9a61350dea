//! What is known of one request or part: the targets lost under it, and the verdict on it.

use thistlesill_core::{Fingerprint, Millis, Verdict};

use super::{LOSSES_UNTIL_WITHHELD, VERDICT_RETENTION};

/// Maximum number of lost targets remembered per request.
const MAX_LOST: usize = 8;

/// How long a request takes to crash its target: within the first events of the answer.
const CRASH_DURATION: Millis = Millis::new(500);

/// What a loss says of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The target ended while it wrote an answer.
    Crash,
    /// A connection ended on which nothing of an answer had arrived. Live targets lose answers this
    /// way, too, so they are asked for their reports before the loss decides anything.
    Unclear,
    /// The target fell silent, and was found to have ended some time after that.
    Silence,
}

impl LossCause {
    /// Returns when a target was gone whose loss is noticed at `now`, if the request may have begun to
    /// crash it at `since`.
    pub(super) fn gone_at(self, since: Millis, now: Millis) -> Millis {
        match self {
            Self::Crash | Self::Unclear => now,
            Self::Silence => now.min(since + CRASH_DURATION),
        }
    }
}

/// The loss of a target under a request.
#[derive(Debug, Clone)]
pub(super) struct Loss<T> {
    pub(super) target: T,
    /// When the target was first lost under the request.
    pub(super) first: Millis,
    /// When the target was last lost under the request.
    pub(super) last: Millis,
    /// Whether the loss counts towards the first verdict.
    pub(super) counted: bool,
    /// How the target was lost.
    pub(super) cause: LossCause,
    /// Whether the target was asked for its report after the last loss, which refuted nothing.
    pub(super) checked: bool,
}

/// State of one request.
#[derive(Debug, Clone)]
pub(super) struct Record<T> {
    /// Targets lost under the request since it last completed; at most [`MAX_LOST`].
    pub(super) lost: Vec<Loss<T>>,
    /// When the last loss that counts or the last verdict was recorded.
    pub(super) last_change: Millis,
    pub(super) round: u32,
    pub(super) level: u32,
    /// Until when the request is withheld.
    pub(super) until: Millis,
    /// Whether the request is withheld because it is being tried.
    pub(super) trial: bool,
    /// Target that crashed under the last trial.
    pub(super) ended: Option<T>,
    /// When the record is removed.
    pub(super) expires_at: Millis,
}

impl<T> Default for Record<T> {
    fn default() -> Self {
        Self {
            lost: Vec::new(),
            last_change: Millis::ZERO,
            round: 0,
            level: 0,
            until: Millis::ZERO,
            trial: false,
            ended: None,
            expires_at: Millis::ZERO,
        }
    }
}

impl<T: Clone + PartialEq> Record<T> {
    pub(super) fn verdict(&self, print: Fingerprint, now: Millis) -> Verdict {
        Verdict {
            print,
            round: self.round,
            level: self.level,
            left: self.until - now,
            trial: self.trial,
        }
    }

    pub(super) fn is_tried(&self, now: Millis) -> bool {
        self.trial && self.is_withheld(now)
    }

    /// Remembers a loss that does not count towards the first verdict, if there is room.
    pub(super) fn remember(&mut self, target: &T, cause: LossCause, now: Millis) {
        if !self.repeat_loss(target, now) && self.lost.len() < MAX_LOST {
            self.add_loss(target, false, cause, now);
        }
    }

    /// Records a loss that counts towards the first verdict, unless the loss of the target does so
    /// already.
    ///
    /// The target was gone at `gone`, which is noticed now.
    pub(super) fn count_lost(&mut self, target: &T, cause: LossCause, gone: Millis, now: Millis) {
        let known = self.lost.iter().position(|loss| loss.target == *target);
        if let Some(known) = known {
            if self.lost[known].counted {
                self.repeat_loss(target, now);
                if cause != LossCause::Unclear {
                    self.lost[known].cause = cause;
                }
                return;
            }
            self.lost.remove(known);
        }
        self.last_change = self.last_change.max(gone);
        if self.lost.len() >= MAX_LOST {
            let uncounted = self.lost.iter().position(|loss| !loss.counted);
            let Some(uncounted) = uncounted else { return };
            self.lost.remove(uncounted);
        }
        self.add_loss(target, true, cause, gone);
        self.repeat_loss(target, now);
    }

    /// Returns whether a loss, of which the request may have begun to crash the target at `since`, is
    /// known as an unclear one and does not count more than that.
    pub(super) fn is_repeated(&self, target: &T, since: Millis) -> bool {
        let mut losses = self.lost.iter();
        let unclear = losses.find(|l| l.target == *target && l.cause == LossCause::Unclear);
        unclear.is_some() && (self.level > 0 || since < self.last_change)
    }

    /// Records that a target that was lost has crashed. Returns whether that was unclear.
    pub(super) fn confirm_crash(&mut self, target: &T) -> bool {
        let mut losses = self.lost.iter_mut();
        let unclear = losses.find(|l| l.target == *target && l.cause == LossCause::Unclear);
        let is_unclear = unclear.is_some();
        if let Some(loss) = unclear {
            loss.cause = LossCause::Crash;
        }
        is_unclear
    }

    fn add_loss(&mut self, target: &T, counted: bool, cause: LossCause, now: Millis) {
        self.lost.push(Loss {
            target: target.clone(),
            first: now,
            last: now,
            counted,
            cause,
            checked: false,
        });
    }

    /// Returns whether enough targets were lost for a first verdict, some of which may live.
    pub(super) fn is_doubtful(&self) -> bool {
        self.level == 0 && self.counted().count() >= LOSSES_UNTIL_WITHHELD
    }

    /// Returns whether enough targets have crashed for a first verdict.
    pub(super) fn is_evident(&self) -> bool {
        let crashed = self
            .counted()
            .filter(|loss| loss.cause != LossCause::Unclear);
        self.level == 0 && crashed.count() >= LOSSES_UNTIL_WITHHELD
    }

    /// Records that a target was lost once more; returns whether it is known to be lost.
    fn repeat_loss(&mut self, target: &T, now: Millis) -> bool {
        let Some(loss) = self.lost.iter_mut().find(|loss| loss.target == *target) else {
            return false;
        };
        loss.last = now;
        loss.checked = false;
        true
    }

    /// Returns the losses that count towards the first verdict.
    pub(super) fn counted(&self) -> impl Iterator<Item = &Loss<T>> {
        self.lost.iter().filter(|loss| loss.counted)
    }

    /// Returns the targets that have crashed under the request.
    pub(super) fn crashed(&self) -> impl Iterator<Item = &T> {
        let crashes = self.lost.iter().filter(|l| l.cause != LossCause::Unclear);
        crashes.map(|loss| &loss.target)
    }

    /// Returns the time from which on a sound answer disproves the evidence. What crashed a target
    /// would crash each later one, so a sound answer after the first loss disproves them all, and a
    /// verdict that rests on nothing else. Once there was a trial, only its own answer is evidence.
    pub(super) fn suspected_since(&self) -> Millis {
        let first = self.counted().map(|loss| loss.first).min();
        match (self.level, first) {
            (0, first) => first.unwrap_or(Millis::ZERO),
            (1, Some(first)) if self.ended.is_none() && !self.trial => first,
            _ => self.last_change,
        }
    }

    pub(super) fn is_withheld(&self, now: Millis) -> bool {
        self.level > 0 && now < self.until
    }

    /// Starts a new verdict.
    pub(super) fn decide(&mut self, level: u32, left: Millis, now: Millis) {
        self.round += 1;
        self.level = level;
        self.until = now + left;
        self.trial = false;
        self.last_change = now;
        if level == 0 {
            self.lost.clear();
        }
        self.expires_at = self.until + VERDICT_RETENTION;
    }

    /// Starts a new verdict that also replaces one that another daemon made at the same time with
    /// less information.
    pub(super) fn reconsider(&mut self, level: u32, left: Millis, now: Millis) {
        self.round += 1;
        self.decide(level, left, now);
    }
}
