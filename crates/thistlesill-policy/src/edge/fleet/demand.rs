//! How many groups of each model the work calls for.

use thistlesill_core::Model;
use thistlesill_core::edge::{Engine, ModelPlan};

/// Part of the targets that groups may use; the rest stands by, ready to
/// replace lost members.
const IN_GROUPS: f64 = 0.75;

/// How short a model is of groups: 1 is its fair part, more is short.
///
/// A model's share is its part of the targets' work, so its fair part of the
/// targets, divided by the size of a group, gives its groups. `targets` is
/// the largest number of targets that was seen: work does not shrink when
/// targets are lost.
pub(super) fn shortage(engine: &Engine, model: &Model, groups: usize, targets: usize) -> f64 {
    let Some(plan) = engine.plan(model) else {
        return 0.0;
    };
    if groups == 0 {
        return f64::MAX;
    }
    fair_groups(engine, plan, targets) / groups as f64
}

/// The groups that a model should have by its share of the targets.
pub(super) fn fair_groups(engine: &Engine, plan: &ModelPlan, targets: usize) -> f64 {
    let all: f64 = engine.models.iter().map(|m| m.share).sum();
    let part = plan.share / all.max(f64::MIN_POSITIVE);
    part * IN_GROUPS * targets as f64 / f64::from(plan.size.max(1))
}
