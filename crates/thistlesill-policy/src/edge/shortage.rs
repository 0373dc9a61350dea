//! Admission of requests to a scope whose targets cannot begin all of them in time.
//!
//! Load pattern: demand for a model beyond what its groups can begin within the objectives of the
//! requests, as in a burst of one kind, with one customer that sends a third of all requests, or with
//! a data centre that is evacuated.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thistlesill_core::{CustomerId, Millis};

use super::owner::Scope;

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

/// What an owner is told about a request in addition to its prompt.
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

/// State of the scopes that this daemon decides for.
#[derive(Debug, Clone, Default)]
pub struct ShortageTable {
    scopes: HashMap<Scope, u64>,
}

impl ShortageTable {
    /// Decides how a request to a scope is admitted.
    pub fn decide(
        &mut self,
        scope: &Scope,
        request: &RankedRequest,
        prospect: Prospect,
        _now: Millis,
    ) -> AdmissionDecision {
        *self.scopes.entry(scope.clone()).or_default() += 1;
        if prospect.begin <= request.aim.get() as f64 {
            AdmissionDecision::InTime
        } else {
            AdmissionDecision::Late
        }
    }
}
