//! Groups that stand by: complete, with the weights loaded, but not open.
//!
//! Idle targets that share a domain wait as a group of the smallest model. It
//! serves as soon as it is opened; and while it is not, each of its members can
//! join another group at once, of either the model that it has loaded or the
//! one on its host.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{GroupRef, MemberState, ModelPlan, Target, TargetId};
use thistlesill_core::{DomainId, Millis, Model};

use super::demand::{announced_groups, fair_groups};
use super::forming::{BELOW_FAIR, Planned};
use super::loads::most_calm;
use super::survey::{Standing, Survey};
use super::{FleetAction, FleetPlanner, FleetView};

/// How long a group may take to open after the order.
const OPENS: Millis = Millis::new(2_000);
/// Part of the places of a model's groups that may be taken before one that
/// stands by is opened: from about there on, answers become late.
const BUSY: f64 = 0.65;
/// Part of the places that would be taken with one group fewer below which a
/// group that is not wanted is closed; far enough from [`BUSY`] that a group
/// is not opened and closed by turns.
const EASED: f64 = 0.4;
/// How long the groups must have been at ease.
const EASED_FOR: Millis = Millis::new(3_000);

/// How many groups a model has and wants.
#[derive(Debug, Clone, Copy)]
struct Supply {
    groups: usize,
    /// Groups that its share of the targets and its requests call for.
    wanted: usize,
    /// Whether it would do with one group fewer.
    eased: bool,
}

impl FleetPlanner {
    /// Finds the groups that are complete and closed and leaves out those that
    /// are wanted now; and finds the open ones that are wanted no longer.
    pub(super) fn find_standby(&mut self, view: &FleetView<'_>, survey: &Survey<'_>, now: Millis) {
        let groups = survey.groups.iter();
        let closed = groups.filter(|(group, standing)| {
            !self.is_opening(standing, now) && self.is_closed(view, group, standing)
        });
        self.standby = closed.map(|(group, _)| group.clone()).collect();
        self.surplus.clear();
        let counts = self.count_groups(view, survey);
        for plan in &view.engine.models {
            let groups = counts.get(&plan.model).copied().unwrap_or(0);
            let supply = self.supply(view, survey, plan, groups);
            self.open_wanted(view, survey, plan, supply);
            self.find_surplus(view, survey, plan, supply, &counts, now);
        }
    }

    fn supply(
        &self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        plan: &ModelPlan,
        groups: usize,
    ) -> Supply {
        let open = open_groups(view, survey, plan);
        let leaders = open.filter_map(|(_, standing)| standing.leader);
        let sound = leaders.filter(|t| !view.stalled.contains(&t.id) && !self.is_dead(&t.id));
        let requests = sound.filter_map(|t| view.requests.get(&t.id)).sum::<u32>();
        let slots = f64::from(view.engine.slots.max(1));
        let busy = (f64::from(requests) / (slots * BUSY)).ceil() as usize;
        let fair = fair_groups(view, plan, self.usable) / BELOW_FAIR;
        let fair = (fair.ceil() as usize).max(1);
        let fewer = groups.saturating_sub(1) as f64;
        // Below what was announced groups end only for a model that is short:
        // demand may return sooner than they could.
        let least = announced_groups(view.engine, plan, self.usable) / BELOW_FAIR;
        let least = fair.max(least.ceil() as usize);
        Supply {
            groups,
            wanted: fair.max(busy),
            eased: groups > least && f64::from(requests) < slots * EASED * fewer,
        }
    }

    fn open_wanted(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        plan: &ModelPlan,
        supply: Supply,
    ) {
        let missing = supply.wanted.saturating_sub(supply.groups);
        let groups = survey.groups.iter().filter(|(group, standing)| {
            let model = standing.plan(view).map(|p| &p.model);
            let away = standing.leader.is_some_and(|t| view.is_evacuated(t));
            let waits = self.standby.contains(*group) && !self.gave_way.contains_key(*group);
            waits && !away && model == Some(&plan.model)
        });
        let opened: Vec<GroupRef> = groups.map(|(g, _)| g.clone()).take(missing).collect();
        for group in opened {
            self.standby.remove(&group);
        }
    }

    /// Notes an open group that the model has not wanted for a while.
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
        // Where another model is short, groups end only when that helps it.
        if !supply.eased || view.before_traffic || view.engine.models.iter().any(short) {
            self.eased.remove(&plan.model);
            return;
        }
        let since = *self.eased.entry(plan.model.clone()).or_insert(now);
        if now - since < EASED_FOR {
            return;
        }
        self.eased.insert(plan.model.clone(), now);
        let last = open_groups(view, survey, plan).last();
        self.surplus.extend(last.map(|(group, _)| group.clone()));
    }

    /// Whether a group's leader was told to open a moment ago.
    fn is_opening(&self, standing: &Standing<'_>, now: Millis) -> bool {
        let slot = standing.leader.map(|t| (t.id.clone(), "open"));
        let given = slot.and_then(|slot| self.given.get(&slot));
        given.is_some_and(|at| now - *at < OPENS)
    }

    /// Whether a group is complete and neither serves nor was planned to.
    fn is_closed(&self, view: &FleetView<'_>, group: &GroupRef, standing: &Standing<'_>) -> bool {
        let planned = self.planned.get(group).is_some_and(|p| !p.standby);
        if planned || self.cut.contains(group) || self.left.contains(group) {
            return false;
        }
        let whole = |plan: &ModelPlan| standing.members.len() >= plan.size as usize;
        let ready = standing.members.iter().all(|t| {
            let state = t.member.as_ref().map(|m| m.state);
            state == Some(MemberState::Ready) && !t.leaving && !self.is_dead(&t.id)
        });
        let sound = ready && self.is_current(group, standing);
        sound && standing.leader.is_some() && standing.plan(view).is_some_and(whole)
    }

    /// Whether a target waits in a group that stands by.
    pub(super) fn stands_by(&self, target: &Target) -> bool {
        let group = target.member.as_ref().map(|m| &m.of);
        group.is_some_and(|group| self.standby.contains(group))
    }

    /// Before the first requests, has idle targets of a domain form groups
    /// that stand by.
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
            if !self.stands_by(target) {
                domains
                    .entry(target.domain.as_ref())
                    .or_default()
                    .push(target);
            }
        }
        for targets in domains.values() {
            for members in targets.chunks_exact(plan.size.max(1) as usize) {
                let cold = members.iter().filter(|t| !self.is_warm(t, plan)).count();
                if self.loading(view) + cold > most_calm(view.engine) {
                    self.held_back = true;
                    return;
                }
                let planned = Planned::new(plan, members).standing_by();
                let why = "idle targets stand by as a group";
                self.give_joins(planned, members, why, now, actions, view);
                for target in members {
                    free.remove(&target.id);
                }
            }
        }
    }
}

/// The groups of a model that take requests.
fn open_groups<'a, 's>(
    view: &FleetView<'a>,
    survey: &'s Survey<'a>,
    plan: &'s ModelPlan,
) -> impl Iterator<Item = (&'s GroupRef, &'s Standing<'a>)> {
    let view = *view;
    survey.groups.iter().filter(move |(_, standing)| {
        let model = standing.plan(&view).map(|p| &p.model);
        let serves = |t: &Target| t.is_open_leader() && !view.is_evacuated(t);
        standing.leader.is_some_and(serves) && model == Some(&plan.model)
    })
}
