//! Groups that stand by: complete, with the weights loaded, but not open.
//!
//! Idle targets that share a domain wait as a group of the smallest model. It
//! serves as soon as it is opened; and while it is not, each of its members can
//! join another group at once, of either the model that it has loaded or the
//! one on its host.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{GroupRef, MemberState, ModelPlan, Target};
use thistlesill_core::{DomainId, InstanceId, Millis};

use super::demand::shortage;
use super::forming::{BELOW_FAIR, Planned, is_warm};
use super::loads::most_calm;
use super::survey::{Standing, Survey};
use super::{FleetAction, FleetPlanner, FleetView};

impl FleetPlanner {
    /// Finds the groups that are complete and closed, and leaves out those
    /// that are wanted now.
    pub(super) fn find_standby(&mut self, view: &FleetView<'_>, survey: &Survey<'_>) {
        let groups = survey.groups.iter();
        let closed = groups.filter(|(group, standing)| self.is_closed(view, group, standing));
        self.standby = closed.map(|(group, _)| group.clone()).collect();
        let mut counts = self.count_groups(view, survey);
        for (group, standing) in &survey.groups {
            let Some(plan) = standing.plan(view).filter(|_| self.standby.contains(group)) else {
                continue;
            };
            let count = counts.entry(plan.model.clone()).or_default();
            if shortage(view.engine, &plan.model, *count, self.most) > BELOW_FAIR {
                *count += 1;
                self.standby.remove(group);
            }
        }
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
        ready && standing.leader.is_some() && standing.plan(view).is_some_and(whole)
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
        free: &mut BTreeSet<InstanceId>,
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
                let cold = members.iter().filter(|t| !is_warm(t, plan)).count();
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
