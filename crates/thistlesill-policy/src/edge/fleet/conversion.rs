//! Conversion of groups to a model with more demand.
//!
//! When demand shifts between models, one model can lack groups while others have more than they
//! need. The members of such groups then stage the short model's weights on their hosts while they
//! continue to serve, and their groups are closed only when all members have the weights. The model
//! that loses groups keeps them for the time of the load, and the model that gains them waits for a
//! drain and a join.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{GroupRef, MemberState, ModelPlan, Target, TargetId};
use thistlesill_core::{DomainId, Millis, Model};

use super::demand::{
    desired_groups, floor_groups, is_more_urgent, is_rationed, needed_groups, precedence, shortage,
};
use super::forming::{SHORTAGE_THRESHOLD, by_domain};
use super::survey::{ObservedGroup, Survey};
use super::{FleetAction, FleetPlanner, FleetView};

/// Ratio of the groups that a model's demand calls for to the groups that it has, from which on
/// groups of other models are converted. A conversion costs its targets some seconds, and uses up
/// spares.
const CONVERSION_DEMAND_RATIO: f64 = 1.15;
/// How long a model must have lacked groups before a conversion. A lost group is replaced within
/// two to three seconds and needs no conversion.
const CONVERSION_DELAY: Millis = Millis::new(3_000);
/// How long a converted group stays closed while its members have not joined another one. Their
/// join takes a second or two. Without this limit the groups of a model at full occupancy were
/// opened again and converted anew, 4 times in 7 s, so that neither model had them (a planner with
/// 165 targets).
const CONVERTED_RETENTION: Millis = Millis::new(4_000);
/// Smallest number of missing groups for a conversion, so that rounding causes none.
const MIN_MISSING_GROUPS: f64 = 0.6;

/// Groups whose members are to form one group of another model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Conversion {
    /// The model that lacks groups.
    model: Model,
    /// Groups to be closed.
    groups: BTreeSet<GroupRef>,
    /// Targets that stage the model's weights.
    members: BTreeSet<TargetId>,
}

/// Targets and groups that no conversion uses yet.
struct Available<'a> {
    /// Idle targets, by domain.
    idle: BTreeMap<Option<&'a DomainId>, Vec<&'a Target>>,
    /// Groups that a conversion uses already.
    converting: BTreeSet<GroupRef>,
}

impl<'a> Available<'a> {
    fn new(view: &FleetView<'a>, free: &BTreeSet<TargetId>) -> Self {
        Self {
            idle: by_domain(view, free),
            converting: BTreeSet::new(),
        }
    }

    /// Removes the targets and groups that a conversion uses, and counts its groups as converted.
    fn reserve(
        &mut self,
        conversion: &Conversion,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        counts: &mut BTreeMap<Model, usize>,
    ) {
        for targets in self.idle.values_mut() {
            targets.retain(|t| !conversion.members.contains(&t.id));
        }
        for group in &conversion.groups {
            let observed = survey.groups.get(group);
            if let Some(plan) = observed.and_then(|s| s.plan(view)) {
                let count = counts.entry(plan.model.clone()).or_default();
                *count = count.saturating_sub(1);
            }
            self.converting.insert(group.clone());
        }
        *counts.entry(conversion.model.clone()).or_default() += 1;
    }
}

impl FleetPlanner {
    /// Returns whether a group is closed because its members are needed for another model.
    pub(super) fn is_converting(&self, group: &GroupRef) -> bool {
        self.converting.contains(group)
    }

    /// Returns whether a model lacks so many groups that groups of other models are converted.
    pub(super) fn needs_conversion(
        &self,
        view: &FleetView<'_>,
        plan: &ModelPlan,
        groups: usize,
    ) -> bool {
        let groups = groups as f64;
        let missing = desired_groups(view, plan, self.target_counts) - groups;
        missing >= MIN_MISSING_GROUPS
            && needed_groups(view, plan) >= CONVERSION_DEMAND_RATIO * groups
    }

