//! Selection and formation of new groups.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{GroupRef, MemberState, ModelPlan, Order, Target, TargetId};
use thistlesill_core::{DomainId, Millis, Model};

use super::demand::{Precedence, precedence, shortage};
use super::loads::max_initial_loads;
use super::survey::Survey;
use super::{DOMAIN_SETTLE_TIME, FleetAction, FleetPlanner, FleetView};

/// Name of the order by which a target joins a group.
const JOIN_ORDER: &str = "join";
/// Joins that a target may fail to accept before its group is given up and the target avoided.
pub(super) const MAX_JOIN_ATTEMPTS: u32 = 4;
/// Shortage above which a model's groups may use the last spares of a domain.
pub(super) const SHORTAGE_THRESHOLD: f64 = 1.05;
/// Shortage up to which no further groups of a model are formed: the model has its desired number,
/// and the remaining targets are spares.
const MIN_SHORTAGE: f64 = 1.0;
/// Spare targets of a domain that are left unless a model lacks groups.
const SPARES_PER_DOMAIN: usize = 2;

/// A group that the planner has decided to form and that not all members show yet.
#[derive(Debug)]
pub(super) struct PlannedGroup {
    pub(super) members: Vec<TargetId>,
    pub(super) model: Model,
    /// Members that accepted the order to join.
    pub(super) accepted: BTreeSet<TargetId>,
    /// Whether the group stays closed once it is complete, until it is needed.
    pub(super) standby: bool,
    /// Members that must join before the others are ordered to.
    first: Vec<TargetId>,
    /// Joins that each member did not accept.
    attempts: BTreeMap<TargetId, u32>,
}

impl PlannedGroup {
    pub(super) fn new(plan: &ModelPlan, members: &[&Target]) -> Self {
        Self {
            members: members.iter().map(|t| t.id.clone()).collect(),
            model: plan.model.clone(),
            accepted: BTreeSet::new(),
            standby: false,
            first: Vec::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// Marks the group as a standby group.
    pub(super) fn into_standby(self) -> Self {
        Self {
            standby: true,
            ..self
        }
    }

    /// Has some members join before the others are ordered to.
    fn with_first(self, first: Vec<TargetId>) -> Self {
        Self { first, ..self }
    }

    /// Returns whether a member is not ordered to join yet, since others must join first.
    fn must_wait(&self, id: &TargetId, group: &GroupRef, view: &FleetView<'_>) -> bool {
        let has_joined = |id| self.accepted.contains(id) || is_listed_in(id, group, view);
        !self.first.contains(id) && !self.first.iter().all(has_joined)
    }

    /// Counts a join that a member did not accept, and returns the number of such joins.
    pub(super) fn record_attempt(&mut self, target: &TargetId) -> u32 {
        let count = self.attempts.entry(target.clone()).or_default();
        *count += 1;
        *count
    }

    /// Returns whether the entries of all members show the group.
    pub(super) fn all_members_show(&self, group: &GroupRef, view: &FleetView<'_>) -> bool {
        self.members.iter().all(|id| is_listed_in(id, group, view))
    }

    /// Returns whether the group needs no more orders: it takes requests, or it is a complete
    /// standby group.
    pub(super) fn is_done(&self, group: &GroupRef, view: &FleetView<'_>) -> bool {
        let ready = |id: &TargetId| {
            let member = view.targets.get(id).and_then(|t| t.member.as_ref());
            member.is_some_and(|m| m.of == *group && m.state == MemberState::Ready)
        };
        if self.standby {
            return self.members.iter().all(ready);
        }
        let leader = self.members.first().and_then(|id| view.targets.get(id));
        leader.is_some_and(|t| is_listed_in(&t.id, group, view) && t.is_open_leader())
    }

    /// Returns the members that neither show the group nor accepted the order to join it.
    pub(super) fn not_joined(&self, group: &GroupRef, view: &FleetView<'_>) -> Vec<TargetId> {
        let pending =
            |id: &&TargetId| !self.accepted.contains(*id) && !is_listed_in(id, group, view);
        self.members.iter().filter(pending).cloned().collect()
    }

    /// Returns the order to join for a member that has taken `orders_taken` orders before.
    fn join(&self, group: &GroupRef, orders_taken: u64) -> Order {
        Order::Join {
            to: group.clone(),
            model: self.model.clone(),
            members: self.members.clone(),
            orders_taken,
        }
    }
}

fn is_listed_in(id: &TargetId, group: &GroupRef, view: &FleetView<'_>) -> bool {
    let member = view.targets.get(id).and_then(|t| t.member.as_ref());
    member.is_some_and(|m| m.of == *group)
}

/// How much a model needs another group.
struct Need<'a> {
    plan: &'a ModelPlan,
    shortage: f64,
    precedence: Precedence,
}

/// A group that could be formed.
#[derive(Debug)]
struct Candidate<'a> {
    plan: &'a ModelPlan,
    members: Vec<&'a Target>,
    /// Members that must load the weights from the weight store.
    cold: usize,
    shortage: f64,
    precedence: Precedence,
    /// Free targets that remain in the domain.
    remaining: usize,
}

