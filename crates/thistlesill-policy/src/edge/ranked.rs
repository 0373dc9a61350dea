//! Target and priority of a request that was admitted to a service that ranks its callers.
//!
//! Load pattern: a scope without room, where a request fits its objective only at the target that
//! begins it first, while the usual choice also weighs the rest of the answer and the traffic
//! between data centres.

use thistlesill_core::Millis;

use super::shortage::{AdmissionDecision, LATE_PRIORITY, Prospect, Urgency};

/// How much later than at the earliest target a request may begin in a scope without room, in
/// milliseconds: as much as the usual choice accepts to avoid traffic between data centres.
const MAX_DELAY_MS: f64 = 25.0;

/// Returns whether a request may go to the target of the usual choice, where it would begin after
/// `begin` milliseconds, instead of to the target of its prospect.
///
/// In a scope with room the usual choice stands: it spreads requests, while the target of the prospect
/// is the same one for all owners with equal knowledge.
#[must_use]
pub fn is_early_enough(begin: f64, prospect: &Prospect, aim: Millis) -> bool {
    let latest = (aim.get() as f64).min(prospect.begin + MAX_DELAY_MS);
    prospect.has_room || begin <= latest
}

/// Returns the value of the header `Priority` for a request, by the decision that admitted it.
#[must_use]
pub fn engine_priority(urgency: Urgency, decision: AdmissionDecision) -> u8 {
    match decision {
        AdmissionDecision::Late => LATE_PRIORITY,
        AdmissionDecision::InTime | AdmissionDecision::Refuse { .. } => urgency.engine_priority(),
    }
}
