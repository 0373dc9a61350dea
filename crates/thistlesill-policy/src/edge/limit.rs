//! Limits that targets name on the requests they take from all daemons together.
//!
//! Load pattern: a target in need takes fewer requests a second than there are daemons, so
//! a share of it for each daemon would be none at all. One daemon, the keeper, grants the
//! target's requests one by one; whoever sends one has a grant for it, whichever way it
//! came there. Without a keeper nothing is sent, since the others may have one.
//!
//! A target that warms up takes as many requests a second as its service says, and is
//! limited in the same way for as long as that lasts.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thistlesill_core::Millis;
use thistlesill_core::edge::{RateLimit, TargetId};

/// Part of a limit that is granted. With what may be saved and the time for which a grant
/// may wait it comes to the limit in any four seconds, and never to more.
const GRANTED: f64 = 0.95;
/// Time whose requests may be saved up, in seconds, for callers that come together.
const SAVED: f64 = 0.1;
/// How long a grant may be used after it was asked for. One that a frozen daemon or a slow
/// connection held back would fall into the same window as grants that were given later.
const GRANT_VALIDITY: Millis = Millis::new(100);
/// The lowest rate at which requests are granted, in requests a second: only an answer
/// tells that a limit was lifted, also one of zero.
const LEAST: f64 = 0.05;
/// How long it is remembered that a limit was lifted: longer than an answer takes that
/// named it before.
const REMEMBERED: Millis = Millis::new(60_000);

/// What an answer said of its target's limit.
///
/// The target said it at some moment between the sending of the request and the arrival of
/// the answer, and answers overtake one another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// The limit; `None` if there is none.
    pub limit: Option<RateLimit>,
    /// When the request was sent.
    pub from: Millis,
    /// When the answer came.
    pub until: Millis,
}

impl LimitReport {
    /// Whether this was certainly said after `other`.
    const fn is_after(&self, other: &Self) -> bool {
        self.from.get() >= other.until.get()
    }

    /// Whether this holds in place of what is known. Of two that may have been said in
    /// either order the stricter one holds: the next answer corrects it.
    fn supersedes(&self, known: &Self) -> bool {
        if self.is_after(known) {
            return true;
        }
        if known.is_after(self) {
            return false;
        }
        match (self.limit, known.limit) {
            (new, old) if new == old => self.until >= known.until,
            (Some(new), Some(old)) => new < old,
            (new, _) => new.is_some(),
        }
    }
}

/// What a daemon tells another of a target's limit; times are ages, since clocks differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ToldLimit {
    /// The target.
    pub target: TargetId,
    /// The limit; `None` if there is none.
    pub limit: Option<RateLimit>,
    /// How long ago the request was sent.
    pub sent: Millis,
    /// How long ago the answer came.
    pub came: Millis,
}

impl ToldLimit {
    fn new(target: &TargetId, report: &LimitReport, now: Millis) -> Self {
        Self {
            target: target.clone(),
            limit: report.limit,
            sent: now - report.from,
            came: now - report.until,
        }
    }

    /// The report by the clock of whoever hears it at `now`.
    #[must_use]
    pub fn report(&self, now: Millis) -> LimitReport {
        LimitReport {
            limit: self.limit,
            from: now - self.sent,
            until: now - self.came,
        }
    }
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Heard {
    /// Nothing.
    Nothing,
    /// The limit; it was this one before.
    News(Option<RateLimit>),
    /// Nothing: what is known was said later, and is another limit.
    Outdated,
}

/// Whether a request may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// It names no limit.
    Unlimited,
    /// This one may.
    Granted,
    /// Not now; the next one may after this time.
    Spent(Millis),
    /// Another daemon decides.
    NotKept,
}

/// Until when a request that a target was picked for may be sent there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clearance {
    /// For as long as the target names no limit.
    Unlimited,
    /// Until this moment.
    Until(Millis),
}

impl Clearance {
    /// The clearance by a grant that was asked for at a moment.
    #[must_use]
    pub fn granted(asked: Millis) -> Self {
        Self::Until(asked + GRANT_VALIDITY)
    }

