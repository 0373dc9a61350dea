//! How many groups of each model the work calls for.

use thistlesill_core::Model;
use thistlesill_core::edge::{Engine, ModelPlan};

/// Part of the targets that groups may use; the rest stands by, ready to
/// replace lost members.
const IN_GROUPS: f64 = 0.75;

/// How short a model is of groups: 1 is its fair part, more is short.
///
/// The work of a model is its share of requests times its pace. If every
/// model's groups were loaded alike, each model would have groups in
/// proportion to its work; the result compares what there is with that.
pub(super) fn shortage(engine: &Engine, model: &Model, groups: usize, targets: usize) -> f64 {
    let Some(plan) = engine.plan(model) else {
        return 0.0;
    };
    let used: f64 = engine.models.iter().map(|m| f64::from(m.size) * work(m)).sum();
    if used <= 0.0 {
        return 0.0;
    }
    let fair = work(plan) * IN_GROUPS * targets as f64 / used;
    if groups == 0 {
        return f64::MAX;
    }
    fair / groups as f64
}

fn work(plan: &ModelPlan) -> f64 {
    plan.share * plan.pace
}
