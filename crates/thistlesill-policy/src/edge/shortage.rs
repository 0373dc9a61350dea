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
mod scope;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thistlesill_core::edge::OverloadLimits;
use thistlesill_core::{CustomerId, Millis};

use self::scope::ScopeState;
use super::owner::Scope;
use super::returns::{CallerReport, Standing};

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

/// A decision, and what was known of the caller; the latter is for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decided {
    /// How the request is admitted.
    pub decision: AdmissionDecision,
    /// Whether the caller had a booking, and whether it has kept it.
    pub standing: Standing,
    /// Whether the caller was refused before, with or without a booking.
    pub returned: bool,
    /// Whether the retry time of a refused request is booked.
    pub booked: bool,
}

/// State of the scopes that this daemon decides for.
///
/// A scope takes at most 16 kinds of 112 customers (9 KB each), 4,096 bookings (88 bytes each) and
/// 4,096 other callers (72 bytes each), 1.5 MB in all with names and free space; with 24 customers and three kinds it takes 7 KB and its
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
    ) -> Decided {
        let limits = self.limits;
        let state = self.scope_mut(scope);
        state.decide(request, &prospect, limits, now)
    }

    /// Returns whether other owners have to learn of callers.
    pub fn has_reports(&self) -> bool {
        let mut scopes = self.scopes.values();
        scopes.any(ScopeState::has_reports)
    }

    /// Returns what other owners have to learn of the callers since the last call, by scope.
    pub fn take_reports(&mut self, now: Millis) -> Vec<(Scope, CallerReport)> {
        let scopes = self.scopes.iter_mut();
        let reports = scopes.flat_map(|(scope, state)| {
            let reports = state.take_reports(now).into_iter();
            reports.map(|report| (scope.clone(), report))
        });
        reports.collect()
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