    /// Whether the request may be sent now to a target that names a limit or none.
    #[must_use]
    pub fn holds(self, limited: bool, now: Millis) -> bool {
        match self {
            Self::Unlimited => !limited,
            Self::Until(end) => now <= end,
        }
    }
}

/// Requests that a keeper may still grant.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Savings {
    /// Part of the limit that this keeper may grant.
    part: f64,
    requests: f64,
    at: Millis,
}

impl Savings {
    /// Nothing is saved at first: a keeper before this one may have granted it.
    const fn begin(part: f64, now: Millis) -> Self {
        Self {
            part,
            requests: 0.0,
            at: now,
        }
    }

    /// Requests a second that are granted.
    fn rate(&self, limit: RateLimit) -> f64 {
        limit.get().max(LEAST) * GRANTED * self.part
    }

    /// What is saved by now.
    fn saved(&self, limit: RateLimit, now: Millis) -> f64 {
        let rate = self.rate(limit);
        let grown = rate * (now - self.at).get() as f64 / 1_000.0;
        (self.requests + grown).min((rate * SAVED).max(1.0))
    }

    /// Time until a request may be granted.
    fn wait(&self, limit: RateLimit, now: Millis) -> Millis {
        let lacking = (1.0 - self.saved(limit, now)).max(0.0);
        Millis::new((lacking / self.rate(limit) * 1_000.0).ceil() as u64)
    }
}

/// The limit of a target that warms up.
#[derive(Debug, Clone, Copy, PartialEq)]
struct WarmupLimit {
    limit: RateLimit,
    until: Millis,
}

/// What a daemon knows of a target that names or named a limit, or warms up.
#[derive(Debug, Clone, Default)]
struct Limited {
    /// What the target last named.
    report: Option<LimitReport>,
    warmup: Option<WarmupLimit>,
    /// As keeper: what may be granted.
    savings: Option<Savings>,
    /// Until when no grant is to be had, as its keeper said.
    spent: Millis,
}

impl Limited {
    /// The limit that the target names.
    fn named(&self) -> Option<RateLimit> {
        self.report?.limit
    }

    /// The limit that holds now.
    fn limit(&self, now: Millis) -> Option<RateLimit> {
        let warmup = self.warmup.filter(|w| now < w.until).map(|w| w.limit);
        match (self.named(), warmup) {
            (Some(named), Some(warmup)) if warmup < named => Some(warmup),
            (Some(named), _) => Some(named),
            (None, warmup) => warmup,
        }
    }

    /// Whether nothing limits the target, and nothing has for long.
    fn is_over(&self, now: Millis) -> bool {
        let lifted = |r: LimitReport| r.limit.is_none() && now - r.until >= REMEMBERED;
        self.report.is_none_or(lifted) && self.warmup.is_none_or(|w| now >= w.until)
    }

    /// Time until a request may be sent; zero if one may now, as far as is known.
    fn wait(&self, now: Millis) -> Millis {
        match (self.limit(now), &self.savings) {
            (None, _) => Millis::ZERO,
            (Some(limit), Some(savings)) => savings.wait(limit, now),
            (Some(_), None) => self.spent - now,
        }
    }
}

/// The limits of all targets, as a daemon knows them.
#[derive(Debug, Clone, Default)]
pub struct LimitTable {
    targets: HashMap<TargetId, Limited>,
}

impl LimitTable {
    /// Takes in what an answer said of its target.
    pub fn hear(&mut self, id: &TargetId, report: LimitReport) -> Heard {
        let Some(known) = self.targets.get(id).and_then(|limited| limited.report) else {
            if report.limit.is_none() {
                return Heard::Nothing;
            }
            self.entry(id).report = Some(report);
            return Heard::News(None);
        };
        let before = known.limit;
        if !report.supersedes(&known) {
            let outdated = known.is_after(&report) && before != report.limit;
            return if outdated {
                Heard::Outdated
            } else {
                Heard::Nothing
            };
        }
        self.entry(id).report = Some(report);
        if before == report.limit {
            Heard::Nothing
        } else {
            Heard::News(before)
        }
    }

    /// Notes that a target warms up until a moment, and takes `limit` until then.
    pub fn note_warmup(&mut self, id: &TargetId, limit: RateLimit, until: Millis) {
        self.entry(id).warmup = Some(WarmupLimit { limit, until });
    }

