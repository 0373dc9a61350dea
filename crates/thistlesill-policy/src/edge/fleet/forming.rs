//! Which new groups are formed, and what the spare targets hold ready.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{GroupRef, MemberState, ModelPlan, Order, Target, TargetId};
use thistlesill_core::{DomainId, Millis, Model};

use super::demand::shortage;
use super::loads::most_calm;
use super::survey::Survey;
use super::{DOMAIN_SETTLE_TIME, FleetAction, FleetPlanner, FleetView};

/// The kind of order by which a target joins a group.
const JOIN: &str = "join";
/// Times that a join is given before its target is passed over.
pub(super) const MAX_TRIES: u32 = 4;
/// Above this shortage a model's groups may use the last spares of a domain.
pub(super) const BELOW_FAIR: f64 = 1.05;
/// Up to this shortage no more groups of a model are formed: it has its fair
/// part, and what is left stands by.
const AMPLE: f64 = 1.0;
/// Targets of a domain that stand by unless a model is short.
const SPARES: usize = 2;

/// A group that was decided on and is not yet shown by all its members.
#[derive(Debug)]
pub(super) struct Planned {
    pub(super) members: Vec<TargetId>,
    pub(super) model: Model,
    /// Members that took the order to join.
    pub(super) taken: BTreeSet<TargetId>,
    /// Whether it waits to be wanted once it is complete.
    pub(super) standby: bool,
    /// Joins that a member did not take.
    tries: BTreeMap<TargetId, u32>,
}

impl Planned {
    pub(super) fn new(plan: &ModelPlan, members: &[&Target]) -> Self {
        Self {
            members: members.iter().map(|t| t.id.clone()).collect(),
            model: plan.model.clone(),
            taken: BTreeSet::new(),
            standby: false,
            tries: BTreeMap::new(),
        }
    }

    /// The same, for a group that stands by.
    pub(super) fn standing_by(self) -> Self {
        Self {
            standby: true,
            ..self
        }
    }

    /// Counts a join that a member did not take, and returns how many it did not.
    pub(super) fn note_try(&mut self, target: &TargetId) -> u32 {
        let count = self.tries.entry(target.clone()).or_default();
        *count += 1;
        *count
    }

    /// Whether all members show the group.
    pub(super) fn is_shown(&self, group: &GroupRef, view: &FleetView<'_>) -> bool {
        self.members.iter().all(|id| shows(id, group, view))
    }

    /// Whether the group needs no more orders: it takes requests, or it stands
    /// by.
    pub(super) fn is_done(&self, group: &GroupRef, view: &FleetView<'_>) -> bool {
        let ready = |id: &TargetId| {
            let member = view.targets.get(id).and_then(|t| t.member.as_ref());
            member.is_some_and(|m| m.of == *group && m.state == MemberState::Ready)
        };
        if self.standby {
            return self.members.iter().all(ready);
        }
        let leader = self.members.first().and_then(|id| view.targets.get(id));
        leader.is_some_and(|t| shows(&t.id, group, view) && t.is_open_leader())
    }

    /// The members that neither show the group nor took the order to join it.
    pub(super) fn unjoined(&self, group: &GroupRef, view: &FleetView<'_>) -> Vec<TargetId> {
        let open = |id: &&TargetId| !self.taken.contains(*id) && !shows(id, group, view);
        self.members.iter().filter(open).cloned().collect()
    }

    /// The order to join, for a member that has taken some orders before.
    fn join(&self, group: &GroupRef, orders_taken: u64) -> Order {
        Order::Join {
            to: group.clone(),
            model: self.model.clone(),
            members: self.members.clone(),
            orders_taken,
        }
    }
}

fn shows(id: &TargetId, group: &GroupRef, view: &FleetView<'_>) -> bool {
    let member = view.targets.get(id).and_then(|t| t.member.as_ref());
    member.is_some_and(|m| m.of == *group)
}

/// A group that could be formed.
#[derive(Debug)]
struct Candidate<'a> {
    plan: &'a ModelPlan,
    members: Vec<&'a Target>,
    /// Members that must load the weights from afar.
    cold: usize,
    shortage: f64,
    /// Free targets that remain in the domain.
    left: usize,
}

