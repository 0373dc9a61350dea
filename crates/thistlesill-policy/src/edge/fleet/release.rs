//! What frees a member of its group, and which groups may open.
//!
//! Orders may be carried out seconds after they were given, by a planner that is gone by
//! then, and a leader may serve on where neither the store nor the planner reaches it. So a
//! target joins another group only if one of these holds:
//!
//! - it shows no group: it has left its last one, or has started again;
//! - its last group's leader ended it, left it, is broken, or is another process (a target
//!   that has started again waits until its leader must have noticed);
//!
//! and a group opens only if this planner formed it and no member was given a later join.
//! What a predecessor left ready is formed anew: its members then refuse the predecessor's
//! late joins, whose epochs are lower.

use std::collections::BTreeSet;

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, MemberState, Order, TargetId};

use super::survey::Standing;
use super::{
    FleetAction, FleetPlanner, FleetView, JOIN_ANNOUNCE_DELAY, LATE_ORDER_TIMEOUT,
    LEADER_DRAIN_TIMEOUT, is_elsewhere,
};

/// How far the clock of a target may be off, by which it tells when it started.
const CLOCK_JUMP: Millis = Millis::new(5_000);

/// Groups that a planner tells of at once. With more, their members may be released early by
/// a successor, if its predecessor is lost while as many joins are under way.
const MAX_ANNOUNCED: usize = 200;

/// Groups of which a join may be carried out late, as another daemon announced.
///
/// The planner tells, and whoever has watched for so long that it knows of all; joins of
/// other groups that they saw are not late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LateJoins {
    /// The groups to be joined.
    pub groups: Vec<GroupRef>,
    /// When that was heard.
    pub at: Millis,
}

impl FleetPlanner {
    /// Notes that a target was given a join, which may be carried out at any later time.
    pub(super) fn note_join(&mut self, target: &TargetId, group: &GroupRef) {
        let epoch = self.joined.entry(target.clone()).or_default();
        *epoch = (*epoch).max(group.epoch);
    }

    /// Whether no member of a group can still be joined to another one by an order that
    /// was given before.
    pub(super) fn is_current(&self, group: &GroupRef, standing: &Standing<'_>) -> bool {
        let latest = |id: &TargetId| self.joined.get(id).copied().unwrap_or(0);
        let members = &standing.members;
        self.formed.contains(group) && members.iter().all(|t| latest(&t.id) <= group.epoch)
    }

    /// Whether an order that was given before could open a group that does not serve.
    pub(super) fn may_open_late(&self, group: &GroupRef, standing: &Standing<'_>) -> bool {
        let ordered = self.opening.contains_key(group);
        let broken = standing.leader_state() == Some(MemberState::Broken);
        let others = !self.formed.contains(group) && !broken;
        (ordered || others) && !self.left.contains(group)
    }

    /// The groups of which a join may be carried out late.
    pub fn late_joins(&self, now: Millis) -> Vec<GroupRef> {
        let young = self
            .seen
            .iter()
            .filter(|(_, at)| now - **at < LATE_ORDER_TIMEOUT);
        let young = young.map(|(group, _)| group);
        let known = self.unanswered.keys().chain(young);
        let late: BTreeSet<&GroupRef> = known.filter(|g| self.may_join_late(g, now)).collect();
        late.into_iter().take(MAX_ANNOUNCED).cloned().collect()
    }

    /// Applies another daemon's announcement of the joins that may be late.
    pub fn receive_late_joins(&mut self, announced: &LateJoins) {
        for group in &announced.groups {
            self.unanswered.entry(group.clone()).or_insert(announced.at);
        }
        self.announced = self.announced.max(Some(announced.at));
    }

    /// Whether this planner knows of all late joins: it has watched for so long, or heard
    /// one that has.
    pub fn knows_late_joins(&self, now: Millis) -> bool {
        self.began.is_some_and(|at| {
            let announced = self
                .announced
                .is_some_and(|last| last - at >= JOIN_ANNOUNCE_DELAY);
            announced || now - at >= LATE_ORDER_TIMEOUT
        })
    }

    /// Whether a join of a group may be carried out late and bring a member back that left:
    /// one without an answer, or one of another planner that had not announced it yet.
    pub(super) fn may_join_late(&self, group: &GroupRef, now: Millis) -> bool {
        let is_late = |at: &Millis| now - *at < LATE_ORDER_TIMEOUT;
        let seen = self.seen.get(group).filter(|at| {
            let announced = self
                .announced
                .is_some_and(|last| last - **at >= JOIN_ANNOUNCE_DELAY);
            !announced && !self.formed.contains(group)
        });
        seen.is_some_and(is_late) || self.unanswered.get(group).is_some_and(is_late)
    }

    /// Whether a group's leader shows that it leads it no longer.
    pub(super) fn is_left_by_leader(&self, view: &FleetView<'_>, group: &GroupRef) -> bool {
        let leader = self.leaders.get(group);
        leader.is_some_and(|id| is_elsewhere(id, group, view.targets))
    }

    /// Notes the members of groups that nobody shows any more and whose leaders may serve on.
    ///
    /// One that starts again knows of no group that it could leave, and the leader serves on
    /// until it notices.
    pub(super) fn hold_vanished(&mut self, shown: &BTreeSet<&GroupRef>, now: Millis) {
        // Each shown group has a roster, and most looks find no other one.
        if self.rosters.len() == shown.len() {
            return;
        }
        let until = now + LEADER_DRAIN_TIMEOUT;
        let ended = |group: &GroupRef| {
            let leader = self.leaders.get(group);
            let over = leader.is_some_and(|id| self.ended.contains(id));
            over || self.left.contains(group) || self.cut.contains(group)
        };
        let rosters = self.rosters.iter();
        let vanished = rosters.filter(|(group, _)| !shown.contains(group) && !ended(group));
        let members = vanished.flat_map(|(_, members)| members);
        let held = members.map(|id| (id.instance().clone(), (id.clone(), until)));
        self.waiting.extend(held);
    }

    /// Whether a target in no group may have started again a moment ago, as a member of a
    /// group whose leader serves on: a planner that has just started cannot know.
    pub(super) fn may_be_bound(&self, view: &FleetView<'_>, id: &TargetId, now: Millis) -> bool {
        let knows = self
            .began
            .is_some_and(|at| now - at >= LEADER_DRAIN_TIMEOUT);
        let age = view.wall.abs_diff(id.incarnation().get());
        !view.before_traffic && !knows && age < (LEADER_DRAIN_TIMEOUT + CLOCK_JUMP).get()
    }

    /// Has the members of a group leave it whose leader cannot be told to end it.
    pub(super) fn release(
        &mut self,
        group: &GroupRef,
        standing: &Standing<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let why = "its group's leader is silent";
        for member in &standing.members {
            let order = Order::Leave(group.clone());
            self.give(member.id.clone(), member.address, order, why, now, actions);
        }
    }
}
