//! Standby groups: complete, with the weights loaded, but not open.
//!
//! Idle targets that share a domain wait as a group of the smallest model, which serves as soon as
//! it is opened. Until then each member can join another group at once, of either the model that it
//! has loaded or the one on its host.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{GroupRef, MemberState, ModelPlan, Target, TargetId};
use thistlesill_core::{DomainId, Millis, Model};

use super::demand::{configured_groups, desired_groups, is_more_urgent, is_rationed};
use super::forming::{PlannedGroup, SHORTAGE_THRESHOLD};
use super::loads::max_initial_loads;
use super::survey::{ObservedGroup, Survey};
use super::{FleetAction, FleetPlanner, FleetView};

/// How long a group may take to open after the order.
const OPEN_TIMEOUT: Millis = Millis::new(2_000);
/// Occupancy of a model's groups, as a ratio of their slots, above which a standby group is opened.
/// From about there on, answers become late.
const BUSY_RATIO: f64 = 0.65;
/// Occupancy with one group fewer, as a ratio of the slots, below which a surplus group is closed.
/// The distance to [`BUSY_RATIO`] keeps a group from being opened and closed by turns.
const UNDERUSED_RATIO: f64 = 0.4;
/// How long the groups must have been underused before one is closed.
const UNDERUSED_DURATION: Millis = Millis::new(3_000);

/// The number of groups that a model has and needs.
#[derive(Debug, Clone, Copy)]
struct Supply {
    groups: usize,
    /// Groups that the model's share of the targets and its requests call for.
    wanted: usize,
    /// Whether one group fewer would suffice.
    underused: bool,
}

impl FleetPlanner {
    /// Finds the groups that are complete and closed, except those that are needed now, and the
    /// open groups that are no longer needed.
    pub(super) fn find_standby(&mut self, view: &FleetView<'_>, survey: &Survey<'_>, now: Millis) {
        let groups = survey.groups.iter();
        let closed = groups.filter(|(group, observed)| {
            !self.is_opening(observed, now) && self.is_closed(view, group, observed)
        });
        self.standby = closed.map(|(group, _)| group.clone()).collect();
        self.surplus.clear();
        let counts = self.count_groups(view, survey);
        for plan in &view.engine.models {
            let supply = self.supply(view, survey, plan, &counts);
            self.open_wanted(view, survey, plan, supply);
            self.find_surplus(view, survey, plan, supply, &counts, now);
        }
    }

    fn supply(
        &self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        plan: &ModelPlan,
        counts: &BTreeMap<Model, usize>,
    ) -> Supply {
        let groups = counts.get(&plan.model).copied().unwrap_or(0);
        let open = open_groups(view, survey, plan);
        let leaders = open.filter_map(|(_, observed)| observed.leader);
        let healthy = leaders.filter(|t| !view.stalled.contains(&t.id) && !self.is_dead(&t.id));
        let requests = healthy
            .filter_map(|t| view.requests.get(&t.id))
            .sum::<u32>();
        let slots = f64::from(view.engine.slots.max(1));
        let busy = (f64::from(requests) / (slots * BUSY_RATIO)).ceil() as usize;
        let desired = desired_groups(view, plan, self.target_counts) / SHORTAGE_THRESHOLD;
        let desired = (desired.ceil() as usize).max(1);
        let fewer = groups.saturating_sub(1) as f64;
        // Below the model's configured share, groups are closed only for another model that lacks
        // groups: demand may return sooner than the groups could.
        let min_groups =
            configured_groups(view.engine, plan, self.target_counts) / SHORTAGE_THRESHOLD;
        let min_groups = desired.max(min_groups.ceil() as usize);
        // Targets that a more urgent model lacks are not used for the busy groups of this one.
        let yields = is_rationed(view, self.target_counts) && self.is_preceded(view, plan, counts);
        Supply {
            groups,
            wanted: if yields { desired } else { desired.max(busy) },
            underused: groups > min_groups && f64::from(requests) < slots * UNDERUSED_RATIO * fewer,
        }
    }

    /// Returns whether a model with more urgent requests lacks groups.
    fn is_preceded(
        &self,
        view: &FleetView<'_>,
        plan: &ModelPlan,
        counts: &BTreeMap<Model, usize>,
    ) -> bool {
        view.engine.models.iter().any(|other| {
            let groups = counts.get(&other.model).copied().unwrap_or(0);
            is_more_urgent(view, other, plan) && self.needs_conversion(view, other, groups)
        })
    }