impl Candidate<'_> {
    /// How badly the group fits its domain: best is one that leaves just the
    /// spares, so that domains with room are kept for larger groups.
    const fn waste(&self) -> usize {
        if self.left >= SPARES {
            self.left - SPARES
        } else {
            usize::MAX - self.left
        }
    }
}

impl FleetPlanner {
    /// Forms as many groups as the work calls for and the targets allow.
    pub(super) fn form(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        free: &mut BTreeSet<TargetId>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        self.held_back = false;
        loop {
            let counts = self.count_groups(view, survey);
            let Some(best) = self.best_candidate(view, free, &counts, now) else {
                break;
            };
            for target in &best.members {
                free.remove(&target.id);
            }
            let planned = Planned::new(best.plan, &best.members);
            self.loads.note(best.cold, now);
            let why = "the model is short of groups";
            self.give_joins(planned, &best.members, why, now, actions, view);
        }
        if view.before_traffic && !self.held_back && now - self.grown >= DOMAIN_SETTLE_TIME {
            self.form_standby(view, free, now, actions);
        }
    }

    /// Plans a group and has its members join it.
    pub(super) fn give_joins(
        &mut self,
        planned: Planned,
        members: &[&Target],
        why: &'static str,
        now: Millis,
        actions: &mut Vec<FleetAction>,
        view: &FleetView<'_>,
    ) {
        let group = self.next_group(view);
        let invited: Vec<TargetId> = members.iter().map(|t| t.id.clone()).collect();
        for id in &invited {
            self.given.remove(&(id.clone(), JOIN));
        }
        self.formed.insert(group.clone());
        self.planned.insert(group.clone(), planned);
        self.invite(&group, &invited, why, view, now, actions);
    }

    /// Gives members of a planned group the order to join it. One of which it is not known
    /// how many orders it took is asked for that first.
    pub(super) fn invite(
        &mut self,
        group: &GroupRef,
        members: &[TargetId],
        why: &'static str,
        view: &FleetView<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        for target in members.iter().filter_map(|id| view.targets.get(id)) {
            let id = &target.id;
            if view.before_traffic && target.member.is_none() && self.revisions.of(id).is_none() {
                // Almost certainly none yet; if it did, it refuses and is asked.
                self.revisions.note_started(id);
            }
            let Some(taken) = self.revisions.of(id) else {
                self.ask_taken(target, now, actions);
                continue;
            };
            let Some(order) = self.planned.get(group).map(|p| p.join(group, taken)) else {
                return;
            };
            self.note_join(id, group);
            self.give(id.clone(), target.address, order, why, now, actions);
        }
    }

    /// Groups of each model that serve or will serve.
    pub(super) fn count_groups(
        &self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
    ) -> BTreeMap<Model, usize> {
        let mut counts: BTreeMap<Model, usize> = BTreeMap::new();
        for planned in self.planned.values().filter(|p| !p.standby) {
            *counts.entry(planned.model.clone()).or_default() += 1;
        }
        for (group, standing) in &survey.groups {
            let useless = standing
                .leader
                .is_some_and(|t| self.is_dead(&t.id) || view.is_evacuated(t));
            let ends = self.cut.contains(group)
                || self.standby.contains(group)
                || self.void.contains(group)
                || self.planned.contains_key(group);
            if useless || ends || !standing.is_alive() {
                continue;
            }
            if let Some(plan) = standing.plan(view) {
                *counts.entry(plan.model.clone()).or_default() += 1;
            }
        }
        counts
    }

