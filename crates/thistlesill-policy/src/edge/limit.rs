//! Token buckets for the request rates that targets allow across all daemons.
//!
//! Load pattern: an overloaded target accepts fewer requests per second than there are daemons, so
//! a per-daemon share would be less than one request. A single daemon, the owner of the token
//! bucket, grants the target's requests one by one, and a daemon sends a request only with a grant,
//! however it obtained that grant. Without an owner nothing is sent, because the other daemons may
//! have one.
//!
//! A target that warms up accepts as many requests per second as its service specifies, and is
//! limited in the same way until the warm-up ends.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thistlesill_core::Millis;
use thistlesill_core::edge::{RateLimit, TargetId};

/// Part of a limit that is granted. Together with the burst and the time for which a grant stays
/// usable, it adds up to the limit in any four seconds, and never to more.
const GRANTED_RATIO: f64 = 0.95;
/// Time whose requests may accumulate, in seconds, for callers that arrive together.
const BURST_SECONDS: f64 = 0.1;
/// How long a grant may be used after it was requested. A grant that a frozen daemon or a slow
/// connection delayed would fall into the same window as grants that were given later.
const GRANT_VALIDITY: Millis = Millis::new(100);
/// Lowest rate at which requests are granted, in requests per second, also under a limit of zero:
/// only the answer to a request shows that a limit was lifted.
const MIN_RATE_PER_SECOND: f64 = 0.05;
/// How long a lifted limit is remembered: longer than the delay of an answer that still reports the
/// previous limit.
const LIFTED_RETENTION: Millis = Millis::new(60_000);

/// A target's limit as reported by one answer.
///
/// The target determined the limit at some moment between the sending of the request and the
/// arrival of the answer, and answers overtake one another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// The limit; `None` if the target has none.
    pub limit: Option<RateLimit>,
    /// When the request was sent.
    pub from: Millis,
    /// When the answer arrived.
    pub until: Millis,
}

impl LimitReport {
    /// Returns whether this report is certainly newer than `other`.
    const fn is_after(&self, other: &Self) -> bool {
        self.from.get() >= other.until.get()
    }

    /// Returns whether this report replaces `known`. If the order of the two is unknown, the
    /// stricter limit wins: the next answer corrects it.
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

/// A target's limit as one daemon sends it to another. Times are ages, since clocks differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The target that the limit applies to.
    pub target: TargetId,
    /// The limit; `None` if the target has none.
    pub limit: Option<RateLimit>,
    /// Time since the request was sent.
    pub sent_age: Millis,
    /// Time since the answer arrived.
    pub received_age: Millis,
}

impl LimitUpdate {
    fn new(target: &TargetId, report: &LimitReport, now: Millis) -> Self {
        Self {
            target: target.clone(),
            limit: report.limit,
            sent_age: now - report.from,
            received_age: now - report.until,
        }
    }

    /// Converts the ages to the clock of the daemon that received them at `now`.
    #[must_use]
    pub fn report(&self, now: Millis) -> LimitReport {
        LimitReport {
            limit: self.limit,
            from: now - self.sent_age,
            until: now - self.received_age,
        }
    }
}

/// How a report changed the known limit of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The limit is the same as before.
    Unchanged,
    /// The limit changed; holds the previous one.
    Changed(Option<RateLimit>),
    /// The report was ignored: a newer report with a different limit is known.
    Outdated,
}

/// Decision of a token bucket on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The target has no limit.
    Unlimited,
    /// The request may be sent.
    Granted,
    /// The bucket is empty; holds the time until the next request may be granted.
    Exhausted(Millis),
    /// Another daemon owns the target's bucket.
    NotOwner,
}

/// How long a request may be sent to the target that was picked for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clearance {
    /// As long as the target has no limit.
    Unlimited,
    /// Until this time.
    Until(Millis),
}

impl Clearance {
    /// Returns the clearance of a grant that was requested at `asked`.
    #[must_use]
    pub fn granted(asked: Millis) -> Self {
        Self::Until(asked + GRANT_VALIDITY)
    }

    /// Returns whether the request may be sent now; `limited` says whether the target has a limit.
    #[must_use]
    pub fn is_valid(self, limited: bool, now: Millis) -> bool {
        match self {
            Self::Unlimited => !limited,
            Self::Until(end) => now <= end,
        }
    }
}

