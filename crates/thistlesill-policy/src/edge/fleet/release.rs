//! The conditions under which a member may join another group, and under which a group may open.
//!
//! Orders may be carried out seconds after they were sent, when their planner no longer exists, and
//! a leader may continue to serve where neither the store nor the planner reaches it. So a target
//! joins another group only if one of these holds:
//!
//! - its entry shows no group: it has left its last group, or has restarted;
//! - its last group's leader ended the group, left it, is broken, or is another process (a target
//!   that has restarted waits until its leader must have noticed).
//!
//! A group opens only if this planner formed it and no member was sent a later join. Groups that a
//! predecessor left ready are formed anew: their members then refuse the predecessor's late joins,
//! whose epochs are lower.

use std::collections::BTreeSet;

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, MemberState, Order, TargetId};

use super::survey::ObservedGroup;
use super::{
    FleetAction, FleetPlanner, FleetView, JOIN_ANNOUNCE_DELAY, LATE_ORDER_TIMEOUT,
    LEADER_DRAIN_TIMEOUT, is_elsewhere,
};

/// How far a target's clock, by which it reports its start time, may be off.
const MAX_CLOCK_ERROR: Millis = Millis::new(5_000);

/// Maximum number of groups in one announcement. Members of any further groups may be released too
/// early by a successor if its predecessor is lost while that many joins are in flight.
const MAX_ANNOUNCED_GROUPS: usize = 200;

/// Groups of which a join may be carried out late, as announced by another daemon.
///
/// The planner announces them, and so does each daemon that has watched long enough to know all of
/// them. Joins of other groups that these daemons saw are not late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LateJoins {
    /// The groups whose joins may be carried out late.
    pub groups: Vec<GroupRef>,
    /// When the announcement was received.
    pub at: Millis,
}

impl FleetPlanner {
    /// Records that a target was sent a join, which may be carried out at any later time.
    pub(super) fn record_join(&mut self, target: &TargetId, group: &GroupRef) {
        let epoch = self.join_epochs.entry(target.clone()).or_default();
        *epoch = (*epoch).max(group.epoch);
    }

    /// Returns whether this planner formed a group in its present term, and no member can still be
    /// joined to a later group by an order that was sent before.
    pub(super) fn may_be_opened(&self, group: &GroupRef, observed: &ObservedGroup<'_>) -> bool {
        let latest = |id: &TargetId| self.join_epochs.get(id).copied().unwrap_or(0);
        let members = &observed.members;
        self.formed.contains(group) && members.iter().all(|t| latest(&t.id) <= group.epoch)
    }

    /// Returns whether an order that was sent before could open a group that does not serve.
    pub(super) fn may_open_late(&self, group: &GroupRef, observed: &ObservedGroup<'_>) -> bool {
        let ordered = self.opening.contains_key(group);
        let broken = observed.leader_state() == Some(MemberState::Broken);
        let by_others = !self.formed.contains(group) && !broken;
        (ordered || by_others) && !self.leader_left.contains(group)
    }

    /// Returns the groups of which a join may be carried out late.
    pub fn late_joins(&self, now: Millis) -> Vec<GroupRef> {
        let recent = self
            .first_seen
            .iter()
            .filter(|(_, at)| now - **at < LATE_ORDER_TIMEOUT);
        let recent = recent.map(|(group, _)| group);
        let known = self.unanswered_joins.keys().chain(recent);
        let late: BTreeSet<&GroupRef> = known.filter(|g| self.may_join_late(g, now)).collect();
        late.into_iter()
            .take(MAX_ANNOUNCED_GROUPS)
            .cloned()
            .collect()
    }

    /// Applies another daemon's announcement of the joins that may be late.
    pub fn receive_late_joins(&mut self, announced: &LateJoins) {
        for group in &announced.groups {
            self.unanswered_joins
                .entry(group.clone())
                .or_insert(announced.at);
        }
        self.last_announcement = self.last_announcement.max(Some(announced.at));
    }

    /// Returns whether this planner knows of all late joins: it has watched for long enough, or
    /// received an announcement from a daemon that has.
    pub fn knows_late_joins(&self, now: Millis) -> bool {
        self.watching_since.is_some_and(|at| {
            let announced = self
                .last_announcement
                .is_some_and(|last| last - at >= JOIN_ANNOUNCE_DELAY);
            announced || now - at >= LATE_ORDER_TIMEOUT
        })
    }

    /// Returns whether a join of a group may be carried out late and bring back a member that left:
    /// a join without an answer, or one of another planner that had not announced it yet.
    pub(super) fn may_join_late(&self, group: &GroupRef, now: Millis) -> bool {
        let is_late = |at: &Millis| now - *at < LATE_ORDER_TIMEOUT;
        let seen = self.first_seen.get(group).filter(|at| {
            let announced = self
                .last_announcement
                .is_some_and(|last| last - **at >= JOIN_ANNOUNCE_DELAY);
            !announced && !self.formed.contains(group)
        });
        seen.is_some_and(is_late) || self.unanswered_joins.get(group).is_some_and(is_late)
    }

    /// Returns whether the entry of a group's leader shows that it no longer leads the group.
    pub(super) fn is_left_by_leader(&self, view: &FleetView<'_>, group: &GroupRef) -> bool {
        let leader = self.leaders.get(group);
        leader.is_some_and(|id| is_elsewhere(id, group, view.targets))
    }

    /// Blocks the members of groups that no entry shows any more and whose leaders may still serve.
    ///
    /// A member that restarts knows of no group that it could leave, and the leader serves until it
    /// notices.
    pub(super) fn block_vanished_members(&mut self, shown: &BTreeSet<&GroupRef>, now: Millis) {
        // Each shown group has a list of members, and in most steps no other group has one.
        if self.group_members.len() == shown.len() {
            return;
        }
        let until = now + LEADER_DRAIN_TIMEOUT;
        let ended = |group: &GroupRef| {
            let leader = self.leaders.get(group);
            let restarted = leader.is_some_and(|id| self.superseded.contains(id));
            restarted || self.leader_left.contains(group) || self.cut.contains(group)
        };
        let groups = self.group_members.iter();
        let vanished = groups.filter(|(group, _)| !shown.contains(group) && !ended(group));
        let blocked = vanished.flat_map(|(group, members)| {
            let leader = self.leaders.get(group);
            members.iter().map(move |id| {
                let key = (id.instance().clone(), leader.cloned());
                (key, (id.clone(), until))
            })
        });
        self.blocked_until.extend(blocked);
    }

    /// Returns whether a target in no group may have restarted shortly before as a member of a
    /// group whose leader still serves: a planner that has just started cannot know.
    pub(super) fn may_be_blocked(&self, view: &FleetView<'_>, id: &TargetId, now: Millis) -> bool {
        let has_watched = self
            .watching_since
            .is_some_and(|at| now - at >= LEADER_DRAIN_TIMEOUT);
        let age = view.wall.abs_diff(id.incarnation().get());
        !view.before_traffic && !has_watched && age < (LEADER_DRAIN_TIMEOUT + MAX_CLOCK_ERROR).get()
    }

    /// Orders the members of a group to leave it when its leader cannot be ordered to end it.
    pub(super) fn release_members(
        &mut self,
        group: &GroupRef,
        observed: &ObservedGroup<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let reason = "its group's leader does not respond";
        for member in &observed.members {
            let order = Order::Leave(group.clone());
            self.send_order(
                member.id.clone(),
                member.address,
                order,
                reason,
                now,
                actions,
            );
        }
    }
}
