//! The planner's memory of targets and groups between two steps.

use std::collections::{BTreeSet, HashMap, HashSet};

use thistlesill_core::edge::{GroupRef, MemberState, Target, TargetId};
use thistlesill_core::{InstanceId, Millis};

use super::{
    AVOID_DURATION, DEAD_TARGET_RETENTION, FleetPlanner, FleetView, LATE_ORDER_TIMEOUT,
    PROBE_ROUND_INTERVAL,
};

/// How long an idle target may take to show the weights that it was ordered to load: the longest
/// load of the known engines, concurrent with several others.
const STAGING_TIMEOUT: Millis = Millis::new(60_000);
/// The first term of the lease, before which there was no planner.
const FIRST_TERM: u64 = 1;
/// How long targets that left the list are remembered.
const MISSING_RETENTION: Millis = Millis::new(30_000);

impl FleetPlanner {
    /// Follows the fleet without holding the lease, so that this planner knows the leader of each
    /// group when it takes over.
    pub fn watch(&mut self, targets: &HashMap<TargetId, Target>, now: Millis) {
        self.term = None;
        self.planned.clear();
        self.formed.clear();
        self.join_epochs.clear();
        self.observe(targets, false, now);
        for target in targets.values() {
            let Some(member) = target.member.as_ref().filter(|m| m.rank == 0) else {
                continue;
            };
            match member.state {
                // The planner that forms the group may have ordered its leader to open.
                MemberState::Ready => {
                    self.opening.entry(member.of.clone()).or_insert(1);
                }
                MemberState::Open => {
                    self.opening.remove(&member.of);
                }
                _ => {}
            }
        }
    }

    /// Enters the term in which this planner plans; before that, other planners may have sent
    /// orders. Returns whether this planner has planned in the same term before.
    pub(super) fn enter_term(&mut self, view: &FleetView<'_>, now: Millis) -> bool {
        let is_same_term = self.term == Some(view.term);
        if !is_same_term {
            self.term = Some(view.term);
            self.order_counts.begin_term(view.term <= FIRST_TERM, now);
        }
        is_same_term
    }

    /// Records an incarnation that is listed for the first time. `is_sole_planner` tells whether
    /// only this planner sent orders since its last step.
    fn record_listed(&mut self, target: &TargetId, is_sole_planner: bool, now: Millis) {
        self.last_appeared = now;
        if is_sole_planner {
            let has_watched = self
                .watching_since
                .is_some_and(|at| now - at >= LATE_ORDER_TIMEOUT);
            let is_new = has_watched && !self.knows_other_incarnation(target);
            self.order_counts.record_appeared(target, is_new, now);
        }
        self.order_counts.record_listed(target);
    }

    /// Returns whether another incarnation of a target's instance is remembered.
    fn knows_other_incarnation(&self, target: &TargetId) -> bool {
        // The incarnations of one instance are adjacent in the order of ids.
        let first = TargetId::from(target.instance().clone());
        let incarnations = self.addresses.range(first..).map(|(id, _)| id);
        let mut incarnations = incarnations.take_while(|id| id.instance() == target.instance());
        incarnations.any(|id| id.is_other_incarnation_of(target))
    }