    /// The limit that a target names.
    pub fn limit(&self, id: &TargetId) -> Option<RateLimit> {
        self.targets.get(id)?.named()
    }

    /// The limit that holds for a target now: the one that it names, or the one for as long
    /// as it warms up if that is lower.
    pub fn limit_at(&self, id: &TargetId, now: Millis) -> Option<RateLimit> {
        self.targets.get(id)?.limit(now)
    }

    /// The targets that name a limit, with it.
    pub fn limits(&self) -> impl Iterator<Item = (&TargetId, RateLimit)> {
        let all = self.targets.iter();
        all.filter_map(|(id, limited)| Some((id, limited.named()?)))
    }

    /// The targets that name or named a limit, or warm up.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// Whether no target names or named a limit, and none warms up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// As keeper of a target: grants a part of its limit from now on.
    ///
    /// A keeper that hears only some of the daemons grants their part, since the others
    /// may have a keeper of their own.
    pub fn keep(&mut self, id: &TargetId, part: f64, now: Millis) {
        let Some(limited) = self.targets.get_mut(id) else {
            return;
        };
        let limit = limited.limit(now);
        let savings = limited.savings.get_or_insert(Savings::begin(part, now));
        if let Some(limit) = limit {
            savings.requests = savings.saved(limit, now);
        }
        savings.at = now;
        savings.part = part;
    }

    /// Leaves a target to another keeper.
    pub fn leave(&mut self, id: &TargetId) {
        if let Some(limited) = self.targets.get_mut(id) {
            limited.savings = None;
        }
    }

    /// As keeper: grants a request, if the target's limit leaves room for it.
    pub fn take(&mut self, id: &TargetId, now: Millis) -> Grant {
        let Some(limited) = self.targets.get_mut(id) else {
            return Grant::Unlimited;
        };
        let Some(limit) = limited.limit(now) else {
            return Grant::Unlimited;
        };
        let Some(savings) = &mut limited.savings else {
            return Grant::NotKept;
        };
        let saved = savings.saved(limit, now);
        if saved < 1.0 {
            return Grant::Spent(savings.wait(limit, now));
        }
        savings.requests = saved - 1.0;
        savings.at = now;
        Grant::Granted
    }

    /// Notes that no grant is to be had for a target until a moment.
    pub fn note_spent(&mut self, id: &TargetId, until: Millis) {
        if let Some(limited) = self.targets.get_mut(id) {
            limited.spent = until;
        }
    }

    /// Time until a target may be sent a request; zero if it may now, as far as is known.
    pub fn wait(&self, id: &TargetId, now: Millis) -> Millis {
        let limited = self.targets.get(id);
        limited.map_or(Millis::ZERO, |limited| limited.wait(now))
    }

    /// Whether a target may not be sent a request now.
    pub fn is_spent(&self, id: &TargetId, now: Millis) -> bool {
        self.wait(id, now) > Millis::ZERO
    }

    /// The targets that may not be sent a request now.
    pub fn spent(&self, now: Millis) -> Vec<TargetId> {
        let all = self.targets.iter();
        let spent = all.filter(|(_, limited)| limited.wait(now) > Millis::ZERO);
        spent.map(|(id, _)| id.clone()).collect()
    }

    /// What to tell of a target.
    pub fn told(&self, id: &TargetId, now: Millis) -> Option<ToldLimit> {
        let report = self.targets.get(id)?.report?;
        Some(ToldLimit::new(id, &report, now))
    }

    /// As keeper: what to tell of the targets that this daemon keeps.
    pub fn told_kept(&self, now: Millis) -> Vec<ToldLimit> {
        let kept = self.targets.iter().filter(|(_, l)| l.savings.is_some());
        kept.filter_map(|(id, l)| Some(ToldLimit::new(id, &l.report?, now)))
            .collect()
    }

    /// Forgets targets that are gone, and limits that were lifted long ago.
    pub fn retain(&mut self, known: impl Fn(&TargetId) -> bool, now: Millis) {
        self.targets
            .retain(|id, limited| known(id) && !limited.is_over(now));
    }

    fn entry(&mut self, id: &TargetId) -> &mut Limited {
        self.targets.entry(id.clone()).or_default()
    }
}