impl Candidate<'_> {
    /// Returns how badly the group fits its domain. A group that leaves exactly the spares fits
    /// best, so that domains with more free targets are kept for larger groups.
    const fn waste(&self) -> usize {
        if self.remaining >= SPARES_PER_DOMAIN {
            self.remaining - SPARES_PER_DOMAIN
        } else {
            usize::MAX - self.remaining
        }
    }
}

impl FleetPlanner {
    /// Forms as many groups as the demand calls for and the targets allow.
    pub(super) fn form_groups(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        free: &mut BTreeSet<TargetId>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        self.formation_deferred = false;
        loop {
            let counts = self.count_groups(view, survey);
            let Some(best) = self.best_candidate(view, free, &counts, now) else {
                break;
            };
            for target in &best.members {
                free.remove(&target.id);
            }
            let planned = PlannedGroup::new(best.plan, &best.members);
            self.load_rate.record_starts(best.cold, now);
            let reason = "the model lacks groups";
            self.start_group(planned, &best.members, reason, now, actions, view);
        }
        if view.before_traffic
            && !self.formation_deferred
            && now - self.last_appeared >= DOMAIN_SETTLE_TIME
        {
            self.form_standby(view, free, now, actions);
        }
    }

    /// Plans a group and has its members join it.
    pub(super) fn start_group(
        &mut self,
        planned: PlannedGroup,
        members: &[&Target],
        reason: &'static str,
        now: Millis,
        actions: &mut Vec<FleetAction>,
        view: &FleetView<'_>,
    ) {
        let group = self.next_group(view, members);
        let planned = planned.with_first(self.first_to_join(view.term, members));
        let member_ids: Vec<TargetId> = members.iter().map(|t| t.id.clone()).collect();
        for id in &member_ids {
            self.last_orders.remove(&(id.clone(), JOIN_ORDER));
        }
        self.formed.insert(group.clone());
        self.planned.insert(group.clone(), planned);
        self.order_joins(&group, &member_ids, reason, view, now, actions);
    }

    /// Orders members of a planned group to join it. A member whose number of taken orders is
    /// unknown is asked for that number first.
    pub(super) fn order_joins(
        &mut self,
        group: &GroupRef,
        members: &[TargetId],
        reason: &'static str,
        view: &FleetView<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        for target in members.iter().filter_map(|id| view.targets.get(id)) {
            let id = &target.id;
            let planned = self.planned.get(group);
            if planned.is_some_and(|p| p.must_wait(id, group, view)) {
                continue;
            }
            if view.before_traffic && target.member.is_none() && self.order_counts.get(id).is_none()
            {
                // The target has almost certainly taken no order yet. If it has, it refuses the
                // join and is asked.
                self.order_counts.record_started(id);
            }
            let Some(taken) = self.order_counts.get(id) else {
                self.probe_orders_taken(target, now, actions);
                continue;
            };
            let Some(order) = self.planned.get(group).map(|p| p.join(group, taken)) else {
                return;
            };
            self.record_join(id, group);
            self.send_order(id.clone(), target.address, order, reason, now, actions);
        }
    }

