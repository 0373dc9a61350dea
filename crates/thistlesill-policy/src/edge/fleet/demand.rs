//! How many groups of each model the work calls for.

use std::collections::BTreeMap;

use thistlesill_core::Model;
use thistlesill_core::edge::{Engine, ModelPlan, RateLimit};

use super::FleetView;

/// Part of the targets that groups may use; the rest stands by, ready to
/// replace lost members.
const IN_GROUPS: f64 = 0.75;
/// Part of the targets that groups may use when the work calls for them. With a
/// model asked twice as often this served 0.83 of the worth, against 0.77 without
/// (three plays each).
const MOST_IN_GROUPS: f64 = 0.9;
/// Part of a group's time that work may take up while answers begin in time:
/// at 0.6 a prompt waits about as long as the reading of one other takes.
const USED: f64 = 0.6;

/// The work that each model is asked for; 1 keeps one group fully busy.
pub type Demand = BTreeMap<Model, f64>;

/// How short a model is of groups: 1 is its fair part, more is short.
pub(super) fn shortage(
    view: &FleetView<'_>,
    plan: &ModelPlan,
    groups: usize,
    targets: usize,
) -> f64 {
    if groups == 0 {
        return f64::MAX;
    }
    fair_groups(view, plan, targets) / groups as f64
}

/// The groups that a model should have.
///
/// The work that is asked for comes first; the targets that it leaves are
/// divided by the shares that the operators announced, which is also all that is
/// known before the first requests. `targets` is the largest number of targets
/// that was seen: work does not shrink when targets are lost.
pub(super) fn fair_groups(view: &FleetView<'_>, plan: &ModelPlan, targets: usize) -> f64 {
    let engine = view.engine;
    let needed: f64 = engine.models.iter().map(|m| needed(view, m)).sum();
    let all = targets as f64;
    let budget = needed.clamp(IN_GROUPS * all, MOST_IN_GROUPS * all);
    let own = needed_part(view, plan, budget, needed);
    let left = (budget - needed).max(0.0);
    (own + announced(engine, plan) * left) / f64::from(plan.size.max(1))
}

/// The groups that a model should have by its announced share alone.
pub(super) fn announced_groups(engine: &Engine, plan: &ModelPlan, targets: usize) -> f64 {
    let budget = IN_GROUPS * targets as f64;
    announced(engine, plan) * budget / f64::from(plan.size.max(1))
}

/// The groups that a model's work calls for, however many there can be.
pub(super) fn needed_groups(view: &FleetView<'_>, plan: &ModelPlan) -> f64 {
    needed(view, plan) / f64::from(plan.size.max(1))
}

/// The targets that a model's work calls for, less if all do not fit.
fn needed_part(view: &FleetView<'_>, plan: &ModelPlan, budget: f64, all: f64) -> f64 {
    needed(view, plan) * (budget / all.max(f64::MIN_POSITIVE)).min(1.0)
}

/// The targets that a model's work calls for.
fn needed(view: &FleetView<'_>, plan: &ModelPlan) -> f64 {
    let work = view.demand.get(&plan.model).copied().unwrap_or(0.0);
    (work / USED + lacking(view, plan)) * f64::from(plan.size)
}

/// The groups of a model that the limits of its leaders take away, in whole groups. Each
/// group counted as whole, work beyond the limits had no group that was formed for it.
fn lacking(view: &FleetView<'_>, plan: &ModelPlan) -> f64 {
    let limited = view.capacity_ratios.iter().filter(|(id, _)| {
        let leader = view.targets.get(*id);
        leader.is_some_and(|t| t.is_open_leader() && t.model() == Some(&plan.model))
    });
    limited.map(|(_, room)| (1.0 - room).clamp(0.0, 1.0)).sum()
}

/// The part of its group's usual work that a leader's limit leaves.
///
/// `work` is the time of the group that its requests take up, in milliseconds each.
pub fn capacity_ratio(limit: RateLimit, work: f64) -> f64 {
    (limit.get() * work / 1_000.0 / USED).min(1.0)
}

/// A model's announced part of the targets' work.
fn announced(engine: &Engine, plan: &ModelPlan) -> f64 {
    let all: f64 = engine.models.iter().map(|m| m.share).sum();
    plan.share / all.max(f64::MIN_POSITIVE)
}
