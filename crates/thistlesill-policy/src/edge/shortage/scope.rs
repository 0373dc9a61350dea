//! The rules, and the state of one scope.

use std::collections::BTreeMap;

use thistlesill_core::Millis;
use thistlesill_core::edge::OverloadLimits;

use super::kinds::{Attempt, Kinds, Start, Treatment};
use super::recent::Recent;
use super::{AdmissionDecision, Decided, Ground, Prospect, RankedRequest};
use crate::edge::returns::{CallerReport, Returns, Standing};

/// How long after a refusal a scope counts as short: a caller that honours its retry time returns
/// within about a second.
const SHORT_TIME: Millis = Millis::new(1_000);
/// Part of the time that the objective leaves for waiting up to which a request is admitted whoever
/// sends it; the rest is for customers below their share and for kinds that are served less often.
/// The time that a request takes at an idle target is no sign of a shortage.
const OPEN_RATIO: f64 = 0.8;
/// Part of a target's slots below which a request that is late in any case takes no slot that
/// requests in time need.
const FREE_RATIO: f64 = 0.8;
/// Part of the remaining time of a caller within which its booked retry must begin; the rest is for
/// the answer.
const BOOKED_RATIO: f64 = 0.5;
/// Requests per second that an open group starts at least, for the rate of bookings. With the usual
/// part of late requests, two retries per second and group are booked at least.
const MIN_GROUP_RATE: f64 = 8.0;
/// Maximum number of callers of a scope whose reports wait: more than an owner refuses in the 50 ms
/// between two rounds.
const MAX_UNREPORTED: usize = 4_096;

/// How a caller and its kind stand before a decision.
#[derive(Debug, Clone, Copy)]
struct Caller {
    standing: Standing,
    treatment: Treatment,
}

/// What other owners have to learn of a caller.
#[derive(Debug, Clone, Copy)]
enum Unreported {
    Refused,
    /// Admitted at this time after a refusal.
    Served(Millis),
}

/// Result of the rules for one request.
enum Verdict {
    InTime,
    Late,
    Refused(Ground),
}

#[derive(Debug, Clone, Default)]
pub(super) struct ScopeState {
    kinds: Kinds,
    pub(super) returns: Returns,
    started: Recent,
    late: Recent,
    refused_at: Option<Millis>,
    /// When the last request or report came.
    pub(super) last: Millis,
    /// Callers that other owners have to learn of, by key.
    unreported: BTreeMap<u64, Unreported>,
}

impl ScopeState {
    /// Decides how a request is admitted, and notes what other owners have to learn of its caller.
    pub(super) fn decide(
        &mut self,
        request: &RankedRequest,
        prospect: &Prospect,
        limits: OverloadLimits,
        now: Millis,
    ) -> Decided {
        let standing = self.returns.standing(request.key, now);
        let returned = self.returns.first(request.key, now).is_some();
        let decision = self.apply_rules(request, prospect, standing, limits, now);
        let unreported = match decision {
            AdmissionDecision::InTime | AdmissionDecision::Late => {
                returned.then_some(Unreported::Served(now))
            }
            // Its caller keeps the time that the owners know.
            AdmissionDecision::Refuse {
                ground: Ground::Early,
                ..
            } => None,
            AdmissionDecision::Refuse { .. } => Some(Unreported::Refused),
        };
        if let Some(unreported) = unreported
            && self.unreported.len() < MAX_UNREPORTED
        {
            self.unreported.insert(request.key, unreported);
        }
        Decided {
            decision,
            standing,
            returned,
            booked: self.returns.is_booked(request.key, now),
        }
    }

