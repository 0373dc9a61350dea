//! The number of groups that the demand for each model calls for.
//!
//! Load pattern: a third to two thirds of the targets are gone, and the rest does not suffice for
//! all models. Where the service ranks its callers, the targets are then rationed: models get what
//! they need in the order of their urgency, after each less urgent model has received its floor.
//! Otherwise, all models are scaled down by the same ratio.

use std::collections::{BTreeMap, HashMap};

use thistlesill_core::edge::{Engine, ModelPlan, RateLimit, Target};
use thistlesill_core::{DomainId, Model};

use super::{FleetPlanner, FleetView};
use crate::edge::shortage::Urgency;

/// Ratio of the targets that groups may use. The rest are spares that replace lost members.
const GROUPED_RATIO: f64 = 0.75;
/// Ratio of the targets that groups may use when demand calls for them. With one model asked twice
/// as often, this served 0.83 of the requests' worth, against 0.77 without (three runs each).
const MAX_GROUPED_RATIO: f64 = 0.9;
/// Ratio of a group's time that requests may occupy while answers still begin in time. At 0.6 a
/// prompt waits about as long as the prefill of one other prompt takes.
pub(crate) const TARGET_UTILIZATION: f64 = 0.6;
/// Ratio of what a model needs that it keeps while more urgent models lack groups, so that no kind of
/// request starves.
pub(crate) const FLOOR_RATIO: f64 = 0.25;

/// Size of the smallest group before the models are known.
const USUAL_SMALLEST_GROUP: usize = 2;

/// Demand for each model, in groups: 1 keeps one group fully busy.
pub type Demand = BTreeMap<Model, f64>;

/// The number of targets from which the groups of a service may be formed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct TargetCounts {
    /// The largest number that was seen, without the listed targets of evacuated data centres. Demand
    /// does not shrink when targets are lost, and their replacements are soon listed.
    pub(super) peak: usize,
    /// Targets that are listed, alive and may join groups.
    pub(super) available: usize,
}

impl FleetPlanner {
    /// Counts the targets from which groups may be formed.
    pub(super) fn count_targets(&self, view: &FleetView<'_>) -> TargetCounts {
        let (evacuated, usable): (Vec<&Target>, Vec<&Target>) =
            view.targets.values().partition(|t| view.is_evacuated(t));
        let available = usable
            .into_iter()
            .filter(|t| !t.leaving && !self.is_dead(&t.id));
        TargetCounts {
            peak: self
                .peak_targets
                .saturating_sub(self.count_groupable(evacuated)),
            available: self.count_groupable(available),
        }
    }

    /// Counts the targets whose domains have enough of them for a group. Others are no capacity: another
    /// writer's entry may name a domain of its own.
    pub(super) fn count_groupable<'a>(
        &self,
        targets: impl IntoIterator<Item = &'a Target>,
    ) -> usize {
        let mut domains: HashMap<Option<&DomainId>, usize> = HashMap::new();
        for target in targets {
            *domains.entry(target.domain.as_ref()).or_default() += 1;
        }
        let smallest = self.smallest_group.unwrap_or(USUAL_SMALLEST_GROUP);
        let counts = domains.into_values();
        counts.filter(|count| *count >= smallest).sum()
    }
}

/// A model's place among those that lack groups while targets are rationed; the lowest comes first.
/// All models have the same place if targets are not rationed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    /// Whether the model has the groups that it keeps while more urgent models lack groups.
    has_floor: bool,
    rank: Rank,
}

/// Urgency of a model's requests for comparison; models without requests of known urgency come last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Known(Urgency),
    Unknown,
}

impl Rank {
    /// Returns the rank of a model. While the urgency of any demand is not known, as in the first
    /// report interval of a new planner, all models have the same rank.
    fn of(view: &FleetView<'_>, plan: &ModelPlan) -> Self {
        let has_demand = |model: &&Model| view.demand.get(*model).is_some_and(|work| *work > 0.0);
        let models = view.engine.models.iter().map(|m| &m.model);
        let mut demanded = models.filter(has_demand);
        let is_complete = demanded.all(|model| view.urgency.contains_key(model));
        let urgency = view.urgency.get(&plan.model).filter(|_| is_complete);
        urgency.map_or(Self::Unknown, |urgency| Self::Known(*urgency))
    }
}

/// Returns the ratio of the groups that a model should have to those that it has: 1 is its desired
/// number, and more is a shortage.
pub(super) fn shortage(
    view: &FleetView<'_>,
    plan: &ModelPlan,
    groups: usize,
    targets: TargetCounts,
) -> f64 {
    if groups == 0 {
        return f64::MAX;
    }
    desired_groups(view, plan, targets) / groups as f64
}

