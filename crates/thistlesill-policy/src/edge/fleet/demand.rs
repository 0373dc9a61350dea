//! The number of groups that the demand for each model calls for.

use std::collections::BTreeMap;

use thistlesill_core::Model;
use thistlesill_core::edge::{Engine, ModelPlan, RateLimit};

use super::FleetView;

/// Ratio of the targets that groups may use. The rest are spares that replace lost members.
const GROUPED_RATIO: f64 = 0.75;
/// Ratio of the targets that groups may use when demand calls for them. With one model asked twice
/// as often, this served 0.83 of the requests' worth, against 0.77 without (three runs each).
const MAX_GROUPED_RATIO: f64 = 0.9;
/// Ratio of a group's time that requests may occupy while answers still begin in time. At 0.6 a
/// prompt waits about as long as the prefill of one other prompt takes.
const TARGET_UTILIZATION: f64 = 0.6;

/// Demand for each model, in groups: 1 keeps one group fully busy.
pub type Demand = BTreeMap<Model, f64>;

/// Returns the ratio of the groups that a model should have to those that it has: 1 is its desired
/// number, and more is a shortage.
pub(super) fn shortage(
    view: &FleetView<'_>,
    plan: &ModelPlan,
    groups: usize,
    targets: usize,
) -> f64 {
    if groups == 0 {
        return f64::MAX;
    }
    desired_groups(view, plan, targets) / groups as f64
}

/// Returns the number of groups that a model should have.
///
/// Demand comes first. The targets that it leaves are divided by the shares that operators
/// configured, which are also all that is known before the first requests. `targets` is the largest
/// number of targets that was seen, since demand does not shrink when targets are lost.
pub(super) fn desired_groups(view: &FleetView<'_>, plan: &ModelPlan, targets: usize) -> f64 {
    let engine = view.engine;
    let needed: f64 = engine.models.iter().map(|m| needed_targets(view, m)).sum();
    let total = targets as f64;
    let budget = needed.clamp(GROUPED_RATIO * total, MAX_GROUPED_RATIO * total);
    let own = budgeted_targets(view, plan, budget, needed);
    let left = (budget - needed).max(0.0);
    (own + configured_share(engine, plan) * left) / f64::from(plan.size.max(1))
}

/// Returns the number of groups that a model should have by its configured share alone.
pub(super) fn configured_groups(engine: &Engine, plan: &ModelPlan, targets: usize) -> f64 {
    let budget = GROUPED_RATIO * targets as f64;
    configured_share(engine, plan) * budget / f64::from(plan.size.max(1))
}

/// Returns the number of groups that a model's demand calls for, regardless of how many are
/// possible.
pub(super) fn needed_groups(view: &FleetView<'_>, plan: &ModelPlan) -> f64 {
    needed_targets(view, plan) / f64::from(plan.size.max(1))
}

/// Returns the targets that a model's demand calls for, scaled down if the targets of all models
/// exceed the budget.
fn budgeted_targets(view: &FleetView<'_>, plan: &ModelPlan, budget: f64, total: f64) -> f64 {
    needed_targets(view, plan) * (budget / total.max(f64::MIN_POSITIVE)).min(1.0)
}

/// Returns the targets that a model's demand calls for.
fn needed_targets(view: &FleetView<'_>, plan: &ModelPlan) -> f64 {
    let work = view.demand.get(&plan.model).copied().unwrap_or(0.0);
    (work / TARGET_UTILIZATION + limited_groups(view, plan)) * f64::from(plan.size)
}

/// Returns the capacity that the rate limits of a model's leaders take away, in groups. When each
/// limited group counted as a full one, no group was formed for the work beyond the limits.
fn limited_groups(view: &FleetView<'_>, plan: &ModelPlan) -> f64 {
    let limited = view.capacity_ratios.iter().filter(|(id, _)| {
        let leader = view.targets.get(*id);
        leader.is_some_and(|t| t.is_open_leader() && t.model() == Some(&plan.model))
    });
    limited
        .map(|(_, ratio)| (1.0 - ratio).clamp(0.0, 1.0))
        .sum()
}

/// Returns the ratio of a group's usual work that its leader's rate limit leaves, at most 1.
///
/// `request_ms` is the group's time that one request occupies, in milliseconds.
pub fn capacity_ratio(limit: RateLimit, request_ms: f64) -> f64 {
    (limit.get() * request_ms / 1_000.0 / TARGET_UTILIZATION).min(1.0)
}

/// Returns a model's configured share of the targets, as a ratio of all models' shares.
fn configured_share(engine: &Engine, plan: &ModelPlan) -> f64 {
    let total: f64 = engine.models.iter().map(|m| m.share).sum();
    plan.share / total.max(f64::MIN_POSITIVE)
}