/// Requests that the owner of a target may still grant.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TokenBucket {
    /// Fraction of the limit that this owner may grant.
    part: f64,
    tokens: f64,
    updated_at: Millis,
}

impl TokenBucket {
    /// Starts empty: a previous owner may have granted the tokens already.
    const fn empty(part: f64, now: Millis) -> Self {
        Self {
            part,
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Returns the rate at which tokens accumulate, in requests per second.
    fn rate(&self, limit: RateLimit) -> f64 {
        limit.get().max(MIN_RATE_PER_SECOND) * GRANTED_RATIO * self.part
    }

    /// Returns the tokens available at `now`.
    fn available(&self, limit: RateLimit, now: Millis) -> f64 {
        let rate = self.rate(limit);
        let accrued = rate * (now - self.updated_at).get() as f64 / 1_000.0;
        (self.tokens + accrued).min((rate * BURST_SECONDS).max(1.0))
    }

    /// Returns the time until one token is available.
    fn wait(&self, limit: RateLimit, now: Millis) -> Millis {
        let missing = (1.0 - self.available(limit, now)).max(0.0);
        Millis::new((missing / self.rate(limit) * 1_000.0).ceil() as u64)
    }
}

/// Request rate of a target while it warms up.
#[derive(Debug, Clone, Copy, PartialEq)]
struct WarmupLimit {
    limit: RateLimit,
    until: Millis,
}

/// State of a target that has or had a limit, or warms up.
#[derive(Debug, Clone, Default)]
struct Limited {
    /// The target's last report.
    report: Option<LimitReport>,
    warmup: Option<WarmupLimit>,
    /// The token bucket, if this daemon owns the target.
    bucket: Option<TokenBucket>,
    /// Until when the target's owner grants nothing, by its last reply.
    spent: Millis,
}

impl Limited {
    /// Returns the limit that the target reported.
    fn reported(&self) -> Option<RateLimit> {
        self.report?.limit
    }

    /// Returns the limit in force at `now`.
    fn limit(&self, now: Millis) -> Option<RateLimit> {
        let warmup = self.warmup.filter(|w| now < w.until).map(|w| w.limit);
        match (self.reported(), warmup) {
            (Some(reported), Some(warmup)) if warmup < reported => Some(warmup),
            (Some(reported), _) => Some(reported),
            (None, warmup) => warmup,
        }
    }

    /// Returns whether the target is unlimited and a lifted limit need not be remembered any
    /// longer.
    fn is_over(&self, now: Millis) -> bool {
        let lifted = |r: LimitReport| r.limit.is_none() && now - r.until >= LIFTED_RETENTION;
        self.report.is_none_or(lifted) && self.warmup.is_none_or(|w| now >= w.until)
    }

    /// Returns the time until a request may be sent; zero if that is now, as far as is known.
    fn wait(&self, now: Millis) -> Millis {
        match (self.limit(now), &self.bucket) {
            (None, _) => Millis::ZERO,
            (Some(limit), Some(bucket)) => bucket.wait(limit, now),
            (Some(_), None) => self.spent - now,
        }
    }
}

/// Limits of all targets, as known to one daemon.
#[derive(Debug, Clone, Default)]
pub struct LimitTable {
    targets: HashMap<TargetId, Limited>,
}

impl LimitTable {
    /// Applies the limit that an answer reported for its target.
    pub fn observe(&mut self, id: &TargetId, report: LimitReport) -> LimitChange {
        let Some(known) = self.targets.get(id).and_then(|limited| limited.report) else {
            if report.limit.is_none() {
                return LimitChange::Unchanged;
            }
            self.entry(id).report = Some(report);
            return LimitChange::Changed(None);
        };
        let before = known.limit;
        if !report.supersedes(&known) {
            let outdated = known.is_after(&report) && before != report.limit;
            return if outdated {
                LimitChange::Outdated
            } else {
                LimitChange::Unchanged
            };
        }
        self.entry(id).report = Some(report);
        if before == report.limit {
            LimitChange::Unchanged
        } else {
            LimitChange::Changed(before)
        }
    }

    /// Records that a target warms up until `until`, and accepts requests at the rate `limit`
    /// during that time.
    pub fn note_warmup(&mut self, id: &TargetId, limit: RateLimit, until: Millis) {
        self.entry(id).warmup = Some(WarmupLimit { limit, until });
    }

    /// Returns the limit that a target reported.
    pub fn limit(&self, id: &TargetId) -> Option<RateLimit> {
        self.targets.get(id)?.reported()
    }

    /// Returns the limit in force for a target: the lower one of the reported limit and the warm-up
    /// limit.
    pub fn limit_at(&self, id: &TargetId, now: Millis) -> Option<RateLimit> {
        self.targets.get(id)?.limit(now)
    }

    /// Returns the targets that report a limit, with that limit.
    pub fn limits(&self) -> impl Iterator<Item = (&TargetId, RateLimit)> {
        let all = self.targets.iter();
        all.filter_map(|(id, limited)| Some((id, limited.reported()?)))
    }

    /// Returns the targets that have or had a limit, or warm up.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// Returns whether no target has or had a limit, and none warms up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Takes over the token bucket of a target, or changes the fraction `part` of the limit that
    /// this daemon grants.
    ///
    /// An owner that receives heartbeats from only some of the daemons grants their fraction of the
    /// limit, since the others may have an owner of their own.
    pub fn own(&mut self, id: &TargetId, part: f64, now: Millis) {
        let Some(limited) = self.targets.get_mut(id) else {
            return;
        };
        let limit = limited.limit(now);
        let bucket = limited.bucket.get_or_insert(TokenBucket::empty(part, now));
        if let Some(limit) = limit {
            bucket.tokens = bucket.available(limit, now);
        }
        bucket.updated_at = now;
        bucket.part = part;
    }

    /// Gives up the token bucket of a target.
    pub fn disown(&mut self, id: &TargetId) {
        if let Some(limited) = self.targets.get_mut(id) {
            limited.bucket = None;
        }
    }

    /// Grants a request to a target if this daemon owns the target and its bucket holds a token.
    pub fn take(&mut self, id: &TargetId, now: Millis) -> Grant {
        let Some(limited) = self.targets.get_mut(id) else {
            return Grant::Unlimited;
        };
        let Some(limit) = limited.limit(now) else {
            return Grant::Unlimited;
        };
        let Some(bucket) = &mut limited.bucket else {
            return Grant::NotOwner;
        };
        let available = bucket.available(limit, now);
        if available < 1.0 {
            return Grant::Exhausted(bucket.wait(limit, now));
        }
        bucket.tokens = available - 1.0;
        bucket.updated_at = now;
        Grant::Granted
    }

    /// Records that the owner of a target grants nothing until `until`.
    pub fn note_exhausted(&mut self, id: &TargetId, until: Millis) {
        if let Some(limited) = self.targets.get_mut(id) {
            limited.spent = until;
        }
    }

    /// Returns the time until a request may be sent to a target; zero if that is now, as far as is
    /// known.
    pub fn wait(&self, id: &TargetId, now: Millis) -> Millis {
        let limited = self.targets.get(id);
        limited.map_or(Millis::ZERO, |limited| limited.wait(now))
    }

    /// Returns whether no request may be sent to a target now.
    pub fn is_exhausted(&self, id: &TargetId, now: Millis) -> bool {
        self.wait(id, now) > Millis::ZERO
    }

    /// Returns the targets to which no request may be sent now.
    pub fn exhausted(&self, now: Millis) -> Vec<TargetId> {
        let all = self.targets.iter();
        let spent = all.filter(|(_, limited)| limited.wait(now) > Millis::ZERO);
        spent.map(|(id, _)| id.clone()).collect()
    }

    /// Returns a target's limit in the form that is sent to other daemons.
    pub fn update(&self, id: &TargetId, now: Millis) -> Option<LimitUpdate> {
        let report = self.targets.get(id)?.report?;
        Some(LimitUpdate::new(id, &report, now))
    }

    /// Returns the limits of the targets that this daemon owns, in the form that is sent to other
    /// daemons.
    pub fn owned_updates(&self, now: Millis) -> Vec<LimitUpdate> {
        let owned = self.targets.iter().filter(|(_, l)| l.bucket.is_some());
        owned
            .filter_map(|(id, l)| Some(LimitUpdate::new(id, &l.report?, now)))
            .collect()
    }

    /// Removes targets that no longer exist, and limits that were lifted long ago.
    pub fn retain(&mut self, known: impl Fn(&TargetId) -> bool, now: Millis) {
        self.targets
            .retain(|id, limited| known(id) && !limited.is_over(now));
    }

    fn entry(&mut self, id: &TargetId) -> &mut Limited {
        self.targets.entry(id.clone()).or_default()
    }
}
