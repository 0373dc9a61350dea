//! Admission of requests to a scope whose targets cannot begin all of them in time.
//!
//! Load pattern: demand for a model beyond what its groups can begin within the objectives of the
//! requests, as in a burst of one kind, with one customer that sends a third of all requests, or with
//! a data centre that is evacuated.
//!
//! The thresholds follow from the objectives of the callers: a request is admitted if it begins
//! within its objective and within those of more urgent kinds, so that the prediction for these
//! stays within their objectives, too. What is late in any case is sent only to free slots or at a
//! booked time, and is at most a quarter of what is started, or the part that the operators set.
//!
//! The test of the capped objective treats kinds alike only if their prompts are equally long. So a
//! kind that was served more often than a more urgent one is refused until that one has caught up,
//! and one that was served less often than all more urgent ones, and less than a quarter of its
//! callers or the part that the operators set, is admitted by its own objective.

mod fair;
mod kinds;
mod recent;

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use thistlesill_core::edge::OverloadLimits;
use thistlesill_core::{CustomerId, Millis};

use self::kinds::{Attempt, Kinds, Start, Treatment};
use self::recent::Recent;
use super::owner::Scope;
use super::returns::{CallerReport, Returns, Standing};

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
/// How long the state of a scope without requests is kept: longer than all times of the rules,
/// and than the usual delay of a booked retry.
const SCOPE_RETENTION: Millis = Millis::new(10_000);

/// The header `Priority` of requests that will be late: the lowest one, so that engines start them
/// behind all requests that can be in time.
pub const LATE_PRIORITY: u8 = 9;

/// Rank of a request among those of its service; lower is more urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Urgency {
    /// Priority of the customer, or of the route if the customer has none.
    pub customer: u8,
    /// Priority of the route.
    pub route: u8,
}

impl Urgency {
    /// Returns the value of the header `Priority` for a request that can be in time.
    #[must_use]
    pub fn engine_priority(self) -> u8 {
        3 * self.customer.min(2) + self.route.min(2)
    }
}

/// What an owner receives about a request in addition to its prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankedRequest {
    /// Rank of the request.
    pub urgency: Urgency,
    /// Customer that sent the request, if the route needs a key.
    pub customer: Option<CustomerId>,
    /// Hash that is the same for all attempts of one caller.
    pub key: u64,
    /// Latency objective of the route.
    pub aim: Millis,
    /// Time until the caller's deadline.
    pub left: Millis,
}

/// What the owner knows about the target that begins a request first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prospect {
    /// Predicted time of the first event, in milliseconds.
    pub begin: f64,
    /// Predicted time of the first event if the target had no other request, in milliseconds.
    pub idle: f64,
    /// Slots of the target.
    pub slots: u32,
    /// Requests at the target.
    pub requests: u32,
    /// Whether some target of the scope is below the ratio of slots from which on it counts as busy.
    pub has_room: bool,
    /// Open groups of the scope.
    pub open_groups: u32,
}

/// The reason why a request is refused, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ground {
    /// The request would make more urgent ones late.
    LessUrgent,
    /// The customer is above its fair share.
    OverShare,
    /// No target has room.
    NoRoom,
    /// The caller retried before its booked time, and there is no room.
    Early,
}

impl Ground {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::LessUrgent => "less_urgent",
            Self::OverShare => "over_share",
            Self::NoRoom => "no_room",
            Self::Early => "early",
        }
    }
}

/// How a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionDecision {
    /// Send at the request's own urgency.
    InTime,
    /// Send with [`LATE_PRIORITY`].
    Late,
    /// Refuse.
    Refuse {
        /// Time after which the caller may retry.
        after: Millis,
        /// The reason.
        ground: Ground,
    },
}

impl AdmissionDecision {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::Refuse { .. } => "refused",
        }
    }
}

/// State of the scopes that this daemon decides for.
///
/// A scope takes at most 16 kinds of 112 customers (9 KB each), 4,096 bookings (112 bytes each) and
/// 4,096 other callers (88 bytes each), 1.5 MB in all with names and free space; with 24 customers and three kinds it takes 7 KB and its
/// bookings.
#[derive(Debug, Clone, Default)]
pub struct ShortageTable {
    scopes: HashMap<Scope, ScopeState>,
    limits: OverloadLimits,
}