    /// Begins, continues or drops conversions of groups to models that lack groups.
    pub(super) fn convert_groups(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        free: &BTreeSet<TargetId>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let open = |group: &GroupRef| {
            let observed = survey.groups.get(group);
            observed.and_then(ObservedGroup::leader_state) == Some(MemberState::Open)
        };
        self.converting.retain(open);
        self.converted_at
            .retain(|_, at| now - *at < CONVERTED_RETENTION);
        if view.before_traffic || !self.converting.is_empty() {
            return;
        }
        let mut counts = self.count_groups(view, survey);
        self.update_short_since(view, &counts, now);
        let mut available = Available::new(view, free);
        let mut conversions = std::mem::take(&mut self.conversions);
        conversions.retain(|conversion| {
            let usable = conversion.members.iter().all(|id| self.is_usable(id, view));
            let complete = usable && conversion.groups.iter().all(open);
            let continues = complete && self.is_needed(view, conversion, &counts);
            if continues {
                available.reserve(conversion, view, survey, &mut counts);
            }
            continues
        });
        while let Some(conversion) = self.best_conversion(view, survey, &available, &counts, now) {
            available.reserve(&conversion, view, survey, &mut counts);
            conversions.push(conversion);
        }
        conversions.retain(|conversion| !self.advance_conversion(view, conversion, now, actions));
        let converted = self.converting.iter().map(|group| (group.clone(), now));
        self.converted_at.extend(converted);
        self.conversions = conversions;
    }

    /// Updates since when each model has lacked groups.
    fn update_short_since(
        &mut self,
        view: &FleetView<'_>,
        counts: &BTreeMap<Model, usize>,
        now: Millis,
    ) {
        for plan in &view.engine.models {
            let groups = counts.get(&plan.model).copied().unwrap_or(0);
            if self.needs_conversion(view, plan, groups) {
                self.short_since.entry(plan.model.clone()).or_insert(now);
            } else {
                self.short_since.remove(&plan.model);
            }
        }
    }

    /// Returns whether the model of a conversion still lacks groups.
    fn is_needed(
        &self,
        view: &FleetView<'_>,
        conversion: &Conversion,
        counts: &BTreeMap<Model, usize>,
    ) -> bool {
        let groups = counts.get(&conversion.model).copied().unwrap_or(0);
        let plan = view.engine.plan(&conversion.model);
        plan.is_some_and(|plan| self.needs_conversion(view, plan, groups))
    }

    /// Has the targets of a conversion load the weights. Returns whether all of them have the
    /// weights, so that their groups are closed.
    fn advance_conversion(
        &mut self,
        view: &FleetView<'_>,
        conversion: &Conversion,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        let Some(plan) = view.engine.plan(&conversion.model) else {
            return false;
        };
        let members = conversion
            .members
            .iter()
            .filter_map(|id| view.targets.get(id));
        let cold: Vec<&Target> = members.filter(|t| !self.is_warm(t, plan)).collect();
        if cold.is_empty() {
            self.converting.extend(conversion.groups.iter().cloned());
            return true;
        }
        self.load_members(view, plan, &cold, now, actions);
        false
    }

    /// Has members of smaller groups stage the weights of the largest model before the first
    /// requests, when a load takes a tenth of its usual time. Together with idle targets, which
    /// also hold these weights, such members can change to the largest model within seconds.
    /// Members of the largest model's groups keep its weights: when a domain comes back, that model
    /// takes the longest to load. Trials in which they held another model lost 0.015 of the worth
    /// score at 171 targets.
    pub(super) fn stage_members(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(largest) = view.engine.models.iter().max_by_key(|plan| plan.size) else {
            return;
        };
        for observed in survey.groups.values() {
            let smaller = observed.plan(view).is_some_and(|p| p.size < largest.size);
            if smaller && observed.leader.is_some_and(Target::is_open_leader) {
                self.stage_group(largest, observed, now, actions);
            }
        }
    }

