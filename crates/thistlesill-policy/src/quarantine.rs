//! Requests that end the targets which run them.
//!
//! Load pattern: one request that ends each target which begins it comes again every few
//! tenths of a second, with another id, at any daemon, beside some twenty others at each
//! target. Only its content tells that it came before, and only together do daemons see
//! that target after target ended under it. So each tells all others under which requests
//! a target was lost; after the third target in a row such a request is withheld.
//!
//! A loss is weak evidence: all that ran at the target were lost with it, and where a model
//! has few groups the same ones meet again and again. So what is withheld is soon tried, one
//! request at a time over all daemons: what runs to a good end is cleared at once, and if
//! the trial ends its target, all that were only lost beside that request are cleared. Then
//! it is withheld for long, and tried again much later: wrong knowledge goes away by
//! itself, and a right one costs three more targets in the first hour.
//!
//! Two daemons may begin trials at the same moment. If a target ends under both, either of
//! the two requests may have ended it, so both are tried again, one after the other.

use std::collections::HashMap;

use thistlesill_core::{Fingerprint, Millis, Verdict};

/// Targets that are lost in a row under a request before it is withheld. One or two can be
/// lost for other reasons, or for another request that ran there: what shares a target with
/// a fatal one is sent elsewhere, and may meet it once more.
const LOSSES_UNTIL_WITHHELD: usize = 3;
/// For how long a request is withheld before it is first tried: about as long as another
/// group takes to form, and short against the time that the callers of what was only lost
/// beside it wait.
const FIRST_HOLD: Millis = Millis::new(1_000);
/// For how long the second one of two requests is withheld that were tried at once and are
/// tried again: long enough for the trial of the first one.
const REPEATED_TRIAL_HOLD: Millis = Millis::new(2_500);
/// For how long it is withheld after its first trial ended a target.
const SECOND_HOLD: Millis = Millis::new(120_000);
/// How many times longer it is withheld after each further one.
const HOLD_FACTOR: u32 = 10;
/// The longest of these times: two more trials of it a day cost less than a request that is
/// withheld for what was mended meanwhile.
const MAX_HOLD: Millis = Millis::new(12 * 3_600_000);
/// How long a trial may take before there is another one: longer than callers wait for
/// answers.
const TRIAL_TIMEOUT: Millis = Millis::new(10_000);
/// When the caller of a request may come back that waits for the trial of another one: it
/// takes some tenths of a second until that ends its target.
const TRIAL_RETRY_AFTER: Millis = Millis::new(300);
/// Targets that are remembered of a request.
const MAX_LOST: usize = 8;
/// How long a loss is remembered under a request that is not withheld.
const LOSS_RETENTION: Millis = Millis::new(300_000);
/// How long a request that was withheld is remembered after it may be tried, and one that
/// was cleared: longer than daemons can be apart without having forgotten each other.
const VERDICT_RETENTION: Millis = Millis::new(600_000);
/// Requests that are remembered, at most; each takes some 200 bytes. The oldest that are not
/// withheld go first.
const MAX_KNOWN: usize = 4_096;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against sending it.
    Free,
    /// It was withheld for long enough: it may be sent once, as a trial.
    Trial,
    /// It is withheld for this time more.
    Withheld(Millis),
    /// It is being tried; all but that trial are withheld for this time more.
    Tried(Millis),
}

/// What is known of a request.
#[derive(Debug, Clone)]
struct Case<T> {
    /// Targets lost under it since it last ran to a good end; [`MAX_LOST`] at most.
    lost: Vec<T>,
    round: u32,
    level: u32,
    /// Until when it is withheld.
    until: Millis,
    /// Whether it is withheld since it is being tried.
    trial: bool,
    /// The target that its last trial ended.
    ended: Option<T>,
    /// When it is forgotten.
    forget: Millis,
}

impl<T> Default for Case<T> {
    fn default() -> Self {
        Self {
            lost: Vec::new(),
            round: 0,
            level: 0,
            until: Millis::ZERO,
            trial: false,
            ended: None,
            forget: Millis::ZERO,
        }
    }
}

impl<T: Clone + PartialEq> Case<T> {
    fn verdict(&self, print: Fingerprint, now: Millis) -> Verdict {
        Verdict {
            print,
            round: self.round,
            level: self.level,
            left: self.until - now,
            trial: self.trial,
        }
    }

    fn is_tried(&self, now: Millis) -> bool {
        self.trial && self.is_withheld(now)
    }

    fn note_lost(&mut self, target: &T) {
        if self.lost.len() < MAX_LOST && !self.lost.contains(target) {
            self.lost.push(target.clone());
        }
    }

    fn is_withheld(&self, now: Millis) -> bool {
        self.level > 0 && now < self.until
    }