    fn best_candidate<'a>(
        &mut self,
        view: &FleetView<'a>,
        free: &BTreeSet<TargetId>,
        counts: &BTreeMap<Model, usize>,
        now: Millis,
    ) -> Option<Candidate<'a>> {
        let domains = by_domain(view, free);
        let mut found: Vec<Candidate<'a>> = Vec::new();
        for targets in domains.values() {
            for plan in &view.engine.models {
                let groups = counts.get(&plan.model).copied().unwrap_or(0);
                let shortage = shortage(view, plan, groups, self.usable);
                found.extend(self.candidate(plan, targets, shortage));
            }
        }
        found.sort_by(|a, b| {
            let short = b.shortage.total_cmp(&a.shortage);
            short
                .then(a.cold.cmp(&b.cold))
                .then(a.waste().cmp(&b.waste()))
        });
        let short = view.engine.models.iter().any(|plan| {
            let groups = counts.get(&plan.model).copied().unwrap_or(0);
            shortage(view, plan, groups, self.usable) > BELOW_FAIR
        });
        // What a short model lacks is not used up for one that has enough.
        found.retain(|c| !short || view.before_traffic || c.shortage > BELOW_FAIR);
        found.into_iter().find(|c| self.is_allowed(view, c, now))
    }

    fn is_allowed(&mut self, view: &FleetView<'_>, candidate: &Candidate<'_>, now: Millis) -> bool {
        let largest = view.engine.models.iter().map(|m| m.size as usize).max();
        let settled = now - self.grown >= DOMAIN_SETTLE_TIME;
        // Until all domains are listed, none is filled up.
        let early = Some(candidate.members.len()) != largest || candidate.left < SPARES;
        if view.before_traffic && !settled && early {
            return false;
        }
        let below = candidate.shortage > BELOW_FAIR;
        if candidate.shortage <= AMPLE || (candidate.left < SPARES && !below) {
            return false;
        }
        if view.before_traffic {
            let allowed = self.loading(view) + candidate.cold <= most_calm(view.engine);
            self.held_back |= !allowed;
            return allowed;
        }
        // Idle targets load before they join, so that those that hold the
        // weights already do not wait for them in a group that serves nothing.
        candidate.cold == 0
    }

    /// The best group of a model among a domain's targets, if they suffice.
    fn candidate<'a>(
        &self,
        plan: &'a ModelPlan,
        targets: &[&'a Target],
        shortage: f64,
    ) -> Option<Candidate<'a>> {
        let size = plan.size as usize;
        if targets.len() < size {
            return None;
        }
        let mut sorted: Vec<&'a Target> = targets.to_vec();
        // Those that wait in no group go first, so that groups that stand by stay
        // whole.
        let rank = |t: &Target| {
            (
                Reverse(self.warmth(t, plan)),
                self.stands_by(t),
                t.id.clone(),
            )
        };
        sorted.sort_by_key(|t| rank(t));
        sorted.truncate(size);
        let cold = sorted
            .iter()
            .filter(|t| self.warmth(t, plan) == Warmth::Cold)
            .count();
        Some(Candidate {
            plan,
            members: sorted,
            cold,
            shortage,
            left: targets.len() - size,
        })
    }

    /// Targets that take over weights now.
    pub(super) fn loading(&self, view: &FleetView<'_>) -> usize {
        let shown = view.targets.values().filter(|t| {
            let member = t.member.as_ref();
            member.is_some_and(|m| m.state == MemberState::Joining)
        });
        let planned = self.planned.iter();
        let unseen =
            planned.map(|(group, p)| p.members.iter().filter(|id| !shows(id, group, view)));
        shown.count() + unseen.map(Iterator::count).sum::<usize>()
    }

    /// Whether a target's accelerators hold a model's weights.
    pub(super) fn is_loaded(&self, target: &Target, plan: &ModelPlan) -> bool {
        self.warmth(target, plan) == Warmth::Loaded
    }

    /// Whether a target can run a model without a load from afar.
    pub(super) fn is_warm(&self, target: &Target, plan: &ModelPlan) -> bool {
        self.warmth(target, plan) != Warmth::Cold
    }

    fn warmth(&self, target: &Target, plan: &ModelPlan) -> Warmth {
        let shown = target.model();
        let last = shown.or_else(|| self.loaded.get(&target.id));
        if last == Some(&plan.model) {
            Warmth::Loaded
        } else if target.staged.contains(&plan.model) {
            Warmth::Staged
        } else {
            Warmth::Cold
        }
    }
}

/// The targets of some ids, by domain.
pub(super) fn by_domain<'a>(
    view: &FleetView<'a>,
    ids: &BTreeSet<TargetId>,
) -> BTreeMap<Option<&'a DomainId>, Vec<&'a Target>> {
    let mut domains: BTreeMap<Option<&DomainId>, Vec<&Target>> = BTreeMap::new();
    for target in ids.iter().filter_map(|id| view.targets.get(id)) {
        let targets = domains.entry(target.domain.as_ref()).or_default();
        targets.push(target);
    }
    domains
}

/// How soon a target can run a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Warmth {
    Cold,
    Staged,
    Loaded,
}