impl ShortageTable {
    /// Creates a table that decides by these limits.
    #[must_use]
    pub fn new(limits: OverloadLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Replaces the limits for all later decisions; bookings that were given stay.
    pub fn set_limits(&mut self, limits: OverloadLimits) {
        self.limits = limits;
    }

    /// Decides how a request to a scope is admitted.
    pub fn decide(
        &mut self,
        scope: &Scope,
        request: &RankedRequest,
        prospect: Prospect,
        now: Millis,
    ) -> AdmissionDecision {
        let limits = self.limits;
        let state = self.scope_mut(scope);
        let was_known = state.returns.first(request.key, now).is_some();
        let decision = state.decide(request, &prospect, limits, now);
        let is_reported = match decision {
            AdmissionDecision::InTime | AdmissionDecision::Late => was_known,
            // Its caller keeps the time that the owners know.
            AdmissionDecision::Refuse { ground, .. } => ground != Ground::Early,
        };
        if is_reported && state.unreported.len() < MAX_UNREPORTED {
            state.unreported.insert(request.key);
        }
        decision
    }

    /// Returns whether other owners have to learn of callers.
    pub fn has_reports(&self) -> bool {
        let mut scopes = self.scopes.values();
        scopes.any(|state| !state.unreported.is_empty())
    }

    /// Returns what other owners have to learn of the callers since the last call, by scope.
    pub fn take_reports(&mut self, now: Millis) -> Vec<(Scope, CallerReport)> {
        let mut reports = Vec::new();
        for (scope, state) in &mut self.scopes {
            for key in std::mem::take(&mut state.unreported) {
                reports.push((scope.clone(), state.returns.report(key, now)));
            }
        }
        reports
    }

    /// Records what another owner of a scope reports of a caller.
    pub fn learn(&mut self, scope: &Scope, report: CallerReport, now: Millis) {
        let state = self.scope_mut(scope);
        state.last = now;
        state.returns.learn(report, now);
    }

    fn scope_mut(&mut self, scope: &Scope) -> &mut ScopeState {
        if !self.scopes.contains_key(scope) {
            self.scopes.insert(scope.clone(), ScopeState::default());
        }
        self.scopes.get_mut(scope).expect("the scope was inserted")
    }

    /// Returns whether a caller has a booking in a scope and has kept it, for logs and metrics;
    /// must be called before the decision on its request.
    pub fn standing(&mut self, scope: &Scope, key: u64, now: Millis) -> Standing {
        let state = self.scopes.get_mut(scope);
        state.map_or(Standing::New, |s| s.returns.standing(key, now))
    }

    /// Returns whether a caller is known from an earlier refusal, with or without a booking; must be
    /// called before the decision on its request.
    pub fn is_known(&self, scope: &Scope, key: u64, now: Millis) -> bool {
        let state = self.scopes.get(scope);
        state.is_some_and(|s| s.returns.first(key, now).is_some())
    }

    /// Returns whether a caller has a booking in a scope.
    pub fn is_booked(&self, scope: &Scope, key: u64, now: Millis) -> bool {
        let state = self.scopes.get(scope);
        state.is_some_and(|s| s.returns.is_booked(key, now))
    }

    /// Returns the number of bookings in a scope.
    pub fn bookings(&self, scope: &Scope) -> usize {
        self.scopes.get(scope).map_or(0, |s| s.returns.len())
    }

    /// Removes the state of scopes without requests in the last 10 s.
    pub fn retain(&mut self, now: Millis) {
        self.scopes
            .retain(|_, state| now - state.last < SCOPE_RETENTION);
    }
}

/// How a caller and its kind stand before a decision.
#[derive(Debug, Clone, Copy)]
struct Caller {
    standing: Standing,
    treatment: Treatment,
}

/// Result of the rules for one request.
enum Verdict {
    InTime,
    Late,
    Refused(Ground),
}

#[derive(Debug, Clone, Default)]
struct ScopeState {
    kinds: Kinds,
    returns: Returns,
    started: Recent,
    late: Recent,
    refused_at: Option<Millis>,
    last: Millis,
    /// Keys of the callers that other owners have to learn of.
    unreported: BTreeSet<u64>,
}

impl ScopeState {
    fn decide(
        &mut self,
        request: &RankedRequest,
        prospect: &Prospect,
        limits: OverloadLimits,
        now: Millis,
    ) -> AdmissionDecision {
        self.last = now;
        let standing = self.returns.standing(request.key, now);
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