    fn stage_group(
        &mut self,
        plan: &ModelPlan,
        observed: &ObservedGroup<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        for target in &observed.members {
            if self.is_warm(target, plan) || self.staging.contains_key(&target.id) {
                continue;
            }
            let reason = "a member stages the weights of another model";
            self.order_load(target, plan, reason, now, actions);
        }
    }

    fn load_members(
        &mut self,
        view: &FleetView<'_>,
        plan: &ModelPlan,
        cold: &[&Target],
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        for target in cold {
            if self.staging.contains_key(&target.id) || !self.may_load(view, now) {
                continue;
            }
            self.load_rate.record_starts(1, now);
            let reason = "its group will be converted to a model with more demand";
            self.order_load(target, plan, reason, now, actions);
        }
    }

    /// Returns the conversion with the fewest loads for the model that lacks most groups.
    fn best_conversion(
        &self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        available: &Available<'_>,
        counts: &BTreeMap<Model, usize>,
        now: Millis,
    ) -> Option<Conversion> {
        let plan = self.scarcest_model(view, counts, now)?;
        let size = plan.size as usize;
        if available.idle.values().any(|targets| targets.len() >= size) {
            // Idle targets form the next group, or are loading weights to form it.
            return None;
        }
        let domains = self.convertible_groups(view, survey, available, plan, counts);
        let conversions = domains.iter().filter_map(|(domain, groups)| {
            let idle = available.idle.get(domain).map_or(&[][..], Vec::as_slice);
            self.domain_conversion(view, plan, idle, groups, counts)
        });
        let best = conversions.min_by_key(|(cost, _)| *cost);
        best.map(|(_, conversion)| conversion)
    }