    fn open_wanted(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        plan: &ModelPlan,
        supply: Supply,
    ) {
        let missing = supply.wanted.saturating_sub(supply.groups);
        let groups = survey.groups.iter().filter(|(group, observed)| {
            let model = observed.plan(view).map(|p| &p.model);
            let evacuated = observed.leader.is_some_and(|t| view.is_evacuated(t));
            let waits = self.standby.contains(*group) && !self.converted_at.contains_key(*group);
            waits && !evacuated && model == Some(&plan.model)
        });
        let opened: Vec<GroupRef> = groups.map(|(g, _)| g.clone()).take(missing).collect();
        for group in opened {
            self.standby.remove(&group);
        }
    }

    /// Adds an open group to the surplus if the model has not needed it for a while.
    fn find_surplus(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        plan: &ModelPlan,
        supply: Supply,
        counts: &BTreeMap<Model, usize>,
        now: Millis,
    ) {
        let short = |other: &ModelPlan| {
            let groups = counts.get(&other.model).copied().unwrap_or(0);
            self.needs_conversion(view, other, groups)
        };
        // Where another model lacks groups, groups are closed only if that model gets their
        // members.
        if !supply.underused || view.before_traffic || view.engine.models.iter().any(short) {
            self.underused_since.remove(&plan.model);
            return;
        }
        let since = *self
            .underused_since
            .entry(plan.model.clone())
            .or_insert(now);
        if now - since < UNDERUSED_DURATION {
            return;
        }
        self.underused_since.insert(plan.model.clone(), now);
        let last = open_groups(view, survey, plan).last();
        self.surplus.extend(last.map(|(group, _)| group.clone()));
    }

    /// Returns whether a group's leader was ordered to open within [`OPEN_TIMEOUT`].
    fn is_opening(&self, observed: &ObservedGroup<'_>, now: Millis) -> bool {
        let key = observed.leader.map(|t| (t.id.clone(), "open"));
        let given = key.and_then(|key| self.last_orders.get(&key));
        given.is_some_and(|at| now - *at < OPEN_TIMEOUT)
    }

    /// Returns whether a group is complete and neither serves nor was planned to.
    fn is_closed(
        &self,
        view: &FleetView<'_>,
        group: &GroupRef,
        observed: &ObservedGroup<'_>,
    ) -> bool {
        let planned = self.planned.get(group).is_some_and(|p| !p.standby);
        if planned || self.cut.contains(group) || self.leader_left.contains(group) {
            return false;
        }
        let complete = |plan: &ModelPlan| observed.members.len() >= plan.size as usize;
        let ready = observed.members.iter().all(|t| {
            let state = t.member.as_ref().map(|m| m.state);
            state == Some(MemberState::Ready) && !t.leaving && !self.is_dead(&t.id)
        });
        let healthy = ready && self.may_be_opened(group, observed);
        healthy && observed.leader.is_some() && observed.plan(view).is_some_and(complete)
    }

    /// Returns whether a target is a member of a standby group.
    pub(super) fn in_standby(&self, target: &Target) -> bool {
        let group = target.member.as_ref().map(|m| &m.of);
        group.is_some_and(|group| self.standby.contains(group))
    }

    /// Forms standby groups of a domain's idle targets before the first requests.
    pub(super) fn form_standby(
        &mut self,
        view: &FleetView<'_>,
        free: &mut BTreeSet<TargetId>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(plan) = view.engine.models.iter().min_by_key(|plan| plan.size) else {
            return;
        };
        let mut domains: BTreeMap<Option<&DomainId>, Vec<&Target>> = BTreeMap::new();
        for target in free.iter().filter_map(|id| view.targets.get(id)) {
            if !self.in_standby(target) {
                domains
                    .entry(target.domain.as_ref())
                    .or_default()
                    .push(target);
            }
        }
        for targets in domains.values() {
            for members in targets.chunks_exact(plan.size.max(1) as usize) {
                let cold = members.iter().filter(|t| !self.is_warm(t, plan)).count();
                if self.count_loading(view) + cold > max_initial_loads(view.engine) {
                    self.formation_deferred = true;
                    return;
                }
                let planned = PlannedGroup::new(plan, members).into_standby();
                let reason = "idle targets form a standby group";
                self.start_group(planned, members, reason, now, actions, view);
                for target in members {
                    free.remove(&target.id);
                }
            }
        }
    }
}

/// Returns the groups of a model that take requests.
fn open_groups<'a, 's>(
    view: &FleetView<'a>,
    survey: &'s Survey<'a>,
    plan: &'s ModelPlan,
) -> impl Iterator<Item = (&'s GroupRef, &'s ObservedGroup<'a>)> {
    let view = *view;
    survey.groups.iter().filter(move |(_, observed)| {
        let model = observed.plan(&view).map(|p| &p.model);
        let serves = |t: &Target| t.is_open_leader() && !view.is_evacuated(t);
        observed.leader.is_some_and(serves) && model == Some(&plan.model)
    })
}