    /// Returns the number of groups of each model that serve or will serve.
    pub(super) fn count_groups(
        &self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
    ) -> BTreeMap<Model, usize> {
        let mut counts: BTreeMap<Model, usize> = BTreeMap::new();
        for planned in self.planned.values().filter(|p| !p.standby) {
            *counts.entry(planned.model.clone()).or_default() += 1;
        }
        for (group, observed) in &survey.groups {
            let is_unusable = observed
                .leader
                .is_some_and(|t| self.is_dead(&t.id) || view.is_evacuated(t));
            let is_ending = self.cut.contains(group)
                || self.standby.contains(group)
                || self.ended_groups.contains(group)
                || self.planned.contains_key(group);
            if is_unusable || is_ending || !observed.can_serve() {
                continue;
            }
            if let Some(plan) = observed.plan(view) {
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
        let targets = self.target_counts;
        let needs: Vec<Need<'a>> = view
            .engine
            .models
            .iter()
            .map(|plan| {
                let groups = counts.get(&plan.model).copied().unwrap_or(0);
                Need {
                    plan,
                    shortage: shortage(view, plan, groups, targets),
                    precedence: precedence(view, plan, groups, targets),
                }
            })
            .collect();
        let mut found: Vec<Candidate<'a>> = Vec::new();
        for targets in domains.values() {
            found.extend(
                needs
                    .iter()
                    .filter_map(|need| self.candidate(need, targets)),
            );
        }
        found.sort_by(|a, b| {
            let first = a.precedence.cmp(&b.precedence);
            let short = || b.shortage.total_cmp(&a.shortage);
            first
                .then_with(short)
                .then(a.cold.cmp(&b.cold))
                .then(a.waste().cmp(&b.waste()))
        });
        let short = needs.iter().any(|need| need.shortage > SHORTAGE_THRESHOLD);
        // Targets that a short model needs are not used up for a model that has enough.
        found.retain(|c| !short || view.before_traffic || c.shortage > SHORTAGE_THRESHOLD);
        found.into_iter().find(|c| self.is_allowed(view, c, now))
    }

    fn is_allowed(&mut self, view: &FleetView<'_>, candidate: &Candidate<'_>, now: Millis) -> bool {
        let largest = view.engine.models.iter().map(|m| m.size as usize).max();
        let settled = now - self.last_appeared >= DOMAIN_SETTLE_TIME;
        // Until all domains are listed, no domain is filled up.
        let fills_domain =
            Some(candidate.members.len()) != largest || candidate.remaining < SPARES_PER_DOMAIN;
        if view.before_traffic && !settled && fills_domain {
            return false;
        }
        let is_short = candidate.shortage > SHORTAGE_THRESHOLD;
        if candidate.shortage <= MIN_SHORTAGE
            || (candidate.remaining < SPARES_PER_DOMAIN && !is_short)
        {
            return false;
        }
        if view.before_traffic {
            let allowed =
                self.count_loading(view) + candidate.cold <= max_initial_loads(view.engine);
            self.formation_deferred |= !allowed;
            return allowed;
        }
        // Idle targets load before they join, so that targets which already hold the weights do not
        // wait for them in a group that serves nothing.
        candidate.cold == 0
    }

    /// Returns the best group of a model among a domain's targets, if there are enough.
    fn candidate<'a>(&self, need: &Need<'a>, targets: &[&'a Target]) -> Option<Candidate<'a>> {
        let plan = need.plan;
        let size = plan.size as usize;
        if targets.len() < size {
            return None;
        }
        let mut sorted: Vec<&'a Target> = targets.to_vec();
        // Targets outside of groups come first, so that standby groups stay complete.
        let rank = |t: &Target| {
            (
                Reverse(self.warmth(t, plan)),
                self.in_standby(t),
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
            shortage: need.shortage,
            precedence: need.precedence,
            remaining: targets.len() - size,
        })
    }

    /// Returns the number of targets that are loading weights, or were ordered to join a group and
    /// do not show it yet.
    pub(super) fn count_loading(&self, view: &FleetView<'_>) -> usize {
        let shown = view.targets.values().filter(|t| {
            let member = t.member.as_ref();
            member.is_some_and(|m| m.state == MemberState::Joining)
        });
        let planned = self.planned.iter();
        let unseen =
            planned.map(|(group, p)| p.members.iter().filter(|id| !is_listed_in(id, group, view)));
        shown.count() + unseen.map(Iterator::count).sum::<usize>()
    }

    /// Returns whether a target's accelerators hold a model's weights.
    pub(super) fn is_loaded(&self, target: &Target, plan: &ModelPlan) -> bool {
        self.warmth(target, plan) == Warmth::Loaded
    }

    /// Returns whether a target can run a model without loading weights from the weight store.
    pub(super) fn is_warm(&self, target: &Target, plan: &ModelPlan) -> bool {
        self.warmth(target, plan) != Warmth::Cold
    }

    fn warmth(&self, target: &Target, plan: &ModelPlan) -> Warmth {
        let shown = target.model();
        let last = shown.or_else(|| self.last_models.get(&target.id));
        if last == Some(&plan.model) {
            Warmth::Loaded
        } else if target.staged.contains(&plan.model) {
            Warmth::Staged
        } else {
            Warmth::Cold
        }
    }
}

/// Returns the targets with the given ids, by domain.
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
