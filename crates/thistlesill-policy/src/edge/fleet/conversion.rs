//! Groups that give way to a model that is asked for more.
//!
//! When callers ask for other models than the fleet is divided for, a model can
//! be short although others have groups to spare. Then the members of such
//! groups load the short model's weights to their hosts while they go on
//! serving, and only when all have them do their groups end. The model that
//! gives keeps its groups for as long as the load takes, and the one that takes
//! is without them for a drain and a join.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{GroupRef, MemberState, ModelPlan, Target, TargetId};
use thistlesill_core::{DomainId, Millis, Model};

use super::demand::{fair_groups, needed_groups, shortage};
use super::forming::{BELOW_FAIR, by_domain};
use super::survey::{Standing, Survey};
use super::{FleetAction, FleetPlanner, FleetView};

/// How many times its groups a model's work must call for until groups of others
/// give way: a change costs its targets some seconds, and spares.
const CONVERT_SHORT: f64 = 1.15;
/// How long a model must have been that short: a lost group is replaced within
/// two to three seconds, and that is no reason for a change.
const CONVERT_AFTER: Millis = Millis::new(3_000);
/// How long a group that gave way stays closed while its members have not joined
/// another: their join takes a second or two. Without this the groups of a model whose
/// places were full were opened again, and gave way anew, 4 times in 7 s, so that neither
/// model had them (a planner before 165 targets).
const GIVEN: Millis = Millis::new(4_000);
/// Groups that must be missing at least, so that rounding makes no change.
const CONVERT_MISSING: f64 = 0.6;

/// Some groups that are to become one of another model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Conversion {
    /// The model that is short.
    model: Model,
    /// Groups that give way.
    groups: BTreeSet<GroupRef>,
    /// Targets that load the model's weights.
    members: BTreeSet<TargetId>,
}

/// What conversions can still use.
struct Room<'a> {
    /// Idle targets, by domain.
    idle: BTreeMap<Option<&'a DomainId>, Vec<&'a Target>>,
    /// Groups that give way already.
    given: BTreeSet<GroupRef>,
}

impl<'a> Room<'a> {
    fn new(view: &FleetView<'a>, free: &BTreeSet<TargetId>) -> Self {
        Self {
            idle: by_domain(view, free),
            given: BTreeSet::new(),
        }
    }

    /// Takes out what a conversion uses, and counts its groups as converted.
    fn take(
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
            let standing = survey.groups.get(group);
            if let Some(plan) = standing.and_then(|s| s.plan(view)) {
                let count = counts.entry(plan.model.clone()).or_default();
                *count = count.saturating_sub(1);
            }
            self.given.insert(group.clone());
        }
        *counts.entry(conversion.model.clone()).or_default() += 1;
    }
}

impl FleetPlanner {
    /// Whether a group ends so that another model gets its members.
    pub(super) fn gives_way(&self, group: &GroupRef) -> bool {
        self.yielding.contains(group)
    }

    /// Whether a model is so short that groups of others give way.
    pub(super) fn needs_conversion(
        &self,
        view: &FleetView<'_>,
        plan: &ModelPlan,
        groups: usize,
    ) -> bool {
        let groups = groups as f64;
        let missing = fair_groups(view, plan, self.usable) - groups;
        missing >= CONVERT_MISSING && needed_groups(view, plan) >= CONVERT_SHORT * groups
    }

    /// Begins, goes on with or drops conversions of groups to short models.
    pub(super) fn convert(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        free: &BTreeSet<TargetId>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let open = |group: &GroupRef| {
            let standing = survey.groups.get(group);
            standing.and_then(Standing::leader_state) == Some(MemberState::Open)
        };
        self.yielding.retain(open);
        self.gave_way.retain(|_, at| now - *at < GIVEN);
        if view.before_traffic || !self.yielding.is_empty() {
            return;
        }
        let mut counts = self.count_groups(view, survey);
        self.note_short(view, &counts, now);
        let mut room = Room::new(view, free);
        let mut conversions = std::mem::take(&mut self.conversions);
        conversions.retain(|conversion| {
            let usable = conversion.members.iter().all(|id| self.is_usable(id, view));
            let whole = usable && conversion.groups.iter().all(open);
            let goes_on = whole && self.is_wanted(view, conversion, &counts);
            if goes_on {
                room.take(conversion, view, survey, &mut counts);
            }
            goes_on
        });
        while let Some(conversion) = self.best_conversion(view, survey, &room, &counts, now) {
            room.take(&conversion, view, survey, &mut counts);
            conversions.push(conversion);
        }
        conversions.retain(|conversion| !self.tend_conversion(view, conversion, now, actions));
        let given = self.yielding.iter().map(|group| (group.clone(), now));
        self.gave_way.extend(given);
        self.conversions = conversions;
    }