    /// Updates the memory from the listed targets and drops outdated entries. `is_sole_planner`
    /// tells whether only this planner sent orders since its last step.
    pub(super) fn observe(
        &mut self,
        targets: &HashMap<TargetId, Target>,
        is_sole_planner: bool,
        now: Millis,
    ) {
        self.watching_since.get_or_insert(now);
        self.avoided.retain(|_, at| now - *at < AVOID_DURATION);
        self.failed_probes
            .retain(|_, (_, at)| now - *at < DEAD_TARGET_RETENTION);
        let groupable = self.count_groupable(targets.values());
        self.peak_targets = self.peak_targets.max(groupable);
        self.last_orders.retain(|_, at| now - *at < AVOID_DURATION);
        self.probe_rounds
            .retain(|_, (_, at)| now - *at < PROBE_ROUND_INTERVAL);
        self.pace_probes
            .retain(|_, at| now - *at < PROBE_ROUND_INTERVAL);
        self.last_probes.retain(|_, at| now - *at < AVOID_DURATION);
        self.staging.retain(|id, (model, at)| {
            let target = targets.get(id);
            let waits = target.is_some_and(|t| !t.staged.contains(model));
            waits && now - *at < STAGING_TIMEOUT
        });
        for target in targets.values() {
            if self
                .addresses
                .insert(target.id.clone(), target.address)
                .is_none()
            {
                self.record_listed(&target.id, is_sole_planner, now);
            }
            self.missing_since.remove(&target.id);
            let Some(member) = &target.member else {
                continue;
            };
            match (&member.model, member.state) {
                (Some(model), _) => {
                    self.last_models.insert(target.id.clone(), model.clone());
                }
                // The target is loading weights and does not report of which model.
                (None, MemberState::Joining) => {
                    self.last_models.remove(&target.id);
                }
                (None, _) => {}
            }
            self.order_counts.record_member(&target.id, now);
            self.first_seen.entry(member.of.clone()).or_insert(now);
            let members = self.group_members.entry(member.of.clone()).or_default();
            if !members.contains(&target.id) {
                members.insert(target.id.clone());
            }
            if target.is_open_leader() && self.opening.get(&member.of) == Some(&0) {
                self.opening.remove(&member.of);
            }
            if member.rank == 0 {
                self.leaders.insert(member.of.clone(), target.id.clone());
            }
        }
        self.record_epochs(targets);
        for id in self.addresses.keys() {
            if !targets.contains_key(id) {
                self.missing_since.entry(id.clone()).or_insert(now);
            }
        }
        self.record_superseded(targets);
        let shown: BTreeSet<&GroupRef> = targets
            .values()
            .filter_map(|t| Some(&t.member.as_ref()?.of))
            .collect();
        self.block_vanished_members(&shown, now);
        self.first_seen.retain(|group, _| shown.contains(group));
        self.group_members.retain(|group, _| shown.contains(group));
        self.leaders.retain(|group, _| shown.contains(group));
        self.opening.retain(|group, _| shown.contains(group));
        self.leader_left.retain(|group| shown.contains(group));
        let planned = &self.planned;
        self.formed
            .retain(|group| shown.contains(group) || planned.contains_key(group));
        let superseded = &self.superseded;
        self.blocked_until.retain(|(_, leader), (_, until)| {
            let is_over = leader.as_ref().is_some_and(|id| superseded.contains(id));
            now < *until && !is_over
        });
        self.unanswered_joins
            .retain(|_, at| now - *at < LATE_ORDER_TIMEOUT);
        self.join_epochs.retain(|id, _| targets.contains_key(id));
        self.order_counts.retain(|id| targets.contains_key(id), now);
        self.cut.retain(|group| shown.contains(group));
        self.missing_since
            .retain(|_, since| now - *since < MISSING_RETENTION);
        self.slow.retain(|id| targets.contains_key(id));
        self.last_models.retain(|id, _| targets.contains_key(id));
        let missing = &self.missing_since;
        self.addresses
            .retain(|id, _| targets.contains_key(id) || missing.contains_key(id));
        let addresses = &self.addresses;
        self.superseded.retain(|id| addresses.contains_key(id));
    }

    /// Records the incarnations that are over because a later one of the same instance is listed.
    fn record_superseded(&mut self, targets: &HashMap<TargetId, Target>) {
        if self
            .missing_since
            .keys()
            .all(|id| self.superseded.contains(id))
        {
            return;
        }
        let listed: HashSet<&InstanceId> = targets.keys().map(TargetId::instance).collect();
        let superseded = self
            .missing_since
            .keys()
            .filter(|id| listed.contains(id.instance()));
        self.superseded.extend(superseded.cloned());
    }
}