    /// Begins a further verdict.
    fn decide(&mut self, level: u32, left: Millis, now: Millis) {
        self.round += 1;
        self.level = level;
        self.until = now + left;
        self.trial = false;
        if level == 0 {
            self.lost.clear();
        }
        self.forget = self.until + VERDICT_RETENTION;
    }

    /// Begins a further verdict that also replaces one which another daemon decided at the
    /// same time, knowing less.
    fn reconsider(&mut self, level: u32, left: Millis, now: Millis) {
        self.round += 1;
        self.decide(level, left, now);
    }
}

/// The requests under which targets were lost; `T` names one life of a target.
#[derive(Debug, Clone)]
pub struct Quarantine<T> {
    cases: HashMap<Fingerprint, Case<T>>,
}

impl<T> Default for Quarantine<T> {
    fn default() -> Self {
        Self {
            cases: HashMap::new(),
        }
    }
}

impl<T: Clone + PartialEq> Quarantine<T> {
    /// Whether nothing is known of any request, so that none needs a fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// What may be done with a request.
    #[must_use]
    pub fn standing(&self, print: Fingerprint, now: Millis) -> Standing {
        match self.cases.get(&print) {
            Some(case) if case.is_tried(now) => Standing::Tried(case.until - now),
            Some(case) if case.is_withheld(now) => Standing::Withheld(case.until - now),
            Some(case) if case.level > 0 && self.is_trial_on(now) => {
                Standing::Withheld(TRIAL_RETRY_AFTER)
            }
            Some(case) if case.level > 0 => Standing::Trial,
            _ => Standing::Free,
        }
    }

    /// Whether any request is being tried. Two of them could meet at one target, and which
    /// of them ended it would not be known.
    fn is_trial_on(&self, now: Millis) -> bool {
        self.cases.values().any(|case| case.is_tried(now))
    }

    /// Notes that a request is tried now. Until that has an outcome others withhold it.
    pub fn begin_trial(&mut self, print: Fingerprint, now: Millis) -> Option<Verdict> {
        let case = self.cases.get_mut(&print)?;
        case.decide(case.level, TRIAL_TIMEOUT, now);
        case.trial = true;
        Some(case.verdict(print, now))
    }

    /// Notes that a trial ended without an outcome, as when its caller left; returns what is
    /// to be told if it was still on.
    pub fn end_trial(&mut self, print: Fingerprint, now: Millis) -> Option<Verdict> {
        let case = self.cases.get_mut(&print).filter(|c| c.is_tried(now))?;
        case.decide(case.level, FIRST_HOLD, now);
        Some(case.verdict(print, now))
    }

    /// Notes that a target was lost while it had a request; returns the verdict if the
    /// request is withheld from now on.
    pub fn note_lost(&mut self, print: Fingerprint, target: &T, now: Millis) -> Option<Verdict> {
        self.make_room(print);
        let case = self.cases.entry(print).or_default();
        case.note_lost(target);
        case.forget = case.forget.max(now + LOSS_RETENTION);
        if case.is_withheld(now) && !case.trial {
            // It was sent before that was known.
            return None;
        }
        if case.level == 0 && case.lost.len() < LOSSES_UNTIL_WITHHELD {
            return None;
        }
        if case.is_tried(now) {
            case.ended = Some(target.clone());
            let rivals = self.rivals(print, target, now);
            if !rivals.is_empty() {
                return self.repeat_trials(print, &rivals, now);
            }
        }
        let case = self.cases.get_mut(&print)?;
        let level = case.level + 1;
        case.decide(level, time_of(level), now);
        let verdict = case.verdict(print, now);
        self.clear_beside(&verdict, now);
        Some(verdict)
    }

    /// Other requests on trial that may have ended a target under a request on trial.
    fn rivals(&self, print: Fingerprint, target: &T, now: Millis) -> Vec<Fingerprint> {
        let may_have = |case: &Case<T>| case.is_tried(now) || case.ended.as_ref() == Some(target);
        let others = self.cases.iter().filter(|(other, _)| **other != print);
        let rivals = others.filter(|(_, case)| may_have(case));
        rivals.map(|(other, _)| *other).collect()
    }

    /// Has a request tried again that was on trial together with others, and so those of
    /// them that were found to have ended the target; returns the request's verdict.
    ///
    /// The one with the lowest fingerprint is tried first, so that all daemons have them
    /// tried in the same order.
    fn repeat_trials(
        &mut self,
        print: Fingerprint,
        rivals: &[Fingerprint],
        now: Millis,
    ) -> Option<Verdict> {
        let time_of_trial = |one: Fingerprint| {
            let is_first = one <= print && rivals.iter().all(|rival| one <= *rival);
            if is_first {
                FIRST_HOLD
            } else {
                REPEATED_TRIAL_HOLD
            }
        };
        for rival in rivals {
            if let Some(case) = self.cases.get_mut(rival)
                && !case.is_tried(now)
                && case.level > 1
            {
                case.reconsider(case.level - 1, time_of_trial(*rival), now);
            }
        }
        let case = self.cases.get_mut(&print)?;
        case.reconsider(case.level, time_of_trial(print), now);
        Some(case.verdict(print, now))
    }