    /// Returns whether other owners have to learn of callers.
    pub(super) fn has_reports(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Returns what other owners have to learn of callers since the last call. What is no longer
    /// true, after a suspension, is left out.
    pub(super) fn take_reports(&mut self, now: Millis) -> Vec<CallerReport> {
        let unreported = std::mem::take(&mut self.unreported).into_iter();
        let report = |(key, what)| match what {
            Unreported::Refused => self.returns.report(key, now),
            Unreported::Served(at) => Some(CallerReport::Served { key, ago: now - at }),
        };
        unreported.filter_map(report).collect()
    }

    fn apply_rules(
        &mut self,
        request: &RankedRequest,
        prospect: &Prospect,
        standing: Standing,
        limits: OverloadLimits,
        now: Millis,
    ) -> AdmissionDecision {
        self.last = now;
        let is_new = !self.returns.is_counted(request.key, now);
        let kept_ratio = limits.kept_ratio();
        let treatment = self
            .kinds
            .treatment(request.urgency, is_new, kept_ratio, now);
        let caller = Caller {
            standing,
            treatment,
        };
        let verdict = self.judge(request, prospect, caller, limits, now);
        let start = match verdict {
            Verdict::InTime => Some(Start::InTime),
            Verdict::Late => Some(Start::Late),
            Verdict::Refused(_) => None,
        };
        let attempt = Attempt {
            is_new,
            is_early: standing == Standing::Early,
            start,
        };
        self.kinds.record(request, attempt, now);
        match verdict {
            Verdict::InTime => {
                self.start(request, now);
                AdmissionDecision::InTime
            }
            Verdict::Late => {
                self.start(request, now);
                self.late.add(now);
                AdmissionDecision::Late
            }
            Verdict::Refused(ground) => {
                self.refused_at = Some(now);
                let least = MIN_GROUP_RATE * f64::from(prospect.open_groups.max(1));
                let rate = self.started.rate(now).max(least) * limits.late_ratio();
                let is_ahead =
                    treatment == Treatment::Preferred || self.is_above_share(request, now);
                let (Ok(after) | Err(after)) = if is_ahead || limits.late_ratio() == 0.0 {
                    // At the booked time others might still have to go first, or the request would
                    // be late and be refused again.
                    Err(self.returns.defer(request, now))
                } else {
                    self.returns.book(request, rate, now)
                };
                let ground = match standing {
                    Standing::Early => Ground::Early,
                    Standing::New | Standing::Kept => ground,
                };
                AdmissionDecision::Refuse { after, ground }
            }
        }
    }

    fn start(&mut self, request: &RankedRequest, now: Millis) {
        self.started.add(now);
        self.returns.remove(request.key);
    }

    /// Applies the rules in their order.
    fn judge(
        &mut self,
        request: &RankedRequest,
        prospect: &Prospect,
        caller: Caller,
        limits: OverloadLimits,
        now: Millis,
    ) -> Verdict {
        let Caller {
            standing,
            treatment,
        } = caller;
        let begins_within = |time: Millis| prospect.begin <= time.get() as f64;
        let first = self.returns.first(request.key, now);
        let aim = request.aim - first.map_or(Millis::ZERO, |first| now - first);
        if prospect.has_room {
            // Nothing competes with the request, whatever its prediction.
            return Verdict::InTime;
        }
        let cap = self.kinds.cap(request.urgency, now);
        let capped = cap.map_or(aim, |cap| cap.min(aim));
        if self.is_short(now) {
            let wait = capped.get() as f64 - prospect.idle;
            let is_open = prospect.begin <= prospect.idle + OPEN_RATIO * wait;
            if !is_open && self.is_above_share(request, now) {
                return Verdict::Refused(Ground::OverShare);
            }
            if treatment == Treatment::Preferred && standing != Standing::Kept {
                return Verdict::Refused(Ground::LessUrgent);
            }
        }
        if begins_within(capped) {
            return Verdict::InTime;
        }
        // Longer prompts begin later, so the capped test alone would starve kinds that have them.
        if treatment == Treatment::Starved && begins_within(aim) {
            return Verdict::InTime;
        }
        if limits.late_ratio() > 0.0 {
            let promised = standing == Standing::Kept || treatment == Treatment::Starved;
            if promised && prospect.begin <= BOOKED_RATIO * request.left.get() as f64 {
                return Verdict::Late;
            }
            let is_free = f64::from(prospect.requests) < FREE_RATIO * f64::from(prospect.slots);
            let is_open = self.returns.due(now) == 0 && self.may_be_late(limits.late_ratio(), now);
            if is_free && is_open {
                return Verdict::Late;
            }
        }
        Verdict::Refused(if begins_within(aim) {
            Ground::LessUrgent
        } else {
            Ground::NoRoom
        })
    }

    /// Returns whether at most this part of the requests that were started recently is late. Free
    /// slots alone are no bound: where prompts wait, slots are free and time is not.
    fn may_be_late(&self, late_ratio: f64, now: Millis) -> bool {
        let late = f64::from(self.late.count(now));
        late <= late_ratio * f64::from(self.started.count(now))
    }

    /// Returns whether a request was refused recently.
    fn is_short(&self, now: Millis) -> bool {
        self.refused_at.is_some_and(|at| now - at < SHORT_TIME)
    }

    fn is_above_share(&mut self, request: &RankedRequest, now: Millis) -> bool {
        let kind = self.kinds.get_mut(request.urgency);
        kind.is_some_and(|k| k.shares.is_above(request.customer.as_ref(), now))
    }
}
