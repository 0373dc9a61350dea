//! What the planner remembers of targets and groups from one look to the next.

use std::collections::{BTreeSet, HashMap, HashSet};

use thistlesill_core::edge::{GroupRef, MemberState, Target, TargetId};
use thistlesill_core::{InstanceId, Millis};

use super::{
    AVOID_TIME, DEAD_TARGET_RETENTION, FleetPlanner, FleetView, LATE_ORDER_TIMEOUT,
    PROBE_ROUND_INTERVAL,
};

/// How long a spare may take until it shows the weights that it was told to
/// load: the longest load of the known engines, beside several others.
const STAGING: Millis = Millis::new(60_000);
/// The first term of the lease; no planner was before.
const FIRST_TERM: u64 = 1;
/// How long targets that are gone are remembered.
const FORGET: Millis = Millis::new(30_000);

impl FleetPlanner {
    /// Follows the fleet without the lease, so that a planner that takes over
    /// knows who led which group.
    pub fn watch(&mut self, targets: &HashMap<TargetId, Target>, now: Millis) {
        self.term = None;
        self.planned.clear();
        self.formed.clear();
        self.joined.clear();
        self.remember(targets, false, now);
        for target in targets.values() {
            let Some(member) = target.member.as_ref().filter(|m| m.rank == 0) else {
                continue;
            };
            match member.state {
                // The planner that forms the group may have told it to open.
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

    /// Notes the term in which the planner plans; in an earlier one, or before, others did.
    /// Returns whether it planned in this term before.
    pub(super) fn enter_term(&mut self, view: &FleetView<'_>, now: Millis) -> bool {
        let goes_on = self.term == Some(view.term);
        if !goes_on {
            self.term = Some(view.term);
            self.revisions.begin_term(view.term <= FIRST_TERM, now);
        }
        goes_on
    }

    /// Notes a life that is listed for the first time; `plans` tells whether this planner
    /// alone gave orders since the last look.
    fn note_listed(&mut self, target: &TargetId, plans: bool, now: Millis) {
        self.grown = now;
        if plans {
            let has_watched = self.began.is_some_and(|at| now - at >= LATE_ORDER_TIMEOUT);
            let is_new = has_watched && !self.knows_other_life(target);
            self.revisions.note_appeared(target, is_new, now);
        }
        self.revisions.note_listed(target);
    }

    /// Whether another life of a target's instance is remembered.
    fn knows_other_life(&self, target: &TargetId) -> bool {
        // Lives of one instance follow each other in the order of ids.
        let first = TargetId::from(target.instance().clone());
        let lives = self.addresses.range(first..).map(|(id, _)| id);
        let mut lives = lives.take_while(|id| id.instance() == target.instance());
        lives.any(|id| id.is_other_incarnation_of(target))
    }

    /// Takes in how the fleet stands, and forgets what has become old; `plans` tells whether
    /// this planner alone gave orders since the last look.
    pub(super) fn remember(
        &mut self,
        targets: &HashMap<TargetId, Target>,
        plans: bool,
        now: Millis,
    ) {
        self.began.get_or_insert(now);
        self.avoid.retain(|_, at| now - *at < AVOID_TIME);
        self.silent
            .retain(|_, (_, at)| now - *at < DEAD_TARGET_RETENTION);
        self.most = self.most.max(targets.len());
        self.given.retain(|_, at| now - *at < AVOID_TIME);
        self.rounds
            .retain(|_, (_, at)| now - *at < PROBE_ROUND_INTERVAL);
        self.asked.retain(|_, at| now - *at < PROBE_ROUND_INTERVAL);
        self.probed.retain(|_, at| now - *at < AVOID_TIME);
        self.staging.retain(|id, (model, at)| {
            let target = targets.get(id);
            let waits = target.is_some_and(|t| !t.staged.contains(model));
            waits && now - *at < STAGING
        });
        for target in targets.values() {
            if self
                .addresses
                .insert(target.id.clone(), target.address)
                .is_none()
            {
                self.note_listed(&target.id, plans, now);
            }
            self.missing.remove(&target.id);
            let Some(member) = &target.member else {
                continue;
            };
            match (&member.model, member.state) {
                (Some(model), _) => {
                    self.loaded.insert(target.id.clone(), model.clone());
                }
                // It takes over weights and does not say which.
                (None, MemberState::Joining) => {
                    self.loaded.remove(&target.id);
                }
                (None, _) => {}
            }
            self.revisions.note_member(&target.id, now);
            self.seen.entry(member.of.clone()).or_insert(now);
            let roster = self.rosters.entry(member.of.clone()).or_default();
            if !roster.contains(&target.id) {
                roster.insert(target.id.clone());
            }
            if target.is_open_leader() && self.opening.get(&member.of) == Some(&0) {
                self.opening.remove(&member.of);
            }
            if member.rank == 0 {
                self.leaders.insert(member.of.clone(), target.id.clone());
            }
        }
        for id in self.addresses.keys() {
            if !targets.contains_key(id) {
                self.missing.entry(id.clone()).or_insert(now);
            }
        }
        self.note_ended(targets);
        let shown: BTreeSet<&GroupRef> = targets
            .values()
            .filter_map(|t| Some(&t.member.as_ref()?.of))
            .collect();
        self.hold_vanished(&shown, now);
        self.seen.retain(|group, _| shown.contains(group));
        self.rosters.retain(|group, _| shown.contains(group));
        self.leaders.retain(|group, _| shown.contains(group));
        self.opening.retain(|group, _| shown.contains(group));
        self.left.retain(|group| shown.contains(group));
        let planned = &self.planned;
        self.formed
            .retain(|group| shown.contains(group) || planned.contains_key(group));
        self.waiting.retain(|_, (_, until)| now < *until);
        self.unanswered
            .retain(|_, at| now - *at < LATE_ORDER_TIMEOUT);
        self.joined.retain(|id, _| targets.contains_key(id));
        self.revisions.retain(|id| targets.contains_key(id), now);
        self.cut.retain(|group| shown.contains(group));
        self.missing.retain(|_, since| now - *since < FORGET);
        self.slow.retain(|id| targets.contains_key(id));
        self.loaded.retain(|id, _| targets.contains_key(id));
        let missing = &self.missing;
        self.addresses
            .retain(|id, _| targets.contains_key(id) || missing.contains_key(id));
        let addresses = &self.addresses;
        self.ended.retain(|id| addresses.contains_key(id));
    }

    /// Notes the lives that are over, since a later one of the same instance is listed.
    fn note_ended(&mut self, targets: &HashMap<TargetId, Target>) {
        if self.missing.keys().all(|id| self.ended.contains(id)) {
            return;
        }
        let listed: HashSet<&InstanceId> = targets.keys().map(TargetId::instance).collect();
        let over = self
            .missing
            .keys()
            .filter(|id| listed.contains(id.instance()));
        self.ended.extend(over.cloned());
    }
}