    /// Clears what was only lost beside a request whose trial ended its target.
    fn clear_beside(&mut self, verdict: &Verdict, now: Millis) {
        let fatal = self.cases.get(&verdict.print);
        let Some(fatal) = fatal.filter(|_| verdict.level > 1 && !verdict.trial) else {
            return;
        };
        let lost = fatal.lost.clone();
        let beside = |case: &Case<T>| case.lost.iter().all(|target| lost.contains(target));
        let suspected = |case: &Case<T>| case.level < 2 && !case.lost.is_empty();
        self.cases
            .retain(|_, case| case.round > 0 || !(suspected(case) && beside(case)));
        for (print, case) in &mut self.cases {
            if *print != verdict.print && suspected(case) && beside(case) {
                case.decide(0, Millis::ZERO, now);
            }
        }
    }

    /// Notes that a request ran to a good end; returns what is to be told if anything
    /// spoke against it. One that was never withheld is forgotten.
    pub fn note_good(&mut self, print: Fingerprint, now: Millis) -> Option<Verdict> {
        let case = self.cases.get_mut(&print)?;
        if case.round == 0 {
            self.cases.remove(&print);
            return Some(Verdict {
                print,
                round: 0,
                level: 0,
                left: Millis::ZERO,
                trial: false,
            });
        }
        if case.level == 0 && case.lost.is_empty() {
            return None;
        }
        case.decide(0, Millis::ZERO, now);
        Some(case.verdict(print, now))
    }

    /// Applies a verdict that another daemon broadcast; returns whether it changed anything.
    pub fn receive(&mut self, received: Verdict, now: Millis) -> bool {
        let known = self.cases.get(&received.print);
        if received.round == 0 {
            let cleared = known.is_some_and(|case| case.round == 0);
            return cleared && self.cases.remove(&received.print).is_some();
        }
        let (round, level, until) =
            known.map_or((0, 0, Millis::ZERO), |c| (c.round, c.level, c.until));
        // Two daemons may decide at the same moment; the stricter verdict holds for both.
        let stricter = (received.level, now + received.left) > (level, until);
        let is_newer = received.round > round || (received.round == round && stricter);
        if !is_newer {
            return false;
        }
        self.make_room(received.print);
        let case = self.cases.entry(received.print).or_default();
        case.decide(received.level, received.left, now);
        case.round = received.round;
        case.trial = received.trial;
        self.clear_beside(&received, now);
        true
    }

    /// A number that two daemons share if they know the same verdicts; 0 without any.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let judged = self.cases.iter().filter(|(_, case)| case.round > 0);
        judged.fold(0, |all, (print, case)| all ^ number_of(*print, case))
    }

    /// All verdicts that are remembered, those with the most time left first.
    #[must_use]
    pub fn verdicts(&self, now: Millis) -> Vec<Verdict> {
        let judged = self.cases.iter().filter(|(_, case)| case.round > 0);
        let mut all: Vec<Verdict> = judged.map(|(p, case)| case.verdict(*p, now)).collect();
        all.sort_unstable_by_key(|v| std::cmp::Reverse((v.left, v.print)));
        all
    }

    /// How many requests are withheld.
    #[must_use]
    pub fn withheld(&self, now: Millis) -> usize {
        let all = self.cases.values();
        all.filter(|case| case.is_withheld(now)).count()
    }

    /// Forgets what is out of time.
    pub fn retain(&mut self, now: Millis) {
        self.cases.retain(|_, case| now < case.forget);
    }

    /// Forgets the oldest case if there are too many for another one.
    fn make_room(&mut self, print: Fingerprint) {
        if self.cases.len() < MAX_KNOWN || self.cases.contains_key(&print) {
            return;
        }
        let oldest = self
            .cases
            .iter()
            .min_by_key(|(print, case)| (case.level > 0, case.forget, **print));
        if let Some(print) = oldest.map(|(print, _)| *print) {
            self.cases.remove(&print);
        }
    }
}

/// For how long a request is withheld that was withheld so often in a row.
fn time_of(level: u32) -> Millis {
    let Some(further) = level.checked_sub(2) else {
        return FIRST_HOLD;
    };
    let longer = u64::from(HOLD_FACTOR).saturating_pow(further);
    Millis::new(SECOND_HOLD.get().saturating_mul(longer)).min(MAX_HOLD)
}

/// A number for a verdict. Fingerprints are spread evenly already, and it is computed for
/// each verdict with each beat.
fn number_of<T>(print: Fingerprint, case: &Case<T>) -> u64 {
    let odd = (u64::from(case.round) << 32 | u64::from(case.level)) << 1 | 1;
    (print.number() as u64).wrapping_mul(odd)
}