/// Returns the number of groups that a model should have.
///
/// Demand comes first. The targets that it leaves are divided by the shares that operators
/// configured, which are also all that is known before the first requests.
pub(super) fn desired_groups(view: &FleetView<'_>, plan: &ModelPlan, targets: TargetCounts) -> f64 {
    let size = f64::from(plan.size.max(1));
    if is_rationed(view, targets) {
        return rationed_targets(view, plan, targets) / size;
    }
    let needed = needed_by_all(view);
    let total = targets.peak as f64;
    let budget = needed.clamp(GROUPED_RATIO * total, MAX_GROUPED_RATIO * total);
    let own = budgeted_targets(view, plan, budget, needed);
    let mut left = (budget - needed).max(0.0);
    if !view.urgency.is_empty() {
        // Shares of lost targets would count as desired groups: a model would keep its spare groups
        // while another lacks groups that its demand calls for.
        left = left.min((rationed_budget(targets) - needed).max(0.0));
    }
    (own + configured_share(view.engine, plan) * left) / size
}

/// Returns whether the targets do not suffice for all models of a service that ranks its callers, so
/// that models get groups in the order of their urgency.
pub(super) fn is_rationed(view: &FleetView<'_>, targets: TargetCounts) -> bool {
    !view.urgency.is_empty() && needed_by_all(view) > rationed_budget(targets)
}

/// Returns whether one model's requests are more urgent than another's.
pub(super) fn is_more_urgent(view: &FleetView<'_>, plan: &ModelPlan, other: &ModelPlan) -> bool {
    Rank::of(view, plan) < Rank::of(view, other)
}

/// Returns the place of a model with this number of groups among those that lack groups.
pub(super) fn precedence(
    view: &FleetView<'_>,
    plan: &ModelPlan,
    groups: usize,
    targets: TargetCounts,
) -> Precedence {
    let rationed = is_rationed(view, targets);
    Precedence {
        has_floor: !rationed || groups as f64 >= floor_groups(view, plan),
        rank: if rationed {
            Rank::of(view, plan)
        } else {
            Rank::Unknown
        },
    }
}

/// Returns the number of groups that a model keeps while more urgent models lack groups.
pub(super) fn floor_groups(view: &FleetView<'_>, plan: &ModelPlan) -> f64 {
    (FLOOR_RATIO * needed_groups(view, plan)).max(1.0)
}

/// Returns the targets that groups may use while targets are rationed.
fn rationed_budget(targets: TargetCounts) -> f64 {
    MAX_GROUPED_RATIO * targets.available as f64
}

/// Returns the targets that a model gets while targets are rationed.
///
/// Models of equal urgency share what is left for them in proportion to their claims. If not even
/// the floors fit, the more urgent models get theirs.
fn rationed_targets(view: &FleetView<'_>, plan: &ModelPlan, targets: TargetCounts) -> f64 {
    let floor = |m: &ModelPlan| floor_groups(view, m) * f64::from(m.size.max(1));
    let claim = |m: &ModelPlan| needed_targets(view, m).max(floor(m));
    let mut models: Vec<&ModelPlan> = view.engine.models.iter().collect();
    models.sort_by_key(|m| Rank::of(view, m));
    let mut left = rationed_budget(targets);
    let mut reserved: f64 = models.iter().copied().map(floor).sum();
    for equals in models.chunk_by(|a, b| Rank::of(view, a) == Rank::of(view, b)) {
        let claimed: f64 = equals.iter().copied().map(claim).sum();
        let floors: f64 = equals.iter().copied().map(floor).sum();
        // From here on, the floors of less urgent models only.
        reserved -= floors;
        let given = claimed.min(left - reserved).max(floors).min(left);
        if equals.iter().any(|m| m.model == plan.model) {
            return claim(plan) * given / claimed;
        }
        left -= given;
    }
    0.0
}

/// Returns the number of groups that a model should have by its configured share alone.
pub(super) fn configured_groups(engine: &Engine, plan: &ModelPlan, targets: TargetCounts) -> f64 {
    let budget = GROUPED_RATIO * targets.peak as f64;
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

/// Returns the targets that the demand for all models calls for.
fn needed_by_all(view: &FleetView<'_>) -> f64 {
    let models = view.engine.models.iter();
    models.map(|m| needed_targets(view, m)).sum()
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