    /// Returns the first model by precedence among those that have lacked groups for long enough;
    /// between models of equal precedence, the one with the largest shortage.
    fn scarcest_model<'v>(
        &self,
        view: &FleetView<'v>,
        counts: &BTreeMap<Model, usize>,
        now: Millis,
    ) -> Option<&'v ModelPlan> {
        let count = |plan: &ModelPlan| counts.get(&plan.model).copied().unwrap_or(0);
        let short = |plan: &&ModelPlan| {
            let since = self.short_since.get(&plan.model);
            let long = since.is_some_and(|at| now - *at >= CONVERSION_DELAY);
            long && self.needs_conversion(view, plan, count(plan))
        };
        let plans = view.engine.models.iter().filter(short);
        plans.max_by(|a, b| {
            let first = |plan| precedence(view, plan, count(plan), self.target_counts);
            let short = |plan| shortage(view, plan, count(plan), self.target_counts);
            first(b).cmp(&first(a)).then(short(a).total_cmp(&short(b)))
        })
    }

    /// Returns the groups that can be converted to a model, by domain.
    fn convertible_groups<'s, 'a>(
        &self,
        view: &FleetView<'_>,
        survey: &'s Survey<'a>,
        available: &Available<'_>,
        plan: &ModelPlan,
        counts: &BTreeMap<Model, usize>,
    ) -> BTreeMap<Option<&'a DomainId>, Vec<(&'s GroupRef, &'s ObservedGroup<'a>)>> {
        let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let open = survey.groups.iter();
        for (group, observed) in open.filter(|(group, _)| !available.converting.contains(*group)) {
            if let Some(leader) = self.convertible_leader(view, observed, plan, counts) {
                let groups = domains.entry(leader.domain.as_ref()).or_default();
                groups.push((group, observed));
            }
        }
        domains
    }

    /// Returns the leader of a serving group if one group fewer suffices for its model.
    fn convertible_leader<'a>(
        &self,
        view: &FleetView<'_>,
        observed: &ObservedGroup<'a>,
        short: &ModelPlan,
        counts: &BTreeMap<Model, usize>,
    ) -> Option<&'a Target> {
        let plan = observed.plan(view)?;
        let leader = observed.leader.filter(|t| t.is_open_leader())?;
        if view.is_evacuated(leader) {
            return None;
        }
        let healthy = |t: &Target| self.is_usable(&t.id, view) && t.domain == leader.domain;
        let complete = observed.members.iter().all(|t| healthy(t));
        let is_convertible =
            plan.model != short.model && self.convertible_count(view, plan, short, counts) >= 1;
        (complete && is_convertible).then_some(leader)
    }

    /// Returns how many groups a model can lose to another one: none while its own demand calls for
    /// all of them, even if all models have fewer than they need. While targets are rationed, a model
    /// keeps only its floor in favour of a more urgent one.
    ///
    /// When groups of a model with a shortage were converted to a model with a larger one, both
    /// models lacked them during the change. With one model asked for four times as often for 11 s,
    /// the worth score is 0.023, 0.012 and 0.007 higher on three deployments if models with a
    /// shortage lose no groups and converted groups stay closed (four runs each, paired; errors of
    /// 0.007 to 0.008).
    fn convertible_count(
        &self,
        view: &FleetView<'_>,
        plan: &ModelPlan,
        short: &ModelPlan,
        counts: &BTreeMap<Model, usize>,
    ) -> usize {
        let count = |plan: &ModelPlan| counts.get(&plan.model).copied().unwrap_or(0);
        let kept = self.kept_groups(view, plan, short, count(short)).ceil() as usize;
        count(plan).saturating_sub(kept.max(1))
    }

    /// Returns the number of groups that a model keeps if another one, which has `short_groups`,
    /// lacks groups.
    ///
    /// While targets are rationed, a model that has given groups lacks none of those that it keeps,
    /// and takes none back.
    fn kept_groups(
        &self,
        view: &FleetView<'_>,
        plan: &ModelPlan,
        short: &ModelPlan,
        short_groups: usize,
    ) -> f64 {
        let desired = desired_groups(view, plan, self.target_counts);
        let is_rationed = is_rationed(view, self.target_counts);
        if is_rationed && is_more_urgent(view, short, plan) {
            return floor_groups(view, plan);
        }
        let lacks_floor = (short_groups as f64) < floor_groups(view, short);
        if is_rationed && lacks_floor && is_more_urgent(view, plan, short) {
            return desired;
        }
        desired.max(needed_groups(view, plan)) / SHORTAGE_THRESHOLD
    }

    /// Returns the conversion in one domain with the number of loads that it needs, or `None` if
    /// its idle targets and the groups that can be converted do not suffice.
    fn domain_conversion(
        &self,
        view: &FleetView<'_>,
        plan: &ModelPlan,
        idle: &[&Target],
        groups: &[(&GroupRef, &ObservedGroup<'_>)],
        counts: &BTreeMap<Model, usize>,
    ) -> Option<(usize, Conversion)> {
        let size = plan.size as usize;
        let mut members: Vec<&Target> = idle.to_vec();
        let mut converted = BTreeSet::new();
        let mut converted_counts: BTreeMap<&Model, usize> = BTreeMap::new();
        for (group, observed) in groups {
            if members.len() >= size {
                break;
            }
            let giver = observed.plan(view)?;
            let count = converted_counts.entry(&giver.model).or_default();
            if *count < self.convertible_count(view, giver, plan, counts) {
                *count += 1;
                converted.insert((*group).clone());
                members.extend(&observed.members);
            }
        }
        if members.len() < size || converted.is_empty() {
            return None;
        }
        members.sort_by_key(|t| (!self.is_warm(t, plan), t.id.clone()));
        members.truncate(size);
        let cold = members.iter().filter(|t| !self.is_warm(t, plan)).count();
        let conversion = Conversion {
            model: plan.model.clone(),
            groups: converted,
            members: members.iter().map(|t| t.id.clone()).collect(),
        };
        Some((cold, conversion))
    }
}