    /// Notes since when each model has been short.
    fn note_short(&mut self, view: &FleetView<'_>, counts: &BTreeMap<Model, usize>, now: Millis) {
        for plan in &view.engine.models {
            let groups = counts.get(&plan.model).copied().unwrap_or(0);
            if self.needs_conversion(view, plan, groups) {
                self.short_since.entry(plan.model.clone()).or_insert(now);
            } else {
                self.short_since.remove(&plan.model);
            }
        }
    }

    /// Whether a conversion still helps.
    fn is_wanted(
        &self,
        view: &FleetView<'_>,
        conversion: &Conversion,
        counts: &BTreeMap<Model, usize>,
    ) -> bool {
        let groups = counts.get(&conversion.model).copied().unwrap_or(0);
        let plan = view.engine.plan(&conversion.model);
        plan.is_some_and(|plan| self.needs_conversion(view, plan, groups))
    }

    /// Has the targets of a conversion load; returns whether all have the weights,
    /// so that its groups end.
    fn tend_conversion(
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
            self.yielding.extend(conversion.groups.iter().cloned());
            return true;
        }
        self.load_for(view, plan, &cold, now, actions);
        false
    }

    /// Before the first requests, when a load takes a tenth of its time, has
    /// members of smaller groups hold the weights of the largest model, so that
    /// they can change to it within seconds together with idle targets, which
    /// hold it, too. Members of the largest model's groups keep its weights: when
    /// a domain comes back, it takes the longest to load. Trials in which they
    /// held another model lost 0.015 of the worth at 171 targets.
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
        for standing in survey.groups.values() {
            let smaller = standing.plan(view).is_some_and(|p| p.size < largest.size);
            if smaller && standing.leader.is_some_and(Target::is_open_leader) {
                self.stage_group(largest, standing, now, actions);
            }
        }
    }

    fn stage_group(
        &mut self,
        plan: &ModelPlan,
        standing: &Standing<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        for target in &standing.members {
            if self.is_warm(target, plan) || self.staging.contains_key(&target.id) {
                continue;
            }
            let why = "a member holds the weights of another model ready";
            self.give_load(target, plan, why, now, actions);
        }
    }

    fn load_for(
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
            self.loads.note(1, now);
            let why = "its group is to give way to a model that is asked for more";
            self.give_load(target, plan, why, now, actions);
        }
    }

    /// The conversion that costs least for the model that is shortest.
    fn best_conversion(
        &self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        room: &Room<'_>,
        counts: &BTreeMap<Model, usize>,
        now: Millis,
    ) -> Option<Conversion> {
        let plan = self.shortest(view, counts, now)?;
        let size = plan.size as usize;
        if room.idle.values().any(|targets| targets.len() >= size) {
            // Idle targets form the next group, or are loading to form it.
            return None;
        }
        let domains = self.spared_groups(view, survey, room, plan, counts);
        let conversions = domains.iter().filter_map(|(domain, groups)| {
            let idle = room.idle.get(domain).map_or(&[][..], Vec::as_slice);
            self.conversion_in(view, plan, idle, groups, counts)
        });
        let best = conversions.min_by_key(|(cost, _)| *cost);
        best.map(|(_, conversion)| conversion)
    }

    /// The model that has been short for long enough and is so most.
    fn shortest<'v>(
        &self,
        view: &FleetView<'v>,
        counts: &BTreeMap<Model, usize>,
        now: Millis,
    ) -> Option<&'v ModelPlan> {
        let count = |plan: &ModelPlan| counts.get(&plan.model).copied().unwrap_or(0);
        let short = |plan: &&ModelPlan| {
            let since = self.short_since.get(&plan.model);
            let long = since.is_some_and(|at| now - *at >= CONVERT_AFTER);
            long && self.needs_conversion(view, plan, count(plan))
        };
        let plans = view.engine.models.iter().filter(short);
        plans.max_by(|a, b| {
            let short = |plan| shortage(view, plan, count(plan), self.usable);
            short(a).total_cmp(&short(b))
        })
    }

    /// The groups that can give way to a model, by domain.
    fn spared_groups<'s, 'a>(
        &self,
        view: &FleetView<'_>,
        survey: &'s Survey<'a>,
        room: &Room<'_>,
        plan: &ModelPlan,
        counts: &BTreeMap<Model, usize>,
    ) -> BTreeMap<Option<&'a DomainId>, Vec<(&'s GroupRef, &'s Standing<'a>)>> {
        let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let open = survey.groups.iter();
        for (group, standing) in open.filter(|(group, _)| !room.given.contains(*group)) {
            if let Some(leader) = self.spared_leader(view, standing, plan, counts) {
                let groups = domains.entry(leader.domain.as_ref()).or_default();
                groups.push((group, standing));
            }
        }
        domains
    }

    /// The leader of a serving group whose model can do with a group fewer.
    fn spared_leader<'a>(
        &self,
        view: &FleetView<'_>,
        standing: &Standing<'a>,
        short: &ModelPlan,
        counts: &BTreeMap<Model, usize>,
    ) -> Option<&'a Target> {
        let plan = standing.plan(view)?;
        let leader = standing.leader.filter(|t| t.is_open_leader())?;
        if view.is_evacuated(leader) {
            return None;
        }
        let sound = |t: &Target| self.is_usable(&t.id, view) && t.domain == leader.domain;
        let whole = standing.members.iter().all(|t| sound(t));
        let gives = plan.model != short.model && self.can_spare(view, plan, counts) >= 1;
        (whole && gives).then_some(leader)
    }

    /// How many groups a model can do without: none while its own work calls for all of
    /// them, even if all models must do with less than they need.
    ///
    /// Where a short model gave way to a shorter one, both were without the groups during the
    /// change. With one model asked for four times as often for 11 s, worth is 0.023, 0.012
    /// and 0.007 higher on three deployments if short models give nothing and groups that
    /// gave way stay closed (four plays each, paired; errors of 0.007 to 0.008).
    fn can_spare(
        &self,
        view: &FleetView<'_>,
        plan: &ModelPlan,
        counts: &BTreeMap<Model, usize>,
    ) -> usize {
        let groups = counts.get(&plan.model).copied().unwrap_or(0);
        let own = fair_groups(view, plan, self.usable).max(needed_groups(view, plan));
        let keeps = (own / BELOW_FAIR).ceil() as usize;
        groups.saturating_sub(keeps.max(1))
    }

    /// The conversion in one domain, with the loads that it needs; `None` if its
    /// idle targets and the groups that can give way do not suffice.
    fn conversion_in(
        &self,
        view: &FleetView<'_>,
        plan: &ModelPlan,
        idle: &[&Target],
        groups: &[(&GroupRef, &Standing<'_>)],
        counts: &BTreeMap<Model, usize>,
    ) -> Option<(usize, Conversion)> {
        let size = plan.size as usize;
        let mut members: Vec<&Target> = idle.to_vec();
        let mut giving = BTreeSet::new();
        let mut given: BTreeMap<&Model, usize> = BTreeMap::new();
        for (group, standing) in groups {
            if members.len() >= size {
                break;
            }
            let plan = standing.plan(view)?;
            let count = given.entry(&plan.model).or_default();
            if *count < self.can_spare(view, plan, counts) {
                *count += 1;
                giving.insert((*group).clone());
                members.extend(&standing.members);
            }
        }
        if members.len() < size || giving.is_empty() {
            return None;
        }
        members.sort_by_key(|t| (!self.is_warm(t, plan), t.id.clone()));
        members.truncate(size);
        let cold = members.iter().filter(|t| !self.is_warm(t, plan)).count();
        let conversion = Conversion {
            model: plan.model.clone(),
            groups: giving,
            members: members.iter().map(|t| t.id.clone()).collect(),
        };
        Some((cold, conversion))
    }
}
